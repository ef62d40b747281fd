//! One quota shard: batches the operations that wait for its authority.

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

/// Interval between votes of a node that needs no permits: two within the TTL of a vote.
const VOTE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between checks whether a vote is due.
const VOTE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Retries of a request whose authority has no majority yet. When all nodes start together, the
/// votes of a majority arrive within 150 ms, and waiting that long is better for a client than a
/// refusal.
const MINORITY_RETRIES: usize = 3;
/// Delay before each of the [`MINORITY_RETRIES`].
const MINORITY_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a response after which the authority of the zone is asked as well: two and a half
/// round trips to another region, and less than the fifth of a target for which a client waits.
const ZONE_DELAY: Duration = Duration::from_millis(100);

/// A part of the tenants, or the cold servers, with its own quota authority.
#[derive(Debug)]
pub struct QuotaShard {
    scope: Scope,
    authority_client: AuthorityClient,
    waiting: Mutex<WaitingOperations>,
    wanted: Notify,
}

impl QuotaShard {
    /// Creates a shard without waiting operations.
    pub fn new(index: u8) -> Self {
        let scope = Scope::Shard(index);
        QuotaShard {
            scope,
            authority_client: AuthorityClient::new(scope),
            waiting: Mutex::default(),
            wanted: Notify::new(),
        }
    }

    /// Queues one operation of a tenant for the next request to the authority.
    pub fn request(
        &self,
        tenant: &Arc<str>,
        quota: TenantQuota,
    ) -> oneshot::Receiver<Result<Permit, Refused>> {
        let receiver = self.waiting().add(tenant, quota);
        self.wanted.notify_one();
        receiver
    }

    /// Requests permits whenever operations wait, and votes in between. Never returns.
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

    /// Requests permits for all waiting operations and notifies each of the outcome. If the
    /// authority of all nodes does not respond in time or lacks a majority, asks that of the zone.
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

    /// Retries until the authority has a majority; `None` if it has none after the last retry.
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

/// Requests permits from the authority of the zone for the operations that still wait.
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
