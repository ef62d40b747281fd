//! Who may use a server as its group's lead, and when a replacement may be ordered.
//!
//! A replaced primary goes on accepting work until it hears of its successor, so that an accepted
//! transaction proves the lead only while no replacement can have taken effect. Each decision stands
//! in the platform's store before it is ordered: a [`Succession`] names the one server that may be
//! used as the lead from then on. Two rules keep the old and the new primary apart:
//!
//! - A node uses a lead, and believes its answers, only under a lease ([`holds_leader_lease`]): while what the
//!   store has told it of the successions in its present life is younger than [`LEADER_LEASE`], and only if
//!   the newest succession that it knows names that server.
//! - The node that decides orders only when every other node has yielded to the succession, or when
//!   every lease has ended that was taken without knowing it ([`LeaseReleaseRound`]).
//!
//! All times are of the own steady clock; no node trusts another one's. While the store is away,
//! nobody can decide.

use std::collections::BTreeSet;
use std::time::Duration;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::directory::Incarnation;
use crate::position::Position;
use crate::time::Timestamp;
use crate::wire::{decode_text, encode_text};

/// For how long what the store has told allows the use of a lead. Longer than the store is away at
/// a time, also from a part of the nodes that is cut off together with the primary.
pub const LEADER_LEASE: Duration = Duration::from_secs(10);
/// What is waited beyond the leases: clocks drift, and the store may hold back a change for a
/// second while it tells that nothing has changed.
pub const LEADER_LEASE_MARGIN: Duration = Duration::from_millis(1_200);
/// For how long after the store has shown that no newer decision exists this one may be ordered.
/// Far shorter than a newer decision must wait for a node that has not yielded to it.
pub const PROMOTION_WINDOW: Duration = Duration::from_millis(700);

/// The decision that a server takes over its group: from then on no other may be used as the lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Succession {
    /// The token of the decision, of one series for all groups; a higher one replaces it.
    pub token: u64,
    /// The life of a server that takes over; a later life of it is not meant.
    pub successor: Incarnation,
    /// What it had received when it was chosen, which its log holds as long as that life lasts.
    pub received: Position,
    /// The primary that steps down for it and lives on, until it has been ordered to lead: a node
    /// that takes the decision over orders nobody that lacks what this one holds.
    pub deposed: Option<Incarnation>,
}

impl Succession {
    /// The succession that is told by its token and the name of the server, and by what came to be
    /// told beside these.
    pub fn from_parts(token: u64, name: &str, details: SuccessorDetails) -> Self {
        Succession {
            token,
            successor: Incarnation::new(name, details.started_ms),
            received: details.received,
            deposed: details.deposed,
        }
    }

    /// What is told beside its token and the name of the server.
    pub fn details(&self) -> SuccessorDetails {
        SuccessorDetails {
            started_ms: self.successor.started_ms(),
            received: self.received,
            deposed: self.deposed.clone(),
        }
    }
}

/// What is told of a successor at the end of a row or message: nodes that do not know of it stop
/// reading before, and of what they write it is not known.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SuccessorDetails {
    /// When the server started, by its own clock; none if it is not known.
    pub started_ms: Option<u64>,
    /// What it had received when it was chosen; the start of the log if that is not known.
    pub received: Position,
    /// The primary that steps down for it and lives on, until it has been ordered to lead.
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

/// Whether a node holds the lease to use leads, of whatever group; `reported_at` is the moment up to which
/// the store has told of all successions in this life of the node, none if it has not.
pub fn holds_leader_lease(reported_at: Option<Timestamp>, now: Timestamp) -> bool {
    reported_at.is_some_and(|reported_at| now < reported_at + LEADER_LEASE)
}

/// What the node that has decided does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundState {
    /// It waits: a node may still use the former primary.
    Wait,
    /// It asks the store whether the decision is still the newest.
    Verify,
    /// It orders the successor to lead, at once.
    Promote,
    /// It does nothing: there is a newer decision.
    Superseded,
}

/// The round in which the other nodes yield to a succession.
#[derive(Debug, Clone)]
pub struct LeaseReleaseRound {
    token: u64,
    /// When the store had acknowledged the decision.
    stored_at: Timestamp,
    /// When the last question left that showed that there was no newer decision.
    verified_at: Timestamp,
    /// The nodes that have not yielded.
    pending: BTreeSet<String>,
}

impl LeaseReleaseRound {
    /// The round of a decision that was sent to the store and acknowledged at these moments, among
    /// all other nodes that may use a lead.
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

    /// The decision's token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Takes in another node that may use a lead.
    pub fn add_node(&mut self, node: String) {
        self.pending.insert(node);
    }

    /// Takes in that a node has yielded to a succession, to this one or to a newer one.
    pub fn record_release(&mut self, node: &str, token: u64) {
        if token >= self.token {
            self.pending.remove(node);
        }
    }

    /// Takes in that nobody can use the former primary any more, since it has stepped down.
    pub fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Takes in that the store's answer to a question which left at `asked_at` showed no newer
    /// decision.
    pub fn record_verification(&mut self, asked_at: Timestamp) {
        self.verified_at = asked_at;
    }

    /// Whether a node has not yielded.
    pub fn is_pending(&self, node: &str) -> bool {
        self.pending.contains(node)
    }

    /// What is to be done, when `newest` is the highest token that is known for the group.
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
