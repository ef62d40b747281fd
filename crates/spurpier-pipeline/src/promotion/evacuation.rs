//! Additional rules for replacing the primary of an evacuated zone. Its server stays in service, so
//! no acknowledged commit may be lost, and once the zone is closed the server cannot be queried.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::locality::ZonePhase;
use spurpier_core::position::Position;
use spurpier_events::log_event;

use super::lease::KnownPromotionLease;
use super::successor::{StepDownOutcome, await_position, status_of};
use super::task::{PromotionTask, UNDECIDED_DELAY};
use crate::events;
use crate::ports::ServerRole;
use crate::server::Server;

/// How long a successor may take to receive what an evacuated primary holds before that primary
/// steps down. Replicas are 8 to 60 ms behind.
const EVACUATION_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// How long before its zone closes an evacuated primary steps down even if its successor receives
/// nothing. Its position must be read while the server can be queried, so that the successor can be
/// promoted once it has received that position. Assessments are half a second apart, and stepping
/// down takes a write to the store.
const FORCED_STEP_DOWN_MARGIN: Duration = Duration::from_millis(1_000);

/// The step-down of a primary in an evacuated zone.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownStepDown {
    /// The position that the primary had received.
    position: Position,
    /// The token of the decision under which this node made the primary step down; `None` once a
    /// server may have been promoted.
    unpromoted_token: Option<u64>,
}

/// Whether a server is lost, according to the last observations while it could be queried.
pub fn is_lost(server: &Server) -> bool {
    server.is_gone() || server.health().is_unresponsive()
}

impl PromotionTask {
    /// The server that this node would use as the leader.
    pub(super) fn candidate(&self) -> Option<Arc<Server>> {
        let context = &self.context;
        let (now, leaving_use) = (context.clock.now(), context.leaving_use());
        self.group.leader_candidate(now, leaving_use)
    }

    /// Whether another server of the group may become the primary: it is not leaving, and its
    /// locality allows it.
    pub(super) fn has_eligible_successor(&self, leader: &Server) -> bool {
        let now = self.context.clock.now();
        let locality = &self.context.locality;
        let servers = self.group.servers().into_iter();
        let mut others = servers.filter(|server| server.incarnation != leader.incarnation);
        others.any(|server| server.is_staying() && locality.is_eligible_successor(&server, now))
    }

    /// Whether a primary that cannot be used leads nevertheless, as after a decision whose
    /// step-down request was not answered. It is then handed over from again and not treated as
    /// lost.
    pub(super) async fn still_leads_evacuated(&self, claimant: &Arc<Server>) -> bool {
        if !claimant.is_evacuated() || is_lost(claimant) {
            return false;
        }
        let status = status_of(&self.context, claimant).await;
        status.is_some_and(|status| status.role == ServerRole::Primary)
    }

    /// Whether an evacuated primary steps down now: its successor has received what it holds, or it
    /// can soon no longer be queried. Until then it serves.
    pub(super) async fn may_step_down(
        &self,
        former: &Arc<Server>,
        successor: &Arc<Server>,
    ) -> bool {
        let context = &self.context;
        let Some(status) = status_of(context, former).await else {
            return false;
        };
        if await_position(
            context,
            successor,
            status.received,
            EVACUATION_CATCH_UP_TIMEOUT,
        )
        .await
        {
            return true;
        }
        let closes_in = former.pool.zone_gate().closes_in();
        closes_in.is_some_and(|closes_in| closes_in <= FORCED_STEP_DOWN_MARGIN)
    }

    /// Records the position of an evacuated primary when it stepped down.
    pub(super) fn record_step_down(
        &mut self,
        stepped_down: StepDownOutcome,
        former: &Server,
        token: u64,
    ) {
        if !former.is_evacuated() {
            return;
        }
        self.step_down = match stepped_down {
            StepDownOutcome::SuccessorCaughtUp(position) => Some(KnownStepDown {
                position,
                unpromoted_token: None,
            }),
            StepDownOutcome::SuccessorBehind(position) => Some(KnownStepDown {
                position,
                unpromoted_token: Some(token),
            }),
            StepDownOutcome::Unknown => self.step_down,
        };
    }

    /// Whether the group has no leader: this node made the primary step down and has promoted no
    /// server since.
    pub(super) fn has_no_leader(&self) -> bool {
        let unpromoted_token = self.step_down.and_then(|known| known.unpromoted_token);
        unpromoted_token == Some(self.group.token())
    }

    /// Whether the step-down without a promotion is also the newest decision in the store. Then no
    /// node can use a leader that a new decision would have to wait for.
    pub(super) fn made_last_decision(&self, lease: &KnownPromotionLease) -> bool {
        let unpromoted_token = self.step_down.and_then(|known| known.unpromoted_token);
        let newest = lease.row.as_ref().map(|row| row.token);
        unpromoted_token.is_some() && unpromoted_token == newest
    }

    /// Records that a server may be promoted from now on.
    pub(super) fn record_new_decision(&mut self) {
        if let Some(known) = &mut self.step_down {
            known.unpromoted_token = None;
        }
    }

    /// Whether a successor may lack commits that a server of an evacuated zone holds, which stays
    /// in service. If so, logs it, waits for a short delay and returns true. No server is then
    /// promoted, and work that needs the leader is refused until the successor has received the
    /// commits or the zone is taken back.
    pub(super) async fn may_lack_commits(&mut self, successor: &Arc<Server>) -> bool {
        let required = self.required_position(successor).await;
        let received = match &required {
            RequiredPosition::Nothing => return false,
            RequiredPosition::Unknown => None,
            RequiredPosition::Position(position) => {
                let status = status_of(&self.context, successor).await;
                let received = status.map(|status| status.received);
                if received.is_some_and(|received| received >= *position) {
                    return false;
                }
                received
            }
        };
        let now = self.context.clock.now();
        if let Some(suppressed) = self.context.log_budget.take(events::SUCCESSOR_BEHIND, now) {
            log_event!(
                events::SUCCESSOR_BEHIND,
                group = self.group.name,
                server = successor.incarnation,
                received = format!("{received:?}"),
                required = format!("{required:?}"),
                suppressed = suppressed
            );
        }
        tokio::time::sleep(UNDECIDED_DELAY).await;
        true
    }

    async fn required_position(&mut self, successor: &Server) -> RequiredPosition {
        if let Some(known) = self.step_down {
            return RequiredPosition::Position(known.position);
        }
        let mut required = RequiredPosition::Nothing;
        for server in self.group.servers() {
            if server.incarnation == successor.incarnation || is_lost(&server) {
                continue;
            }
            required = required.and(self.required_by(&server).await);
        }
        required
    }

    async fn required_by(&mut self, server: &Arc<Server>) -> RequiredPosition {
        match server.pool.zone_gate().phase() {
            ZonePhase::Open => RequiredPosition::Nothing,
            ZonePhase::Evacuating => match status_of(&self.context, server).await {
                Some(status) => {
                    if self.group.was_last_leader(&server.incarnation) {
                        self.step_down = Some(KnownStepDown {
                            position: status.received,
                            unpromoted_token: None,
                        });
                    }
                    RequiredPosition::Position(status.received)
                }
                // It is treated as lost, like a primary in any other zone.
                None => RequiredPosition::Nothing,
            },
            ZonePhase::Closed if self.group.was_last_leader(&server.incarnation) => {
                RequiredPosition::Unknown
            }
            // A replica holds nothing that the primary, which is lost, did not hold too.
            ZonePhase::Closed => RequiredPosition::Nothing,
        }
    }
}

/// The position that a successor must have received.
#[derive(Debug)]
enum RequiredPosition {
    /// None: no server of an evacuated zone holds anything that is needed.
    Nothing,
    /// At least this position.
    Position(Position),
    /// The position of the former primary, which cannot be queried.
    Unknown,
}

impl RequiredPosition {
    fn and(self, other: RequiredPosition) -> RequiredPosition {
        match (self, other) {
            (RequiredPosition::Nothing, required) | (required, RequiredPosition::Nothing) => {
                required
            }
            (RequiredPosition::Position(one), RequiredPosition::Position(two)) => {
                RequiredPosition::Position(one.max(two))
            }
            (RequiredPosition::Unknown, _) | (_, RequiredPosition::Unknown) => {
                RequiredPosition::Unknown
            }
        }
    }
}
