//! Permits to start operations of tenants whose rate is limited.
//!
//! [`spurpier_core::quota`] makes the decisions. Tenants are divided into a few quota shards. For
//! each shard every node ranks the same nodes, and asks the first reachable one. If none of them
//! responds with the votes of a majority, the authority of the node's own zone is asked.

mod authority_client;
mod messages;
mod shard;
mod waiting;

use std::collections::HashMap;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use rand::RngExt;
use spurpier_core::homes::subject_digest;
use spurpier_core::locality::ColdBound;
use spurpier_core::quota::{
    AcquireOutcome, Authority, Grant, Permit, PermitCache, PermitDemand, QuotaBound, QuotaRate,
    ZoneAuthority, ZonePosition,
};
use spurpier_core::time::Timestamp;
use tokio::sync::oneshot;

use self::authority_client::AuthorityClient;
pub use self::messages::{PermitRequest, PermitResponse};
use self::shard::QuotaShard;
use crate::clock::Clock;
use crate::context::Context;
use crate::ports::Quota;
use crate::settings::PipelineSettings;

/// Number of quota shards for tenants, and so of nodes that count operations. Each request goes to
/// one of them: with 59 nodes and 1,200 operations per second, each of the four authorities answers
/// 300 requests per second.
const TENANT_SHARDS: u8 = 4;
/// Number of quota shards for cold servers, numbered after those of tenants. One is enough, because
/// few servers are cold at a time, and only for seconds.
const COLD_SERVER_SHARDS: u8 = 1;
/// Retry delay returned to a client when no authority can be reached.
const NO_AUTHORITY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The operations that an authority counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, SerBin, DeBin)]
pub enum Scope {
    /// Those of all nodes, for the tenants of a quota shard.
    Shard(u8),
    /// Those of the nodes of its zone, for all tenants.
    Zone,
}

/// Why an operation may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The tenant is at its limit; the time until a retry may succeed.
    OverQuota(Duration),
    /// No authority has responded; the time after which one may.
    NoAuthority(Duration),
}

/// A tenant's rate limit in a configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantQuota {
    /// The rate limit.
    pub quota: Quota,
    /// The version of the configuration.
    pub version: u64,
}

impl TenantQuota {
    fn rate(&self) -> QuotaRate {
        QuotaRate {
            per_second: self.quota.per_second,
            burst: self.quota.burst,
        }
    }
}

/// This node's permits, and what it counts as an authority: the operations of tenants, or the
/// messages to cold servers, which are then counted as if each server were a tenant.
#[derive(Debug)]
pub struct Quotas {
    permit_cache: Mutex<PermitCache>,
    shards: Vec<Arc<QuotaShard>>,
    authorities: Mutex<HashMap<u8, Authority>>,
    /// The zone's own allowance, used while no authority has a majority of the nodes.
    zone: Option<ZoneQuota>,
    bound: QuotaBound,
    /// Distinguishes this process from earlier incarnations of the node.
    incarnation: u64,
}

/// The authority of the own zone, and this node's client for it.
#[derive(Debug)]
struct ZoneQuota {
    authority_client: Arc<AuthorityClient>,
    authority: Mutex<ZoneAuthority>,
}

impl Quotas {
    /// Creates the quotas of tenants, without permits and with nothing counted.
    pub fn new(settings: &PipelineSettings) -> Self {
        let bounds = &settings.bounds;
        let bound = QuotaBound {
            window: Duration::from_secs_f64(bounds.quota_window_s),
            overage: bounds.quota_overage,
            slack: bounds.quota_slack,
        };
        let mut quotas = Self::with_shards(0..TENANT_SHARDS, bound);
        let zones = settings.zones.keys().map(String::as_str);
        let place = ZonePosition::of(&settings.node.zone, zones);
        quotas.zone = place.map(|place| ZoneQuota {
            authority_client: Arc::new(AuthorityClient::new(Scope::Zone)),
            authority: Mutex::new(ZoneAuthority::new(bound, place, quotas.incarnation)),
        });
        quotas
    }

    /// Creates the quotas of messages to cold servers. They have no zone authority, because their
    /// limit has no slack that zones could divide.
    pub fn for_cold_servers() -> Self {
        Self::with_shards(
            TENANT_SHARDS..TENANT_SHARDS + COLD_SERVER_SHARDS,
            ColdBound::AUTHORITY_BOUND,
        )
    }

    fn with_shards(shards: Range<u8>, bound: QuotaBound) -> Self {
        Quotas {
            permit_cache: Mutex::default(),
            shards: shards
                .map(|index| Arc::new(QuotaShard::new(index)))
                .collect(),
            authorities: Mutex::default(),
            zone: None,
            bound,
            incarnation: rand::rng().random(),
        }
    }

    /// The quotas that a scope belongs to.
    fn for_scope(context: &Context, scope: Scope) -> &Self {
        match scope {
            Scope::Shard(shard) if shard >= TENANT_SHARDS => &context.cold.permits,
            Scope::Shard(_) | Scope::Zone => &context.quotas,
        }
    }

    /// Whether a scope has anything to count.
    fn is_used(context: &Context, scope: Scope) -> bool {
        match scope {
            Scope::Shard(shard) if shard >= TENANT_SHARDS => {
                context.cold.are_counted(context.clock.now())
            }
            Scope::Shard(_) | Scope::Zone => {
                context.in_force().is_some_and(|known| known.has_quotas())
            }
        }
    }

    /// The time for which no permit is known to be available; `None` if one may be.
    pub fn limited_for(&self, subject: &str, now: Timestamp) -> Option<Duration> {
        self.permit_cache().limited_for(subject, now)
    }

    /// Acquires a permit for an operation on a tenant or cold server, waiting at most until
    /// `until`.
    ///
    /// # Errors
    ///
    /// [`Refused`], without waiting if the refusal is already known.
    pub async fn acquire(
        &self,
        clock: &Clock,
        subject: &Arc<str>,
        quota: TenantQuota,
        until: Timestamp,
    ) -> Result<Permit, Refused> {
        let taken = self.permit_cache().acquire(subject, clock.now());
        match taken {
            AcquireOutcome::Permit(permit) => Ok(permit),
            AcquireOutcome::Limited(delay) => Err(Refused::OverQuota(delay)),
            AcquireOutcome::AskAuthority => {
                let asked = self.shard(subject).request(subject, quota);
                await_permit(clock, asked, until).await
            }
        }
    }

    fn permit_cache(&self) -> MutexGuard<'_, PermitCache> {
        self.permit_cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn shard(&self, tenant: &str) -> &Arc<QuotaShard> {
        let digest = subject_digest(tenant);
        &self.shards[(digest % self.shards.len() as u64) as usize]
    }

    /// Answers a node's request, given the number of nodes that may vote; `None` if this node does
    /// not count for the scope.
    fn answer(
        &self,
        request: PermitRequest,
        nodes: usize,
        now: Timestamp,
    ) -> Option<PermitResponse> {
        match request.scope {
            Scope::Shard(shard) => Some(self.answer_for_shard(shard, request, nodes, now)),
            Scope::Zone => self.answer_for_zone(request, nodes, now),
        }
    }

    fn answer_for_shard(
        &self,
        shard: u8,
        request: PermitRequest,
        nodes: usize,
        now: Timestamp,
    ) -> PermitResponse {
        let authorities = self.authorities.lock();
        let mut authorities = authorities.unwrap_or_else(PoisonError::into_inner);
        let authority = authorities
            .entry(shard)
            .or_insert_with(|| Authority::new(self.bound, self.incarnation));
        authority.record_vote(&request.voter.0, request.sent_after(), nodes, now);
        let mut grant = |tenant: &str, demand: PermitDemand| {
            let jitter = rand::rng().random();
            authority.grant(tenant, demand, jitter, now)
        };
        let demands = request.into_demands();
        let grants: Vec<Grant> = demands
            .map(|(tenant, demand)| grant(&tenant, demand))
            .collect();
        PermitResponse::new(authority.has_majority(), authority.timestamp(now), &grants)
    }

    fn answer_for_zone(
        &self,
        request: PermitRequest,
        nodes: usize,
        now: Timestamp,
    ) -> Option<PermitResponse> {
        let authority = self.zone.as_ref()?.authority.lock();
        let mut authority = authority.unwrap_or_else(PoisonError::into_inner);
        authority.record_vote(&request.voter.0, request.sent_after(), nodes, now);
        let mut grant = |tenant: &str, demand: PermitDemand| {
            let jitter = rand::rng().random();
            authority.grant(tenant, demand.waiting, jitter, now)
        };
        let demands = request.into_demands();
        let grants: Vec<Grant> = demands
            .map(|(tenant, demand)| grant(&tenant, demand))
            .collect();
        let answer =
            PermitResponse::new(authority.has_majority(), authority.timestamp(now), &grants);
        Some(answer)
    }
}

/// The permit of a tenant's operation, to be returned if the operation has not run.
#[derive(Debug)]
pub struct OperationPermit {
    tenant: Arc<str>,
    permit: Permit,
}

/// Acquires a permit for an operation of a tenant, waiting until `until` at most.
///
/// # Errors
///
/// [`Refused`], without waiting if the refusal is already known.
pub async fn acquire_permit(
    context: &Context,
    tenant: &Arc<str>,
    quota: TenantQuota,
    until: Timestamp,
) -> Result<OperationPermit, Refused> {
    let taken = context.quotas.acquire(&context.clock, tenant, quota, until);
    let permit = taken.await?;
    let tenant = Arc::clone(tenant);
    Ok(OperationPermit { tenant, permit })
}

async fn await_permit(
    clock: &Clock,
    asked: oneshot::Receiver<Result<Permit, Refused>>,
    until: Timestamp,
) -> Result<Permit, Refused> {
    let unreached = Refused::NoAuthority(NO_AUTHORITY_RETRY_DELAY);
    let limit = clock.instant(until);
    let answered = tokio::time::timeout_at(limit, asked).await;
    answered.map_err(|_| unreached)?.map_err(|_| unreached)?
}

/// Returns the permit of an operation that has not run to the cache.
pub fn return_permit(context: &Context, permit: OperationPermit) {
    let now = context.clock.now();
    let mut permit_cache = context.quotas.permit_cache();
    permit_cache.return_unused(&permit.tenant, permit.permit, now);
}

/// Answers a permit request; `None` if this node is shutting down, which voids the votes for it, or
/// does not count for the scope.
pub fn answer_permit_request(context: &Context, request: PermitRequest) -> Option<PermitResponse> {
    if context.draining.is_cancelled() {
        return None;
    }
    let nodes = context.homes.voter_count(request.scope);
    let quotas = Quotas::for_scope(context, request.scope);
    quotas.answer(request, nodes, context.clock.now())
}

/// Starts the tasks that request permits for all quota shards and that vote in the zone.
pub fn start_quota_shards(context: &Arc<Context>) {
    if let Some(zone) = &context.quotas.zone {
        tokio::spawn(Arc::clone(&zone.authority_client).vote(Arc::clone(context)));
    }
    let cold_server_shards = &context.cold.permits.shards;
    for shard in context.quotas.shards.iter().chain(cold_server_shards) {
        tokio::spawn(Arc::clone(shard).run(Arc::clone(context)));
    }
}
