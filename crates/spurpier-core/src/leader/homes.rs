//! Which nodes are the homes of a group: those that hold the connections to its servers.
//!
//! A server takes few connections from all nodes together. Where they do not go round, only some
//! nodes of each zone connect to a group's servers, and the others hand their units to one of
//! these. Every node ranks the same nodes in the same order, by weighted rendezvous, so that a
//! node that comes or goes moves only the groups in whose first ranks it stands.

use std::cmp::{Ordering, Reverse};

use crate::homes::{rendezvous_score, subject_digest};
use crate::membership::NodeKey;
use crate::ranks::Rankable;

/// Every node is a home where each has at least so many connections to each server: no unit is
/// forwarded, and the loss of a node takes no other node's units with it.
const MIN_CONNECTIONS_PER_NODE: usize = 3;
/// Otherwise a home has so many: with fewer, transactions that rest on their connections leave
/// none for single statements, and with more, fewer nodes carry the group's work.
const CONNECTIONS_PER_HOME: usize = 6;
/// The most homes of a group, whatever connections its servers take. Two in each of six zones, so
/// that a zone keeps one while the other restarts; a fail-over asks all of them, and each keeps its
/// own proof of the lead. With 138 homes of each of 20 groups on 295 nodes a node spent most of its
/// processor time on them.
pub const MAX_HOMES: usize = 12;

/// A node as it is ranked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankedNode {
    /// The digest of its name.
    pub key: NodeKey,
    /// How much it can do beside the others; above zero.
    pub weight: f64,
}

/// How many homes a group has in each zone, for so many connections to each server that `nodes`
/// in `zones` share; at most all nodes of the zone, at least one.
pub fn homes_per_zone(connections: usize, nodes: usize, zones: usize) -> usize {
    if nodes <= MAX_HOMES && nodes * MIN_CONNECTIONS_PER_NODE <= connections {
        return nodes.max(1);
    }
    let homes = (connections / CONNECTIONS_PER_HOME).min(MAX_HOMES);
    (homes / zones.max(1)).max(1)
}

/// The order in which the nodes of a zone are homes of a group: indices, best first.
///
/// What follows the changes of a fleet keeps a [`RankTable`](crate::ranks::RankTable) instead.
pub fn rank_homes(group: &str, nodes: &[RankedNode]) -> Vec<usize> {
    let digest = subject_digest(group);
    let mut order: Vec<usize> = (0..nodes.len()).collect();
    order.sort_by_cached_key(|index| Reverse(nodes[*index].score(digest)));
    order
}

/// Weighted rendezvous: a node with twice the weight ranks first for twice as many subjects.
#[derive(Debug, Clone, Copy)]
pub struct WeightedScore {
    score: f64,
    key: NodeKey,
}

impl Ord for WeightedScore {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then(self.key.cmp(&other.key))
    }
}

impl PartialOrd for WeightedScore {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for WeightedScore {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for WeightedScore {}

impl Rankable for RankedNode {
    type Score = WeightedScore;

    fn key(&self) -> NodeKey {
        self.key
    }

    fn score(&self, subject_digest: u64) -> WeightedScore {
        /// The bits of a hash that a floating-point number holds exactly.
        const EXACT_BITS: u32 = 53;
        let hash = rendezvous_score(subject_digest, self.key) >> (u64::BITS - EXACT_BITS);
        // Above zero and below one for every hash.
        let uniform = (hash as f64 + 0.5) / (1_u64 << EXACT_BITS) as f64;
        WeightedScore {
            score: -self.weight / uniform.ln(),
            key: self.key,
        }
    }
}
