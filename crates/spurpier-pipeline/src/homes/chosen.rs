//! Selection of nodes per zone, as homes of a group or as watchers, and their distances.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use spurpier_core::homes::{rendezvous_score, subject_digest};
use spurpier_core::leader::{Distance, RankedNode, rank_homes};
use spurpier_core::membership::NodeKey;
use spurpier_core::quota::{NodeLocality, select_diverse_nodes};

use crate::node_entry::NodeEntry;
use crate::settings::PipelineSettings;

/// Assumed number of homes that share a server's connections until the node list is known.
const UNKNOWN_NODES: usize = 12;
/// Nodes whose bandwidth is below this fraction of the highest among the candidates are ranked
/// last. A watcher sends each update to all its followers: 1,400 new routes are 69 KB per follower,
/// which takes 1.4 s for 49 followers on a link of 20 Mbit/s.
const MIN_WIDE_LINK_SHARE: f64 = 0.5;

/// A node that other nodes can reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerNode {
    /// Its name in the node list.
    pub name: String,
    /// Its address for connections from other nodes.
    pub address: SocketAddr,
    /// The zone in which it runs.
    pub zone: String,
}

/// The nodes selected as homes of a group or as watchers, from the view of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenNodes {
    /// Whether this node is selected.
    pub is_own: bool,
    /// How many nodes are selected, including this node.
    pub count: usize,
    /// How many of `others` are in this node's region; they come first.
    pub near: usize,
    /// The selected nodes other than this one, nearest first.
    pub others: Vec<PeerNode>,
}

/// A home of a group, from the view of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Home {
    /// This node.
    Own,
    /// Another node.
    Peer(PeerNode),
}

impl ChosenNodes {
    /// All selected nodes in the order in which this node tries them: itself, then nearest first.
    pub fn nearest_first(&self) -> Vec<Home> {
        let own = self.is_own.then_some(Home::Own);
        let others = self.others.iter().cloned().map(Home::Peer);
        own.into_iter().chain(others).collect()
    }

    /// All selected nodes in the order in which this node tries them for a tenant. Nodes in zones
    /// that match `is_near` come first, in an order that depends only on the tenant, so that one of
    /// them holds the tenant's connections; the others follow, nearest first.
    pub fn ranked_for(
        &self,
        tenant: &str,
        own: (&str, &str),
        is_near: impl Fn(&str) -> bool,
    ) -> Vec<Home> {
        let (own_name, own_zone) = own;
        let mut homes = self.nearest_first();
        let digest = subject_digest(tenant);
        // The sort is stable: nodes that are not near come last in their previous order.
        homes.sort_by_cached_key(|home| {
            let (name, zone) = match home {
                Home::Own => (own_name, own_zone),
                Home::Peer(peer) => (peer.name.as_str(), peer.zone.as_str()),
            };
            let rank = rendezvous_score(digest, NodeKey(subject_digest(name)));
            let is_far = !is_near(zone);
            (is_far, Reverse(if is_far { 0 } else { rank }))
        });
        homes
    }

    /// The selection before the node list is known: only this node, with an assumed count.
    pub fn unknown() -> Self {
        ChosenNodes {
            is_own: true,
            count: UNKNOWN_NODES,
            near: 0,
            others: Vec::new(),
        }
    }
}

/// This node's locality, and the regions of all zones.
#[derive(Debug)]
pub struct OwnLocality {
    name: String,
    zone: String,
    region: String,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
}

impl OwnLocality {
    /// Reads the locality from the node's settings.
    pub fn new(settings: &PipelineSettings) -> Self {
        OwnLocality {
            name: settings.node.name.clone(),
            zone: settings.node.zone.clone(),
            region: settings.node.region.clone(),
            regions: settings.zones.clone(),
        }
    }

    /// Selects the best-ranked nodes of each zone, preferring high bandwidth. `per_zone` computes
    /// how many from the number of nodes and the number of zones.
    pub fn choose(
        &self,
        nodes: &BTreeMap<&str, &NodeEntry>,
        subject: &str,
        per_zone: impl FnOnce(usize, usize) -> usize,
    ) -> ChosenNodes {
        let mut zones: BTreeMap<&str, Vec<(&str, &NodeEntry)>> = BTreeMap::new();
        for (name, node) in nodes {
            let members = zones.entry(node.zone.as_str()).or_default();
            members.push((name, node));
        }
        let per_zone = per_zone(nodes.len(), zones.len());
        let mut chosen = Vec::new();
        for members in zones.into_values() {
            let order = rank_wide_first(&members, subject);
            let first = order.into_iter().take(per_zone);
            chosen.extend(first.map(|index| peer_node(members[index].0, members[index].1)));
        }
        self.gather(chosen)
    }

    /// Builds the selection from nodes that are ordered by zone and rank.
    pub fn gather(&self, mut chosen: Vec<PeerNode>) -> ChosenNodes {
        let count = chosen.len();
        // The sort is stable: nodes at the same distance stay ordered by zone and rank.
        chosen.sort_by_cached_key(|node| self.distance(&node.zone));
        chosen.retain(|node| node.name != self.name);
        let near = chosen.iter();
        let near = near.filter(|node| self.distance(&node.zone) != Distance::Remote);
        ChosenNodes {
            is_own: chosen.len() < count,
            count,
            near: near.count(),
            others: chosen,
        }
    }

    /// Sorts nodes by distance, and nodes at the same distance in an order specific to this node,
    /// so that the nodes of a zone do not all try the same one first.
    pub fn sort_for_own_node(&self, nodes: &mut [PeerNode]) {
        let own = subject_digest(&self.name);
        nodes.sort_by_cached_key(|node| {
            let rank = rendezvous_score(own, NodeKey(subject_digest(&node.name)));
            (self.distance(&node.zone), Reverse(rank))
        });
    }

    /// Selects up to `count` nodes for a subject: the best-ranked one, preferring high bandwidth,
    /// and then nodes in other regions and zones than those selected before, where possible.
    pub fn rank_diverse(
        &self,
        nodes: &BTreeMap<&str, &NodeEntry>,
        subject: &str,
        count: usize,
    ) -> Vec<PeerNode> {
        let members: Vec<_> = nodes.iter().map(|(name, node)| (*name, *node)).collect();
        let order = rank_wide_first(&members, subject);
        let localities: Vec<NodeLocality<'_>> = order
            .iter()
            .map(|index| self.locality_of(members[*index].1))
            .collect();
        let chosen = select_diverse_nodes(&localities, count).into_iter();
        let chosen = chosen.map(|rank| members[order[rank]]);
        chosen.map(|(name, node)| peer_node(name, node)).collect()
    }

    fn locality_of<'a>(&'a self, node: &'a NodeEntry) -> NodeLocality<'a> {
        NodeLocality {
            zone: &node.zone,
            region: self.regions.get(&node.zone).map(String::as_str),
        }
    }

    /// Whether two zones are in the same region; a zone without a known region matches only itself.
    pub fn is_same_region(&self, zone: &str, other: &str) -> bool {
        let region = self.regions.get(zone);
        zone == other || (region.is_some() && region == self.regions.get(other))
    }

    /// The distance from this node to a zone; a zone without a known region is remote.
    pub fn distance(&self, zone: &str) -> Distance {
        if zone == self.zone {
            return Distance::Zone;
        }
        match self.regions.get(zone) {
            Some(region) if *region == self.region => Distance::Region,
            _ => Distance::Remote,
        }
    }
}

/// Ranks nodes for a subject and returns their indices: nodes with high bandwidth before the
/// others, and best rank first within each of the two classes.
fn rank_wide_first(members: &[(&str, &NodeEntry)], subject: &str) -> Vec<usize> {
    let ranked = members.iter();
    let ranked = ranked.map(|(name, node)| node.ranked(NodeKey(subject_digest(name))));
    let mut order = rank_homes(subject, &ranked.collect::<Vec<RankedNode>>());
    let link_mbps = |index: usize| members[index].1.link_mbps;
    let widest = order.iter().map(|index| link_mbps(*index));
    let widest = widest.fold(0.0, f64::max);
    // The sort is stable: each class stays ordered by rank.
    order.sort_by_key(|index| link_mbps(*index) < widest * MIN_WIDE_LINK_SHARE);
    order
}

/// Builds a [`PeerNode`] from a node's name and entry.
pub fn peer_node(name: &str, entry: &NodeEntry) -> PeerNode {
    PeerNode {
        name: name.to_owned(),
        address: entry.address,
        zone: entry.zone.clone(),
    }
}
