//! The task of a group that may need a new primary: assesses it, and hands it over or replaces a
//! lost primary.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::leader::{
    FailoverDecision, HolderStatus, MissingPrimary, PromotionStep, decide_failover,
    next_promotion_step,
};
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::time::timeout;

use super::evacuation::{KnownStepDown, is_lost};
use super::lease::{Decision, KnownPromotionLease, read_promotion_lease, store_decision};
use super::peers::Peers;
use super::round::{ReleaseRound, accept_succession};
use super::successor::{Successor, find_successor, holds_all_acknowledged, promote, resume};
use crate::context::Context;
use crate::events;
use crate::group::{Group, PromotionInProgress};
use crate::locality::{ExclusionReason, MoveReason};
use crate::ports::{Condition, PromotionAnswer, StoreError};
use crate::replica_sets::ServerCount;
use crate::server::Server;
use crate::unit::{NotRun, renew_proof};

/// How long the leader may take to prove its leadership to the watch.
const PROOF_TIMEOUT: Duration = Duration::from_millis(350);
/// How long all proofs must have failed before other nodes are asked.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(200);
/// The delay between two assessments of a group.
const TASK_INTERVAL: Duration = Duration::from_millis(120);
/// The delay after a decision that found no successor.
pub(super) const UNDECIDED_DELAY: Duration = Duration::from_millis(400);
/// How long a new primary may take to lead after its promotion was accepted.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The action that a group needs.
enum RequiredAction {
    /// None; the task ends.
    Nothing,
    /// Another assessment after [`TASK_INTERVAL`].
    Wait,
    /// Replacement of a primary that is in service.
    HandOver(Arc<Server>, MoveReason),
    /// Replacement of a lost primary, if one is known.
    Replace(Option<Arc<Server>>),
}

/// The task of a group that may need a new primary.
pub(super) struct PromotionTask {
    pub(super) context: Arc<Context>,
    pub(super) peers: Arc<Peers>,
    pub(super) group: Arc<Group>,
    missing_since: Option<Timestamp>,
    /// The promotion lease as it was read, and whether its holder has answered since.
    known_lease: Option<(KnownPromotionLease, HolderStatus)>,
    /// The step-down of a primary in an evacuated zone.
    pub(super) step_down: Option<KnownStepDown>,
    /// When the latest assessment started.
    assessed_at: Timestamp,
}

impl PromotionTask {
    /// The task of a group, to be run.
    pub fn new(context: Arc<Context>, peers: Arc<Peers>, group: Arc<Group>) -> Self {
        let assessed_at = context.clock.now();
        PromotionTask {
            context,
            peers,
            group,
            missing_since: None,
            known_lease: None,
            step_down: None,
            assessed_at,
        }
    }

    /// Runs until the group needs nothing, and returns the group.
    pub async fn run(mut self) -> Arc<Group> {
        loop {
            match self.assess().await {
                RequiredAction::Nothing => return self.group,
                RequiredAction::Wait => {}
                RequiredAction::HandOver(former, reason) => {
                    self.decide_or_ask_holder(Some(former), Some(reason)).await;
                }
                RequiredAction::Replace(former) => self.decide_or_ask_holder(former, None).await,
            }
            tokio::time::sleep(TASK_INTERVAL).await;
        }
    }

    async fn assess(&mut self) -> RequiredAction {
        let clock = &self.context.clock;
        let started_at = clock.now();
        self.assessed_at = started_at;
        if !self.context.holds_leader_lease(&self.group) {
            // Without the lease the leader cannot be used, which is no evidence that it is lost.
            self.missing_since = None;
            return RequiredAction::Wait;
        }
        let until = started_at + PROOF_TIMEOUT;
        let proven = renew_proof(&self.context, &self.group, started_at, until).await;
        let leader = self.group.leader();
        if proven.is_ok() {
            self.missing_since = None;
            self.step_down = None;
            return leader.map_or(RequiredAction::Nothing, |leader| {
                self.action_for_serving_primary(leader)
            });
        }
        if self.group.servers().is_empty() {
            return RequiredAction::Nothing;
        }
        if let Err(NotRun::Barred(ExclusionReason::Evacuated)) = proven
            && let Some(barred) = self.candidate()
            && !is_lost(&barred)
        {
            // Nothing may be sent to the server, which is no evidence that it is lost.
            self.missing_since = None;
            return RequiredAction::Wait;
        }
        if self.has_no_leader() {
            return RequiredAction::Replace(None);
        }
        let is_load = matches!(
            proven,
            Err(NotRun::NoConnection | NotRun::Barred(ExclusionReason::Cold(_)))
        );
        if is_load && !leader.is_some_and(|leader| leader.health().is_unresponsive()) {
            // All connections are busy, or a cold primary accepts no more requests for now. That
            // indicates load, not a lost primary.
            return RequiredAction::Wait;
        }
        let missing_since = *self.missing_since.get_or_insert(started_at);
        let missing_for = clock.now().since(missing_since);
        if missing_for < FAILURE_TIMEOUT {
            return RequiredAction::Wait;
        }
        let claimant = self.claimant();
        let (primary_observations, all_holders_reachable) = tokio::join!(
            self.peers.primary_observations(&self.group),
            self.peers.reaches_all_lease_holders(&self.group)
        );
        let (peer_observations, peers_asked) = primary_observations;
        let missing = MissingPrimary {
            missing_for,
            peer_observations,
            peers_asked,
            primary_listed: claimant.is_some(),
            all_holders_reachable,
        };
        if decide_failover(&missing, FAILURE_TIMEOUT) == FailoverDecision::Keep {
            return RequiredAction::Wait;
        }
        log_event!(
            events::PRIMARY_SUSPECTED,
            group = self.group.name,
            server = leader_name(claimant.as_deref()),
            missing_ms = missing_for.as_millis(),
            peers = missing.peer_observations.len(),
            asked = missing.peers_asked
        );
        match claimant {
            Some(claimant) if self.still_leads_evacuated(&claimant).await => {
                RequiredAction::HandOver(claimant, MoveReason::Evacuated)
            }
            claimant => RequiredAction::Replace(claimant),
        }
    }

    /// The action that a group needs whose primary is in service.
    fn action_for_serving_primary(&self, leader: Arc<Server>) -> RequiredAction {
        let now = self.context.clock.now();
        let locality = &self.context.locality;
        match locality.reason_to_move(&self.group, &leader, now) {
            Some(MoveReason::Evacuated) if !self.has_eligible_successor(&leader) => {
                RequiredAction::Wait
            }
            Some(reason) => RequiredAction::HandOver(leader, reason),
            None => RequiredAction::Nothing,
        }
    }

    /// The server that is known to lead, or else the one that claims to in the directory.
    fn claimant(&self) -> Option<Arc<Server>> {
        self.group.leader().or_else(|| {
            let servers = self.group.servers().into_iter();
            let claiming = servers.filter(|server| server.claims_leadership() && !server.is_gone());
            claiming.max_by_key(|server| server.listing().version)
        })
    }

    /// Decides if this node holds the promotion lease or must take it over. Otherwise asks its
    /// holder.
    async fn decide_or_ask_holder(
        &mut self,
        former: Option<Arc<Server>>,
        reason: Option<MoveReason>,
    ) {
        let Some(state) = read_promotion_lease(&self.context).await else {
            return;
        };
        let lease = state.lease;
        let now = self.context.clock.now();
        let status = match &self.known_lease {
            Some((known, status)) if *known == lease => *status,
            _ => HolderStatus::new(now),
        };
        self.known_lease = Some((lease.clone(), status));
        let own_name = self.context.settings.node.name.as_str();
        match next_promotion_step(lease.row.as_ref(), own_name, &status, now) {
            PromotionStep::Decide => match (former, reason) {
                (Some(former), Some(reason)) => self.hand_over(&lease, former, reason).await,
                (former, _) => self.replace(&lease, former).await,
            },
            PromotionStep::AskHolder => self.ask_holder(&lease).await,
        }
    }

    async fn ask_holder(&mut self, lease: &KnownPromotionLease) {
        let Some(row) = &lease.row else {
            return;
        };
        let asked_at = self.context.clock.now();
        let group = self.group.name.as_str();
        let region = self.context.locality.demand.move_request(group, asked_at);
        let was_answered = self
            .peers
            .ask_for_decision(&row.holder, group, region)
            .await;
        if let Some((_, status)) = &mut self.known_lease {
            status.record_request(asked_at, was_answered);
        }
    }

    /// Replaces a lost primary, once no node can use it any more.
    async fn replace(&mut self, lease: &KnownPromotionLease, former: Option<Arc<Server>>) {
        let (context, group) = (Arc::clone(&self.context), Arc::clone(&self.group));
        // A restarted successor may hold more than any other server, so it stays a candidate.
        let former = former.filter(|former| !group.is_restarted_successor(&former.incarnation));
        let count = ServerCount::of_recorded(&context, &group, former.as_deref()).await;
        let Some(count) = count else {
            tokio::time::sleep(UNDECIDED_DELAY).await;
            return;
        };
        let Some(successor) = find_successor(&context, &group, &count).await else {
            // Each search queries all servers.
            tokio::time::sleep(UNDECIDED_DELAY).await;
            return;
        };
        if self.has_leader_again() || self.may_lack_commits(&successor.server).await {
            return;
        }
        let nobody_leads = self.made_last_decision(lease);
        let counted = count.condition.clone();
        let Some(decision) = self.decide(lease, &successor, None, counted).await else {
            return;
        };
        self.record_new_decision();
        let peers = Arc::clone(&self.peers);
        let mut round = ReleaseRound::new(&context, &peers, &group, &decision);
        if nobody_leads {
            round.record_step_down();
        }
        let successor = successor.server;
        let promotable = await_promotable(&context, &group, &count, &successor, &mut round).await;
        if let Some(promotion) = promotable {
            let answer = promote(&context, &group, &successor, decision.token()).await;
            drop(promotion);
            resume(&context, &group, &count).await;
            self.handle_promotion_answer(&answer, former.as_deref())
                .await;
        } else {
            resume(&context, &group, &count).await;
            tokio::time::sleep(UNDECIDED_DELAY).await;
        }
        round.remove_stored_releases().await;
    }

    /// Stores the decision that a server takes over. From then on this node uses no other server.
    /// The decision names the deposed primary if it stays in service. `counted` is the condition that
    /// the servers which were counted for the decision have not changed.
    ///
    /// Only a node that is registered for the group decides, and it stays registered while its task
    /// runs. A newer decision thus waits for this node, and so for its promotion.
    pub(super) async fn decide(
        &mut self,
        lease: &KnownPromotionLease,
        successor: &Successor,
        deposed: Option<&Server>,
        counted: Option<Condition>,
    ) -> Option<Decision> {
        if !self.context.holds_leader_lease(&self.group) {
            return None;
        }
        let decision = store_decision(
            &self.context,
            lease,
            &self.group,
            successor,
            deposed,
            counted,
        )
        .await?;
        accept_succession(
            &self.context,
            &self.group,
            &decision.succession,
            decision.version,
        );
        Some(decision)
    }

    pub(super) async fn handle_promotion_answer(
        &mut self,
        answer: &Result<PromotionAnswer, StoreError>,
        former: Option<&Server>,
    ) {
        // A promotion without an answer may be executed nevertheless.
        if !matches!(answer, Ok(PromotionAnswer::Refused)) {
            self.await_takeover(former).await;
        }
    }

    /// Whether a server has proved its leadership since the assessment that found no leader.
    fn has_leader_again(&self) -> bool {
        let proven_at = self.group.proven_at();
        proven_at.is_some_and(|proven| proven >= self.assessed_at)
    }

    /// Waits until a server other than the former primary has proved its leadership.
    async fn await_takeover(&mut self, former: Option<&Server>) {
        let former = former.map(|server| server.incarnation.clone());
        let waiting = async {
            loop {
                let since = self.context.clock.now();
                let until = since + PROOF_TIMEOUT;
                let proven = renew_proof(&self.context, &self.group, since, until).await;
                let leader = self.group.leader().map(|leader| leader.incarnation.clone());
                if proven.is_ok() && leader != former {
                    return;
                }
                tokio::time::sleep(TASK_INTERVAL / 2).await;
            }
        };
        // After the timeout the task assesses the group again.
        let _ = timeout(TAKEOVER_TIMEOUT, waiting).await;
    }
}

/// Waits until the successor of a lost primary may be promoted. `None` if it may not, or if it may
/// lack acknowledged commits.
///
/// What the servers have received is compared before and after the wait for leases. A replica that
/// is paused before it and restarts meanwhile receives again, and a node whose lease lasts may
/// acknowledge what it receives.
async fn await_promotable<'a>(
    context: &Context,
    group: &Group,
    count: &ServerCount,
    successor: &Server,
    round: &mut ReleaseRound<'a>,
) -> Option<PromotionInProgress<'a>> {
    if group.synchronous_replicas() == 0 {
        return round.wait_until_promotable().await;
    }
    if !holds_all_acknowledged(context, group, count, successor).await {
        return None;
    }
    drop(round.wait_until_promotable().await?);
    if !holds_all_acknowledged(context, group, count, successor).await {
        return None;
    }
    // The comparison takes time in which a newer decision may have been stored.
    round.wait_until_promotable().await
}

fn leader_name(server: Option<&Server>) -> String {
    server.map_or_else(
        || "none".to_owned(),
        |server| server.incarnation.to_string(),
    )
}
