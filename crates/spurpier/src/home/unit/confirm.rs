//! The confirm phase: views of the group drive the commit machine until it decides.

use std::time::Duration;

use spurpier_core::commit::{CommitAction, CommitEvent, CommitMachine, WriteKind};
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_core::time::Timestamp;

use super::context::{Refusal, UnitContext};
use crate::home::counters::HomeCounters;

/// The least time between two rounds of probes that one commit asks for.
const ROUND_PAUSE: Duration = Duration::from_millis(1);

impl UnitContext {
    /// The machine of one write of this unit.
    pub(super) fn commit_machine(&self, kind: WriteKind) -> CommitMachine {
        CommitMachine::new(
            kind,
            self.patience_end,
            Duration::from_millis(self.home.limits.confirm_ms),
            self.group.watcher.term_starts(),
        )
    }

    /// Probes and waits until the machine wants something else; never gives `Probe` or `Wait`.
    pub(super) async fn await_decision(
        &self,
        machine: &mut CommitMachine,
        first: CommitAction,
    ) -> CommitAction {
        let begun = self.now();
        let mut action = first;
        let mut changes = self.group.watcher.changes();
        let mut next_round = begun;
        while matches!(action, CommitAction::Probe | CommitAction::Wait) {
            changes.borrow_and_update();
            let view = self.group.watcher.view();
            let now = self.now();
            action = machine.step(CommitEvent::View(&view), now);
            if !matches!(action, CommitAction::Probe | CommitAction::Wait) {
                break;
            }
            if now >= machine.deadline() {
                action = machine.step(CommitEvent::Tick, now);
                continue;
            }
            if now >= next_round {
                self.request_round(now);
                next_round = now + ROUND_PAUSE;
            }
            let wake = self.home.clock.instant(next_round.min(machine.deadline()));
            // When the time passes first, the loop looks again.
            let _ = tokio::time::timeout_at(wake, changes.changed()).await;
        }
        self.counters().confirmation.record(self.now().since(begun));
        action
    }

    /// Waits until no later primary can lack `position`, which a primary has shown to a read.
    ///
    /// Gives up with [`Reason::ReadInterrupted`] after `limits.confirm_ms`, or as soon as it is
    /// proved that the position is lost.
    pub(super) async fn await_confirmed(&self, position: Position) -> Result<(), Refusal> {
        let deadline = self.now() + Duration::from_millis(self.home.limits.confirm_ms);
        let mut changes = self.group.watcher.changes();
        loop {
            changes.borrow_and_update();
            if self.group.watcher.is_confirmed(position) {
                return Ok(());
            }
            let view = self.group.watcher.view();
            let now = self.now();
            let lost = self
                .group
                .watcher
                .term_starts()
                .proves_lost(position, &view);
            if lost || now >= deadline {
                return Err(Refusal::new(Reason::ReadInterrupted));
            }
            self.request_round(now);
            let wake = self.home.clock.instant(deadline.min(now + ROUND_PAUSE));
            // When the time passes first, the loop looks again.
            let _ = tokio::time::timeout_at(wake, changes.changed()).await;
        }
    }

    fn request_round(&self, now: Timestamp) {
        HomeCounters::add(&self.counters().probe_rounds);
        self.group.watcher.request_round(now);
    }
}
