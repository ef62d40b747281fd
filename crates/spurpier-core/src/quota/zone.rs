//! What a zone may use of its tenants' bounds without the other zones.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::authority::{Grant, LONGEST_PAUSE, SHORTEST_PAUSE};
use super::budget::{LEAST_CAPACITY, LEAVE_LIFE, QuotaBound, RUN_DELAY};
use super::votes::{Stamp, Votes};
use crate::homes::subject_digest;
use crate::time::Timestamp;

/// For how long a node's question counts as a vote for the authority of its zone. A node votes
/// every 1.2 s: what a zone counts by itself is needed while it is cut off, and a long life costs
/// few messages until then.
pub const ZONE_VOTE_LIFE: Duration = Duration::from_millis(2_800);

/// A zone among all zones of the deployment, as the settings of all nodes have them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZonePlace {
    /// Its place in the order of the zones' names.
    pub index: usize,
    /// How many zones there are.
    pub count: usize,
}

impl ZonePlace {
    /// The place of a zone among all; none if it is not one of them, or the only one, which has
    /// nothing to lose touch with.
    pub fn of<'a>(zone: &str, zones: impl Iterator<Item = &'a str>) -> Option<Self> {
        let mut zones: Vec<&str> = zones.collect();
        zones.sort_unstable();
        zones.dedup();
        let index = zones.iter().position(|other| *other == zone)?;
        let count = zones.len();
        (count > 1).then_some(ZonePlace { index, count })
    }

    /// How many of a tenant's operations of each window are set aside for the zone. All zones
    /// together have the whole slack but for the one leave that the authority of all always holds;
    /// what does not divide goes to other zones for other tenants.
    ///
    /// It depends on no limit of the tenant: a zone that does not know of a new one uses as much as
    /// the others take it to use.
    pub fn allowance(self, tenant: &str, bound: QuotaBound) -> usize {
        let whole = (bound.slack - LEAST_CAPACITY).max(0.0) as usize;
        let turn = (subject_digest(tenant) % self.count as u64) as usize;
        let has_one_more = (self.index + turn) % self.count < whole % self.count;
        whole / self.count + usize::from(has_one_more)
    }
}

/// What a node counts for the others of its zone while they have no authority of all nodes.
#[derive(Debug)]
pub struct ZoneAuthority {
    bound: QuotaBound,
    place: ZonePlace,
    votes: Votes,
    /// When the leaves of each tenant were given, within the span that counts.
    given: HashMap<String, VecDeque<Timestamp>>,
}

impl ZoneAuthority {
    /// An authority that has not been asked yet; `life` differs between the lives of its process.
    pub fn new(bound: QuotaBound, place: ZonePlace, life: u64) -> Self {
        ZoneAuthority {
            bound,
            place,
            votes: Votes::new(ZONE_VOTE_LIFE, life),
            given: HashMap::new(),
        }
    }

    /// The present moment, to be told to those that ask.
    pub fn stamp(&self, now: Timestamp) -> Stamp {
        self.votes.stamp(now)
    }

    /// Takes in that one of so many listed nodes of the zone asks, after a moment that it was told.
    pub fn note_vote(
        &mut self,
        voter: &str,
        sent_after: Option<Stamp>,
        nodes: usize,
        now: Timestamp,
    ) {
        self.votes.note(voter, sent_after, nodes, now);
        if !self.has_majority() {
            self.given.clear();
        }
    }

    /// Whether more than half of the zone's nodes have asked within the life of a vote.
    pub fn has_majority(&self) -> bool {
        self.votes.majority_since().is_some()
    }

    /// Answers a node that has voted and has so many operations waiting. `spread`, from 0 to 1, puts
    /// off the return of a refused node.
    pub fn grant(&mut self, tenant: &str, waiting: u32, spread: f64, now: Timestamp) -> Grant {
        let span = self.bound.window + LEAVE_LIFE + RUN_DELAY;
        // Another authority may have given all of the allowance until the majority came here.
        let begins_at = self.votes.majority_since().map(|since| since + span);
        if begins_at.is_none_or(|begins_at| begins_at > now) {
            return refusal(begins_at.map_or(SHORTEST_PAUSE, |at| at.since(now)), spread);
        }
        let allowance = self.place.allowance(tenant, self.bound);
        if allowance == 0 {
            return refusal(LONGEST_PAUSE, spread);
        }
        let given = self.given.entry(tenant.to_owned()).or_default();
        while given.front().is_some_and(|at| now.since(*at) > span) {
            given.pop_front();
        }
        let left = allowance.saturating_sub(given.len());
        let leaves = waiting.min(u32::try_from(left).unwrap_or(u32::MAX));
        given.extend((0..leaves).map(|_| now));
        let next_at = given.front().map(|at| *at + span);
        let pause = next_at.map_or(Duration::ZERO, |at| at.since(now));
        Grant {
            leaves,
            ..refusal(pause, spread)
        }
    }
}

fn refusal(pause: Duration, spread: f64) -> Grant {
    let pause = pause.clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
    Grant {
        leaves: 0,
        pause: pause.mul_f64(1.0 + spread),
    }
}
