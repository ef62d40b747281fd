//! The authority of a zone, which grants the zone's reserve while the zone is partitioned.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::authority::{Grant, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use super::budget::{MAX_DISPATCH_DELAY, MIN_CAPACITY, PERMIT_TTL, QuotaBound};
use super::votes::{AuthorityTimestamp, Votes};
use crate::homes::subject_digest;
use crate::time::Timestamp;

/// How long a node's request counts as a vote for the authority of its zone. A node votes every
/// 1.2 s: the zone's authority is needed only while the zone is partitioned, and a long TTL keeps
/// the number of votes low until then.
pub const ZONE_VOTE_TTL: Duration = Duration::from_millis(2_800);

/// The position of a zone among all zones of the deployment, which all nodes know from their
/// settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZonePosition {
    /// The index of the zone in the sorted list of the zones' names.
    pub index: usize,
    /// The number of zones.
    pub count: usize,
}

impl ZonePosition {
    /// The position of `zone` among `zones`. None if it is not one of them, or if it is the only
    /// one: there is no other zone from which it could be partitioned.
    pub fn of<'a>(zone: &str, zones: impl Iterator<Item = &'a str>) -> Option<Self> {
        let mut zones: Vec<&str> = zones.collect();
        zones.sort_unstable();
        zones.dedup();
        let index = zones.iter().position(|other| *other == zone)?;
        let count = zones.len();
        (count > 1).then_some(ZonePosition { index, count })
    }

    /// The number of the tenant's operations per window that are reserved for the zone.
    ///
    /// The zones share the whole slack except for the one permit that the global authority may
    /// always hold. The remainder of the division goes to different zones for different tenants.
    /// The reserve does not depend on the tenant's rate limit, so that a zone that does not know of
    /// a new limit uses no more than the other zones expect.
    pub fn reserved_permits(self, tenant: &str, bound: QuotaBound) -> usize {
        let total = (bound.slack - MIN_CAPACITY).max(0.0) as usize;
        let offset = (subject_digest(tenant) % self.count as u64) as usize;
        let gets_remainder = (self.index + offset) % self.count < total % self.count;
        total / self.count + usize::from(gets_remainder)
    }
}

/// Grants the zone's reserve to the nodes of its zone while they have no global authority.
#[derive(Debug)]
pub struct ZoneAuthority {
    bound: QuotaBound,
    position: ZonePosition,
    votes: Votes,
    /// When each permit of a tenant was granted, for permits that can still fall into a window.
    grants: HashMap<String, VecDeque<Timestamp>>,
}

impl ZoneAuthority {
    /// Creates an authority without votes. `incarnation` must differ between restarts of its
    /// process.
    pub fn new(bound: QuotaBound, position: ZonePosition, incarnation: u64) -> Self {
        ZoneAuthority {
            bound,
            position,
            votes: Votes::new(ZONE_VOTE_TTL, incarnation),
            grants: HashMap::new(),
        }
    }

    /// The authority's current time, which each response returns to the requesting node.
    pub fn timestamp(&self, now: Timestamp) -> AuthorityTimestamp {
        self.votes.timestamp(now)
    }

    /// Records the vote that a request from `voter` carries, where `nodes` is the number of listed
    /// nodes of the zone. `sent_after` is as for [`super::Authority::record_vote`].
    pub fn record_vote(
        &mut self,
        voter: &str,
        sent_after: Option<AuthorityTimestamp>,
        nodes: usize,
        now: Timestamp,
    ) {
        self.votes.record(voter, sent_after, nodes, now);
        if !self.has_majority() {
            self.grants.clear();
        }
    }

    /// Whether the votes of more than half of the zone's nodes are valid.
    pub fn has_majority(&self) -> bool {
        self.votes.majority_since().is_some()
    }

    /// Answers the request of a node whose vote was recorded and that has `waiting` operations
    /// without a permit. The retry delay is multiplied by 1 + `jitter`, a random number from 0 to
    /// 1.
    pub fn grant(&mut self, tenant: &str, waiting: u32, jitter: f64, now: Timestamp) -> Grant {
        let accounting_window = self.bound.window + PERMIT_TTL + MAX_DISPATCH_DELAY;
        // Until this authority got its majority, another one may have granted the whole reserve.
        let grants_from = self
            .votes
            .majority_since()
            .map(|since| since + accounting_window);
        if grants_from.is_none_or(|grants_from| grants_from > now) {
            return refused(
                grants_from.map_or(MIN_RETRY_AFTER, |at| at.since(now)),
                jitter,
            );
        }
        let reserved_permits = self.position.reserved_permits(tenant, self.bound);
        if reserved_permits == 0 {
            return refused(MAX_RETRY_AFTER, jitter);
        }
        let grants = self.grants.entry(tenant.to_owned()).or_default();
        while grants
            .front()
            .is_some_and(|at| now.since(*at) > accounting_window)
        {
            grants.pop_front();
        }
        let remaining = reserved_permits.saturating_sub(grants.len());
        let permits = waiting.min(u32::try_from(remaining).unwrap_or(u32::MAX));
        grants.extend((0..permits).map(|_| now));
        let next_at = grants.front().map(|at| *at + accounting_window);
        let retry_after = next_at.map_or(Duration::ZERO, |at| at.since(now));
        Grant {
            permits,
            ..refused(retry_after, jitter)
        }
    }
}

fn refused(retry_after: Duration, jitter: f64) -> Grant {
    let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Grant {
        permits: 0,
        retry_after: retry_after.mul_f64(1.0 + jitter),
    }
}
