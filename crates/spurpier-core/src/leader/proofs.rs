//! What proofs of leadership reveal about a group's log.

use std::collections::VecDeque;
use std::time::Duration;

use super::session_commits::SessionCommit;
use crate::position::Position;
use crate::time::Timestamp;

/// Proofs sent closer together than this replace each other.
const PROOF_SPACING: Duration = Duration::from_millis(25);
/// How many proofs are kept.
const MAX_PROOFS: usize = 256;

/// The log position that the leader reported in answer to a message.
///
/// The position covers every commit acknowledged before `sent_at`: it was in the log of the only
/// server that could acknowledge commits when the message arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadershipProof {
    /// When the message was sent, on this node's monotonic clock.
    pub sent_at: Timestamp,
    /// The position that the answer reported.
    pub position: Position,
}

/// The recent proofs of one group, oldest first.
#[derive(Debug, Clone, Default)]
pub struct LeadershipProofs {
    proofs: VecDeque<LeadershipProof>,
}

impl LeadershipProofs {
    /// Records a proof. Answers may arrive in another order than their messages were sent.
    pub fn record(&mut self, proof: LeadershipProof) {
        let later = self.proofs.iter().rev();
        let behind = later.take_while(|known| known.sent_at > proof.sent_at);
        let at = self.proofs.len() - behind.count();
        if at < self.proofs.len() {
            // The answer to a message sent later is known, and supersedes this one.
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

    /// Whether the last proof can be dropped because its predecessor is close enough to the new
    /// one.
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

    /// How long the leader's log has been ahead of `position`, as far as is known; zero if no newer
    /// position is known.
    pub fn replication_lag(&self, position: Position, now: Timestamp) -> Duration {
        let beyond = self.proofs.iter().find(|proof| proof.position > position);
        beyond.map_or(Duration::ZERO, |proof| now.since(proof.sent_at))
    }

    /// The proof whose message was sent last.
    pub fn newest(&self) -> Option<LeadershipProof> {
        self.proofs.back().copied()
    }
}

/// The position that a server's log must have reached to run a read. The read may miss commits
/// acknowledged at or after `since`, but not the session's own last commit `own`.
///
/// `None` if no proof is recent enough. A proof sent after the session's commit was acknowledged
/// covers that commit too. So does any proof of a newer term, since the log of that term starts
/// with all commits that survived. Positions are ordered by term first, so the maximum is correct.
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
