//! What one node knows of who leads a group, and of the group's log.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{LeadershipProof, LeadershipProofs, Succession};
use crate::directory::Incarnation;
use crate::position::Position;
use crate::time::Timestamp;

/// For how long a server that refused the lead is not asked again, unless its entry changes.
const REFUSAL_TTL: Duration = Duration::from_millis(150);

/// Why a message that only a lead accepts proves nothing of the group's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofError {
    /// The server's life is over: another one answered under its name and address.
    IncarnationEnded,
    /// The server lacks what it had shown before as the lead: it has started again without its log.
    LogLost,
}

/// The server that showed its log as the lead last, the greatest position that it has shown, and when
/// that answer came.
///
/// The log of a server that leads only grows. One that starts again under its name may hold nothing,
/// and the directory tells of its former life until its next entry is known: what it shows gives it
/// away. Another server that leads may hold less: then it was promoted.
#[derive(Debug, Clone)]
struct LeaderPosition {
    server: Incarnation,
    position: Position,
    observed_at: Timestamp,
}

impl LeaderPosition {
    /// Whether a server lacks what it has shown as the lead, in this life or in another one.
    fn is_ahead_of(&self, server: &Incarnation, position: Position) -> bool {
        self.server.name() == server.name() && position < self.position
    }

    /// Whether an answer shows a log that has lost something. Answers to messages that were under
    /// way at the same time may come in any order.
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

/// What one node knows of who leads a group, and of the group's log.
#[derive(Debug, Clone, Default)]
pub struct LeaderView {
    /// The lives of servers that the directory has told of.
    incarnations: BTreeSet<Incarnation>,
    leader: Option<Incarnation>,
    /// The server that proved the lead last, also if it has lost it since.
    last_leader: Option<Incarnation>,
    refused_until: HashMap<Incarnation, Timestamp>,
    proofs: LeadershipProofs,
    /// The newest proof that this node had itself.
    own_proof: Option<LeadershipProof>,
    leader_position: Option<LeaderPosition>,
    /// The newest decision on who leads.
    succession: Option<Succession>,
}

impl LeaderView {
    /// Takes in a life of a server.
    pub fn add_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnations.insert(incarnation);
    }

    /// Forgets a life that is over, or that left long ago: nothing that it shows counts any more.
    pub fn remove_incarnation(&mut self, incarnation: &Incarnation) {
        self.incarnations.remove(incarnation);
        self.refused_until.remove(incarnation);
        if self.leader.as_ref() == Some(incarnation) {
            self.leader = None;
        }
    }

    /// The known lives of the same server but for this one.
    pub fn other_incarnations_of(&self, present: &Incarnation) -> Vec<Incarnation> {
        let others = self.incarnations.iter();
        let others = others.filter(|known| known.is_other_incarnation_of(present));
        others.cloned().collect()
    }

    /// Takes in that a server's entry changed: it may be asked for the lead again.
    pub fn record_entry_change(&mut self, incarnation: &Incarnation, claims_leadership: bool) {
        self.refused_until.remove(incarnation);
        if self.leader.as_ref() == Some(incarnation) && !claims_leadership {
            self.leader = None;
        }
    }

    /// The server that proved the lead last, unless it has lost it since.
    pub fn leader(&self) -> Option<&Incarnation> {
        self.leader.as_ref()
    }

    /// Whether this server was the last one that proved the lead to this node.
    pub fn was_last_leader(&self, incarnation: &Incarnation) -> bool {
        self.last_leader.as_ref() == Some(incarnation)
    }

    /// Whether a server may be asked for the lead: no other has been decided on, and it has not just
    /// refused.
    pub fn is_leader_candidate(&self, incarnation: &Incarnation, now: Timestamp) -> bool {
        let refused_until = self.refused_until.get(incarnation);
        self.is_successor(incarnation) && refused_until.is_none_or(|until| *until <= now)
    }

    /// The newest succession; none if there was none.
    pub fn succession(&self) -> Option<&Succession> {
        self.succession.as_ref()
    }

    /// The token of the newest succession; 0 if there was none.
    pub fn token(&self) -> u64 {
        self.succession.as_ref().map_or(0, |newest| newest.token)
    }

    /// Whether the newest succession, if there is one, names this life of a server.
    pub fn is_successor(&self, incarnation: &Incarnation) -> bool {
        let newest = self.succession.as_ref();
        newest.is_none_or(|newest| newest.successor == *incarnation)
    }

    /// Whether a server is another life of the one that the newest succession names: it is no
    /// successor, and may hold all that its former life did.
    pub fn is_restarted_successor(&self, incarnation: &Incarnation) -> bool {
        let newest = self.succession.as_ref();
        newest.is_some_and(|newest| incarnation.is_other_incarnation_of(&newest.successor))
    }

    /// Takes in that a server takes over: from now on no other is used as the lead. Tells whether
    /// that is new.
    pub fn apply_succession(&mut self, succession: &Succession, now: Timestamp) -> bool {
        if succession.token <= self.token() {
            return false;
        }
        self.succession = Some(succession.clone());
        self.refused_until.remove(&succession.successor);
        // A successor may lack what the former lead had shown, but nothing that it had received.
        // What it showed before this moment may be older.
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

    /// Whether a server that holds a position lacks what it has shown as the lead.
    pub fn has_lost_log(&self, incarnation: &Incarnation, position: Position) -> bool {
        let known = self.leader_position.as_ref();
        known.is_some_and(|known| known.is_ahead_of(incarnation, position))
    }

    /// Checks what a server that is taken for the lead has shown of its log.
    ///
    /// # Errors
    ///
    /// [`ProofError`] if it cannot be the lead that was known.
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

    /// Takes in that a server accepted a message which only the lead accepts; `now` is the moment
    /// of its answer. Tells whether another server led before.
    ///
    /// # Errors
    ///
    /// [`ProofError`] if that says nothing of the group's log.
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

    /// Takes in a proof that another node has told of.
    ///
    /// It may be of the former lead, so that what it shows is no bound for the present one.
    pub fn record_reported_proof(&mut self, proof: LeadershipProof) {
        self.proofs.record(proof);
    }

    /// Takes in that a server refused as one that does not lead; tells whether it led as far as was
    /// known.
    pub fn record_refusal(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        self.refused_until
            .insert(incarnation.clone(), now + REFUSAL_TTL);
        let lost = self.leader.as_ref() == Some(incarnation);
        if lost {
            self.leader = None;
        }
        lost
    }

    /// What the proofs say of the group's log.
    pub fn proofs(&self) -> &LeadershipProofs {
        &self.proofs
    }

    /// The newest proof that this node had itself.
    pub fn own_proof(&self) -> Option<LeadershipProof> {
        self.own_proof
    }
}
