//! What proofs of lead say of a group's log.

use std::collections::VecDeque;
use std::time::Duration;

use crate::position::Position;
use crate::time::Timestamp;

/// Proofs closer together than this replace each other.
const PROOF_SPACING: Duration = Duration::from_millis(25);
/// How many proofs are kept.
const MAX_PROOFS: usize = 256;

/// The holder of the lead showed this position in answer to a message sent at this moment.
///
/// The position covers every commit acknowledged before `sent_at`: it was in the log of the only
/// server that could acknowledge commits when the message arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadershipProof {
    /// When the message left, on the steady clock of this node.
    pub sent_at: Timestamp,
    /// The position that the answer showed.
    pub position: Position,
}

/// The proofs of one group, oldest first.
#[derive(Debug, Clone, Default)]
pub struct LeadershipProofs {
    proofs: VecDeque<LeadershipProof>,
}

impl LeadershipProofs {
    /// Takes in a proof; answers may come in another order than their messages left.
    pub fn record(&mut self, proof: LeadershipProof) {
        let later = self.proofs.iter().rev();
        let behind = later.take_while(|known| known.sent_at > proof.sent_at);
        let at = self.proofs.len() - behind.count();
        if at < self.proofs.len() {
            // A later message showed a position already; this one adds only an older moment.
            return;
        }
        if self.replaces_last(proof.sent_at) {
            self.proofs.pop_back();
        }
        self.proofs.push_back(proof);
        if self.proofs.len() > MAX_PROOFS {
            self.proofs.pop_front();
        }
    }

    /// Whether the last proof may go: the one before it is close enough to the new one.
    fn replaces_last(&self, sent_at: Timestamp) -> bool {
        let before_last = self.proofs.len().checked_sub(2);
        before_last
            .and_then(|index| self.proofs.get(index))
            .is_some_and(|kept| sent_at.since(kept.sent_at) < PROOF_SPACING)
    }

    /// The oldest proof that covers every commit acknowledged before `since`.
    pub fn oldest_covering(&self, since: Timestamp) -> Option<LeadershipProof> {
        let index = self.proofs.partition_point(|proof| proof.sent_at < since);
        self.proofs.get(index).copied()
    }

    /// For how long the lead has held more than this position, as far as is known; zero if nothing
    /// newer is known.
    pub fn replication_lag(&self, position: Position, now: Timestamp) -> Duration {
        let beyond = self.proofs.iter().find(|proof| proof.position > position);
        beyond.map_or(Duration::ZERO, |proof| now.since(proof.sent_at))
    }

    /// The proof whose message left last.
    pub fn newest(&self) -> Option<LeadershipProof> {
        self.proofs.back().copied()
    }
}

/// The last commit of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionCommit {
    /// Where it stands in the group's log.
    pub position: Position,
    /// When its acknowledgement was taken in.
    pub acknowledged_at: Timestamp,
}

/// The position that a server's log must hold for a read that may lack only commits acknowledged
/// at or after `since`, and none of the session's own.
///
/// None when no proof is new enough. A proof sent after the session's commit was acknowledged
/// stands for that commit too. So does any proof of a newer term, since that term's log starts
/// with all that survived; positions order by term first, so that the greater one is right.
pub fn read_floor(
    proofs: &LeadershipProofs,
    since: Timestamp,
    own: Option<SessionCommit>,
) -> Option<Position> {
    let proof = proofs.oldest_covering(since)?;
    let floor = match own {
        Some(own) if proof.sent_at < own.acknowledged_at => proof.position.max(own.position),
        _ => proof.position,
    };
    Some(floor)
}
