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
use super::holder::{Decision, KnownDuty, read_duty, store_decision};
use super::peers::Peers;
use super::round::{Round, yield_to};
use super::successor::{Successor, find_successor, holds_all, order, resume};
use crate::context::Context;
use crate::events;
use crate::group::Group;
use crate::places::{Bar, MoveReason};
use crate::ports::{PromotionAnswer, StoreError};
use crate::server::Server;
use crate::unit::{NotRun, renew_proof};

/// How often the groups are looked at.
const TICK: Duration = Duration::from_millis(150);
/// How long the lead may take to prove itself to the watch.
const PROVING_LIMIT: Duration = Duration::from_millis(350);
/// For how long all proofs must have failed before others are asked.
const PATIENCE: Duration = Duration::from_millis(200);
/// The pause between two looks of a case.
const CASE_PAUSE: Duration = Duration::from_millis(120);
/// The pause after a decision that found no successor.
pub(super) const UNDECIDED_PAUSE: Duration = Duration::from_millis(400);
/// How long a new primary may take to lead after its order was taken.
const TAKE_OVER_LIMIT: Duration = Duration::from_millis(2_500);

/// Looks after all groups; never returns.
pub async fn watch_groups(
    context: Arc<Context>,
    peers: Arc<Peers>,
    mut wanted: mpsc::Receiver<String>,
) {
    let open = Arc::new(OpenCases::default());
    loop {
        // A group that another node wants seen to is looked at at once.
        if let Ok(Some(name)) = timeout(TICK, wanted.recv()).await {
            let group = context.group(&name);
            open.start(&context, &peers, group);
            continue;
        }
        for group in context.groups_in_use() {
            if is_in_doubt(&context, &group) {
                open.start(&context, &peers, group);
            }
        }
    }
}

/// Whether a group that this node looks after, and does not see to already, may need a new primary.
fn is_in_doubt(context: &Context, group: &Group) -> bool {
    if group.is_attended() {
        return false;
    }
    let Some(lead) = group.lead() else {
        return !group.servers().is_empty() && *context.directory_known.borrow();
    };
    let now = context.clock.now();
    if context.places.reason_to_move(group, &lead, now).is_some() {
        return true;
    }
    lead.health().silences > 0
}

/// The groups that are being seen to.
#[derive(Default)]
struct OpenCases(Mutex<HashSet<String>>);

impl OpenCases {
    fn start(self: &Arc<Self>, context: &Arc<Context>, peers: &Arc<Peers>, group: Arc<Group>) {
        let mut open = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !open.insert(group.name.clone()) {
            return;
        }
        group.set_attended(true);
        context.note_visited(&group);
        context.lease_wanted.notify_one();
        let case = Case {
            context: Arc::clone(context),
            peers: Arc::clone(peers),
            group,
            missing_since: None,
            holder: None,
            step_down: None,
            assessed_at: context.clock.now(),
        };
        let cases = Arc::clone(self);
        tokio::spawn(async move {
            let group = Arc::clone(&case.group);
            case.run().await;
            let mut open = cases.0.lock().unwrap_or_else(PoisonError::into_inner);
            open.remove(&group.name);
            group.set_attended(false);
        });
    }
}

/// What a group needs.
enum Need {
    /// Nothing.
    Nothing,
    /// More looks.
    Patience,
    /// A successor of a primary that serves and is to be replaced.
    HandOver(Arc<Server>, MoveReason),
    /// A successor of a primary that is lost.
    Replacement(Option<Arc<Server>>),
}

/// One group that may need a new primary.
pub(super) struct Case {
    pub(super) context: Arc<Context>,
    pub(super) peers: Arc<Peers>,
    pub(super) group: Arc<Group>,
    missing_since: Option<Timestamp>,
    /// The duty as it was read, and what is known of its holder since.
    holder: Option<(KnownDuty, HolderStatus)>,
    /// That a primary of an evacuated zone has stepped down.
    pub(super) step_down: Option<KnownStepDown>,
    /// When the look began that told what the group needs.
    assessed_at: Timestamp,
}

impl Case {
    async fn run(mut self) {
        loop {
            match self.assess().await {
                Need::Nothing => return,
                Need::Patience => {}
                Need::HandOver(former, reason) => {
                    self.see_to(Some(former), Some(reason)).await;
                }
                Need::Replacement(former) => self.see_to(former, None).await,
            }
            tokio::time::sleep(CASE_PAUSE).await;
        }
    }

    async fn assess(&mut self) -> Need {
        let clock = &self.context.clock;
        let started = clock.now();
        self.assessed_at = started;
        if !self.context.holds_lease(&self.group) {
            // That the lead cannot be used says nothing of it.
            self.missing_since = None;
            return Need::Patience;
        }
        let until = started + PROVING_LIMIT;
        let proven = renew_proof(&self.context, &self.group, started, until).await;
        let lead = self.group.lead();
        if proven.is_ok() {
            self.missing_since = None;
            self.step_down = None;
            return lead.map_or(Need::Nothing, |lead| self.need_of_serving(lead));
        }
        if self.group.servers().is_empty() {
            return Need::Nothing;
        }
        if let Err(NotRun::Barred(Bar::Evacuated)) = proven
            && let Some(barred) = self.candidate()
            && !is_lost(&barred)
        {
            // That nothing may be sent to it says nothing of it.
            self.missing_since = None;
            return Need::Patience;
        }
        if self.has_no_lead() {
            return Need::Replacement(None);
        }
        let is_load = matches!(
            proven,
            Err(NotRun::NoConnection | NotRun::Barred(Bar::Cold(_)))
        );
        if is_load && !lead.is_some_and(|lead| lead.health().is_silent()) {
            // All connections are at work, or a cold primary takes no more for now: that tells of
            // load, not of a lost primary.
            return Need::Patience;
        }
        let missing_since = *self.missing_since.get_or_insert(started);
        let missing_for = clock.now().since(missing_since);
        if missing_for < PATIENCE {
            return Need::Patience;
        }
        let claimant = self.claimant();
        let (sights, all_holders_reachable) = tokio::join!(
            self.peers.sights(&self.group),
            self.peers.reaches_all(&self.group)
        );
        let (peer_observations, peers_asked) = sights;
        let missing = MissingPrimary {
            missing_for,
            peer_observations,
            peers_asked,
            primary_listed: claimant.is_some(),
            all_holders_reachable,
        };
        if decide_failover(&missing, PATIENCE) == FailoverDecision::Keep {
            return Need::Patience;
        }
        log_event!(
            events::PRIMARY_SUSPECTED,
            group = self.group.name,
            server = lead_name(claimant.as_deref()),
            missing_ms = missing_for.as_millis(),
            peers = missing.peer_observations.len(),
            asked = missing.peers_asked
        );
        match claimant {
            Some(claimant) if self.still_leads_evacuated(&claimant).await => {
                Need::HandOver(claimant, MoveReason::Evacuated)
            }
            claimant => Need::Replacement(claimant),
        }
    }

    /// What the group of a primary that serves needs.
    fn need_of_serving(&self, lead: Arc<Server>) -> Need {
        let now = self.context.clock.now();
        let places = &self.context.places;
        match places.reason_to_move(&self.group, &lead, now) {
            Some(MoveReason::Evacuated) if !self.has_heir(&lead) => Need::Patience,
            Some(reason) => Need::HandOver(lead, reason),
            None => Need::Nothing,
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
    async fn see_to(&mut self, former: Option<Arc<Server>>, planned: Option<MoveReason>) {
        let Some(duty) = read_duty(&self.context).await else {
            return;
        };
        let duty = duty.holder;
        let now = self.context.clock.now();
        let record = match &self.holder {
            Some((known, record)) if *known == duty => *record,
            _ => HolderStatus::new(now),
        };
        self.holder = Some((duty.clone(), record));
        let own_name = self.context.settings.node.name.as_str();
        match next_promotion_step(duty.row.as_ref(), own_name, &record, now) {
            PromotionStep::Decide => match (former, planned) {
                (Some(former), Some(reason)) => self.hand_over(&duty, former, reason).await,
                (former, _) => self.replace(&duty, former).await,
            },
            PromotionStep::AskHolder => self.ask_holder(&duty).await,
        }
    }

    async fn ask_holder(&mut self, duty: &KnownDuty) {
        let Some(row) = &duty.row else {
            return;
        };
        let asked_at = self.context.clock.now();
        let group = self.group.name.as_str();
        let region = self.context.places.demand.wish(group, asked_at);
        let heard = self.peers.tell_holder(&row.holder, group, region).await;
        if let Some((_, record)) = &mut self.holder {
            record.record_request(asked_at, heard);
        }
    }

    /// Replaces a lost primary, once no node can use it any more.
    async fn replace(&mut self, duty: &KnownDuty, former: Option<Arc<Server>>) {
        let (context, group) = (Arc::clone(&self.context), Arc::clone(&self.group));
        // A successor that has started again may hold more than any other: it is a candidate.
        let former = former.filter(|former| !group.is_restarted_successor(&former.incarnation));
        let successor = find_successor(&context, &group, former.as_deref()).await;
        let Some(successor) = successor else {
            // Each look costs calls to the servers.
            tokio::time::sleep(UNDECIDED_PAUSE).await;
            return;
        };
        if self.is_led_again() || self.may_lack_commits(&successor.server).await {
            return;
        }
        let nobody_leads = self.has_decided_last(duty);
        let Some(decision) = self.decide(duty, &successor, None).await else {
            return;
        };
        self.note_decided_anew();
        let peers = Arc::clone(&self.peers);
        let mut round = Round::new(&context, &peers, &group, &decision);
        if nobody_leads {
            round.note_stepped_down();
        }
        let successor = successor.server;
        let holds_all = holds_all(&context, &group, former.as_deref(), &successor).await;
        if holds_all && let Some(ordering) = round.await_order().await {
            let answer = order(&context, &group, &successor, decision.token()).await;
            drop(ordering);
            resume(&context, &group, former.as_deref()).await;
            self.note_ordered(&answer, former.as_deref()).await;
        } else {
            resume(&context, &group, former.as_deref()).await;
            tokio::time::sleep(UNDECIDED_PAUSE).await;
        }
        round.clean_up().await;
    }

    /// Stores the decision that a server takes over; from then on this node uses no other. A primary
    /// that is deposed and lives on is named with it.
    ///
    /// Only a node that is registered for the group decides, and it stays registered while its case
    /// is open: a newer decision waits for it, and so for its order.
    pub(super) async fn decide(
        &mut self,
        duty: &KnownDuty,
        successor: &Successor,
        deposed: Option<&Server>,
    ) -> Option<Decision> {
        if !self.context.holds_lease(&self.group) {
            return None;
        }
        let decision = store_decision(&self.context, duty, &self.group, successor, deposed).await?;
        yield_to(
            &self.context,
            &self.group,
            &decision.succession,
            decision.version,
        );
        Some(decision)
    }

    pub(super) async fn note_ordered(
        &mut self,
        answer: &Result<PromotionAnswer, StoreError>,
        former: Option<&Server>,
    ) {
        // An order without an answer may be carried out all the same.
        if !matches!(answer, Ok(PromotionAnswer::Refused)) {
            self.await_take_over(former).await;
        }
    }

    /// Whether a lead was proved since the look that found none.
    fn is_led_again(&self) -> bool {
        let proven_at = self.group.proven_at();
        proven_at.is_some_and(|proven| proven >= self.assessed_at)
    }

    /// Waits until another server than the former primary has proved the lead.
    async fn await_take_over(&mut self, former: Option<&Server>) {
        let former = former.map(|server| server.incarnation.clone());
        let waiting = async {
            loop {
                let since = self.context.clock.now();
                let until = since + PROVING_LIMIT;
                let proven = renew_proof(&self.context, &self.group, since, until).await;
                let lead = self.group.lead().map(|lead| lead.incarnation.clone());
                if proven.is_ok() && lead != former {
                    return;
                }
                tokio::time::sleep(CASE_PAUSE / 2).await;
            }
        };
        // If the time passes, the case looks at the group anew.
        let _ = timeout(TAKE_OVER_LIMIT, waiting).await;
    }
}

fn lead_name(server: Option<&Server>) -> String {
    server.map_or_else(
        || "none".to_owned(),
        |server| server.incarnation.to_string(),
    )
}
