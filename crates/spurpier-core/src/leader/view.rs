//! One node's view of a group: which server leads, and what is known of the log.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{LeadershipProof, LeadershipProofs, Succession};
use crate::directory::Incarnation;
use crate::position::Position;
use crate::time::Timestamp;

/// How long a server that refused leadership is not asked again, unless its directory entry
/// changes.
const REFUSAL_TTL: Duration = Duration::from_millis(150);

/// Why a server's acceptance of a leader-only message proves nothing about the group's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofError {
    /// The server's incarnation has ended: another one answered under its name and address.
    IncarnationEnded,
    /// The server lacks log that it had reported as the leader: it has restarted without its log.
    LogLost,
}

/// The server that last reported its position as the leader, and the highest position that it has
/// reported.
///
/// The log of a leader only grows. A server that restarts under the same name may have an empty
/// log, and the directory lists its former incarnation until its next entry is known. A position
/// that goes back reveals the restart. Another server may lead with a shorter log after its
/// promotion.
#[derive(Debug, Clone)]
struct LeaderPosition {
    server: Incarnation,
    position: Position,
    /// When the answer that reported the position arrived.
    observed_at: Timestamp,
}

impl LeaderPosition {
    /// Whether `position` of a server is behind what the server has reported as the leader, in this
    /// or another incarnation.
    fn is_ahead_of(&self, server: &Incarnation, position: Position) -> bool {
        self.server.name() == server.name() && position < self.position
    }

    /// Whether an answer shows that the server has lost part of its log. Answers to messages that
    /// were in flight at the same time may arrive in any order, so only an answer to a message sent
    /// after `observed_at` counts.
    fn contradicts(&self, server: &Incarnation, proof: LeadershipProof) -> bool {
        self.is_ahead_of(server, proof.position) && proof.sent_at >= self.observed_at
    }

    fn record(&mut self, server: &Incarnation, position: Position, now: Timestamp) {
        let is_other = self.server.name() != server.name();
        if is_other || position > self.position {
            *self = LeaderPosition {
                server: server.clone(),
                position,
                observed_at: now,
            };
        }
    }
}

/// One node's view of a group: which server leads, and what is known of the log.
#[derive(Debug, Clone, Default)]
pub struct LeaderView {
    /// The incarnations of servers that the directory has listed and that have not ended.
    incarnations: BTreeSet<Incarnation>,
    leader: Option<Incarnation>,
    /// The server that last proved its leadership, even if it has lost leadership since.
    last_leader: Option<Incarnation>,
    /// Servers that refused leadership, and until when they are not asked again.
    refused_until: HashMap<Incarnation, Timestamp>,
    proofs: LeadershipProofs,
    /// The newest proof that this node obtained itself.
    own_proof: Option<LeadershipProof>,
    leader_position: Option<LeaderPosition>,
    /// The newest decision on who leads.
    succession: Option<Succession>,
}

impl LeaderView {
    /// Adds an incarnation of a server that the directory lists.
    pub fn add_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnations.insert(incarnation);
    }

    /// Removes an incarnation that has ended, or that left long ago. Its later answers are not
    /// believed.
    pub fn remove_incarnation(&mut self, incarnation: &Incarnation) {
        self.incarnations.remove(incarnation);
        self.refused_until.remove(incarnation);
        if self.leader.as_ref() == Some(incarnation) {
            self.leader = None;
        }
    }

    /// The known incarnations of the same server except `present`.
    pub fn other_incarnations_of(&self, present: &Incarnation) -> Vec<Incarnation> {
        let others = self.incarnations.iter();
        let others = others.filter(|known| known.is_other_incarnation_of(present));
        others.cloned().collect()
    }

    /// Records that a server's directory entry changed. The server may be asked for a proof again,
    /// and is no longer the leader if the entry does not claim that.
    pub fn record_entry_change(&mut self, incarnation: &Incarnation, claims_leadership: bool) {
        self.refused_until.remove(incarnation);
        if self.leader.as_ref() == Some(incarnation) && !claims_leadership {
            self.leader = None;
        }
    }

    /// The server that last proved its leadership, unless it has lost leadership since.
    pub fn leader(&self) -> Option<&Incarnation> {
        self.leader.as_ref()
    }

    /// Whether this server is the last known leader, even if it has lost leadership since.
    pub fn was_last_leader(&self, incarnation: &Incarnation) -> bool {
        self.last_leader.as_ref() == Some(incarnation)
    }

    /// Whether a server may be asked for a leadership proof: no other server has been decided on as
    /// the successor, and this one has not refused recently.
    pub fn is_leader_candidate(&self, incarnation: &Incarnation, now: Timestamp) -> bool {
        let refused_until = self.refused_until.get(incarnation);
        self.is_successor(incarnation) && refused_until.is_none_or(|until| *until <= now)
    }

    /// The newest succession; `None` if there was none.
    pub fn succession(&self) -> Option<&Succession> {
        self.succession.as_ref()
    }

    /// The fencing token of the newest succession; 0 if there was none.
    pub fn token(&self) -> u64 {
        self.succession.as_ref().map_or(0, |newest| newest.token)
    }

    /// Whether the newest succession names this incarnation of a server; true if there was no
    /// succession.
    pub fn is_successor(&self, incarnation: &Incarnation) -> bool {
        let newest = self.succession.as_ref();
        newest.is_none_or(|newest| newest.successor == *incarnation)
    }

    /// Whether the server is another incarnation of the successor that the newest succession names.
    /// It is not the successor, but its log may hold all that the former incarnation's did.
    pub fn is_restarted_successor(&self, incarnation: &Incarnation) -> bool {
        let newest = self.succession.as_ref();
        newest.is_some_and(|newest| incarnation.is_other_incarnation_of(&newest.successor))
    }

    /// Applies the decision that a server takes over: from now on no other server is used as the
    /// leader. Returns whether the decision is newer than the known one.
    pub fn apply_succession(&mut self, succession: &Succession, now: Timestamp) -> bool {
        if succession.token <= self.token() {
            return false;
        }
        self.succession = Some(succession.clone());
        self.refused_until.remove(&succession.successor);
        // The successor may lack log that the former leader had reported, but not what it had
        // itself received. Answers to messages sent before this moment may report an older
        // position.
        self.leader_position = Some(LeaderPosition {
            server: succession.successor.clone(),
            position: succession.received,
            observed_at: now,
        });
        if self.leader.as_ref() != Some(&succession.successor) {
            self.leader = None;
        }
        if let Some(deposed) = &succession.deposed {
            self.last_leader = Some(deposed.clone());
        }
        true
    }

    /// Whether `position` of a server is behind what the server has reported as the leader.
    pub fn has_lost_log(&self, incarnation: &Incarnation, position: Position) -> bool {
        let known = self.leader_position.as_ref();
        known.is_some_and(|known| known.is_ahead_of(incarnation, position))
    }

    /// Checks the position that a presumed leader has reported.
    ///
    /// # Errors
    ///
    /// [`ProofError`] if the server cannot be the known leader: its incarnation has ended, or it
    /// has lost part of its log.
    pub fn check_position(
        &self,
        incarnation: &Incarnation,
        proof: LeadershipProof,
    ) -> Result<(), ProofError> {
        if !self.incarnations.contains(incarnation) {
            return Err(ProofError::IncarnationEnded);
        }
        let known = self.leader_position.as_ref();
        if known.is_some_and(|known| known.contradicts(incarnation, proof)) {
            return Err(ProofError::LogLost);
        }
        Ok(())
    }

    /// Records that a server accepted a message that only the leader accepts; `now` is when its
    /// answer arrived. Returns whether the server was not known as the leader before.
    ///
    /// # Errors
    ///
    /// [`ProofError`] if the answer proves nothing about the group's log.
    pub fn record_proof(
        &mut self,
        incarnation: &Incarnation,
        proof: LeadershipProof,
        now: Timestamp,
    ) -> Result<bool, ProofError> {
        self.check_position(incarnation, proof)?;
        let position = proof.position;
        match &mut self.leader_position {
            Some(known) => known.record(incarnation, position, now),
            None => {
                self.leader_position = Some(LeaderPosition {
                    server: incarnation.clone(),
                    position,
                    observed_at: now,
                });
            }
        }
        self.proofs.record(proof);
        let newest = self.own_proof;
        if newest.is_none_or(|known| known.sent_at <= proof.sent_at) {
            self.own_proof = Some(proof);
        }
        self.refused_until.remove(incarnation);
        let is_new = self.leader.as_ref() != Some(incarnation);
        if is_new {
            self.leader = Some(incarnation.clone());
            self.last_leader = Some(incarnation.clone());
        }
        Ok(is_new)
    }

    /// Records a proof that another node has reported.
    ///
    /// The proof may come from a former leader, so its position sets no lower bound for the present
    /// leader's log.
    pub fn record_reported_proof(&mut self, proof: LeadershipProof) {
        self.proofs.record(proof);
    }

    /// Records that a server refused because it is not the leader. Returns whether it was known as
    /// the leader.
    pub fn record_refusal(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        self.refused_until
            .insert(incarnation.clone(), now + REFUSAL_TTL);
        let lost = self.leader.as_ref() == Some(incarnation);
        if lost {
            self.leader = None;
        }
        lost
    }

    /// The proofs that this node obtained or that other nodes reported.
    pub fn proofs(&self) -> &LeadershipProofs {
        &self.proofs
    }

    /// The newest proof that this node obtained itself.
    pub fn own_proof(&self) -> Option<LeadershipProof> {
        self.own_proof
    }
}
