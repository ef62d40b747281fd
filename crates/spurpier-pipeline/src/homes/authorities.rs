//! The nodes that count tenants' operations.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::chosen::{PeerNode, peer_node};
use super::{Homes, staying};
use crate::node_entry::{ListedNode, NodeEntry};
use crate::quota::Scope;

/// What nodes are ranked for as those that count operations, before the seat or the zone.
const COUNTED_SUBJECT: &str = "quota";
/// How many nodes are ranked for a seat: the second and third take the place of those that cannot
/// be reached.
const AUTHORITIES: usize = 3;

impl Homes {
    /// The nodes that may count tenants' operations for a scope, in the order in which all its nodes
    /// ask them; this node alone before any is known.
    pub fn authorities(&self, scope: Scope) -> Arc<Vec<PeerNode>> {
        let mut inner = self.lock();
        if let Some(authorities) = inner.authorities.get(&scope) {
            return Arc::clone(authorities);
        }
        let Some(nodes) = &inner.nodes else {
            return Arc::new(vec![peer_node(&self.own_name, &self.own)]);
        };
        let mut nodes = staying(nodes);
        nodes.entry(&self.own_name).or_insert(&self.own);
        let ranked = match scope {
            Scope::Shard(seat) => self.rank_for_seat(&nodes, seat),
            Scope::Zone => self.rank_in_zone(&nodes),
        };
        let authorities = Arc::new(ranked);
        inner.authorities.insert(scope, Arc::clone(&authorities));
        authorities
    }

    /// How many nodes are listed that may ask for a scope; one before any is known.
    pub fn voter_count(&self, scope: Scope) -> usize {
        let inner = self.lock();
        let Some(nodes) = &inner.nodes else {
            return 1;
        };
        let count = match scope {
            Scope::Shard(_) => nodes.len(),
            Scope::Zone => self.listed_in_zone(nodes),
        };
        count.max(1)
    }

    fn listed_in_zone(&self, nodes: &BTreeMap<String, ListedNode>) -> usize {
        let zones = nodes.values().map(|node| &node.entry.zone);
        zones.filter(|zone| **zone == self.own.zone).count()
    }

    fn rank_for_seat(&self, nodes: &BTreeMap<&str, &NodeEntry>, seat: u8) -> Vec<PeerNode> {
        let subject = format!("{COUNTED_SUBJECT}{seat}");
        self.place.rank_apart(nodes, &subject, AUTHORITIES)
    }

    fn rank_in_zone(&self, nodes: &BTreeMap<&str, &NodeEntry>) -> Vec<PeerNode> {
        let in_zone = nodes.iter().filter(|(_, node)| node.zone == self.own.zone);
        let in_zone = in_zone.map(|(name, node)| (*name, *node)).collect();
        let subject = format!("{COUNTED_SUBJECT} {}", self.own.zone);
        self.place.rank_apart(&in_zone, &subject, AUTHORITIES)
    }
}
