//! Which server is asked for the lead.

use crate::store_version::StoreVersion;

/// What is known of a server that may lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderCandidate {
    /// Whether it proved the lead last, and has not refused it since.
    pub proved: bool,
    /// Whether its entry in the directory says that it leads.
    pub claims_leadership: bool,
    /// Whether it has left its last messages without an answer.
    pub unresponsive: bool,
    /// The version of its entry.
    pub version: StoreVersion,
}

/// The index of the server to ask for the lead; none if there is none to ask.
///
/// The one that proved the lead goes first while it answers. Once it is silent, any other that
/// answers goes before it, whatever the directory says: a promotion may have taken the lead, and
/// the directory may be old. A server that does not lead refuses, at the price of a round trip.
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
