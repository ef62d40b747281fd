//! The authority that counts tenants' operations over all nodes.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::TokenBucket;
use super::budget::{Budget, QuotaBound, QuotaRate, VOTE_TTL};
use super::votes::{AuthorityTimestamp, Votes};
use crate::time::Timestamp;

/// The shortest retry delay in a grant. It caps the requests of 60 nodes for a tenant beyond its
/// limit at 1,200 per second; jitter lowers this further.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The retry delay while the authority has no majority. Nodes vote every 300 ms, so that a majority
/// forms within that time, for example after all nodes have started together.
const NO_MAJORITY_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The longest retry delay in a grant, before jitter.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long a tenant's token bucket is kept after the last request for it.
const TENANT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The permits that a node requests for one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitDemand {
    /// Operations that wait for a permit.
    pub waiting: u32,
    /// The tenant's rate limit.
    pub rate: QuotaRate,
    /// The version of the configuration that sets `rate`.
    pub version: u64,
}

/// An authority's answer to a [`PermitDemand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The number of permits granted.
    pub permits: u32,
    /// How long to wait before the next request, if fewer permits were granted than requested.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct TenantState {
    bucket: TokenBucket,
    rate: QuotaRate,
    version: u64,
    last_requested_at: Timestamp,
}

/// Grants permits to all nodes while it has the votes of a majority of them.
#[derive(Debug)]
pub struct Authority {
    bound: QuotaBound,
    votes: Votes,
    tenants: HashMap<String, TenantState>,
}

impl Authority {
    /// Creates an authority without votes. `incarnation` must differ between restarts of its
    /// process.
    pub fn new(bound: QuotaBound, incarnation: u64) -> Self {
        Authority {
            bound,
            votes: Votes::new(VOTE_TTL, incarnation),
            tenants: HashMap::new(),
        }
    }

    /// The authority's current time, which each response returns to the requesting node.
    pub fn timestamp(&self, now: Timestamp) -> AuthorityTimestamp {
        self.votes.timestamp(now)
    }

    /// Records the vote that a request from `voter` carries, where `nodes` is the number of listed
    /// nodes. `sent_after` is the authority's time that the voter knows to have passed when it sent
    /// the request; without it the request does not count as a vote.
    pub fn record_vote(
        &mut self,
        voter: &str,
        sent_after: Option<AuthorityTimestamp>,
        nodes: usize,
        now: Timestamp,
    ) {
        let majority_before = self.votes.majority_since();
        self.votes.record(voter, sent_after, nodes, now);
        if self.votes.majority_since() != majority_before {
            self.tenants.clear();
        }
        self.tenants
            .retain(|_, state| now.since(state.last_requested_at) < TENANT_IDLE_TIMEOUT);
    }

    /// Answers the request of a node whose vote was recorded. Without the votes of a majority of
    /// the nodes it grants nothing. The retry delay is multiplied by 1 + `jitter`, a random number
    /// from 0 to 1, so that refused nodes do not all retry at once.
    pub fn grant(
        &mut self,
        tenant: &str,
        demand: PermitDemand,
        jitter: f64,
        now: Timestamp,
    ) -> Grant {
        let Some(majority_since) = self.votes.majority_since() else {
            return Grant {
                permits: 0,
                retry_after: NO_MAJORITY_RETRY_AFTER.mul_f64(1.0 + jitter),
            };
        };
        let bound = self.bound;
        let state = self.tenants.entry(tenant.to_owned());
        // All grants since this authority gained its majority were made here, so the bucket counts
        // from that time.
        let state = state.or_insert_with(|| TenantState {
            bucket: TokenBucket::started_at(Budget::for_rate(demand.rate, bound), majority_since),
            rate: demand.rate,
            version: demand.version,
            last_requested_at: now,
        });
        state.last_requested_at = now;
        if state.version < demand.version {
            state.version = demand.version;
            state.rate = demand.rate;
            state
                .bucket
                .set_budget(Budget::for_rate(demand.rate, bound), now);
        }
        let permits = state.bucket.take_up_to(demand.waiting, now);
        let retry_after = state.bucket.time_until_available(now);
        let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Grant {
            permits,
            retry_after: retry_after.mul_f64(1.0 + jitter),
        }
    }

    /// Whether the votes of more than half of the nodes are valid.
    pub fn has_majority(&self) -> bool {
        self.votes.majority_since().is_some()
    }
}
