//! The commit state machine.

use std::time::Duration;

use super::event::{CommitAction, CommitEvent, CommitOutcome, WriteKind};
use super::term_starts::TermStarts;
use crate::group::GroupView;
use crate::position::Position;
use crate::reason::Reason;
use crate::time::Timestamp;

/// What is proved once a position is confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// The attempt is committed.
    Committed,
    /// An earlier copy is committed.
    Recorded,
    /// The request key was committed by a different statement.
    KeyReused,
    /// No earlier copy is committed, and the current attempt was rolled back.
    RolledBack,
    /// No earlier copy is committed.
    KeyAbsent,
}

/// The state of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing of the current attempt was sent.
    Unsent,
    /// The attempt was sent in part, without its COMMIT.
    Started,
    /// The COMMIT was sent.
    CommitSent,
    /// Waiting for the position to be confirmed, which proves the claim.
    Confirming { position: Position, claim: Claim },
    /// Nothing was written; waiting for proof that the server was still the primary at `since`.
    VerifyingPrimary {
        position: Position,
        since: Timestamp,
    },
    /// Querying the current primary whether the key was committed.
    Settling,
    /// The outcome is final.
    Finished(CommitOutcome),
}

/// Decides for one write when to attempt it, retry it, confirm it and finish.
#[derive(Debug, Clone)]
pub struct CommitMachine {
    kind: WriteKind,
    phase: Phase,
    /// Whether an earlier attempt may be committed, or may still become committed.
    earlier_outstanding: bool,
    /// When the write fails if no attempt was started.
    start_deadline: Timestamp,
    /// How long to look for the outcome after a COMMIT was answered or lost.
    confirm_timeout: Duration,
    /// When the outcome becomes unknown; `None` before a COMMIT was answered or lost.
    confirm_deadline: Option<Timestamp>,
    starts: TermStarts,
}

impl CommitMachine {
    /// Creates the state for a write that was not sent yet; the caller makes the first attempt.
    ///
    /// `starts` holds the terms that the group's watcher has observed so far. `start_deadline`
    /// bounds the wait before anything is sent; `confirm_timeout` bounds the time spent on finding
    /// the outcome.
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

    /// The time at which the caller must report `Tick` at the latest.
    pub fn deadline(&self) -> Timestamp {
        self.confirm_deadline.unwrap_or(self.start_deadline)
    }

    /// The final outcome; `None` while the write is in progress.
    pub fn outcome(&self) -> Option<CommitOutcome> {
        match self.phase {
            Phase::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Handles an event and returns the caller's next step.
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

    /// Called when an attempt is answered or lost: a statement's run time is not part of the
    /// timeout, because it has no upper bound.
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
            // The answer was received; the connection is no longer needed.
            Phase::Confirming { .. } | Phase::VerifyingPrimary { .. } | Phase::Finished(_) => {
                CommitAction::Wait
            }
        }
    }

    /// Without a COMMIT the back end rolls the attempt back. An unkeyed batch is still unknown,
    /// because its COMMIT is sent together with it.
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

    /// Finishes after an attempt that did not run; an earlier attempt may have committed.
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

    /// The position is not confirmed in this view: a newer term or the deadline determines the
    /// next step.
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

    /// If a majority probed after the commit has no record newer than the server's term, no write
    /// of a newer term was confirmed before. The server's answer thus reflected every confirmed
    /// write.
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
            // A running statement has no deadline here; it ends with an answer or a lost
            // connection.
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
