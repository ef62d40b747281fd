//! The state machine of one write.

use std::time::Duration;

use super::event::{CommitAction, CommitEvent, CommitOutcome, WriteKind};
use super::term_starts::TermStarts;
use crate::group::GroupView;
use crate::position::Position;
use crate::reason::Reason;
use crate::time::Timestamp;

/// What the confirmation of a position will prove.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// The attempt is committed.
    Committed,
    /// An earlier copy is committed.
    Recorded,
    /// The key belongs to another statement.
    KeyReused,
    /// No earlier copy is committed, and the present one was rolled back.
    RolledBack,
    /// No earlier copy is committed.
    KeyAbsent,
}

/// Where a write stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing of the present attempt has left.
    Unsent,
    /// Bytes have left, the COMMIT has not.
    Started,
    /// The COMMIT has left.
    CommitSent,
    /// A position is known whose confirmation proves the claim.
    Confirming { position: Position, claim: Claim },
    /// Nothing was written; it must still be shown that the server was the primary.
    VerifyingPrimary {
        position: Position,
        since: Timestamp,
    },
    /// The present primary is being asked whether the key was committed.
    Settling,
    /// The end.
    Finished(CommitOutcome),
}

/// The state of one write.
#[derive(Debug, Clone)]
pub struct CommitMachine {
    kind: WriteKind,
    phase: Phase,
    /// Whether an earlier attempt may still be, or become, committed.
    earlier_outstanding: bool,
    /// Until when an attempt may start.
    start_deadline: Timestamp,
    /// How long an outcome is sought after the first COMMIT has left.
    confirm_timeout: Duration,
    /// When the outcome becomes unknown; none before the first COMMIT was answered or lost.
    confirm_deadline: Option<Timestamp>,
    starts: TermStarts,
}

impl CommitMachine {
    /// A write of which nothing has left; the caller makes the first attempt.
    ///
    /// `starts` is what the group's watcher has seen of terms so far. `start_deadline` bounds the
    /// wait before anything is sent; `confirm_timeout` bounds the search for the outcome.
    pub fn new(
        kind: WriteKind,
        start_deadline: Timestamp,
        confirm_timeout: Duration,
        starts: TermStarts,
    ) -> Self {
        CommitMachine {
            kind,
            phase: Phase::Unsent,
            earlier_outstanding: false,
            start_deadline,
            confirm_timeout,
            confirm_deadline: None,
            starts,
        }
    }

    /// When `Tick` must be reported at the latest.
    pub fn deadline(&self) -> Timestamp {
        self.confirm_deadline.unwrap_or(self.start_deadline)
    }

    /// The verdict, once there is one.
    pub fn outcome(&self) -> Option<CommitOutcome> {
        match self.phase {
            Phase::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Takes in an event and says what to do next.
    pub fn step(&mut self, event: CommitEvent<'_>, now: Timestamp) -> CommitAction {
        if let Phase::Finished(outcome) = self.phase {
            return CommitAction::Finish(outcome);
        }
        match event {
            CommitEvent::Started => self.started(),
            CommitEvent::CommitSent => self.commit_sent(),
            CommitEvent::Committed { position } => self.committed(position, now),
            CommitEvent::CommittedWithoutWrite { position } => self.verify_primary(position, now),
            CommitEvent::RolledBack { position } => self.rolled_back(position, now),
            CommitEvent::Rejected { reason } => self.rejected(reason, now),
            CommitEvent::Fenced => self.fenced(),
            CommitEvent::ConnectionLost => self.connection_lost(now),
            CommitEvent::RecordFound {
                position,
                same_statement,
            } => self.record_found(position, same_statement, now),
            CommitEvent::KeyAbsent { position } => self.confirm(position, Claim::KeyAbsent, now),
            CommitEvent::View(view) => self.view(view, now),
            CommitEvent::Tick => self.tick(now),
        }
    }

    fn finish(&mut self, outcome: CommitOutcome) -> CommitAction {
        self.phase = Phase::Finished(outcome);
        CommitAction::Finish(outcome)
    }

    fn started(&mut self) -> CommitAction {
        if self.phase == Phase::Unsent {
            self.phase = Phase::Started;
        }
        CommitAction::Wait
    }

    fn commit_sent(&mut self) -> CommitAction {
        self.phase = Phase::CommitSent;
        CommitAction::Wait
    }

    /// A statement may run for long, so the time counts from the answer or the loss.
    fn start_confirm_timeout(&mut self, now: Timestamp) {
        let end = now + self.confirm_timeout;
        self.confirm_deadline.get_or_insert(end);
    }

    fn committed(&mut self, position: Position, now: Timestamp) -> CommitAction {
        self.confirm_deadline = Some(now + self.confirm_timeout);
        self.confirm(position, Claim::Committed, now)
    }

    fn confirm(&mut self, position: Position, claim: Claim, now: Timestamp) -> CommitAction {
        self.start_confirm_timeout(now);
        self.phase = Phase::Confirming { position, claim };
        CommitAction::Probe
    }

    fn verify_primary(&mut self, position: Position, now: Timestamp) -> CommitAction {
        self.start_confirm_timeout(now);
        self.phase = Phase::VerifyingPrimary {
            position,
            since: now,
        };
        CommitAction::Probe
    }

    fn rolled_back(&mut self, position: Option<Position>, now: Timestamp) -> CommitAction {
        if !self.earlier_outstanding {
            return self.finish(CommitOutcome::RolledBack);
        }
        match position {
            Some(position) => self.confirm(position, Claim::RolledBack, now),
            None => self.finish(CommitOutcome::Unknown(Reason::CommitUnknown)),
        }
    }

    fn rejected(&mut self, reason: Reason, now: Timestamp) -> CommitAction {
        if self.phase == Phase::Settling {
            return self.settle_again(now);
        }
        if !self.kind.can_rerun() {
            return self.finish(CommitOutcome::NotRun(reason));
        }
        self.attempt_again(reason, now)
    }

    fn fenced(&mut self) -> CommitAction {
        let outcome = if self.earlier_outstanding {
            CommitOutcome::Unknown(Reason::CommitUnknown)
        } else {
            CommitOutcome::NotRun(Reason::Fenced)
        };
        self.finish(outcome)
    }

    fn connection_lost(&mut self, now: Timestamp) -> CommitAction {
        match self.phase {
            Phase::Unsent if self.kind.can_rerun() => {
                self.attempt_again(Reason::BackEndUnreachable, now)
            }
            Phase::Unsent => self.finish(CommitOutcome::NotRun(Reason::BackEndUnreachable)),
            Phase::Started => self.lost_before_commit(now),
            Phase::CommitSent => self.lost_after_commit(now),
            Phase::Settling => self.settle_again(now),
            // The answer is known; the connection is no longer needed.
            Phase::Confirming { .. } | Phase::VerifyingPrimary { .. } | Phase::Finished(_) => {
                CommitAction::Wait
            }
        }
    }

    /// Without its COMMIT the back end rolls the attempt back.
    fn lost_before_commit(&mut self, now: Timestamp) -> CommitAction {
        match self.kind {
            WriteKind::Keyed => self.attempt_again(Reason::BackEndUnreachable, now),
            WriteKind::Unkeyed => self.finish(CommitOutcome::Unknown(Reason::ConnectionLost)),
            WriteKind::Transaction | WriteKind::KeyedTransaction => {
                self.finish(CommitOutcome::NotRun(Reason::TransactionLost))
            }
        }
    }

    fn lost_after_commit(&mut self, now: Timestamp) -> CommitAction {
        self.earlier_outstanding = true;
        self.start_confirm_timeout(now);
        match self.kind {
            WriteKind::Unkeyed | WriteKind::Transaction => {
                self.finish(CommitOutcome::Unknown(Reason::ConnectionLost))
            }
            WriteKind::Keyed => self.attempt_again(Reason::BackEndUnreachable, now),
            WriteKind::KeyedTransaction => self.settle_again(now),
        }
    }

    fn attempt_again(&mut self, reason: Reason, now: Timestamp) -> CommitAction {
        if now < self.deadline() {
            self.phase = Phase::Unsent;
            return CommitAction::Attempt;
        }
        self.give_up(reason)
    }

    fn settle_again(&mut self, now: Timestamp) -> CommitAction {
        if now < self.deadline() {
            self.phase = Phase::Settling;
            return CommitAction::Settle;
        }
        self.give_up(Reason::CommitUnknown)
    }

    /// Ends an attempt that did not run; an earlier one may still have.
    fn give_up(&mut self, reason: Reason) -> CommitAction {
        let outcome = if self.earlier_outstanding {
            CommitOutcome::Unknown(Reason::CommitUnknown)
        } else {
            CommitOutcome::NotRun(reason)
        };
        self.finish(outcome)
    }

    fn record_found(
        &mut self,
        position: Position,
        same_statement: bool,
        now: Timestamp,
    ) -> CommitAction {
        let claim = if same_statement {
            Claim::Recorded
        } else {
            Claim::KeyReused
        };
        self.confirm(position, claim, now)
    }

    fn view(&mut self, view: &GroupView, now: Timestamp) -> CommitAction {
        self.starts.observe(view);
        match self.phase {
            Phase::Confirming { position, claim } => {
                if view.is_confirmed(position) {
                    return self.finish_confirmed(position, claim);
                }
                self.handle_unconfirmed(position, claim, view, now)
            }
            Phase::VerifyingPrimary { position, since } => {
                self.check_read_index(position, since, view)
            }
            _ => CommitAction::Wait,
        }
    }

    fn finish_confirmed(&mut self, position: Position, claim: Claim) -> CommitAction {
        self.finish(match claim {
            Claim::Committed => CommitOutcome::Done { position },
            Claim::Recorded => CommitOutcome::Recorded { position },
            Claim::KeyReused => CommitOutcome::NotRun(Reason::KeyReused),
            Claim::RolledBack => CommitOutcome::RolledBack,
            Claim::KeyAbsent => CommitOutcome::NotRun(Reason::TransactionLost),
        })
    }

    /// The position is not confirmed in this view: a newer term decides, or time.
    fn handle_unconfirmed(
        &mut self,
        position: Position,
        claim: Claim,
        view: &GroupView,
        now: Timestamp,
    ) -> CommitAction {
        let lost = self.starts.proves_lost(position, view);
        if lost && claim == Claim::Committed && !self.earlier_outstanding && !self.kind.is_keyed() {
            return self.finish(CommitOutcome::NotRun(Reason::LostWithDeposedPrimary));
        }
        let replaced = view
            .primary()
            .is_some_and(|_| view.newest_term() > position.term);
        if replaced && self.kind.is_keyed() {
            self.earlier_outstanding = true;
            return match self.kind {
                WriteKind::KeyedTransaction => self.settle_again(now),
                _ => self.attempt_again(Reason::CommitUnknown, now),
            };
        }
        self.tick_confirming(now)
    }

    /// A majority asked after the commit holds nothing newer than the server's own term, so no
    /// write of a newer term was confirmed before: the server showed every confirmed write.
    fn check_read_index(
        &mut self,
        position: Position,
        since: Timestamp,
        view: &GroupView,
    ) -> CommitAction {
        match view.read_index(since) {
            None => CommitAction::Wait,
            Some(index) if index.term <= position.term => {
                self.finish(CommitOutcome::Done { position })
            }
            Some(_) => self.finish(CommitOutcome::NotRun(Reason::LostWithDeposedPrimary)),
        }
    }

    fn tick(&mut self, now: Timestamp) -> CommitAction {
        if now < self.deadline() {
            return CommitAction::Wait;
        }
        match self.phase {
            Phase::Unsent => self.give_up(Reason::NoPrimary),
            Phase::VerifyingPrimary { .. } => {
                self.finish(CommitOutcome::NotRun(Reason::NoMajority))
            }
            Phase::Confirming { .. } => self.tick_confirming(now),
            Phase::Settling => self.give_up(Reason::CommitUnknown),
            // A running statement has no deadline of its own here: its connection decides.
            Phase::Started | Phase::CommitSent | Phase::Finished(_) => CommitAction::Wait,
        }
    }

    fn tick_confirming(&mut self, now: Timestamp) -> CommitAction {
        if now < self.deadline() {
            return CommitAction::Wait;
        }
        self.finish(CommitOutcome::Unknown(Reason::CommitUnknown))
    }
}
