//! The operations that wait for leaves.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::quota::{Grant, Permit, PermitDemand};
use spurpier_core::time::Timestamp;
use tokio::sync::oneshot;

use super::{PermitResponse, Quotas, Refused, Scope, TenantQuota};

/// What is asked for each tenant.
pub type PermitDemands = Vec<(Arc<str>, PermitDemand)>;

/// Who waits for leaves of one tenant.
#[derive(Debug)]
struct TenantWaiters {
    quota: TenantQuota,
    senders: Vec<oneshot::Sender<Result<Permit, Refused>>>,
    /// What those are told that get no leave.
    refused: Option<Refused>,
}

/// Whom to tell, by tenant.
#[derive(Debug, Default)]
pub struct WaitingOperations {
    tenants: HashMap<Arc<str>, TenantWaiters>,
}

/// What an authority has granted.
#[derive(Debug)]
pub struct Granted {
    /// For whom it counts.
    pub scope: Scope,
    /// Its answer.
    pub answer: PermitResponse,
    /// When it was asked.
    pub asked_at: Timestamp,
}

impl WaitingOperations {
    /// Adds one operation of a tenant.
    pub fn add(
        &mut self,
        tenant: &Arc<str>,
        quota: TenantQuota,
    ) -> oneshot::Receiver<Result<Permit, Refused>> {
        let (sender, receiver) = oneshot::channel();
        let tenant = Arc::clone(tenant);
        let waiters = self.tenants.entry(tenant).or_insert_with(|| TenantWaiters {
            quota,
            senders: Vec::new(),
            refused: None,
        });
        waiters.quota = quota;
        waiters.senders.push(sender);
        receiver
    }

    /// What to ask for those whose clients still wait.
    pub fn demands(&mut self) -> PermitDemands {
        self.tenants.retain(|_, waiters| {
            waiters.senders.retain(|sender| !sender.is_closed());
            !waiters.senders.is_empty()
        });
        let tenants = self.tenants.iter();
        let demands = tenants.map(|(tenant, waiters)| {
            let demand = PermitDemand {
                waiting: u32::try_from(waiters.senders.len()).unwrap_or(u32::MAX),
                rate: waiters.quota.rate(),
                version: waiters.quota.version,
            };
            (Arc::clone(tenant), demand)
        });
        demands.collect()
    }

    /// Tells those of each tenant that were granted a leave, and keeps the others. A leave for
    /// which nobody waits any more is kept for the tenant's next operation.
    pub fn record_grants(
        &mut self,
        quotas: &Quotas,
        demands: &PermitDemands,
        granted: &Granted,
        now: Timestamp,
    ) {
        for ((tenant, demand), grant) in demands.iter().zip(granted.answer.grants()) {
            let (recorded, refused) = match granted.scope {
                Scope::Shard(_) => (grant, Refused::OverQuota(grant.retry_after)),
                // A zone's part that is used up tells nothing of the tenant's limit, for which the
                // authority of all is asked again with the next operation.
                Scope::Zone => (
                    without_delay(grant),
                    Refused::NoAuthority(grant.retry_after),
                ),
            };
            let mut permit_cache = quotas.permit_cache();
            let permits =
                permit_cache.record_grant(tenant, recorded, demand.waiting, granted.asked_at, now);
            for permit in self.distribute(tenant, permits, refused) {
                permit_cache.return_unused(tenant, permit, now);
            }
        }
    }

    /// Gives those that wait for a tenant their leaves; returns the leaves that nobody takes.
    fn distribute(&mut self, tenant: &str, permits: Vec<Permit>, refused: Refused) -> Vec<Permit> {
        let Some(waiters) = self.tenants.get_mut(tenant) else {
            return permits;
        };
        waiters.refused = Some(refused);
        let mut left = permits.into_iter();
        let mut unclaimed = Vec::new();
        let count = left.len().min(waiters.senders.len());
        for (sender, permit) in waiters.senders.drain(..count).zip(left.by_ref()) {
            if sender.send(Ok(permit)).is_err() {
                unclaimed.push(permit);
            }
        }
        unclaimed.extend(left);
        unclaimed
    }

    /// Tells all that still wait why they may not start: what the last authority said, or else this.
    pub fn refuse(self, default_reason: Refused) {
        for waiters in self.tenants.into_values() {
            let refused = waiters.refused.unwrap_or(default_reason);
            for sender in waiters.senders {
                // A client that is gone needs no answer.
                let _ = sender.send(Err(refused));
            }
        }
    }
}

fn without_delay(grant: Grant) -> Grant {
    Grant {
        retry_after: Duration::ZERO,
        ..grant
    }
}
