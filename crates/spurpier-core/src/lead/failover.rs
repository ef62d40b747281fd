//! Whether a group's primary is to be replaced, and by which server.

use std::time::Duration;

use crate::position::Position;

/// A proof of lead younger than this says that the primary serves. A node that is asked has the
/// lead proved anew unless its proof is fresh, so that an older one tells of a failed attempt.
const PROOF_VALIDITY: Duration = Duration::from_millis(550);

/// For how long a primary is not replaced while some nodes do not answer: most cuts are over by then,
/// and nodes that died have started again.
pub const SPLIT_PATIENCE: Duration = Duration::from_secs(8);

/// What one node sees of a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sight {
    /// How long ago the message left that proved the lead last; none if none is known.
    pub proven_ago: Option<Duration>,
}

impl Sight {
    /// Whether the node sees the primary serve.
    pub fn sees_primary(self) -> bool {
        self.proven_ago.is_some_and(|ago| ago < PROOF_VALIDITY)
    }
}

/// What is known when a primary has left this node without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Missing {
    /// For how long every attempt to have the lead proved has failed here.
    pub missing_for: Duration,
    /// What the other nodes that answered see.
    pub peers: Vec<Sight>,
    /// How many other nodes were asked.
    pub asked: usize,
    /// Whether any server is listed as primary.
    pub listed: bool,
    /// Whether all nodes answer that may use the primary.
    pub reaches_all: bool,
}

/// What is to be done about a primary that does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing: it serves others, or too little is known.
    Keep,
    /// Another server is to take over.
    Replace,
}

/// Judges a missing primary: one node's silence is no proof of a server's end.
///
/// More nodes must miss the primary than see it. A node that hears from none of the others may
/// be cut off itself; it waits until the directory has dropped the primary as well. While
/// other nodes do not answer, they may be cut off together with the primary and use it: replacing it
/// would take it from them as well, so that it is put off for [`SPLIT_PATIENCE`].
pub fn judge(missing: &Missing, patience: Duration) -> Verdict {
    if missing.missing_for < patience {
        return Verdict::Keep;
    }
    if !missing.reaches_all && missing.missing_for < SPLIT_PATIENCE {
        return Verdict::Keep;
    }
    if missing.peers.is_empty() && missing.asked > 0 {
        return if missing.listed {
            Verdict::Keep
        } else {
            Verdict::Replace
        };
    }
    let seeing = missing.peers.iter().filter(|sight| sight.sees_primary());
    let seeing = seeing.count();
    // This node misses it too.
    let missing_it = missing.peers.len() - seeing + 1;
    if missing_it > seeing {
        Verdict::Replace
    } else {
        Verdict::Keep
    }
}

/// A replica that may take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The last position that it has received; none if it did not tell.
    pub received: Option<Position>,
    /// Whether it stays, and may lead where it stands.
    pub staying: bool,
    /// How well its place fits as the primary's; the greater one goes first among those that
    /// received as much.
    pub fit: u64,
}

/// The replica that takes over: of those that stay, the one that received most.
///
/// With `synchronous_replicas` above zero an acknowledged commit stands on at least so many
/// replicas. The successor surely holds it if at most `synchronous_replicas - 1` replicas did not
/// tell what they received and no replica that leaves has received more. None if that is not so.
pub fn choose_successor(candidates: &[Candidate], synchronous_replicas: usize) -> Option<usize> {
    let staying = candidates.iter().enumerate();
    let staying = staying.filter(|(_, candidate)| candidate.staying);
    let (index, best) = staying.max_by_key(|(_, candidate)| (candidate.received, candidate.fit))?;
    if synchronous_replicas == 0 {
        return Some(index);
    }
    best.received?;
    let silent = candidates
        .iter()
        .filter(|candidate| candidate.received.is_none())
        .count();
    let furthest = candidates.iter().map(|candidate| candidate.received).max();
    let holds_all = silent < synchronous_replicas && furthest == Some(best.received);
    holds_all.then_some(index)
}
