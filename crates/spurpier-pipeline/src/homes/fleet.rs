//! Incremental computation of the homes of each group from the ranks of the nodes.
//!
//! A changed row of the node list changes only that node's ranks. The homes of a group are
//! recomputed only if one of its top ranks changed, or if the numbers of nodes or zones changed
//! such that the number of homes per zone may differ.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use spurpier_core::homes::subject_digest;
use spurpier_core::leader::{MAX_HOMES, RankedNode, homes_per_zone};
use spurpier_core::membership::NodeKey;
use spurpier_core::ranks::{RankChange, RankTable, Rankable};

use super::chosen::{ChosenNodes, OwnLocality, PeerNode, peer_node};
use crate::node_entry::NodeEntry;

/// A group and its homes.
#[derive(Debug)]
struct RankedGroup {
    name: String,
    /// The connection limit of each of its servers.
    connections: usize,
    /// Maximum number of homes in each zone.
    per_zone: usize,
    homes: Arc<ChosenNodes>,
}

/// The effects of a batch of node changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct FleetChanges {
    /// The groups whose homes have changed.
    pub(super) groups: Vec<String>,
    /// Whether this node became a home of a group or stopped being one.
    pub(super) has_own_changed: bool,
}

/// The inputs, apart from a group's connections, that determine the number of homes per zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FleetShape {
    /// Number of nodes, capped at `MAX_HOMES + 1` because larger numbers make no difference.
    nodes: usize,
    zones: usize,
}

/// The nodes that are not leaving, and their ranks.
#[derive(Debug)]
pub(super) struct Fleet {
    ranks: RankTable<RankedNode, String>,
    nodes: HashMap<NodeKey, PeerNode>,
    /// Indexed by subject number in `ranks`.
    groups: Vec<RankedGroup>,
    numbers: HashMap<String, usize>,
    /// The numbers of the groups that this node is a home of.
    served: BTreeSet<usize>,
    /// Cached names of `served`; `None` after a change.
    served_names: Option<Arc<[String]>>,
    /// The groups whose top ranks changed since the last call of `settle`.
    moved: BTreeSet<usize>,
    shape: FleetShape,
}

impl Fleet {
    /// Creates a fleet without nodes.
    pub(super) fn new() -> Self {
        Fleet {
            ranks: RankTable::new(MAX_HOMES),
            nodes: HashMap::new(),
            groups: Vec::new(),
            numbers: HashMap::new(),
            served: BTreeSet::new(),
            served_names: None,
            moved: BTreeSet::new(),
            shape: FleetShape { nodes: 0, zones: 0 },
        }
    }

    /// Adds or replaces a node; removes it if `entry` is `None`.
    pub(super) fn put(&mut self, name: &str, entry: Option<&NodeEntry>) {
        let key = NodeKey(subject_digest(name));
        if self.nodes.remove(&key).is_some() {
            let moved = self.ranks.remove(key);
            self.record_moved(&moved);
        }
        let Some(entry) = entry else {
            return;
        };
        self.nodes.insert(key, peer_node(name, entry));
        let moved = self.ranks.add(&entry.zone, entry.ranked(key));
        self.record_moved(&moved);
    }

    fn record_moved(&mut self, moved: &[RankChange]) {
        let groups = &self.groups;
        let first = moved
            .iter()
            .filter(|moved| moved.position < groups[moved.subject].per_zone);
        self.moved.extend(first.map(|moved| moved.subject));
    }

    /// Recomputes the homes that a batch of changes affects.
    pub(super) fn settle(&mut self, locality: &OwnLocality) -> FleetChanges {
        let shape = self.current_shape();
        if shape != self.shape {
            self.shape = shape;
            self.moved.extend(0..self.groups.len());
        }
        let mut settled = FleetChanges::default();
        for number in std::mem::take(&mut self.moved) {
            let was_own = self.groups[number].homes.is_own;
            if self.choose(number, locality) {
                let group = &self.groups[number];
                settled.groups.push(group.name.clone());
                settled.has_own_changed |= group.homes.is_own != was_own;
            }
        }
        settled
    }

    fn current_shape(&self) -> FleetShape {
        FleetShape {
            nodes: self.ranks.node_count().min(MAX_HOMES + 1),
            zones: self.ranks.zone_count(),
        }
    }

    /// The homes of a group whose servers accept `connections` connections each.
    pub(super) fn homes_of(
        &mut self,
        group: &str,
        connections: usize,
        locality: &OwnLocality,
    ) -> Arc<ChosenNodes> {
        let known = self.numbers.get(group).copied();
        let number = known.unwrap_or_else(|| self.add_group(group));
        if known.is_none() || self.groups[number].connections != connections {
            self.groups[number].connections = connections;
            self.choose(number, locality);
        }
        Arc::clone(&self.groups[number].homes)
    }

    fn add_group(&mut self, name: &str) -> usize {
        let number = self.ranks.add_subject(subject_digest(name));
        self.numbers.insert(name.to_owned(), number);
        self.groups.push(RankedGroup {
            name: name.to_owned(),
            connections: 0,
            per_zone: 0,
            homes: Arc::new(ChosenNodes::unknown()),
        });
        number
    }

    /// The groups that this node is a home of; returns the same `Arc` until they change.
    pub(super) fn served(&mut self) -> Arc<[String]> {
        let (served, groups) = (&self.served, &self.groups);
        let names = || {
            let served = served.iter();
            served.map(|number| groups[*number].name.clone()).collect()
        };
        Arc::clone(self.served_names.get_or_insert_with(names))
    }

    /// Recomputes a group's homes from the ranks; returns whether they changed.
    fn choose(&mut self, number: usize, locality: &OwnLocality) -> bool {
        let connections = self.groups[number].connections;
        let (nodes, zones) = (self.ranks.node_count(), self.ranks.zone_count());
        let per_zone = homes_per_zone(connections, nodes, zones);
        let mut ranked: Vec<(&String, Vec<RankedNode>)> = self.ranks.ranked_nodes(number).collect();
        ranked.sort_unstable_by_key(|(zone, _)| *zone);
        let ranked = ranked.into_iter().flat_map(|(_, mut nodes)| {
            nodes.truncate(per_zone);
            nodes
        });
        let chosen = ranked.map(|node| self.nodes[&node.key()].clone());
        let homes = locality.gather(chosen.collect());
        let is_new = if homes.is_own {
            self.served.insert(number)
        } else {
            self.served.remove(&number)
        };
        if is_new {
            self.served_names = None;
        }
        let group = &mut self.groups[number];
        group.per_zone = per_zone;
        let has_changed = *group.homes != homes;
        group.homes = Arc::new(homes);
        has_changed
    }
}
