//! The node that counts a tenant's operations.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::TokenBucket;
use super::budget::{Budget, QuotaBound, QuotaRate, VOTE_TTL};
use super::votes::{AuthorityTimestamp, Votes};
use crate::time::Timestamp;

/// The shortest pause that a refused node is told. 60 nodes that ask for a tenant beyond its limit
/// are then 1,200 questions a second at most, and fewer with the spread.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The pause that a node is told which is refused because most nodes have not asked yet: they do
/// within the 300 ms between two votes, as after a start of all nodes.
const NO_MAJORITY_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The longest one.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// After so long without a question a tenant's bucket is forgotten.
const TENANT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a node asks for one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitDemand {
    /// Operations that wait for a leave.
    pub waiting: u32,
    /// How much the tenant may ask for.
    pub rate: QuotaRate,
    /// The version of the configuration that says so.
    pub version: u64,
}

/// What a node is given for one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Leaves.
    pub permits: u32,
    /// After how long it may ask again, if it was given fewer than wait.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct TenantState {
    bucket: TokenBucket,
    rate: QuotaRate,
    version: u64,
    last_requested_at: Timestamp,
}

/// What a node counts for others.
#[derive(Debug)]
pub struct Authority {
    bound: QuotaBound,
    votes: Votes,
    tenants: HashMap<String, TenantState>,
}

impl Authority {
    /// An authority that has not been asked yet; `incarnation` differs between the lives of its process.
    pub fn new(bound: QuotaBound, incarnation: u64) -> Self {
        Authority {
            bound,
            votes: Votes::new(VOTE_TTL, incarnation),
            tenants: HashMap::new(),
        }
    }

    /// The present moment, to be told to those that ask.
    pub fn timestamp(&self, now: Timestamp) -> AuthorityTimestamp {
        self.votes.timestamp(now)
    }

    /// Takes in that one of so many listed nodes asks, after a moment that it was told. Without one
    /// it does not vote yet.
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

    /// Answers a node that has voted; without the votes of most nodes nothing is given. `jitter`,
    /// from 0 to 1, puts off the return of a refused node, so that not all return at the same
    /// moment.
    pub fn grant(
        &mut self,
        tenant: &str,
        want: PermitDemand,
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
        // All that was given since the majority is there was given here.
        let state = state.or_insert_with(|| TenantState {
            bucket: TokenBucket::started_at(Budget::for_rate(want.rate, bound), majority_since),
            rate: want.rate,
            version: want.version,
            last_requested_at: now,
        });
        state.last_requested_at = now;
        if state.version < want.version {
            state.version = want.version;
            state.rate = want.rate;
            state
                .bucket
                .set_budget(Budget::for_rate(want.rate, bound), now);
        }
        let permits = state.bucket.take_up_to(want.waiting, now);
        let retry_after = state.bucket.time_until_available(now);
        let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Grant {
            permits,
            retry_after: retry_after.mul_f64(1.0 + jitter),
        }
    }

    /// Whether more than half of the nodes have asked within the life of a vote.
    pub fn has_majority(&self) -> bool {
        self.votes.majority_since().is_some()
    }
}
