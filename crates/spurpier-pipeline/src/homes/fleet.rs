//! The nodes that stay, and their ranks as homes of each group.
//!
//! Every row of the list of nodes moves the ranks of that node alone. The homes of a group are put
//! together anew only if its first ranks have moved, or if the fleet has come to need another
//! number of homes in each zone.

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
    /// The connections that each of its servers takes.
    connections: usize,
    /// How many homes it has in each zone.
    per_zone: usize,
    homes: Arc<ChosenNodes>,
}

/// What a batch of changes has come to.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct FleetChanges {
    /// The groups whose homes have changed.
    pub(super) groups: Vec<String>,
    /// Whether this node has become a home of a group, or is one no more.
    pub(super) has_own_changed: bool,
}

/// What the number of homes in each zone hangs on beside a group's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FleetShape {
    /// How many nodes there are; one more than the most homes stands for all greater numbers.
    nodes: usize,
    zones: usize,
}

/// The nodes that stay, and their ranks.
#[derive(Debug)]
pub(super) struct Fleet {
    ranks: RankTable<RankedNode, String>,
    nodes: HashMap<NodeKey, PeerNode>,
    /// By their numbers in `ranks`.
    groups: Vec<RankedGroup>,
    numbers: HashMap<String, usize>,
    /// The groups that this node is a home of.
    served: BTreeSet<usize>,
    /// Their names; none if they have changed since.
    served_names: Option<Arc<[String]>>,
    /// The groups whose first ranks have moved since the last batch was settled.
    moved: BTreeSet<usize>,
    shape: FleetShape,
}

impl Fleet {
    /// A fleet without nodes.
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

    /// Takes in a node that stays, in the place of what was known of it, or that it stays no more.
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

    /// Puts the homes together anew that a batch of changes has moved.
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

    /// The homes of a group whose servers take so many connections each.
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

    /// The groups that this node is a home of; the same list while it is a home of the same.
    pub(super) fn served(&mut self) -> Arc<[String]> {
        let (served, groups) = (&self.served, &self.groups);
        let names = || {
            let served = served.iter();
            served.map(|number| groups[*number].name.clone()).collect()
        };
        Arc::clone(self.served_names.get_or_insert_with(names))
    }

    /// Puts a group's homes together from the ranks; tells whether they have changed.
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
