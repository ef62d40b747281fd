//! The move of a database's writes from one side to the other.
//!
//! The steps are: raise the fence of the side that is left, which waits for its running writes
//! and keeps out later ones; confirm that position; wait until the other side shows it; open the
//! other side's fence. The state lives in the two groups and each step may be repeated, so any
//! node can take the move up at any point, also several at once.

use crate::group::{GroupView, ServerRole};
use crate::position::Position;

/// What the caller must do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverAction {
    /// Read the fence on the primary of the side that is entered.
    ReadFence,
    /// Raise the fence on the primary of the side that is left, to this epoch.
    RaiseFence(u64),
    /// Open the fence on the primary of the side that is entered, at this epoch.
    OpenFence(u64),
    /// Probe the group of the side that is left, and report its view.
    ProbeSource,
    /// Probe the group of the side that is entered, and report its view.
    ProbeTarget,
    /// Nothing: the move is done.
    Done,
    /// Nothing: the databases know a newer epoch, so this move has been overtaken.
    Overtaken,
}

/// What came of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverEvent<'a> {
    /// The fence of the side that is entered.
    FenceRead {
        /// Its epoch.
        epoch: u64,
        /// Whether it is open.
        open: bool,
        /// The server's received position, asked behind it in the same term.
        position: Position,
    },
    /// The fence was raised by a transaction at this position.
    FenceRaised(Position),
    /// The fence was opened by a transaction at this position.
    FenceOpened(Position),
    /// The fence stands at a newer epoch.
    FenceConflict,
    /// A view of the group of the side that is left.
    SourceView(&'a GroupView),
    /// A view of the group of the side that is entered.
    TargetView(&'a GroupView),
}

/// How far a move has come; ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HandoverStep {
    /// It is not known whether the move has been made before.
    Checking,
    /// The entered side's fence is open already, which is being confirmed.
    ConfirmingCheck(Position),
    /// The fence of the side that is left is to be raised.
    Raising,
    /// The raised fence is being confirmed.
    ConfirmingRaise(Position),
    /// The side that is entered must show this position of the side that is left.
    CatchingUp(Position),
    /// The fence of the side that is entered is to be opened.
    Opening,
    /// The opened fence is being confirmed.
    ConfirmingOpen(Position),
    /// The move is done.
    Done,
    /// A newer move has overtaken this one.
    Overtaken,
}

impl HandoverStep {
    /// The step's name for operators.
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

/// The move of one database to the side of one epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    epoch: u64,
    step: HandoverStep,
}

impl Handover {
    /// A move whose state in the databases is not known yet.
    pub fn new(epoch: u64) -> Self {
        Handover {
            epoch,
            step: HandoverStep::Checking,
        }
    }

    /// The policy epoch that asks for the move.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// How far the move has come.
    pub fn step(&self) -> HandoverStep {
        self.step
    }

    /// What to do next; the same until an event changes it, so a failed action is done again.
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

    /// Takes in what came of an action, and says what to do next.
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
        // A newer term may lack the raised fence: raising it again is harmless and sure.
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

/// Whether a primary of a newer term than the position's has been found.
fn has_newer_primary(view: &GroupView, position: Position) -> bool {
    view.primary().is_some() && view.newest_term() > position.term
}

/// Whether the group's primary shows the other side's log up to `upstream`, by a record that no
/// later primary can lack.
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
