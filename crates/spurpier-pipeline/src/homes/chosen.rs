//! Choosing nodes of each zone, as homes of a group or as watchers, and how far they are.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use spurpier_core::homes::{rendezvous_score, subject_digest};
use spurpier_core::leader::{Distance, RankedNode, rank_homes};
use spurpier_core::membership::NodeKey;
use spurpier_core::quota::{NodeLocality, select_diverse_nodes};

use crate::node_entry::NodeEntry;
use crate::settings::PipelineSettings;

/// How many nodes share the connections until the list of nodes has been read.
const UNKNOWN_NODES: usize = 12;
/// Nodes with less than this share of the widest link of their zone are watchers only if there are
/// not enough others. A watcher tells its followers what changes: 1,400 more routes are 69 KB for
/// each, 1.4 s of a link of 20 Mbit/s for 49 of them.
const MIN_WIDE_LINK_SHARE: f64 = 0.5;

/// A node that other nodes can reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerNode {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// The nodes that were chosen, as homes of a group or as watchers, as one node sees them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenNodes {
    /// Whether this node is one of them.
    pub is_own: bool,
    /// How many there are, this node among them if it is one.
    pub count: usize,
    /// How many of the others stand in this node's region; they come first.
    pub near: usize,
    /// The others, in the order in which this node asks them: the nearest first.
    pub others: Vec<PeerNode>,
}

/// One of the homes of a group, as a node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Home {
    /// This node.
    Own,
    /// Another one.
    Peer(PeerNode),
}

impl ChosenNodes {
    /// All of them, in the order in which this node asks them: itself, then the nearest first.
    pub fn nearest_first(&self) -> Vec<Home> {
        let own = self.is_own.then_some(Home::Own);
        let others = self.others.iter().cloned().map(Home::Peer);
        own.into_iter().chain(others).collect()
    }

    /// All of them, in the order in which this node asks them for a tenant: those that `is_near`
    /// tells from their zones in the tenant's own order, so that one of them holds the connections
    /// for it, and then the others, the nearest first.
    pub fn ranked_for(
        &self,
        tenant: &str,
        own: (&str, &str),
        is_near: impl Fn(&str) -> bool,
    ) -> Vec<Home> {
        let (own_name, own_zone) = own;
        let mut homes = self.nearest_first();
        let digest = subject_digest(tenant);
        // Stable: those that are not near come last, and stay in their order.
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

    /// Before the list of nodes has been read: this node does everything itself.
    pub fn unknown() -> Self {
        ChosenNodes {
            is_own: true,
            count: UNKNOWN_NODES,
            near: 0,
            others: Vec::new(),
        }
    }
}

/// Where this node stands among the others.
#[derive(Debug)]
pub struct OwnLocality {
    name: String,
    zone: String,
    region: String,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
}

impl OwnLocality {
    /// The place of the node with these settings.
    pub fn new(settings: &PipelineSettings) -> Self {
        OwnLocality {
            name: settings.node.name.clone(),
            zone: settings.node.zone.clone(),
            region: settings.node.region.clone(),
            regions: settings.zones.clone(),
        }
    }

    /// Chooses the first-ranked nodes of each zone, those with wide links first; `per_zone` gives
    /// how many, for so many nodes in so many zones.
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

    /// The nodes that were chosen, given in the order of their zones and ranks.
    pub fn gather(&self, mut chosen: Vec<PeerNode>) -> ChosenNodes {
        let count = chosen.len();
        // Stable: nodes at the same distance stay in the order of their zones and ranks.
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

    /// Puts nodes at the same distance in this node's own order, so that those of a zone do not all
    /// ask the same one first.
    pub fn sort_for_own_node(&self, nodes: &mut [PeerNode]) {
        let own = subject_digest(&self.name);
        nodes.sort_by_cached_key(|node| {
            let rank = rendezvous_score(own, NodeKey(subject_digest(&node.name)));
            (self.distance(&node.zone), Reverse(rank))
        });
    }

    /// So many nodes for a subject: the first-ranked one, those with wide links first, and others
    /// that stand apart from it and from each other.
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

    /// Whether two zones lie in the same region; a zone without one is remote from all others.
    pub fn is_same_region(&self, zone: &str, other: &str) -> bool {
        let region = self.regions.get(zone);
        zone == other || (region.is_some() && region == self.regions.get(other))
    }

    /// How far a zone is.
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

/// The order of nodes for a subject: indices, those with wide links first, and within each of the
/// two parts best first.
fn rank_wide_first(members: &[(&str, &NodeEntry)], subject: &str) -> Vec<usize> {
    let ranked = members.iter();
    let ranked = ranked.map(|(name, node)| node.ranked(NodeKey(subject_digest(name))));
    let mut order = rank_homes(subject, &ranked.collect::<Vec<RankedNode>>());
    let link_mbps = |index: usize| members[index].1.link_mbps;
    let widest = order.iter().map(|index| link_mbps(*index));
    let widest = widest.fold(0.0, f64::max);
    // Stable: the order by ranks holds.
    order.sort_by_key(|index| link_mbps(*index) < widest * MIN_WIDE_LINK_SHARE);
    order
}

/// A node under its name.
pub fn peer_node(name: &str, entry: &NodeEntry) -> PeerNode {
    PeerNode {
        name: name.to_owned(),
        address: entry.address,
        zone: entry.zone.clone(),
    }
}
