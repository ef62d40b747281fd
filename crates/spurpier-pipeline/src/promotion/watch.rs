//! Looking after the groups' primaries.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::leader::{
    FailoverDecision, HolderStatus, MissingPrimary, PromotionStep, decide_failover,
    next_promotion_step,
};
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::evacuation::{KnownStepDown, is_lost};
use super::lease::{Decision, KnownPromotionLease, read_promotion_lease, store_decision};
use super::peers::Peers;
use super::round::{ReleaseRound, accept_succession};
use super::successor::{Successor, find_successor, holds_all_acknowledged, promote, resume};
use crate::context::Context;
use crate::events;
use crate::group::Group;
use crate::places::{Bar, MoveReason};
use crate::ports::{PromotionAnswer, StoreError};
use crate::server::Server;
use crate::unit::{NotRun, renew_proof};

/// How often the groups are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(150);
/// How long the lead may take to prove itself to the watch.
const PROOF_TIMEOUT: Duration = Duration::from_millis(350);
/// For how long all proofs must have failed before others are asked.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(200);
/// The pause between two looks of a case.
const TASK_INTERVAL: Duration = Duration::from_millis(120);
/// The pause after a decision that found no successor.
pub(super) const UNDECIDED_DELAY: Duration = Duration::from_millis(400);
/// How long a new primary may take to lead after its order was taken.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Looks after all groups; never returns.
pub async fn watch_groups(
    context: Arc<Context>,
    peers: Arc<Peers>,
    mut requested_groups: mpsc::Receiver<String>,
) {
    let tasks = Arc::new(ActiveTasks::default());
    loop {
        // A group that another node wants seen to is looked at at once.
        if let Ok(Some(name)) = timeout(WATCH_INTERVAL, requested_groups.recv()).await {
            let group = context.group(&name);
            tasks.start(&context, &peers, group);
            continue;
        }
        for group in context.groups_in_use() {
            if is_in_doubt(&context, &group) {
                tasks.start(&context, &peers, group);
            }
        }
    }
}

/// Whether a group that this node looks after, and does not see to already, may need a new primary.
fn is_in_doubt(context: &Context, group: &Group) -> bool {
    if group.is_attended() {
        return false;
    }
    let Some(leader) = group.lead() else {
        return !group.servers().is_empty() && *context.directory_known.borrow();
    };
    let now = context.clock.now();
    if context.places.reason_to_move(group, &leader, now).is_some() {
        return true;
    }
    leader.health().silences > 0
}

/// The groups that are being seen to.
#[derive(Default)]
struct ActiveTasks(Mutex<HashSet<String>>);

impl ActiveTasks {
    fn start(self: &Arc<Self>, context: &Arc<Context>, peers: &Arc<Peers>, group: Arc<Group>) {
        let mut open = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !open.insert(group.name.clone()) {
            return;
        }
        group.set_attended(true);
        context.note_visited(&group);
        context.lease_wanted.notify_one();
        let task = PromotionTask {
            context: Arc::clone(context),
            peers: Arc::clone(peers),
            group,
            missing_since: None,
            known_lease: None,
            step_down: None,
            assessed_at: context.clock.now(),
        };
        let tasks = Arc::clone(self);
        tokio::spawn(async move {
            let group = Arc::clone(&task.group);
            task.run().await;
            let mut open = tasks.0.lock().unwrap_or_else(PoisonError::into_inner);
            open.remove(&group.name);
            group.set_attended(false);
        });
    }
}

/// What a group needs.
enum RequiredAction {
    /// Nothing.
    Nothing,
    /// More looks.
    Wait,
    /// A successor of a primary that serves and is to be replaced.
    HandOver(Arc<Server>, MoveReason),
    /// A successor of a primary that is lost.
    Replace(Option<Arc<Server>>),
}

/// One group that may need a new primary.
pub(super) struct PromotionTask {
    pub(super) context: Arc<Context>,
    pub(super) peers: Arc<Peers>,
    pub(super) group: Arc<Group>,
    missing_since: Option<Timestamp>,
    /// The duty as it was read, and what is known of its holder since.
    known_lease: Option<(KnownPromotionLease, HolderStatus)>,
    /// That a primary of an evacuated zone has stepped down.
    pub(super) step_down: Option<KnownStepDown>,
    /// When the look began that told what the group needs.
    assessed_at: Timestamp,
}

impl PromotionTask {
    async fn run(mut self) {
        loop {
            match self.assess().await {
                RequiredAction::Nothing => return,
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
        if !self.context.holds_lease(&self.group) {
            // That the lead cannot be used says nothing of it.
            self.missing_since = None;
            return RequiredAction::Wait;
        }
        let until = started_at + PROOF_TIMEOUT;
        let proven = renew_proof(&self.context, &self.group, started_at, until).await;
        let leader = self.group.lead();
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
        if let Err(NotRun::Barred(Bar::Evacuated)) = proven
            && let Some(barred) = self.candidate()
            && !is_lost(&barred)
        {
            // That nothing may be sent to it says nothing of it.
            self.missing_since = None;
            return RequiredAction::Wait;
        }
        if self.has_no_leader() {
            return RequiredAction::Replace(None);
        }
        let is_load = matches!(
            proven,
            Err(NotRun::NoConnection | NotRun::Barred(Bar::Cold(_)))
        );
        if is_load && !leader.is_some_and(|leader| leader.health().is_silent()) {
            // All connections are at work, or a cold primary takes no more for now: that tells of
            // load, not of a lost primary.
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

    /// What the group of a primary that serves needs.
    fn action_for_serving_primary(&self, leader: Arc<Server>) -> RequiredAction {
        let now = self.context.clock.now();
        let places = &self.context.places;
        match places.reason_to_move(&self.group, &leader, now) {
            Some(MoveReason::Evacuated) if !self.has_eligible_successor(&leader) => {
                RequiredAction::Wait
            }
            Some(reason) => RequiredAction::HandOver(leader, reason),
            None => RequiredAction::Nothing,
        }
    }

    /// The server that leads, or that says so, as far as is known.
    fn claimant(&self) -> Option<Arc<Server>> {
        self.group.lead().or_else(|| {
            let servers = self.group.servers().into_iter();
            let claiming = servers.filter(|server| server.claims_lead() && !server.is_gone());
            claiming.max_by_key(|server| server.listing().version)
        })
    }

    /// Decides if this node holds the duty or must take it over; otherwise tells its holder.
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
        let region = self.context.places.demand.wish(group, asked_at);
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
        // A successor that has started again may hold more than any other: it is a candidate.
        let former = former.filter(|former| !group.is_restarted_successor(&former.incarnation));
        let successor = find_successor(&context, &group, former.as_deref()).await;
        let Some(successor) = successor else {
            // Each look costs calls to the servers.
            tokio::time::sleep(UNDECIDED_DELAY).await;
            return;
        };
        if self.has_leader_again() || self.may_lack_commits(&successor.server).await {
            return;
        }
        let nobody_leads = self.made_last_decision(lease);
        let Some(decision) = self.decide(lease, &successor, None).await else {
            return;
        };
        self.record_new_decision();
        let peers = Arc::clone(&self.peers);
        let mut round = ReleaseRound::new(&context, &peers, &group, &decision);
        if nobody_leads {
            round.record_step_down();
        }
        let successor = successor.server;
        let holds_all_acknowledged =
            holds_all_acknowledged(&context, &group, former.as_deref(), &successor).await;
        if holds_all_acknowledged && let Some(promotion) = round.wait_until_promotable().await {
            let answer = promote(&context, &group, &successor, decision.token()).await;
            drop(promotion);
            resume(&context, &group, former.as_deref()).await;
            self.handle_promotion_answer(&answer, former.as_deref())
                .await;
        } else {
            resume(&context, &group, former.as_deref()).await;
            tokio::time::sleep(UNDECIDED_DELAY).await;
        }
        round.remove_stored_releases().await;
    }

    /// Stores the decision that a server takes over; from then on this node uses no other. A primary
    /// that is deposed and lives on is named with it.
    ///
    /// Only a node that is registered for the group decides, and it stays registered while its case
    /// is open: a newer decision waits for it, and so for its order.
    pub(super) async fn decide(
        &mut self,
        lease: &KnownPromotionLease,
        successor: &Successor,
        deposed: Option<&Server>,
    ) -> Option<Decision> {
        if !self.context.holds_lease(&self.group) {
            return None;
        }
        let decision =
            store_decision(&self.context, lease, &self.group, successor, deposed).await?;
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
        // An order without an answer may be carried out all the same.
        if !matches!(answer, Ok(PromotionAnswer::Refused)) {
            self.await_takeover(former).await;
        }
    }

    /// Whether a lead was proved since the look that found none.
    fn has_leader_again(&self) -> bool {
        let proven_at = self.group.proven_at();
        proven_at.is_some_and(|proven| proven >= self.assessed_at)
    }

    /// Waits until another server than the former primary has proved the lead.
    async fn await_takeover(&mut self, former: Option<&Server>) {
        let former = former.map(|server| server.incarnation.clone());
        let waiting = async {
            loop {
                let since = self.context.clock.now();
                let until = since + PROOF_TIMEOUT;
                let proven = renew_proof(&self.context, &self.group, since, until).await;
                let leader = self.group.lead().map(|leader| leader.incarnation.clone());
                if proven.is_ok() && leader != former {
                    return;
                }
                tokio::time::sleep(TASK_INTERVAL / 2).await;
            }
        };
        // If the time passes, the case looks at the group anew.
        let _ = timeout(TAKEOVER_TIMEOUT, waiting).await;
    }
}

fn leader_name(server: Option<&Server>) -> String {
    server.map_or_else(
        || "none".to_owned(),
        |server| server.incarnation.to_string(),
    )
}
