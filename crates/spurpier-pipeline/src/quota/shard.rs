//! One seat: the operations that wait for its authority.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::quota::Permit;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::authority_client::AuthorityClient;
use super::waiting::{Granted, PermitDemands, WaitingOperations};
use super::{NO_AUTHORITY_RETRY_DELAY, Quotas, Refused, Scope, TenantQuota};
use crate::context::Context;

/// How often a node votes that has nothing to ask: twice within the life of a vote.
const VOTE_INTERVAL: Duration = Duration::from_millis(300);
/// How often it looks whether that is due.
const VOTE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a question is asked again whose authority has no majority yet, and after what pause:
/// when all nodes start together the votes of most come within 150 ms, and a client that waits so
/// long is better off than one that is refused.
const MINORITY_RETRIES: usize = 3;
const MINORITY_RETRY_DELAY: Duration = Duration::from_millis(50);
/// After so long without an answer the authority of the zone is asked as well: two and a half times
/// the way to another region and back, and less than the fifth of a target for which a client waits.
const ZONE_DELAY: Duration = Duration::from_millis(100);

/// One seat.
#[derive(Debug)]
pub struct QuotaShard {
    scope: Scope,
    authority_client: AuthorityClient,
    waiting: Mutex<WaitingOperations>,
    wanted: Notify,
}

impl QuotaShard {
    /// A seat that nobody has asked for.
    pub fn new(index: u8) -> Self {
        let scope = Scope::Shard(index);
        QuotaShard {
            scope,
            authority_client: AuthorityClient::new(scope),
            waiting: Mutex::default(),
            wanted: Notify::new(),
        }
    }

    /// Has the authority asked for one more operation of a tenant.
    pub fn request(
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
            let is_wanted = timeout(VOTE_CHECK_INTERVAL, self.wanted.notified())
                .await
                .is_ok();
            if !is_wanted && !self.authority_client.is_vote_due(&context, VOTE_INTERVAL) {
                continue;
            }
            let waiting = std::mem::take(&mut *self.waiting());
            let (shard, context) = (Arc::clone(&self), Arc::clone(&context));
            tokio::spawn(async move { shard.request_permits(&context, waiting).await });
        }
    }

    /// Asks for all that wait, and tells each how it ended. Where the authority of all nodes does
    /// not answer in time or for most of them, that of the zone is asked.
    async fn request_permits(&self, context: &Context, mut waiting: WaitingOperations) {
        let quotas = Quotas::for_scope(context, self.scope);
        let demands = waiting.demands();
        let mut asked = pin!(self.request_until_majority(context, &demands));
        let granted = match timeout(ZONE_DELAY, &mut asked).await {
            Ok(granted) => granted,
            Err(_) => {
                request_from_zone(context, quotas, &mut waiting).await;
                asked.await
            }
        };
        match granted {
            Some(granted) => waiting.record_grants(quotas, &demands, &granted, context.clock.now()),
            None => request_from_zone(context, quotas, &mut waiting).await,
        }
        waiting.refuse(Refused::NoAuthority(NO_AUTHORITY_RETRY_DELAY));
    }

    /// Asks until the authority has a majority, but not for long; none if it has not.
    async fn request_until_majority(
        &self,
        context: &Context,
        demands: &PermitDemands,
    ) -> Option<Granted> {
        for _ in 0..=MINORITY_RETRIES {
            let granted = self.authority_client.request(context, demands).await?;
            if granted.answer.has_majority {
                return Some(granted);
            }
            sleep(MINORITY_RETRY_DELAY).await;
        }
        None
    }

    fn waiting(&self) -> MutexGuard<'_, WaitingOperations> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks the authority of the zone for those that still wait, and tells those that it lets start.
async fn request_from_zone(context: &Context, quotas: &Quotas, waiting: &mut WaitingOperations) {
    let Some(zone) = &quotas.zone else {
        return;
    };
    let demands = waiting.demands();
    if demands.is_empty() {
        return;
    }
    if let Some(granted) = zone.authority_client.request(context, &demands).await {
        waiting.record_grants(quotas, &demands, &granted, context.clock.now());
    }
}
