//! The handover of a database's writes from one side of a migration to the other.
//!
//! The steps are: raise the fence of the source side, which waits for running writes and rejects
//! later ones; wait until that position is confirmed; wait until the target side has applied it;
//! open the target side's fence. The state is stored in the two groups and every step is
//! idempotent, so any node can resume a handover at any point, and several may do so at once.

use crate::group::{GroupView, ServerRole};
use crate::position::Position;

/// What the caller must do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverAction {
    /// Read the fence on the target side's primary.
    ReadFence,
    /// Raise the fence on the source side's primary to this epoch.
    RaiseFence(u64),
    /// Open the fence on the target side's primary at this epoch.
    OpenFence(u64),
    /// Probe the source side's group and report its view.
    ProbeSource,
    /// Probe the target side's group and report its view.
    ProbeTarget,
    /// Nothing: the handover is complete.
    Done,
    /// Nothing: the databases have a newer epoch, so a later handover supersedes this one.
    Overtaken,
}

/// The result of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverEvent<'a> {
    /// The fence on the target side was read.
    FenceRead {
        /// The fence's epoch.
        epoch: u64,
        /// Whether the fence is open.
        open: bool,
        /// The server's received position, read after the fence and in the same term.
        position: Position,
    },
    /// The fence was raised by a transaction at this position.
    FenceRaised(Position),
    /// The fence was opened by a transaction at this position.
    FenceOpened(Position),
    /// The fence has a newer epoch.
    FenceConflict,
    /// A view of the source side's group.
    SourceView(&'a GroupView),
    /// A view of the target side's group.
    TargetView(&'a GroupView),
}

/// The progress of a handover, ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HandoverStep {
    /// It is not known whether the handover has been made before.
    Checking,
    /// The target side's fence is already open; this position must be confirmed.
    ConfirmingCheck(Position),
    /// The source side's fence must be raised.
    Raising,
    /// The fence was raised at this position, which must be confirmed.
    ConfirmingRaise(Position),
    /// The target side must apply the source side's log up to this position.
    CatchingUp(Position),
    /// The target side's fence must be opened.
    Opening,
    /// The fence was opened at this position, which must be confirmed.
    ConfirmingOpen(Position),
    /// The handover is complete.
    Done,
    /// A later handover supersedes this one.
    Overtaken,
}

impl HandoverStep {
    /// The step's name as shown to operators.
    pub const fn name(self) -> &'static str {
        match self {
            HandoverStep::Checking | HandoverStep::ConfirmingCheck(_) => "checking",
            HandoverStep::Raising | HandoverStep::ConfirmingRaise(_) => "raising_fence",
            HandoverStep::CatchingUp(_) => "catching_up",
            HandoverStep::Opening | HandoverStep::ConfirmingOpen(_) => "opening_fence",
            HandoverStep::Done => "done",
            HandoverStep::Overtaken => "overtaken",
        }
    }
}

/// The handover of one database to the side that one policy epoch assigns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    epoch: u64,
    step: HandoverStep,
}

impl Handover {
    /// A handover whose state in the databases is not known yet.
    pub fn new(epoch: u64) -> Self {
        Handover {
            epoch,
            step: HandoverStep::Checking,
        }
    }

    /// The policy epoch that requires the handover.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The current step.
    pub fn step(&self) -> HandoverStep {
        self.step
    }

    /// The next action; unchanged until an event advances the step, so failed actions are retried.
    pub fn action(&self) -> HandoverAction {
        match self.step {
            HandoverStep::Checking => HandoverAction::ReadFence,
            HandoverStep::Raising => HandoverAction::RaiseFence(self.epoch),
            HandoverStep::ConfirmingRaise(_) => HandoverAction::ProbeSource,
            HandoverStep::ConfirmingCheck(_)
            | HandoverStep::CatchingUp(_)
            | HandoverStep::ConfirmingOpen(_) => HandoverAction::ProbeTarget,
            HandoverStep::Opening => HandoverAction::OpenFence(self.epoch),
            HandoverStep::Done => HandoverAction::Done,
            HandoverStep::Overtaken => HandoverAction::Overtaken,
        }
    }

    /// Handles the result of an action and returns the next one.
    pub fn handle_event(&mut self, event: &HandoverEvent<'_>) -> HandoverAction {
        self.step = self.next_step(event);
        self.action()
    }

    fn next_step(&self, event: &HandoverEvent<'_>) -> HandoverStep {
        match (self.step, event) {
            (
                HandoverStep::Checking,
                HandoverEvent::FenceRead {
                    epoch,
                    open,
                    position,
                },
            ) => self.after_fence_read(*epoch, *open, *position),
            (HandoverStep::Raising, HandoverEvent::FenceRaised(position)) => {
                HandoverStep::ConfirmingRaise(*position)
            }
            (HandoverStep::Opening, HandoverEvent::FenceOpened(position)) => {
                HandoverStep::ConfirmingOpen(*position)
            }
            (HandoverStep::Raising | HandoverStep::Opening, HandoverEvent::FenceConflict) => {
                HandoverStep::Overtaken
            }
            (_, HandoverEvent::SourceView(view)) => self.after_source_view(view),
            (_, HandoverEvent::TargetView(view)) => self.after_target_view(view),
            (step, _) => step,
        }
    }

    fn after_fence_read(&self, epoch: u64, open: bool, position: Position) -> HandoverStep {
        if epoch > self.epoch {
            return HandoverStep::Overtaken;
        }
        if epoch == self.epoch && open {
            return HandoverStep::ConfirmingCheck(position);
        }
        HandoverStep::Raising
    }

    fn after_source_view(&self, view: &GroupView) -> HandoverStep {
        let HandoverStep::ConfirmingRaise(position) = self.step else {
            return self.step;
        };
        if view.is_confirmed(position) {
            return HandoverStep::CatchingUp(position);
        }
        // A newer term may lack the raised fence. Raising it again is idempotent.
        if has_newer_primary(view, position) {
            return HandoverStep::Raising;
        }
        self.step
    }

    fn after_target_view(&self, view: &GroupView) -> HandoverStep {
        match self.step {
            HandoverStep::CatchingUp(position) if has_caught_up(view, position) => {
                HandoverStep::Opening
            }
            HandoverStep::ConfirmingOpen(position) if view.is_confirmed(position) => {
                HandoverStep::Done
            }
            HandoverStep::ConfirmingOpen(position) if has_newer_primary(view, position) => {
                HandoverStep::Opening
            }
            HandoverStep::ConfirmingCheck(position) if view.is_confirmed(position) => {
                HandoverStep::Done
            }
            HandoverStep::ConfirmingCheck(position) if has_newer_primary(view, position) => {
                HandoverStep::Checking
            }
            step => step,
        }
    }
}

/// Whether the group has a primary in a newer term than the position's.
fn has_newer_primary(view: &GroupView, position: Position) -> bool {
    view.primary().is_some() && view.newest_term() > position.term
}

/// Whether the group's primary has applied the other side's log up to `upstream`, in a record that
/// no later primary can lack.
fn has_caught_up(view: &GroupView, upstream: Position) -> bool {
    let primary = view
        .primary()
        .and_then(|index| view.servers[index].observed.as_ref());
    primary.is_some_and(|observed| {
        let status = &observed.status;
        status.role == ServerRole::Primary
            && status.upstream_applied >= upstream
            && view.is_confirmed(status.received)
    })
}
