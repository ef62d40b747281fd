//! Who has asked an authority, and whether that is most of those that may.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Timestamp;

/// A moment on an authority's clock. A node that has been told one knows that all it sends later is
/// sent after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuthorityTimestamp {
    /// The life of the authority's process.
    pub incarnation: u64,
    /// The moment.
    pub at: Timestamp,
}

/// The votes of an authority.
#[derive(Debug)]
pub struct Votes {
    incarnation: u64,
    /// How long a vote counts.
    vote_ttl: Duration,
    /// The moment after which each node sent its last question.
    voters: HashMap<String, Timestamp>,
    /// Since when more than half of the nodes have asked, without a break.
    majority_since: Option<Timestamp>,
}

impl Votes {
    /// No votes; `incarnation` differs between the lives of the authority's process.
    pub fn new(vote_ttl: Duration, incarnation: u64) -> Self {
        Votes {
            incarnation,
            vote_ttl,
            voters: HashMap::new(),
            majority_since: None,
        }
    }

    /// The present moment, to be told to those that ask.
    pub fn timestamp(&self, now: Timestamp) -> AuthorityTimestamp {
        AuthorityTimestamp {
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Takes in that one of so many listed nodes asks, after a moment that it was told. Without one
    /// it does not vote yet.
    pub fn record(
        &mut self,
        voter: &str,
        sent_after: Option<AuthorityTimestamp>,
        nodes: usize,
        now: Timestamp,
    ) {
        // What was asked before this question decides whether there was a break.
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

    /// Since when most nodes have asked, each within the life of a vote and without a break.
    pub fn majority_since(&self) -> Option<Timestamp> {
        self.majority_since
    }

    /// Drops votes that are over, and looks whether those of most nodes are left.
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
