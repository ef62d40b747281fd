//! What replacing a primary of an evacuated zone adds: its server lives on, so that no acknowledged
//! commit may be lost for it, and once the zone is closed it cannot be asked any more.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::locality::ZonePhase;
use spurpier_core::position::Position;
use spurpier_events::log_event;

use super::lease::KnownPromotionLease;
use super::successor::{StepDownOutcome, await_position, status_of};
use super::watch::{PromotionTask, UNDECIDED_DELAY};
use crate::events;
use crate::ports::ServerRole;
use crate::server::Server;

/// How long an heir may take to receive what an evacuated primary has, before that one steps down.
/// Replicas are 8 to 60 ms behind.
const EVACUATION_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// How long before its zone is closed an evacuated primary steps down although its heir receives
/// nothing: what it has must be asked while it can be, so that the heir may lead once it has received
/// that. Looks of a case are half a second apart, and stepping down takes a write to the store.
const FORCED_STEP_DOWN_MARGIN: Duration = Duration::from_millis(1_000);

/// That a primary of an evacuated zone has stepped down.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownStepDown {
    /// What it had received.
    position: Position,
    /// The token of the decision under which this node made it step down, as long as no server has
    /// been ordered to lead since.
    unpromoted_token: Option<u64>,
}

/// Whether a server is lost, as far as was seen while it could be asked.
pub fn is_lost(server: &Server) -> bool {
    server.is_gone() || server.health().is_silent()
}

impl PromotionTask {
    /// The server that this node would use as the lead.
    pub(super) fn candidate(&self) -> Option<Arc<Server>> {
        let context = &self.context;
        let (now, leaving_use) = (context.clock.now(), context.leaving_use());
        self.group.lead_candidate(now, leaving_use)
    }

    /// Whether another server of the group may lead where it stands.
    pub(super) fn has_eligible_successor(&self, leader: &Server) -> bool {
        let now = self.context.clock.now();
        let places = &self.context.places;
        let servers = self.group.servers().into_iter();
        let mut others = servers.filter(|server| server.incarnation != leader.incarnation);
        others.any(|server| server.is_staying() && places.may_succeed(&server, now))
    }

    /// Whether a primary that cannot be used leads all the same, as after a decision whose step down
    /// was not answered: then it is handed over from again, not taken as lost.
    pub(super) async fn still_leads_evacuated(&self, claimant: &Arc<Server>) -> bool {
        if !claimant.is_evacuated() || is_lost(claimant) {
            return false;
        }
        let status = status_of(&self.context, claimant).await;
        status.is_some_and(|status| status.role == ServerRole::Primary)
    }

    /// Whether an evacuated primary steps down now: its heir receives what it has, or it cannot be
    /// asked for much longer. Until then it serves.
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

    /// Remembers what an evacuated primary had when it stepped down.
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

    /// Whether no server leads the group, since this node made the primary step down and has ordered
    /// none to lead.
    pub(super) fn has_no_leader(&self) -> bool {
        let unpromoted_token = self.step_down.and_then(|known| known.unpromoted_token);
        unpromoted_token == Some(self.group.token())
    }

    /// Whether that is so still, by the duty as it stands in the store: then nobody can use a lead
    /// that a new decision would have to wait for.
    pub(super) fn made_last_decision(&self, lease: &KnownPromotionLease) -> bool {
        let unpromoted_token = self.step_down.and_then(|known| known.unpromoted_token);
        let newest = lease.row.as_ref().map(|row| row.token);
        unpromoted_token.is_some() && unpromoted_token == newest
    }

    /// Notes that a server may be ordered to lead from now on.
    pub(super) fn record_new_decision(&mut self) {
        if let Some(known) = &mut self.step_down {
            known.unpromoted_token = None;
        }
    }

    /// Whether a successor may lack commits that a server of an evacuated zone holds, which lives on:
    /// then nobody is ordered to lead, and what needs the lead is refused until the successor has
    /// received them or the zone is taken back.
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
        if let Some(suppressed) = self.context.log_budget.take(events::HEIR_INCOMPLETE, now) {
            log_event!(
                events::HEIR_INCOMPLETE,
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
                    if self.group.led_last(&server.incarnation) {
                        self.step_down = Some(KnownStepDown {
                            position: status.received,
                            unpromoted_token: None,
                        });
                    }
                    RequiredPosition::Position(status.received)
                }
                // It is as lost as a primary anywhere else.
                None => RequiredPosition::Nothing,
            },
            ZonePhase::Closed if self.group.led_last(&server.incarnation) => {
                RequiredPosition::Unknown
            }
            // A replica: what it holds the primary held too, which is lost.
            ZonePhase::Closed => RequiredPosition::Nothing,
        }
    }
}

/// What a successor must have received.
#[derive(Debug)]
enum RequiredPosition {
    /// Nothing that is held in an evacuated zone.
    Nothing,
    /// This position.
    Position(Position),
    /// What the former primary holds, which cannot be asked.
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
