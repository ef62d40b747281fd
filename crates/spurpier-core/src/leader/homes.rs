//! Which nodes are the homes of a group: the nodes that hold connections to its servers.
//!
//! A server accepts a limited number of connections from all nodes together. If there are too few
//! for every node, only some nodes of each zone connect to a group's servers, and the others
//! forward their units to one of these homes. Every node ranks the same nodes in the same order by
//! weighted rendezvous hashing, so that a node that joins or leaves moves only the groups for which
//! it ranks among the homes.

use std::cmp::{Ordering, Reverse};

use crate::homes::{rendezvous_score, subject_digest};
use crate::membership::NodeKey;
use crate::ranks::Rankable;

/// Every node is a home if each can have at least this many connections to each server. Then no
/// unit is forwarded, and the loss of a node does not affect units of other nodes.
const MIN_CONNECTIONS_PER_NODE: usize = 3;
/// Connections to each server that a home has if not every node is one. With fewer, transactions
/// that hold their connections leave none for single statements. With more, fewer nodes share the
/// group's work.
const CONNECTIONS_PER_HOME: usize = 6;
/// The most homes of a group, however many connections its servers accept: two in each of six
/// zones, so that a zone keeps one while the other restarts.
///
/// A failover asks all homes, and each keeps its own leadership proof. With 138 homes for each of
/// 20 groups on 295 nodes, nodes spent most of their CPU time on that.
pub const MAX_HOMES: usize = 12;

/// A node as it is ranked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankedNode {
    /// The digest of its name.
    pub key: NodeKey,
    /// Its capacity relative to the other nodes; above zero.
    pub weight: f64,
}

/// How many homes a group has in each zone if `nodes` in `zones` share `connections` to each
/// server; at least one, and possibly more than the zone has nodes.
pub fn homes_per_zone(connections: usize, nodes: usize, zones: usize) -> usize {
    if nodes <= MAX_HOMES && nodes * MIN_CONNECTIONS_PER_NODE <= connections {
        return nodes.max(1);
    }
    let homes = (connections / CONNECTIONS_PER_HOME).min(MAX_HOMES);
    (homes / zones.max(1)).max(1)
}

/// Ranks the nodes of a zone as homes of a group: their indices, best first.
///
/// Callers that follow membership changes keep a [`RankTable`](crate::ranks::RankTable) instead.
pub fn rank_homes(group: &str, nodes: &[RankedNode]) -> Vec<usize> {
    let digest = subject_digest(group);
    let mut order: Vec<usize> = (0..nodes.len()).collect();
    order.sort_by_cached_key(|index| Reverse(nodes[*index].score(digest)));
    order
}

/// A weighted rendezvous score: a node with twice the weight ranks first for twice as many
/// subjects.
///
/// Equal scores are ordered by the node's key, so that the order is total.
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
        /// Bits of a hash that an `f64` represents exactly.
        const EXACT_BITS: u32 = 53;
        let hash = rendezvous_score(subject_digest, self.key) >> (u64::BITS - EXACT_BITS);
        // Strictly between zero and one for every hash, so that the logarithm is finite and
        // negative.
        let uniform = (hash as f64 + 0.5) / (1_u64 << EXACT_BITS) as f64;
        WeightedScore {
            score: -self.weight / uniform.ln(),
            key: self.key,
        }
    }
}
