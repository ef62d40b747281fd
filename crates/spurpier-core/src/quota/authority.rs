//! The node that counts a tenant's operations.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::Bucket;
use super::budget::{Budget, QuotaBound, QuotaRate, VOTE_LIFE};
use crate::time::Timestamp;

/// The shortest pause that a refused node is told. 60 nodes that ask for a tenant beyond its limit
/// are then 1,200 questions a second at most, and fewer with the spread.
const SHORTEST_PAUSE: Duration = Duration::from_millis(50);
/// The pause that a node is told which is refused because most nodes have not asked yet: they do
/// within the 300 ms between two votes, as after a start of all nodes.
const MINORITY_PAUSE: Duration = Duration::from_millis(150);
/// The longest one.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// After so long without a question a tenant's bucket is forgotten.
const UNUSED: Duration = Duration::from_secs(30);

/// A moment on an authority's clock. A node that has been told one knows that all it sends later is
/// sent after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// The life of the authority's process.
    pub life: u64,
    /// The moment.
    pub at: Timestamp,
}

/// What a node asks for one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Want {
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
    pub leaves: u32,
    /// After how long it may ask again, if it was given fewer than wait.
    pub pause: Duration,
}

#[derive(Debug)]
struct Counted {
    bucket: Bucket,
    rate: QuotaRate,
    version: u64,
    asked_at: Timestamp,
}

/// What a node counts for others.
#[derive(Debug)]
pub struct Authority {
    bound: QuotaBound,
    life: u64,
    tenants: HashMap<String, Counted>,
    /// The moment after which each node sent its last question.
    voters: HashMap<String, Timestamp>,
    /// Since when more than half of the nodes have asked, without a break.
    majority_since: Option<Timestamp>,
}

impl Authority {
    /// An authority that has not been asked yet; `life` differs between the lives of its process.
    pub fn new(bound: QuotaBound, life: u64) -> Self {
        Authority {
            bound,
            life,
            tenants: HashMap::new(),
            voters: HashMap::new(),
            majority_since: None,
        }
    }

    /// The present moment, to be told to those that ask.
    pub fn stamp(&self, now: Timestamp) -> Stamp {
        Stamp {
            life: self.life,
            at: now,
        }
    }

    /// Takes in that one of so many listed nodes asks, after a moment that it was told. Without one
    /// it does not vote yet.
    pub fn note_vote(
        &mut self,
        voter: &str,
        sent_after: Option<Stamp>,
        nodes: usize,
        now: Timestamp,
    ) {
        // What was asked before this question decides whether there was a break.
        self.look_at_votes(nodes, now);
        let sent_after = sent_after.filter(|stamp| stamp.life == self.life && stamp.at <= now);
        let Some(stamp) = sent_after else {
            return;
        };
        match self.voters.get_mut(voter) {
            Some(sent_after) => *sent_after = stamp.at.max(*sent_after),
            None => {
                self.voters.insert(voter.to_owned(), stamp.at);
            }
        }
        self.look_at_votes(nodes, now);
    }

    /// Answers a node that has voted. `spread`, from 0 to 1, puts off the return of a refused node,
    /// so that not all return at the same moment.
    pub fn grant(
        &mut self,
        tenant: &str,
        want: Want,
        nodes: usize,
        spread: f64,
        now: Timestamp,
    ) -> Grant {
        // All that was given since the majority is there was given here.
        let begun_at = self.majority_since.unwrap_or(now);
        let counted = self.tenants.entry(tenant.to_owned());
        let part = Part::of(self.majority_since, self.voters.len(), nodes);
        let bound = self.bound;
        let counted = counted.or_insert_with(|| Counted {
            bucket: Bucket::begun_at(part.budget(want.rate, bound), begun_at),
            rate: want.rate,
            version: want.version,
            asked_at: now,
        });
        counted.asked_at = now;
        if counted.version < want.version {
            counted.version = want.version;
            counted.rate = want.rate;
        }
        let budget = part.budget(counted.rate, bound);
        counted.bucket.set_budget(budget, now);
        let leaves = counted.bucket.give(want.waiting, now);
        let pause = match part {
            Part::Majority => counted.bucket.wait(now),
            Part::Minority(_) => MINORITY_PAUSE,
        };
        let pause = pause.clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
        Grant {
            leaves,
            pause: pause.mul_f64(1.0 + spread),
        }
    }

    /// Whether more than half of the nodes have asked within the life of a vote.
    pub fn has_majority(&self) -> bool {
        self.majority_since.is_some()
    }

    /// Drops votes that are over, and looks whether those of most nodes are left.
    fn look_at_votes(&mut self, nodes: usize, now: Timestamp) {
        self.voters
            .retain(|_, sent_after| now.since(*sent_after) < VOTE_LIFE);
        if self.voters.len() * 2 <= nodes {
            self.majority_since = None;
            // What a bucket saved while it had the whole rate is not for a part of the nodes.
            return;
        }
        if self.majority_since.is_none() {
            self.majority_since = Some(now);
            self.tenants.clear();
        }
        self.tenants
            .retain(|_, counted| now.since(counted.asked_at) < UNUSED);
    }
}

/// For whom an authority gives leaves.
#[derive(Debug, Clone, Copy)]
enum Part {
    /// For most nodes.
    Majority,
    /// For this part of the nodes.
    Minority(f64),
}

impl Part {
    fn of(majority_since: Option<Timestamp>, voters: usize, nodes: usize) -> Self {
        if majority_since.is_some() {
            Part::Majority
        } else {
            Part::Minority(voters as f64 / nodes.max(1) as f64)
        }
    }

    fn budget(self, rate: QuotaRate, bound: QuotaBound) -> Budget {
        let whole = Budget::of(rate, bound);
        match self {
            Part::Majority => whole,
            Part::Minority(part) => whole.minority(part),
        }
    }
}
