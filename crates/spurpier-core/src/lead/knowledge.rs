//! What one node knows of who leads a group, and of the group's log.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{LeadEvidence, Proof, Succession};
use crate::directory::Incarnation;
use crate::position::Position;
use crate::time::Timestamp;

/// For how long a server that refused the lead is not asked again, unless its entry changes.
const DENIAL: Duration = Duration::from_millis(150);

/// Why a message that only a lead accepts proves nothing of the group's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotProved {
    /// The server's life is over: another one answered under its name and address.
    LifeOver,
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
struct ShownByLead {
    server: Incarnation,
    position: Position,
    at: Timestamp,
}

impl ShownByLead {
    /// Whether a server lacks what it has shown as the lead, in this life or in another one.
    fn is_lacked(&self, server: &Incarnation, position: Position) -> bool {
        self.server.name() == server.name() && position < self.position
    }

    /// Whether an answer shows a log that has lost something. Answers to messages that were under
    /// way at the same time may come in any order.
    fn contradicts(&self, server: &Incarnation, shown: Proof) -> bool {
        self.is_lacked(server, shown.position) && shown.sent_at >= self.at
    }

    fn note(&mut self, server: &Incarnation, position: Position, now: Timestamp) {
        let is_other = self.server.name() != server.name();
        if is_other || position > self.position {
            *self = ShownByLead {
                server: server.clone(),
                position,
                at: now,
            };
        }
    }
}

/// What one node knows of who leads a group, and of the group's log.
#[derive(Debug, Clone, Default)]
pub struct LeadKnowledge {
    /// The lives of servers that the directory has told of.
    lives: BTreeSet<Incarnation>,
    lead: Option<Incarnation>,
    /// The server that proved the lead last, also if it has lost it since.
    led_last: Option<Incarnation>,
    denied: HashMap<Incarnation, Timestamp>,
    evidence: LeadEvidence,
    /// The newest proof that this node had itself.
    own_proof: Option<Proof>,
    shown: Option<ShownByLead>,
    /// The newest decision on who leads.
    succession: Option<Succession>,
}

impl LeadKnowledge {
    /// Takes in a life of a server.
    pub fn join(&mut self, incarnation: Incarnation) {
        self.lives.insert(incarnation);
    }

    /// Forgets a life that is over, or that left long ago: nothing that it shows counts any more.
    pub fn end_life(&mut self, incarnation: &Incarnation) {
        self.lives.remove(incarnation);
        self.denied.remove(incarnation);
        if self.lead.as_ref() == Some(incarnation) {
            self.lead = None;
        }
    }

    /// The known lives of the same server but for this one.
    pub fn other_lives_of(&self, present: &Incarnation) -> Vec<Incarnation> {
        let others = self.lives.iter();
        let others = others.filter(|known| known.is_other_life_of(present));
        others.cloned().collect()
    }

    /// Takes in that a server's entry changed: it may be asked for the lead again.
    pub fn note_entry(&mut self, incarnation: &Incarnation, claims_lead: bool) {
        self.denied.remove(incarnation);
        if self.lead.as_ref() == Some(incarnation) && !claims_lead {
            self.lead = None;
        }
    }

    /// The server that proved the lead last, unless it has lost it since.
    pub fn lead(&self) -> Option<&Incarnation> {
        self.lead.as_ref()
    }

    /// Whether this server was the last one that proved the lead to this node.
    pub fn led_last(&self, incarnation: &Incarnation) -> bool {
        self.led_last.as_ref() == Some(incarnation)
    }

    /// Whether a server may be asked for the lead: no other has been decided on, and it has not just
    /// refused.
    pub fn may_be_asked(&self, incarnation: &Incarnation, now: Timestamp) -> bool {
        let denied = self.denied.get(incarnation);
        self.is_successor(incarnation) && denied.is_none_or(|until| *until <= now)
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
        newest.is_some_and(|newest| incarnation.is_other_life_of(&newest.successor))
    }

    /// Takes in that a server takes over: from now on no other is used as the lead. Tells whether
    /// that is new.
    pub fn take_succession(&mut self, succession: &Succession, now: Timestamp) -> bool {
        if succession.token <= self.token() {
            return false;
        }
        self.succession = Some(succession.clone());
        self.denied.remove(&succession.successor);
        // A successor may lack what the former lead had shown, but nothing that it had received.
        // What it showed before this moment may be older.
        self.shown = Some(ShownByLead {
            server: succession.successor.clone(),
            position: succession.received,
            at: now,
        });
        if self.lead.as_ref() != Some(&succession.successor) {
            self.lead = None;
        }
        if let Some(deposed) = &succession.deposed {
            self.led_last = Some(deposed.clone());
        }
        true
    }

    /// Whether a server that holds a position lacks what it has shown as the lead.
    pub fn has_lost_log(&self, incarnation: &Incarnation, position: Position) -> bool {
        let shown = self.shown.as_ref();
        shown.is_some_and(|shown| shown.is_lacked(incarnation, position))
    }

    /// Checks what a server that is taken for the lead has shown of its log.
    ///
    /// # Errors
    ///
    /// [`NotProved`] if it cannot be the lead that was known.
    pub fn check_shown(&self, incarnation: &Incarnation, shown: Proof) -> Result<(), NotProved> {
        if !self.lives.contains(incarnation) {
            return Err(NotProved::LifeOver);
        }
        let known = self.shown.as_ref();
        if known.is_some_and(|known| known.contradicts(incarnation, shown)) {
            return Err(NotProved::LogLost);
        }
        Ok(())
    }

    /// Takes in that a server accepted a message which only the lead accepts; `now` is the moment
    /// of its answer. Tells whether another server led before.
    ///
    /// # Errors
    ///
    /// [`NotProved`] if that says nothing of the group's log.
    pub fn note_proof(
        &mut self,
        incarnation: &Incarnation,
        proof: Proof,
        now: Timestamp,
    ) -> Result<bool, NotProved> {
        self.check_shown(incarnation, proof)?;
        let position = proof.position;
        match &mut self.shown {
            Some(shown) => shown.note(incarnation, position, now),
            None => {
                self.shown = Some(ShownByLead {
                    server: incarnation.clone(),
                    position,
                    at: now,
                });
            }
        }
        self.evidence.record(proof);
        let newest = self.own_proof;
        if newest.is_none_or(|known| known.sent_at <= proof.sent_at) {
            self.own_proof = Some(proof);
        }
        self.denied.remove(incarnation);
        let is_new = self.lead.as_ref() != Some(incarnation);
        if is_new {
            self.lead = Some(incarnation.clone());
            self.led_last = Some(incarnation.clone());
        }
        Ok(is_new)
    }

    /// Takes in a proof that another node has told of.
    ///
    /// It may be of the former lead, so that what it shows is no bound for the present one.
    pub fn note_told_proof(&mut self, proof: Proof) {
        self.evidence.record(proof);
    }

    /// Takes in that a server refused as one that does not lead; tells whether it led as far as was
    /// known.
    pub fn note_denial(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        self.denied.insert(incarnation.clone(), now + DENIAL);
        let lost = self.lead.as_ref() == Some(incarnation);
        if lost {
            self.lead = None;
        }
        lost
    }

    /// What the proofs say of the group's log.
    pub fn evidence(&self) -> &LeadEvidence {
        &self.evidence
    }

    /// The newest proof that this node had itself.
    pub fn own_proof(&self) -> Option<Proof> {
        self.own_proof
    }
}
