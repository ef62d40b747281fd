//! One seat: the operations that wait for its authority, and asking that one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::quota::{AuthorityChoice, Grant, LEAVE_LIFE, Leave, Want};
use spurpier_core::time::Timestamp;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use super::{LeaveAnswer, LeaveQuestion, Quotas, Refused, TenantQuota, UNREACHED_PAUSE};
use crate::context::Context;
use crate::forward::{Call, Outcome, Reply};
use crate::homes::PeerNode;

/// How often a node votes that has nothing to ask: twice within the life of a vote.
const VOTE_INTERVAL: Duration = Duration::from_millis(300);
/// How often it looks whether that is due.
const VOTE_LOOK: Duration = Duration::from_millis(100);

/// How often a question is asked again whose authority has no majority yet, and after what pause:
/// when all nodes start together the votes of most come within 150 ms, and a client that waits so
/// long is better off than one that is refused.
const MINORITY_TRIES: usize = 3;
const MINORITY_WAIT: Duration = Duration::from_millis(50);

/// Who waits for leaves of one tenant.
#[derive(Debug)]
struct Waiters {
    quota: TenantQuota,
    senders: Vec<oneshot::Sender<Result<Leave, Refused>>>,
}

/// Whom to tell, by tenant.
type Waiting = HashMap<Arc<str>, Waiters>;

/// One seat.
#[derive(Debug)]
pub struct Seat {
    index: u8,
    choice: Mutex<AuthorityChoice>,
    waiting: Mutex<Waiting>,
    wanted: Notify,
}

/// How a question ended.
enum Asked {
    Answered(LeaveAnswer),
    /// The authority is about to end and gives nothing more.
    Left,
    /// No answer came.
    Lost,
}

impl Seat {
    /// A seat that nobody has asked for.
    pub fn new(index: u8) -> Self {
        Seat {
            index,
            choice: Mutex::default(),
            waiting: Mutex::default(),
            wanted: Notify::new(),
        }
    }

    /// Has the authority asked for one more operation of a tenant.
    pub fn ask(
        &self,
        tenant: &Arc<str>,
        quota: TenantQuota,
    ) -> oneshot::Receiver<Result<Leave, Refused>> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting();
        let waiters = waiting
            .entry(Arc::clone(tenant))
            .or_insert_with(|| Waiters {
                quota,
                senders: Vec::new(),
            });
        waiters.quota = quota;
        waiters.senders.push(sender);
        self.wanted.notify_one();
        receiver
    }

    /// Asks whenever operations wait, and votes in between; never returns.
    pub async fn run(self: Arc<Self>, context: Arc<Context>) {
        loop {
            let is_wanted = timeout(VOTE_LOOK, self.wanted.notified()).await.is_ok();
            if !is_wanted && !self.is_vote_due(&context) {
                continue;
            }
            let waiting = std::mem::take(&mut *self.waiting());
            let (seat, context) = (Arc::clone(&self), Arc::clone(&context));
            tokio::spawn(async move { seat.ask_for(&context, waiting).await });
        }
    }

    /// Whether there are tenants to count and the authority was not asked a short time ago.
    fn is_vote_due(&self, context: &Context) -> bool {
        let asked_for = self.choice().asked_for(context.clock.now());
        Quotas::is_used(context, self.index) && asked_for.is_none_or(|time| time >= VOTE_INTERVAL)
    }

    /// Asks for all that wait, and tells each how it ended.
    async fn ask_for(&self, context: &Context, waiting: Waiting) {
        let limit = context.clock.instant(context.clock.now() + LEAVE_LIFE);
        context.homes.await_list(limit).await;
        let ranked = context.homes.authorities(self.index);
        let mut tries = 0;
        // An authority that is about to end says so, and the next one is asked at once.
        for _ in 0..ranked.len() + MINORITY_TRIES {
            let Some(authority) = self.choose(context, &ranked) else {
                break;
            };
            let asked_at = context.clock.now();
            let has_voted = self.choice().sent_after(asked_at).is_some();
            match self.ask_one(context, &authority, &waiting).await {
                Asked::Answered(answer) => {
                    self.note_answer(context, &authority, &answer);
                    if !answer.has_majority && !has_voted {
                        // The next question is a vote, and may be the one that is missing.
                        continue;
                    }
                    if !answer.has_majority && tries < MINORITY_TRIES {
                        tries += 1;
                        tokio::time::sleep(MINORITY_WAIT).await;
                        continue;
                    }
                    let quotas = Quotas::of_seat(context, self.index);
                    let now = context.clock.now();
                    return tell_granted(quotas, waiting, &answer, asked_at, now);
                }
                Asked::Left => self.choice().note_left(&authority.name),
                Asked::Lost => break,
            }
        }
        tell_refused(waiting, Refused::NoAuthority(UNREACHED_PAUSE));
    }

    fn note_answer(&self, context: &Context, authority: &PeerNode, answer: &LeaveAnswer) {
        let now = context.clock.now();
        let mut choice = self.choice();
        choice.note_answer(&authority.name, answer.has_majority, answer.stamp(), now);
    }

    fn choose(&self, context: &Context, ranked: &[PeerNode]) -> Option<PeerNode> {
        let own = &context.settings.node.name;
        let is_draining = context.draining.is_cancelled();
        let is_reachable = |node: &&PeerNode| {
            if node.name == *own {
                !is_draining
            } else {
                context.links.is_usable(node.address)
            }
        };
        let reachable: Vec<&PeerNode> = ranked.iter().filter(is_reachable).collect();
        let names: Vec<&str> = reachable.iter().map(|node| node.name.as_str()).collect();
        let now = context.clock.now();
        let mut choice = self.choice();
        let chosen = choice.choose(&names, now)?.to_owned();
        choice.note_asked(now);
        let chosen = reachable.into_iter().find(|node| node.name == chosen);
        chosen.cloned()
    }

    async fn ask_one(&self, context: &Context, authority: &PeerNode, waiting: &Waiting) -> Asked {
        let own = &context.settings.node.name;
        let wants = waiting.iter().map(|(tenant, waiters)| {
            let want = Want {
                waiting: u32::try_from(waiters.senders.len()).unwrap_or(u32::MAX),
                rate: waiters.quota.rate(),
                version: waiters.quota.version,
            };
            (&**tenant, want)
        });
        let sent_after = self.choice().sent_after(context.clock.now());
        let question = LeaveQuestion::new(self.index, own, sent_after, wants);
        context.metrics.count_leave_question();
        if authority.name == *own {
            return match super::answer_question(context, question) {
                Some(answer) => Asked::Answered(answer),
                None => Asked::Left,
            };
        }
        let until = context.clock.now() + LEAVE_LIFE;
        let links = &context.links;
        let Some(link) = links.link(authority.address, &context.clock, until).await else {
            return Asked::Lost;
        };
        let end = context.clock.instant(until);
        match link.call_until(Call::Leaves(question), end, true).await {
            Outcome::Replied(Reply::Leaves(answer)) => Asked::Answered(answer),
            Outcome::Replied(Reply::NotTaken) => Asked::Left,
            Outcome::Replied(_) | Outcome::NotSent | Outcome::Lost => Asked::Lost,
        }
    }

    fn choice(&self) -> MutexGuard<'_, AuthorityChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn tell_granted(
    quotas: &Quotas,
    waiting: Waiting,
    answer: &LeaveAnswer,
    asked_at: Timestamp,
    now: Timestamp,
) {
    for ((tenant, waiters), grant) in waiting.into_iter().zip(answer.grants()) {
        tell_tenant(quotas, &tenant, waiters, grant, asked_at, now);
    }
}

fn tell_tenant(
    quotas: &Quotas,
    tenant: &str,
    waiters: Waiters,
    grant: Grant,
    asked_at: Timestamp,
    now: Timestamp,
) {
    let count = u32::try_from(waiters.senders.len()).unwrap_or(u32::MAX);
    let mut ledger = quotas.ledger();
    let leaves = ledger.note_grant(tenant, grant, count, asked_at, now);
    let mut leaves = leaves.into_iter();
    for sender in waiters.senders {
        let Some(leave) = leaves.next() else {
            // A client that is gone needs no answer.
            let _ = sender.send(Err(Refused::OverQuota(grant.pause)));
            continue;
        };
        if sender.send(Ok(leave)).is_err() {
            ledger.put_back(tenant, leave, now);
        }
    }
}

fn tell_refused(waiting: Waiting, refused: Refused) {
    let senders = waiting.into_values().flat_map(|waiters| waiters.senders);
    for sender in senders {
        // A client that is gone needs no answer.
        let _ = sender.send(Err(refused));
    }
}
