//! Handing a group over from a primary that serves.

use std::sync::Arc;

use spurpier_core::position::Position;
use spurpier_events::log_event;

use super::holder::{KnownDuty, note_ordered, read_duty};
use super::round::Round;
use super::successor::{SteppedDown, Successor, find_heir, find_heir_in, order, step_down};
use super::watch::{Case, UNDECIDED_PAUSE};
use crate::events;
use crate::places::MoveReason;
use crate::ports::PromotionAnswer;
use crate::server::Server;

impl Case {
    /// Hands a group over from a primary that serves, without losing a commit: it steps down, its
    /// heir receives the rest, and is ordered to lead.
    pub(super) async fn hand_over(
        &mut self,
        duty: &KnownDuty,
        former: Arc<Server>,
        reason: MoveReason,
    ) {
        let (context, group) = (Arc::clone(&self.context), Arc::clone(&self.group));
        let Some(heir) = self.find_heir(&former, reason).await else {
            tokio::time::sleep(UNDECIDED_PAUSE).await;
            return;
        };
        if reason == MoveReason::Evacuated && !self.may_step_down(&former, &heir.server).await {
            return;
        }
        // Once its zone is closed a node that takes this over could not ask it what it holds.
        let deposed = former.is_evacuated().then_some(&*former);
        let Some(decision) = self.decide(duty, &heir, deposed).await else {
            return;
        };
        let heir = heir.server;
        log_event!(
            events::PRIMARY_MOVES,
            group = group.name,
            reason = reason.text(),
            from = former.incarnation,
            to = heir.incarnation
        );
        let peers = Arc::clone(&self.peers);
        let mut round = Round::new(&context, &peers, &group, &decision);
        let stepped_down = step_down(&context, &group, &former, &heir).await;
        if stepped_down != SteppedDown::Unknown {
            round.note_stepped_down();
        }
        self.note_stepped_down(stepped_down, &former, decision.succession.token);
        // The server of a primary that leaves ends: a successor that is too far behind takes over all
        // the same, since the group must serve. One that stays can lead again.
        let may_lose = reason == MoveReason::Leaving && group.synchronous_replicas() == 0;
        let may_order = may_lose || matches!(stepped_down, SteppedDown::HeirHasAll(_));
        if may_order && let Some(ordering) = round.await_order().await {
            let answer = order(&context, &group, &heir, decision.token()).await;
            drop(ordering);
            if deposed.is_some() && answer == Ok(PromotionAnswer::Accepted) {
                note_ordered(&context, &group, &decision).await;
            }
            self.note_ordered(&answer, Some(&former)).await;
        }
        round.clean_up().await;
        if !may_order && reason == MoveReason::Demand {
            self.give_back(&former, stepped_down).await;
        }
    }

    async fn find_heir(&self, former: &Arc<Server>, reason: MoveReason) -> Option<Successor> {
        let (context, group) = (&self.context, &self.group);
        match reason {
            MoveReason::Leaving | MoveReason::Evacuated => find_heir(context, group, former).await,
            MoveReason::Demand => {
                let now = context.clock.now();
                let region = context.places.demand.wish(&group.name, now)?;
                find_heir_in(context, group, former, &region).await
            }
        }
    }

    /// Lets a primary that was told to step down lead again, since its heir lacks something: it
    /// holds all that was acknowledged. If that fails, the group is seen to as one without a
    /// primary.
    async fn give_back(&mut self, former: &Arc<Server>, stepped_down: SteppedDown) {
        let (context, group) = (Arc::clone(&self.context), Arc::clone(&self.group));
        let Some(duty) = read_duty(&context).await else {
            return;
        };
        let received = match stepped_down {
            SteppedDown::HeirHasAll(position) | SteppedDown::HeirLacks(position) => position,
            SteppedDown::Unknown => Position::ZERO,
        };
        let again = Successor {
            server: Arc::clone(former),
            received,
        };
        let Some(decision) = self.decide(&duty.holder, &again, None).await else {
            return;
        };
        let peers = Arc::clone(&self.peers);
        let mut round = Round::new(&context, &peers, &group, &decision);
        if matches!(stepped_down, SteppedDown::HeirLacks(_)) {
            // No server leads, and the heir was not ordered to.
            round.note_stepped_down();
        }
        if let Some(ordering) = round.await_order().await {
            let answer = order(&context, &group, former, decision.token()).await;
            drop(ordering);
            self.note_ordered(&answer, None).await;
        }
        round.clean_up().await;
    }
}
