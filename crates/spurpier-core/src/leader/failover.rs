//! Whether a group's primary is replaced, and by which server.

use std::time::Duration;

use crate::position::Position;

/// A leadership proof younger than this shows that the primary serves. A node that is asked for its
/// observation renews the proof unless it is recent, so an older proof indicates a failed attempt.
const PROOF_VALIDITY: Duration = Duration::from_millis(550);

/// How long a primary is kept while some nodes do not answer. Most partitions have healed by then,
/// and nodes that crashed have restarted.
pub const PARTITION_TIMEOUT: Duration = Duration::from_secs(8);

/// One node's observation of a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrimaryObservation {
    /// How long ago the message was sent whose answer last proved leadership; `None` if there is no
    /// proof.
    pub last_proof_age: Option<Duration>,
}

impl PrimaryObservation {
    /// Whether the node observes that the primary serves.
    pub fn observes_primary(self) -> bool {
        self.last_proof_age.is_some_and(|age| age < PROOF_VALIDITY)
    }
}

/// What is known about a primary that does not answer this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingPrimary {
    /// How long every attempt of this node to obtain a leadership proof has failed.
    pub missing_for: Duration,
    /// The observations of the other nodes that answered.
    pub peer_observations: Vec<PrimaryObservation>,
    /// How many other nodes were asked.
    pub peers_asked: usize,
    /// Whether the directory lists any server as primary.
    pub primary_listed: bool,
    /// Whether all nodes answer that may hold the leader lease and use the primary.
    pub all_holders_reachable: bool,
}

/// What is done about a primary that does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverDecision {
    /// The primary stays: it serves other nodes, or too little is known.
    Keep,
    /// Another server takes over.
    Replace,
}

/// Decides whether a missing primary is replaced.
///
/// A primary that one node cannot reach need not have failed: more nodes must miss it than observe
/// it. A node that no other node answers may be partitioned itself, and waits until the directory
/// has dropped the primary as well. Nodes that do not answer may be partitioned together with the
/// primary and still use it. Replacing it would take it from them, so that is deferred for
/// [`PARTITION_TIMEOUT`].
///
/// `failure_timeout` is how long the primary must have been missing at least.
pub fn decide_failover(missing: &MissingPrimary, failure_timeout: Duration) -> FailoverDecision {
    if missing.missing_for < failure_timeout {
        return FailoverDecision::Keep;
    }
    if !missing.all_holders_reachable && missing.missing_for < PARTITION_TIMEOUT {
        return FailoverDecision::Keep;
    }
    if missing.peer_observations.is_empty() && missing.peers_asked > 0 {
        return if missing.primary_listed {
            FailoverDecision::Keep
        } else {
            FailoverDecision::Replace
        };
    }
    let observing = missing
        .peer_observations
        .iter()
        .filter(|observation| observation.observes_primary());
    let observing = observing.count();
    // This node misses it too.
    let missing_it = missing.peer_observations.len() - observing + 1;
    if missing_it > observing {
        FailoverDecision::Replace
    } else {
        FailoverDecision::Keep
    }
}

/// A replica that may take over as primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessorCandidate {
    /// The last position that it has received; `None` if it did not report it.
    pub received: Option<Position>,
    /// Whether it may become the primary: it is not leaving, and its locality allows it.
    pub eligible: bool,
    /// How well its locality suits a primary. Decides between candidates that have received the
    /// same position; the higher score wins.
    pub placement_score: u64,
}

impl SuccessorCandidate {
    /// A server that cannot be asked and may hold acknowledged commits.
    pub const UNASKABLE: SuccessorCandidate = SuccessorCandidate {
        received: None,
        eligible: false,
        placement_score: 0,
    };
}

/// Whether the primary that is replaced is known, so that it is not among the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormerPrimary {
    /// It is known and not among the candidates.
    Excluded,
    /// It is not known, and any candidate may be it.
    Unknown,
}

impl FormerPrimary {
    /// How many candidates may leave their position unreported: fewer than store each acknowledged
    /// commit.
    const fn max_unreported(self, synchronous_replicas: usize) -> usize {
        match self {
            FormerPrimary::Excluded => synchronous_replicas - 1,
            FormerPrimary::Unknown => synchronous_replicas,
        }
    }
}

/// The index of the replica that takes over: the eligible one that has received most.
///
/// With `synchronous_replicas` above zero, the candidates must include every server that may hold
/// an acknowledged commit. Such a commit is stored on the primary and on at least that many
/// replicas. The successor is certain to hold it if fewer candidates than that did not report what
/// they received, and no ineligible candidate has received more. Otherwise the result is `None`.
pub fn choose_successor(
    candidates: &[SuccessorCandidate],
    synchronous_replicas: usize,
    former: FormerPrimary,
) -> Option<usize> {
    let eligible = candidates.iter().enumerate();
    let eligible = eligible.filter(|(_, candidate)| candidate.eligible);
    let (index, best) =
        eligible.max_by_key(|(_, candidate)| (candidate.received, candidate.placement_score))?;
    if synchronous_replicas == 0 {
        return Some(index);
    }
    best.received?;
    let unreported = candidates
        .iter()
        .filter(|candidate| candidate.received.is_none())
        .count();
    let furthest = candidates.iter().map(|candidate| candidate.received).max();
    let holds_all = unreported <= former.max_unreported(synchronous_replicas)
        && furthest == Some(best.received);
    holds_all.then_some(index)
}
