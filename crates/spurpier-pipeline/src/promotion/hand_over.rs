//! Handover of a group from a primary that is in service.

use std::sync::Arc;

use spurpier_core::position::Position;
use spurpier_events::log_event;

use super::lease::{KnownPromotionLease, read_promotion_lease, record_promotion};
use super::round::ReleaseRound;
use super::successor::{
    StepDownOutcome, Successor, find_handover_successor, find_successor_in_region, promote,
    step_down,
};
use super::task::{PromotionTask, UNDECIDED_DELAY};
use crate::events;
use crate::locality::MoveReason;
use crate::ports::PromotionAnswer;
use crate::server::Server;

impl PromotionTask {
    /// Hands a group over from a primary that is in service without losing a commit: the primary
    /// steps down, its successor receives the rest of the log and is promoted.
    pub(super) async fn hand_over(
        &mut self,
        lease: &KnownPromotionLease,
        former: Arc<Server>,
        reason: MoveReason,
    ) {
        let (context, group) = (Arc::clone(&self.context), Arc::clone(&self.group));
        let Some(successor) = self.find_handover_successor(&former, reason).await else {
            tokio::time::sleep(UNDECIDED_DELAY).await;
            return;
        };
        if reason == MoveReason::Evacuated && !self.may_step_down(&former, &successor.server).await
        {
            return;
        }
        // Names the former primary in the decision: a node that takes over the promotion could not
        // query its position once the zone is closed.
        let deposed = former.is_evacuated().then_some(&*former);
        let Some(decision) = self.decide(lease, &successor, deposed, None).await else {
            return;
        };
        let successor = successor.server;
        log_event!(
            events::PRIMARY_MOVES,
            group = group.name,
            reason = reason.text(),
            from = former.incarnation,
            to = successor.incarnation
        );
        let peers = Arc::clone(&self.peers);
        let mut round = ReleaseRound::new(&context, &peers, &group, &decision);
        let stepped_down = step_down(&context, &group, &former, &successor).await;
        if stepped_down != StepDownOutcome::Unknown {
            round.record_step_down();
        }
        self.record_step_down(stepped_down, &former, decision.succession.token);
        // The server of a leaving primary shuts down, so a successor that is too far behind takes
        // over nevertheless: the group must serve. A primary that stays can be reinstated.
        let may_lose_commits = reason == MoveReason::Leaving && group.synchronous_replicas() == 0;
        let may_promote =
            may_lose_commits || matches!(stepped_down, StepDownOutcome::SuccessorCaughtUp(_));
        if may_promote && let Some(promotion) = round.wait_until_promotable().await {
            let answer = promote(&context, &group, &successor, decision.token()).await;
            drop(promotion);
            if deposed.is_some() && answer == Ok(PromotionAnswer::Accepted) {
                record_promotion(&context, &group, &decision).await;
            }
            self.handle_promotion_answer(&answer, Some(&former)).await;
        }
        round.remove_stored_releases().await;
        if !may_promote && reason == MoveReason::Demand {
            self.reinstate(&former, stepped_down).await;
        }
    }

    async fn find_handover_successor(
        &self,
        former: &Arc<Server>,
        reason: MoveReason,
    ) -> Option<Successor> {
        let (context, group) = (&self.context, &self.group);
        match reason {
            MoveReason::Leaving | MoveReason::Evacuated => {
                find_handover_successor(context, group, former).await
            }
            MoveReason::Demand => {
                let now = context.clock.now();
                let region = context.locality.demand.move_request(&group.name, now)?;
                find_successor_in_region(context, group, former, &region).await
            }
        }
    }

    /// Promotes a primary again that has stepped down, since its successor lacks commits: the
    /// primary holds everything that was acknowledged. If that fails, the group is handled as one
    /// without a primary.
    async fn reinstate(&mut self, former: &Arc<Server>, stepped_down: StepDownOutcome) {
        let (context, group) = (Arc::clone(&self.context), Arc::clone(&self.group));
        let Some(state) = read_promotion_lease(&context).await else {
            return;
        };
        let received = match stepped_down {
            StepDownOutcome::SuccessorCaughtUp(position)
            | StepDownOutcome::SuccessorBehind(position) => position,
            StepDownOutcome::Unknown => Position::ZERO,
        };
        let reinstated = Successor {
            server: Arc::clone(former),
            received,
        };
        let Some(decision) = self.decide(&state.lease, &reinstated, None, None).await else {
            return;
        };
        let peers = Arc::clone(&self.peers);
        let mut round = ReleaseRound::new(&context, &peers, &group, &decision);
        if matches!(stepped_down, StepDownOutcome::SuccessorBehind(_)) {
            // No server leads, and the successor was not promoted.
            round.record_step_down();
        }
        if let Some(promotion) = round.wait_until_promotable().await {
            let answer = promote(&context, &group, former, decision.token()).await;
            drop(promotion);
            self.handle_promotion_answer(&answer, None).await;
        }
        round.remove_stored_releases().await;
    }
}
