//! Which server is asked to prove that it leads.

use crate::store_version::StoreVersion;

/// What is known of a server that may be the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderCandidate {
    /// Whether it is the server that last proved its leadership, and has not refused since.
    pub proved: bool,
    /// Whether its directory entry says that it is the primary.
    pub claims_leadership: bool,
    /// Whether its last messages went unanswered.
    pub unresponsive: bool,
    /// The version of its directory entry.
    pub version: StoreVersion,
}

/// The index of the server to ask for a proof that it leads; `None` if there are no candidates.
///
/// The server with the last proof comes first while it answers. Once it is unresponsive, every
/// responsive server precedes it, whatever the directory says: a promotion may have made another
/// server the leader, and the directory may be out of date. A server that is not the leader
/// refuses, which costs one round trip.
pub fn choose_leader_candidate(candidates: &[LeaderCandidate]) -> Option<usize> {
    let ranked = candidates.iter().enumerate();
    ranked
        .max_by_key(|(_, one)| {
            (
                !one.unresponsive,
                one.proved,
                one.claims_leadership,
                one.version,
            )
        })
        .map(|(index, _)| index)
}
