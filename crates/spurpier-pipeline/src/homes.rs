//! The nodes as the store lists them, and which of them are the homes of each group.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::homes::subject_digest;
use spurpier_core::lead::{Distance, LEASE, LEASE_MARGIN, RankedNode, homes_per_zone, rank_homes};
use spurpier_core::membership::NodeKey;
use spurpier_core::time::Timestamp;
use spurpier_core::wire::{decode_address, decode_text, encode_address, encode_text};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::settings::PipelineSettings;

/// The least weight that a node can have: every node can be a home.
const LEAST_WEIGHT: f64 = 0.01;

/// What a node tells of itself in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeEntry {
    /// Where other nodes reach it: datagrams and forwarded units.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How much it can do beside the others.
    pub weight: f64,
    /// Whether it is about to end: it is given no work, but may still do what it has.
    pub leaving: bool,
}

/// An entry as the store lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedNode {
    /// The entry.
    pub entry: NodeEntry,
    /// The version of its row.
    pub version: u64,
}

impl NodeEntry {
    /// What the node with these settings tells of itself.
    pub fn own(settings: &PipelineSettings) -> Self {
        NodeEntry {
            address: settings.listen.internal,
            zone: settings.node.zone.clone(),
            weight: settings.node.weight,
            leaving: false,
        }
    }
}

impl SerBin for NodeEntry {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_address(self.address, output);
        encode_text(&self.zone, output);
        self.weight.ser_bin(output);
        self.leaving.ser_bin(output);
    }
}

impl DeBin for NodeEntry {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(NodeEntry {
            address: decode_address(offset, bytes)?,
            zone: decode_text(offset, bytes)?.to_owned(),
            weight: f64::de_bin(offset, bytes)?,
            leaving: bool::de_bin(offset, bytes)?,
        })
    }
}

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

impl ChosenNodes {
    /// Before the list of nodes has been read: this node does everything itself.
    fn unknown() -> Self {
        ChosenNodes {
            is_own: true,
            count: UNKNOWN_NODES,
            near: 0,
            others: Vec::new(),
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    /// The listed nodes; none before the list was read.
    nodes: Option<BTreeMap<String, ListedNode>>,
    /// The homes of groups, by name, for so many connections to each server.
    ranked: HashMap<String, (usize, Arc<ChosenNodes>)>,
    /// The nodes that follow the store.
    watchers: Option<Arc<ChosenNodes>>,
    /// Nodes that were taken off the list although they did not leave, and when that was seen.
    taken_off: BTreeMap<String, (NodeEntry, Timestamp)>,
}

impl Inner {
    /// Remembers the nodes that a change takes off the list without their own doing.
    fn note_taken_off(&mut self, before: &BTreeMap<String, ListedNode>, now: Timestamp) {
        let Some(nodes) = &self.nodes else {
            return;
        };
        let missing = before
            .iter()
            .filter(|(name, node)| !nodes.contains_key(*name) && !node.entry.leaving);
        for (name, node) in missing {
            let known = (node.entry.clone(), now);
            self.taken_off.insert(name.clone(), known);
        }
        let listed = |name: &String| nodes.contains_key(name);
        self.taken_off
            .retain(|name, (_, since)| !listed(name) && now.since(*since) < LEASES_END);
    }
}

/// After so long a node that was taken off the list cannot use a lead any more.
const LEASES_END: Duration = LEASE.saturating_add(LEASE_MARGIN);

/// The nodes that are listed, and the homes of groups.
#[derive(Debug)]
pub struct Homes {
    own_name: String,
    own: NodeEntry,
    regions: BTreeMap<String, String>,
    inner: Mutex<Inner>,
    /// Whether the list of nodes has been read.
    is_known: watch::Sender<bool>,
}

/// What nodes are ranked for as watchers of the store.
const WATCHED_SUBJECT: &str = "store";
/// How many nodes follow the store, if each zone has one; all do if they are no more.
const WATCHERS: usize = 8;

fn watchers_per_zone(nodes: usize, zones: usize) -> usize {
    if nodes <= WATCHERS {
        return nodes.max(1);
    }
    (WATCHERS / zones.max(1)).max(1)
}

/// How many nodes share the connections until the list of nodes has been read.
const UNKNOWN_NODES: usize = 12;

impl Homes {
    /// The homes before any node is known.
    pub fn new(settings: &PipelineSettings) -> Self {
        Homes {
            own_name: settings.node.name.clone(),
            own: NodeEntry::own(settings),
            regions: settings.zones.clone(),
            inner: Mutex::default(),
            is_known: watch::Sender::new(false),
        }
    }

    /// Waits until the list of nodes has been read, at most until `limit`.
    pub async fn await_list(&self, limit: Instant) {
        if !*self.is_known.borrow() {
            let mut is_known = self.is_known.subscribe();
            // If the time passes, this node goes on by itself.
            let _ = timeout_at(limit, is_known.wait_for(|is_known| *is_known)).await;
        }
    }

    /// Changes the listed nodes.
    pub fn update(&self, now: Timestamp, change: impl FnOnce(&mut BTreeMap<String, ListedNode>)) {
        let mut inner = self.lock();
        let before = inner.nodes.clone().unwrap_or_default();
        change(inner.nodes.get_or_insert_default());
        inner.note_taken_off(&before, now);
        inner.ranked.clear();
        inner.watchers = None;
        drop(inner);
        self.is_known.send_replace(true);
    }

    /// Where a node is reached; none if it is not listed.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let inner = self.lock();
        let node = inner.nodes.as_ref()?.get(name)?;
        Some(node.entry.address)
    }

    /// Whether this node itself is listed.
    pub fn lists_self(&self) -> bool {
        let inner = self.lock();
        let nodes = inner.nodes.as_ref();
        nodes.is_some_and(|nodes| nodes.contains_key(&self.own_name))
    }

    /// All other nodes that may use a lead: those that are listed, also while they leave, and those
    /// that were taken off the list a short time ago.
    pub fn lead_users(&self, now: Timestamp) -> Vec<PeerNode> {
        let inner = self.lock();
        let listed = inner.nodes.iter().flatten();
        let listed = listed.map(|(name, node)| (name, &node.entry));
        let taken_off = inner.taken_off.iter();
        let taken_off = taken_off.filter(|(_, (_, since))| now.since(*since) < LEASES_END);
        let taken_off = taken_off.map(|(name, (entry, _))| (name, entry));
        let users = listed.chain(taken_off);
        users
            .filter(|(name, _)| **name != self.own_name)
            .map(|(name, entry)| peer_node(name, entry))
            .collect()
    }

    /// The name of the listed node at an address, and the version of its row.
    pub fn listed_at(&self, address: SocketAddr) -> Option<(String, u64)> {
        let inner = self.lock();
        let mut nodes = inner.nodes.as_ref()?.iter();
        let (name, node) = nodes.find(|(_, node)| node.entry.address == address)?;
        Some((name.clone(), node.version))
    }

    /// The homes of a group whose servers take so many connections each.
    pub fn of(&self, group: &str, connections: usize) -> Arc<ChosenNodes> {
        let mut inner = self.lock();
        if let Some((known_connections, homes)) = inner.ranked.get(group)
            && *known_connections == connections
        {
            return Arc::clone(homes);
        }
        let Some(nodes) = &inner.nodes else {
            return Arc::new(ChosenNodes::unknown());
        };
        let per_zone = |nodes, zones| homes_per_zone(connections, nodes, zones);
        // A node that leaves goes on with what it has.
        let counts = |name: &str, node: &NodeEntry| !node.leaving || name == self.own_name;
        let homes = Arc::new(self.choose(nodes, counts, group, per_zone));
        let known = (connections, Arc::clone(&homes));
        inner.ranked.insert(group.to_owned(), known);
        homes
    }

    /// The nodes that follow the store; the others follow them.
    pub fn watchers(&self) -> Arc<ChosenNodes> {
        let mut inner = self.lock();
        if let Some(watchers) = &inner.watchers {
            return Arc::clone(watchers);
        }
        let Some(nodes) = &inner.nodes else {
            return Arc::new(ChosenNodes::unknown());
        };
        let counts = |_: &str, node: &NodeEntry| !node.leaving;
        let watchers = self.choose(nodes, counts, WATCHED_SUBJECT, watchers_per_zone);
        let watchers = Arc::new(watchers);
        inner.watchers = Some(Arc::clone(&watchers));
        watchers
    }

    /// Chooses the first-ranked nodes of each zone among those that count; `per_zone` gives how
    /// many, for so many nodes in so many zones.
    fn choose(
        &self,
        listed: &BTreeMap<String, ListedNode>,
        counts: impl Fn(&str, &NodeEntry) -> bool,
        subject: &str,
        per_zone: impl FnOnce(usize, usize) -> usize,
    ) -> ChosenNodes {
        let nodes: BTreeMap<&str, &NodeEntry> = listed
            .iter()
            .map(|(name, node)| (name.as_str(), &node.entry))
            .filter(|(name, entry)| counts(name, entry))
            .collect();
        let zones: BTreeSet<&str> = nodes.values().map(|node| node.zone.as_str()).collect();
        let per_zone = per_zone(nodes.len(), zones.len());
        let mut chosen = Vec::new();
        for zone in zones {
            let members: Vec<_> = nodes.iter().filter(|(_, node)| node.zone == zone).collect();
            let ranked: Vec<RankedNode> = members
                .iter()
                .map(|(name, node)| ranked_node(name, node))
                .collect();
            let order = rank_homes(subject, &ranked).into_iter().take(per_zone);
            chosen.extend(order.map(|index| {
                let (name, node) = members[index];
                (self.distance(&node.zone), *name, *node)
            }));
        }
        // Stable: nodes at the same distance stay in the order of their zones and ranks.
        chosen.sort_by_key(|(distance, _, _)| *distance);
        let others = || chosen.iter().filter(|(_, name, _)| *name != self.own_name);
        let near = others().filter(|(distance, _, _)| *distance != Distance::Remote);
        ChosenNodes {
            is_own: chosen.iter().any(|(_, name, _)| *name == self.own_name),
            count: chosen.len(),
            near: near.count(),
            others: others()
                .map(|(_, name, node)| peer_node(name, node))
                .collect(),
        }
    }

    fn distance(&self, zone: &str) -> Distance {
        if zone == self.own.zone {
            return Distance::Zone;
        }
        let own_region = self.regions.get(&self.own.zone);
        let region = self.regions.get(zone);
        if region.is_some() && region == own_region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn peer_node(name: &str, entry: &NodeEntry) -> PeerNode {
    PeerNode {
        name: name.to_owned(),
        address: entry.address,
        zone: entry.zone.clone(),
    }
}

fn ranked_node(name: &str, node: &NodeEntry) -> RankedNode {
    RankedNode {
        key: NodeKey(subject_digest(name)),
        weight: node.weight.max(LEAST_WEIGHT),
    }
}
