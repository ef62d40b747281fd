//! Selection of quota authorities: the nodes that count tenants' operations.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::chosen::{PeerNode, peer_node};
use super::{Homes, nodes_not_leaving};
use crate::node_entry::{ListedNode, NodeEntry};
use crate::quota::Scope;

/// Prefix of the ranking subject; the quota shard's number or the zone follows. All nodes must use
/// the same subjects, because the ranks are computed from their hashes.
const QUOTA_SUBJECT: &str = "quota";
/// How many nodes are ranked for a scope: the second and third replace authorities that are
/// unreachable.
const AUTHORITY_CANDIDATES: usize = 3;

impl Homes {
    /// The nodes that may count tenants' operations for a scope, in the order in which every node
    /// of the scope tries them; only this node before the node list is known.
    pub fn authorities(&self, scope: Scope) -> Arc<Vec<PeerNode>> {
        let mut inner = self.lock();
        if let Some(authorities) = inner.authorities.get(&scope) {
            return Arc::clone(authorities);
        }
        let Some(nodes) = &inner.nodes else {
            return Arc::new(vec![peer_node(&self.own_name, &self.own)]);
        };
        let mut nodes = nodes_not_leaving(nodes);
        nodes.entry(&self.own_name).or_insert(&self.own);
        let ranked = match scope {
            Scope::Shard(seat) => self.rank_for_seat(&nodes, seat),
            Scope::Zone => self.rank_in_zone(&nodes),
        };
        let authorities = Arc::new(ranked);
        inner.authorities.insert(scope, Arc::clone(&authorities));
        authorities
    }

    /// How many listed nodes may request permits in a scope; 1 before the node list is known.
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
        let subject = format!("{QUOTA_SUBJECT}{seat}");
        self.locality
            .rank_diverse(nodes, &subject, AUTHORITY_CANDIDATES)
    }

    fn rank_in_zone(&self, nodes: &BTreeMap<&str, &NodeEntry>) -> Vec<PeerNode> {
        let in_zone = nodes.iter().filter(|(_, node)| node.zone == self.own.zone);
        let in_zone = in_zone.map(|(name, node)| (*name, *node)).collect();
        let subject = format!("{QUOTA_SUBJECT} {}", self.own.zone);
        self.locality
            .rank_diverse(&in_zone, &subject, AUTHORITY_CANDIDATES)
    }
}
