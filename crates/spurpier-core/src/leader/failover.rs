//! Whether a group's primary is to be replaced, and by which server.

use std::time::Duration;

use crate::position::Position;

/// A proof of lead younger than this says that the primary serves. A node that is asked has the
/// lead proved anew unless its proof is fresh, so that an older one tells of a failed attempt.
const PROOF_VALIDITY: Duration = Duration::from_millis(550);

/// For how long a primary is not replaced while some nodes do not answer: most cuts are over by then,
/// and nodes that died have started again.
pub const PARTITION_TIMEOUT: Duration = Duration::from_secs(8);

/// What one node sees of a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrimaryObservation {
    /// How long ago the message left that proved the lead last; none if none is known.
    pub last_proof_age: Option<Duration>,
}

impl PrimaryObservation {
    /// Whether the node sees the primary serve.
    pub fn observes_primary(self) -> bool {
        self.last_proof_age.is_some_and(|age| age < PROOF_VALIDITY)
    }
}

/// What is known when a primary has left this node without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingPrimary {
    /// For how long every attempt to have the lead proved has failed here.
    pub missing_for: Duration,
    /// What the other nodes that answered see.
    pub peer_observations: Vec<PrimaryObservation>,
    /// How many other nodes were asked.
    pub peers_asked: usize,
    /// Whether any server is listed as primary.
    pub primary_listed: bool,
    /// Whether all nodes answer that may use the primary.
    pub all_holders_reachable: bool,
}

/// What is to be done about a primary that does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverDecision {
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
/// would take it from them as well, so that it is put off for [`PARTITION_TIMEOUT`].
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

/// A replica that may take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessorCandidate {
    /// The last position that it has received; none if it did not tell.
    pub received: Option<Position>,
    /// Whether it stays, and may lead where it stands.
    pub eligible: bool,
    /// How well its place fits as the primary's; the greater one goes first among those that
    /// received as much.
    pub placement_score: u64,
}

/// The replica that takes over: of those that stay, the one that received most.
///
/// With `synchronous_replicas` above zero an acknowledged commit stands on at least so many
/// replicas. The successor surely holds it if at most `synchronous_replicas - 1` replicas did not
/// tell what they received and no replica that leaves has received more. None if that is not so.
pub fn choose_successor(
    candidates: &[SuccessorCandidate],
    synchronous_replicas: usize,
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
    let holds_all = unreported < synchronous_replicas && furthest == Some(best.received);
    holds_all.then_some(index)
}
