//! What a zone may use of its tenants' bounds without the other zones.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::authority::{Grant, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use super::budget::{MAX_DISPATCH_DELAY, MIN_CAPACITY, PERMIT_TTL, QuotaBound};
use super::votes::{AuthorityTimestamp, Votes};
use crate::homes::subject_digest;
use crate::time::Timestamp;

/// For how long a node's question counts as a vote for the authority of its zone. A node votes
/// every 1.2 s: what a zone counts by itself is needed while it is cut off, and a long life costs
/// few messages until then.
pub const ZONE_VOTE_TTL: Duration = Duration::from_millis(2_800);

/// A zone among all zones of the deployment, as the settings of all nodes have them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZonePosition {
    /// Its place in the order of the zones' names.
    pub index: usize,
    /// How many zones there are.
    pub count: usize,
}

impl ZonePosition {
    /// The place of a zone among all; none if it is not one of them, or the only one, which has
    /// nothing to lose touch with.
    pub fn of<'a>(zone: &str, zones: impl Iterator<Item = &'a str>) -> Option<Self> {
        let mut zones: Vec<&str> = zones.collect();
        zones.sort_unstable();
        zones.dedup();
        let index = zones.iter().position(|other| *other == zone)?;
        let count = zones.len();
        (count > 1).then_some(ZonePosition { index, count })
    }

    /// How many of a tenant's operations of each window are set aside for the zone. All zones
    /// together have the whole slack but for the one leave that the authority of all always holds;
    /// what does not divide goes to other zones for other tenants.
    ///
    /// It depends on no limit of the tenant: a zone that does not know of a new one uses as much as
    /// the others take it to use.
    pub fn reserved_permits(self, tenant: &str, bound: QuotaBound) -> usize {
        let total = (bound.slack - MIN_CAPACITY).max(0.0) as usize;
        let offset = (subject_digest(tenant) % self.count as u64) as usize;
        let gets_remainder = (self.index + offset) % self.count < total % self.count;
        total / self.count + usize::from(gets_remainder)
    }
}

/// What a node counts for the others of its zone while they have no authority of all nodes.
#[derive(Debug)]
pub struct ZoneAuthority {
    bound: QuotaBound,
    position: ZonePosition,
    votes: Votes,
    /// When the leaves of each tenant were given, within the span that counts.
    grants: HashMap<String, VecDeque<Timestamp>>,
}

impl ZoneAuthority {
    /// An authority that has not been asked yet; `incarnation` differs between the lives of its process.
    pub fn new(bound: QuotaBound, position: ZonePosition, incarnation: u64) -> Self {
        ZoneAuthority {
            bound,
            position,
            votes: Votes::new(ZONE_VOTE_TTL, incarnation),
            grants: HashMap::new(),
        }
    }

    /// The present moment, to be told to those that ask.
    pub fn timestamp(&self, now: Timestamp) -> AuthorityTimestamp {
        self.votes.timestamp(now)
    }

    /// Takes in that one of so many listed nodes of the zone asks, after a moment that it was told.
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

    /// Whether more than half of the zone's nodes have asked within the life of a vote.
    pub fn has_majority(&self) -> bool {
        self.votes.majority_since().is_some()
    }

    /// Answers a node that has voted and has so many operations waiting. `jitter`, from 0 to 1, puts
    /// off the return of a refused node.
    pub fn grant(&mut self, tenant: &str, waiting: u32, jitter: f64, now: Timestamp) -> Grant {
        let accounting_window = self.bound.window + PERMIT_TTL + MAX_DISPATCH_DELAY;
        // Another authority may have given all of the allowance until the majority came here.
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
