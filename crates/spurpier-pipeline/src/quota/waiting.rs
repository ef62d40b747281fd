//! Operations that wait for permits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::quota::{Grant, Permit, PermitDemand};
use spurpier_core::time::Timestamp;
use tokio::sync::oneshot;

use super::{PermitResponse, Quotas, Refused, Scope, TenantQuota};

/// The permit demand of each tenant.
pub type PermitDemands = Vec<(Arc<str>, PermitDemand)>;

/// The operations of one tenant that wait for permits.
#[derive(Debug)]
struct TenantWaiters {
    quota: TenantQuota,
    senders: Vec<oneshot::Sender<Result<Permit, Refused>>>,
    /// The reason returned to operations that get no permit.
    refused: Option<Refused>,
}

/// Waiting operations by tenant.
#[derive(Debug, Default)]
pub struct WaitingOperations {
    tenants: HashMap<Arc<str>, TenantWaiters>,
}

/// An authority's response to a permit request.
#[derive(Debug)]
pub struct Granted {
    /// The scope that the authority counts for.
    pub scope: Scope,
    /// The response.
    pub answer: PermitResponse,
    /// When the request was sent.
    pub asked_at: Timestamp,
}

impl WaitingOperations {
    /// Adds one operation of a tenant. The receiver gets its permit or the reason for a refusal.
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

    /// Drops operations whose clients have gone, and returns the demand of the others.
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

    /// Hands granted permits to each tenant's waiting operations, and keeps the others waiting. A
    /// permit without a waiting operation is cached for the tenant's next one.
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
                // An exhausted zone allowance does not mean that the tenant is at its limit, so the
                // next operation asks the authority of all nodes again.
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

    /// Hands permits to a tenant's waiting operations; returns the permits that are left over.
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

    /// Refuses all operations that still wait, for the last authority's reason or else the default.
    pub fn refuse(self, default_reason: Refused) {
        for waiters in self.tenants.into_values() {
            let refused = waiters.refused.unwrap_or(default_reason);
            for sender in waiters.senders {
                // A closed receiver means that the client has gone.
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
