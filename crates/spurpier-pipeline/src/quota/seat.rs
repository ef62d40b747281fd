//! One seat: the operations that wait for its authority.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::quota::Permit;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::asker::Asker;
use super::waiting::{Granted, Waiting, Wants};
use super::{Quotas, Refused, Scope, TenantQuota, UNREACHED_PAUSE};
use crate::context::Context;

/// How often a node votes that has nothing to ask: twice within the life of a vote.
const VOTE_INTERVAL: Duration = Duration::from_millis(300);
/// How often it looks whether that is due.
const VOTE_LOOK: Duration = Duration::from_millis(100);

/// How often a question is asked again whose authority has no majority yet, and after what pause:
/// when all nodes start together the votes of most come within 150 ms, and a client that waits so
/// long is better off than one that is refused.
const MINORITY_TRIES: usize = 3;
const MINORITY_WAIT: Duration = Duration::from_millis(50);
/// After so long without an answer the authority of the zone is asked as well: two and a half times
/// the way to another region and back, and less than the fifth of a target for which a client waits.
const ZONE_DELAY: Duration = Duration::from_millis(100);

/// One seat.
#[derive(Debug)]
pub struct Seat {
    scope: Scope,
    asker: Asker,
    waiting: Mutex<Waiting>,
    wanted: Notify,
}

impl Seat {
    /// A seat that nobody has asked for.
    pub fn new(index: u8) -> Self {
        let scope = Scope::Seat(index);
        Seat {
            scope,
            asker: Asker::new(scope),
            waiting: Mutex::default(),
            wanted: Notify::new(),
        }
    }

    /// Has the authority asked for one more operation of a tenant.
    pub fn ask(
        &self,
        tenant: &Arc<str>,
        quota: TenantQuota,
    ) -> oneshot::Receiver<Result<Permit, Refused>> {
        let receiver = self.waiting().add(tenant, quota);
        self.wanted.notify_one();
        receiver
    }

    /// Asks whenever operations wait, and votes in between; never returns.
    pub async fn run(self: Arc<Self>, context: Arc<Context>) {
        loop {
            let is_wanted = timeout(VOTE_LOOK, self.wanted.notified()).await.is_ok();
            if !is_wanted && !self.asker.is_vote_due(&context, VOTE_INTERVAL) {
                continue;
            }
            let waiting = std::mem::take(&mut *self.waiting());
            let (seat, context) = (Arc::clone(&self), Arc::clone(&context));
            tokio::spawn(async move { seat.ask_for(&context, waiting).await });
        }
    }

    /// Asks for all that wait, and tells each how it ended. Where the authority of all nodes does
    /// not answer in time or for most of them, that of the zone is asked.
    async fn ask_for(&self, context: &Context, mut waiting: Waiting) {
        let quotas = Quotas::of_scope(context, self.scope);
        let wants = waiting.wants();
        let mut asked = pin!(self.ask_until_majority(context, &wants));
        let granted = match timeout(ZONE_DELAY, &mut asked).await {
            Ok(granted) => granted,
            Err(_) => {
                ask_zone(context, quotas, &mut waiting).await;
                asked.await
            }
        };
        match granted {
            Some(granted) => waiting.take_granted(quotas, &wants, &granted, context.clock.now()),
            None => ask_zone(context, quotas, &mut waiting).await,
        }
        waiting.refuse(Refused::NoAuthority(UNREACHED_PAUSE));
    }

    /// Asks until the authority has a majority, but not for long; none if it has not.
    async fn ask_until_majority(&self, context: &Context, wants: &Wants) -> Option<Granted> {
        for _ in 0..=MINORITY_TRIES {
            let granted = self.asker.ask(context, wants).await?;
            if granted.answer.has_majority {
                return Some(granted);
            }
            sleep(MINORITY_WAIT).await;
        }
        None
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks the authority of the zone for those that still wait, and tells those that it lets start.
async fn ask_zone(context: &Context, quotas: &Quotas, waiting: &mut Waiting) {
    let Some(zone) = &quotas.zone else {
        return;
    };
    let wants = waiting.wants();
    if wants.is_empty() {
        return;
    }
    if let Some(granted) = zone.asker.ask(context, &wants).await {
        waiting.take_granted(quotas, &wants, &granted, context.clock.now());
    }
}
