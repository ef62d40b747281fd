//! The votes for an authority, and since when they form a majority.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Timestamp;

/// A time on an authority's clock. Whatever a node sends after it received one is sent after that
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuthorityTimestamp {
    /// Identifies one run of the authority's process; times of others cannot be compared.
    pub incarnation: u64,
    /// The time.
    pub at: Timestamp,
}

/// The votes for one authority.
#[derive(Debug)]
pub struct Votes {
    incarnation: u64,
    /// How long a vote is valid.
    vote_ttl: Duration,
    /// A time after which each node sent its last request.
    voters: HashMap<String, Timestamp>,
    /// Since when the votes of more than half of the nodes have been valid without interruption.
    majority_since: Option<Timestamp>,
}

impl Votes {
    /// Creates an empty set of votes. `incarnation` must differ between restarts of the authority's
    /// process.
    pub fn new(vote_ttl: Duration, incarnation: u64) -> Self {
        Votes {
            incarnation,
            vote_ttl,
            voters: HashMap::new(),
            majority_since: None,
        }
    }

    /// The authority's current time, which each response returns to the requesting node.
    pub fn timestamp(&self, now: Timestamp) -> AuthorityTimestamp {
        AuthorityTimestamp {
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Records a request from `voter`, where `nodes` is the number of nodes that may vote. It
    /// counts as a vote only with a `sent_after` of this incarnation, and from that time on.
    pub fn record(
        &mut self,
        voter: &str,
        sent_after: Option<AuthorityTimestamp>,
        nodes: usize,
        now: Timestamp,
    ) {
        // The earlier votes decide whether the majority was interrupted before this request.
        self.refresh(nodes, now);
        let sent_after = sent_after
            .filter(|timestamp| timestamp.incarnation == self.incarnation && timestamp.at <= now);
        let Some(timestamp) = sent_after else {
            return;
        };
        match self.voters.get_mut(voter) {
            Some(sent_after) => *sent_after = timestamp.at.max(*sent_after),
            None => {
                self.voters.insert(voter.to_owned(), timestamp.at);
            }
        }
        self.refresh(nodes, now);
    }

    /// Since when the votes of a majority of the nodes have been valid without interruption; none
    /// if there is no majority.
    pub fn majority_since(&self) -> Option<Timestamp> {
        self.majority_since
    }

    /// Removes expired votes and updates `majority_since`.
    fn refresh(&mut self, nodes: usize, now: Timestamp) {
        let vote_ttl = self.vote_ttl;
        self.voters
            .retain(|_, sent_after| now.since(*sent_after) < vote_ttl);
        if self.voters.len() * 2 <= nodes {
            self.majority_since = None;
        } else if self.majority_since.is_none() {
            self.majority_since = Some(now);
        }
    }
}
