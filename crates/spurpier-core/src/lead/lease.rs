//! Who may use a server as its group's lead, and when a replacement may be ordered.
//!
//! A replaced primary goes on accepting work until it hears of its successor, so that an accepted
//! transaction proves the lead only while no replacement can have taken effect. Each decision stands
//! in the platform's store before it is ordered: a [`Succession`] names the one server that may be
//! used as the lead from then on. Two rules keep the old and the new primary apart:
//!
//! - A node uses a lead, and believes its answers, only under a lease ([`LeaseEvidence`]), and only
//!   if the newest succession that it knows names that server. What the store has told gives the
//!   lease for [`STORE_LEASE`]. While the store is away, a majority of the voters renews it, up to
//!   [`LONGEST_LEASE`] after the store's last news.
//! - The node that decides orders only when every other node has yielded to the succession, or when
//!   every lease has ended that was taken without knowing it ([`YieldRound`]).
//!
//! All times are of the own steady clock; no node trusts another one's. While the store is away,
//! nobody can decide.

use std::collections::BTreeSet;
use std::time::Duration;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::time::Timestamp;

/// For how long what the store has told allows the use of a lead. Longer than the news of a store
/// that answers grow old.
pub const STORE_LEASE: Duration = Duration::from_millis(3_000);
/// For how long after the store's last news a majority of the voters can renew the lease.
pub const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// What is waited beyond the leases: clocks drift, and the store may hold back a change for a
/// second while it tells that nothing has changed.
pub const LEASE_MARGIN: Duration = Duration::from_millis(1_200);
/// For how long after the store has shown that no newer decision exists this one may be ordered.
/// Far shorter than a newer decision must wait for a node that has not yielded to it.
pub const ORDER_WINDOW: Duration = Duration::from_millis(700);

/// How many of `voters` make a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// How many of `voters` leave no majority of the others.
pub fn blocking(voters: usize) -> usize {
    voters + 1 - majority(voters).min(voters)
}

/// The decision that a server takes over its group: from then on no other may be used as the lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Succession {
    /// The token of the decision, of one series for all groups; a higher one replaces it.
    pub token: u64,
    /// The server.
    pub successor: String,
}

impl SerBin for Succession {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.token.ser_bin(output);
        crate::wire::encode_text(&self.successor, output);
    }
}

impl DeBin for Succession {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(Succession {
            token: u64::de_bin(offset, bytes)?,
            successor: crate::wire::decode_text(offset, bytes)?.to_owned(),
        })
    }
}

/// What gives a node the lease to use leads, of whatever group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaseEvidence {
    /// Up to when the store has told of all successions; none before it has, or while this node is
    /// not on the list of those that a decision waits for.
    pub told_at: Option<Timestamp>,
    /// When a question left after which a majority of the voters said that they have yielded to no
    /// succession that this node does not know; none if that never happened.
    pub confirmed_at: Option<Timestamp>,
}

impl LeaseEvidence {
    /// Whether the lease holds.
    pub fn holds(self, now: Timestamp) -> bool {
        let Some(told_at) = self.told_at else {
            return false;
        };
        let is_within = |from: Timestamp, limit: Duration| now < from + limit;
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|confirmed_at| is_within(confirmed_at, STORE_LEASE));
        is_within(told_at, STORE_LEASE) || is_confirmed && is_within(told_at, LONGEST_LEASE)
    }
}

/// What the node that has decided does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundState {
    /// It waits: a node may still use the former primary.
    Await,
    /// It asks the store whether the decision is still the newest.
    Verify,
    /// It orders the successor to lead, at once.
    Order,
    /// It does nothing: there is a newer decision.
    Void,
}

/// The round in which the other nodes yield to a succession.
#[derive(Debug, Clone)]
pub struct YieldRound {
    token: u64,
    /// When the store had acknowledged the decision.
    stored_at: Timestamp,
    /// When the last question left that showed that there was no newer decision.
    verified_at: Timestamp,
    /// The nodes that have not yielded.
    awaited: BTreeSet<String>,
    voters: BTreeSet<String>,
    /// Voters that must have yielded so that no majority of the others is left.
    blocking: usize,
    /// Since when that is so.
    blocked_since: Option<Timestamp>,
}

impl YieldRound {
    /// The round of a decision that was sent to the store and acknowledged at these moments, by the
    /// node `own`, among all nodes that are listed; `voters` are those that renew leases.
    pub fn new(
        token: u64,
        sent_at: Timestamp,
        stored_at: Timestamp,
        own: &str,
        listed: impl IntoIterator<Item = String>,
        voters: impl IntoIterator<Item = String>,
    ) -> Self {
        let voters: BTreeSet<String> = voters.into_iter().collect();
        let blocking = blocking(voters.len());
        let mut round = YieldRound {
            token,
            stored_at,
            verified_at: sent_at,
            awaited: listed.into_iter().collect(),
            voters,
            blocking,
            blocked_since: None,
        };
        round.note_yielded(own, token, stored_at);
        round
    }

    /// The decision's token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Takes in that a node has yielded to a succession, to this one or to a newer one.
    pub fn note_yielded(&mut self, node: &str, token: u64, now: Timestamp) {
        if token < self.token {
            return;
        }
        self.awaited.remove(node);
        let missing = self.voters.intersection(&self.awaited).count();
        if self.voters.len() - missing >= self.blocking {
            self.blocked_since.get_or_insert(now);
        }
    }

    /// Takes in that nobody can use the former primary any more, since it has stepped down.
    pub fn await_nobody(&mut self) {
        self.awaited.clear();
    }

    /// Takes in that the store's answer to a question which left at `asked_at` showed no newer
    /// decision.
    pub fn note_verified(&mut self, asked_at: Timestamp) {
        self.verified_at = asked_at;
    }

    /// Whether a node has not yielded.
    pub fn awaits(&self, node: &str) -> bool {
        self.awaited.contains(node)
    }

    /// What is to be done, when `newest` is the highest token that is known for the group.
    pub fn state(&self, newest: u64, now: Timestamp) -> RoundState {
        if newest > self.token {
            return RoundState::Void;
        }
        if !self.awaited.is_empty() && now < self.leases_end() {
            return RoundState::Await;
        }
        if now >= self.verified_at + ORDER_WINDOW {
            return RoundState::Verify;
        }
        RoundState::Order
    }

    /// When all leases have ended that were taken without knowing of the decision.
    fn leases_end(&self) -> Timestamp {
        let longest = self.stored_at + LONGEST_LEASE + LEASE_MARGIN;
        match self.blocked_since {
            Some(since) => longest.min(since.max(self.stored_at) + STORE_LEASE + LEASE_MARGIN),
            None => longest,
        }
    }
}
