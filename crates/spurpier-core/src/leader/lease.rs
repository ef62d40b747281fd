//! Which server a node may use as a group's leader, and when a replacement may be promoted.
//!
//! A replaced primary goes on accepting work until it learns of its successor. An accepted
//! transaction therefore proves leadership only while no replacement can have taken effect. Each
//! decision is stored in the platform's store before the successor is promoted: a [`Succession`]
//! names the one server that may be used as the leader from then on. Two rules keep the old and the
//! new primary apart:
//!
//! - A node uses a leader, and believes its answers, only under a leader lease
//!   ([`holds_leader_lease`]). The node holds the lease while its knowledge of the successions, as
//!   the store reported them to its present incarnation, is younger than [`LEADER_LEASE`]. The
//!   newest succession that it knows must name that server.
//! - The deciding node promotes the successor only once every other node has released its lease for
//!   the former leader, or once all leases that were obtained without knowledge of the succession
//!   have expired ([`LeaseReleaseRound`]).
//!
//! All times are those of a node's own monotonic clock; no node relies on the clock of another.
//! While the store is unavailable, no node can decide.

use std::collections::BTreeSet;
use std::time::Duration;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::directory::Incarnation;
use crate::position::Position;
use crate::time::Timestamp;
use crate::wire::{decode_text, encode_text};

/// How long a report of the store allows the use of a leader. Longer than an outage of the store
/// lasts, also for nodes that are partitioned from the store together with the primary.
pub const LEADER_LEASE: Duration = Duration::from_secs(10);
/// How long the deciding node waits beyond the end of the leases. It covers clock drift and the
/// store, which may withhold a change for a second while it reports that nothing has changed.
pub const LEADER_LEASE_MARGIN: Duration = Duration::from_millis(1_200);
/// How long the successor may be promoted after the store has confirmed that no newer decision
/// exists. Far shorter than the time for which a newer decision waits for a node that has not
/// released its lease.
pub const PROMOTION_WINDOW: Duration = Duration::from_millis(700);

/// The decision that a server takes over its group. From then on no other server may be used as the
/// leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Succession {
    /// The fencing token of the decision. All groups share one sequence, and a higher token
    /// replaces a lower one.
    pub token: u64,
    /// The incarnation of the server that takes over. A later incarnation is not the successor.
    pub successor: Incarnation,
    /// The position that the successor had received when it was chosen. Its log holds that position
    /// for the rest of the incarnation.
    pub received: Position,
    /// The primary that steps down for the successor and stays in service; `None` if there is none,
    /// or once the successor has been promoted. A node that takes over the decision promotes no
    /// server that lacks what the deposed primary holds.
    pub deposed: Option<Incarnation>,
}

impl Succession {
    /// Creates a succession from its token, the name of the successor and the details that rows and
    /// messages carry after these.
    pub fn from_parts(token: u64, name: &str, details: SuccessorDetails) -> Self {
        Succession {
            token,
            successor: Incarnation::new(name, details.started_ms),
            received: details.received,
            deposed: details.deposed,
        }
    }

    /// The part that rows and messages carry after the token and the name of the successor.
    pub fn details(&self) -> SuccessorDetails {
        SuccessorDetails {
            started_ms: self.successor.started_ms(),
            received: self.received,
            deposed: self.deposed.clone(),
        }
    }
}

/// The part of a succession that is encoded at the end of a row or message.
///
/// Older nodes stop reading before it. The details are unknown in what they write, which decodes to
/// the default.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SuccessorDetails {
    /// When the server started, in milliseconds of its own wall clock; `None` if unknown.
    pub started_ms: Option<u64>,
    /// The position that the successor had received when it was chosen; the start of the log if
    /// unknown.
    pub received: Position,
    /// The primary that steps down for the successor and stays in service; `None` if there is none,
    /// or once the successor has been promoted.
    pub deposed: Option<Incarnation>,
}

impl SerBin for SuccessorDetails {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.started_ms.ser_bin(output);
        self.received.ser_bin(output);
        self.deposed.is_some().ser_bin(output);
        if let Some(deposed) = &self.deposed {
            encode_text(deposed.name(), output);
            deposed.started_ms().ser_bin(output);
        }
    }
}

impl DeBin for SuccessorDetails {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        if *offset >= bytes.len() {
            return Ok(SuccessorDetails::default());
        }
        let started_ms = Option::de_bin(offset, bytes)?;
        let received = Position::de_bin(offset, bytes)?;
        let deposed = if bool::de_bin(offset, bytes)? {
            let name = decode_text(offset, bytes)?;
            Some(Incarnation::new(name, Option::de_bin(offset, bytes)?))
        } else {
            None
        };
        Ok(SuccessorDetails {
            started_ms,
            received,
            deposed,
        })
    }
}

impl SerBin for Succession {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.token.ser_bin(output);
        encode_text(self.successor.name(), output);
        self.details().ser_bin(output);
    }
}

impl DeBin for Succession {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let token = u64::de_bin(offset, bytes)?;
        let name = decode_text(offset, bytes)?;
        let details = SuccessorDetails::de_bin(offset, bytes)?;
        Ok(Succession::from_parts(token, name, details))
    }
}

/// Whether a node holds the leader lease, which covers the leaders of all groups.
///
/// `reported_at` is the moment up to which the store has reported all successions to this
/// incarnation of the node; `None` if it has not.
pub fn holds_leader_lease(reported_at: Option<Timestamp>, now: Timestamp) -> bool {
    reported_at.is_some_and(|reported_at| now < reported_at + LEADER_LEASE)
}

/// What the node that has decided does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundState {
    /// It waits: another node may still use the former primary.
    Wait,
    /// It asks the store whether the decision is still the newest.
    Verify,
    /// It promotes the successor immediately.
    Promote,
    /// It does nothing, since a newer decision exists.
    Superseded,
}

/// The round in which the other nodes release their leader leases for a succession.
#[derive(Debug, Clone)]
pub struct LeaseReleaseRound {
    token: u64,
    /// When the store acknowledged the decision.
    stored_at: Timestamp,
    /// When the last request was sent whose answer confirmed that there was no newer decision.
    verified_at: Timestamp,
    /// The names of the nodes that have not released their lease.
    pending: BTreeSet<String>,
}

impl LeaseReleaseRound {
    /// Starts the round of a decision that was sent to the store at `sent_at` and acknowledged by
    /// it at `stored_at`. `others` are the names of all other nodes that may use a leader.
    pub fn new(
        token: u64,
        sent_at: Timestamp,
        stored_at: Timestamp,
        others: impl IntoIterator<Item = String>,
    ) -> Self {
        LeaseReleaseRound {
            token,
            stored_at,
            verified_at: sent_at,
            pending: others.into_iter().collect(),
        }
    }

    /// The fencing token of the decision.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Adds another node that may use a leader.
    pub fn add_node(&mut self, node: String) {
        self.pending.insert(node);
    }

    /// Records that a node has released its lease for the succession with this token. Only this
    /// round's succession or a newer one counts.
    pub fn record_release(&mut self, node: &str, token: u64) {
        if token >= self.token {
            self.pending.remove(node);
        }
    }

    /// Stops waiting for nodes: the former primary has stepped down, so no node can use it any
    /// more.
    pub fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Records that the store's answer to a request sent at `asked_at` showed no newer decision.
    pub fn record_verification(&mut self, asked_at: Timestamp) {
        self.verified_at = asked_at;
    }

    /// Whether a node has not released its lease.
    pub fn is_pending(&self, node: &str) -> bool {
        self.pending.contains(node)
    }

    /// What to do next, if `newest` is the highest token known for the group.
    pub fn state(&self, newest: u64, now: Timestamp) -> RoundState {
        if newest > self.token {
            return RoundState::Superseded;
        }
        if !self.pending.is_empty() && now < self.stored_at + LEADER_LEASE + LEADER_LEASE_MARGIN {
            return RoundState::Wait;
        }
        if now >= self.verified_at + PROMOTION_WINDOW {
            return RoundState::Verify;
        }
        RoundState::Promote
    }
}
