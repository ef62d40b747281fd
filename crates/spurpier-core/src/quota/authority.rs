//! The node that counts a tenant's operations.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::Bucket;
use super::budget::{Budget, QuotaBound, QuotaRate, VOTE_LIFE};
use super::votes::{Stamp, Votes};
use crate::time::Timestamp;

/// The shortest pause that a refused node is told. 60 nodes that ask for a tenant beyond its limit
/// are then 1,200 questions a second at most, and fewer with the spread.
pub(super) const SHORTEST_PAUSE: Duration = Duration::from_millis(50);
/// The pause that a node is told which is refused because most nodes have not asked yet: they do
/// within the 300 ms between two votes, as after a start of all nodes.
const MINORITY_PAUSE: Duration = Duration::from_millis(150);
/// The longest one.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// After so long without a question a tenant's bucket is forgotten.
const UNUSED: Duration = Duration::from_secs(30);

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
    votes: Votes,
    tenants: HashMap<String, Counted>,
}

impl Authority {
    /// An authority that has not been asked yet; `life` differs between the lives of its process.
    pub fn new(bound: QuotaBound, life: u64) -> Self {
        Authority {
            bound,
            votes: Votes::new(VOTE_LIFE, life),
            tenants: HashMap::new(),
        }
    }

    /// The present moment, to be told to those that ask.
    pub fn stamp(&self, now: Timestamp) -> Stamp {
        self.votes.stamp(now)
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
        let majority_before = self.votes.majority_since();
        self.votes.note(voter, sent_after, nodes, now);
        if self.votes.majority_since() != majority_before {
            self.tenants.clear();
        }
        self.tenants
            .retain(|_, counted| now.since(counted.asked_at) < UNUSED);
    }

    /// Answers a node that has voted; without the votes of most nodes nothing is given. `spread`,
    /// from 0 to 1, puts off the return of a refused node, so that not all return at the same
    /// moment.
    pub fn grant(&mut self, tenant: &str, want: Want, spread: f64, now: Timestamp) -> Grant {
        let Some(begun_at) = self.votes.majority_since() else {
            return Grant {
                leaves: 0,
                pause: MINORITY_PAUSE.mul_f64(1.0 + spread),
            };
        };
        let bound = self.bound;
        let counted = self.tenants.entry(tenant.to_owned());
        // All that was given since the majority is there was given here.
        let counted = counted.or_insert_with(|| Counted {
            bucket: Bucket::begun_at(Budget::of(want.rate, bound), begun_at),
            rate: want.rate,
            version: want.version,
            asked_at: now,
        });
        counted.asked_at = now;
        if counted.version < want.version {
            counted.version = want.version;
            counted.rate = want.rate;
            counted.bucket.set_budget(Budget::of(want.rate, bound), now);
        }
        let leaves = counted.bucket.give(want.waiting, now);
        let pause = counted.bucket.wait(now);
        let pause = pause.clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
        Grant {
            leaves,
            pause: pause.mul_f64(1.0 + spread),
        }
    }

    /// Whether more than half of the nodes have asked within the life of a vote.
    pub fn has_majority(&self) -> bool {
        self.votes.majority_since().is_some()
    }
}
