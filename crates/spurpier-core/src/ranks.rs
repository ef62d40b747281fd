//! Rankings of the nodes in each zone for many subjects, updated one node at a time.
//!
//! All nodes that know the same nodes rank them identically. A node that is added is compared with
//! the lowest-ranked node of each subject in its zone, and a node that is removed changes only the
//! rankings in which it appears, so the average cost of a change does not grow with the cluster.

use std::collections::HashMap;

use crate::membership::NodeKey;

/// The slot number of an empty position.
const EMPTY: u32 = u32::MAX;

/// A node that can be ranked.
pub trait Rankable: Copy {
    /// The value by which nodes are compared. The greatest ranks first; no two nodes have the same.
    type Score: Ord;

    /// The key that identifies the node.
    fn key(&self) -> NodeKey;

    /// The node's score for the subject with this digest.
    fn score(&self, subject_digest: u64) -> Self::Score;
}

/// A change of one subject's ranking in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankChange {
    /// The subject's index, as returned by [`RankTable::add_subject`].
    pub subject: usize,
    /// The first position that changed in the zone's ranking, counted from 0.
    pub position: usize,
}

/// A node and its location in the table.
#[derive(Debug, Clone, Copy)]
struct NodeEntry<N> {
    node: N,
    zone: u32,
    /// The index in the zone's `nodes`.
    index: u32,
}

/// The nodes of one zone and their rankings.
#[derive(Debug, Clone)]
struct ZoneRanks<Z> {
    zone: Z,
    /// Slots of the zone's nodes.
    nodes: Vec<u32>,
    /// For each subject `ranks_per_zone` slots, best first, padded with [`EMPTY`].
    ranked: Vec<u32>,
}

/// The highest-ranked nodes of each zone, for many subjects.
#[derive(Debug, Clone)]
pub struct RankTable<N, Z> {
    ranks_per_zone: usize,
    subjects: Vec<u64>,
    slots: Vec<NodeEntry<N>>,
    free_slots: Vec<u32>,
    slot_by_key: HashMap<NodeKey, u32>,
    zones: Vec<ZoneRanks<Z>>,
}

impl<N: Rankable, Z: Clone + Eq> RankTable<N, Z> {
    /// Creates a table without nodes and subjects that ranks `ranks_per_zone` nodes of each zone.
    pub fn new(ranks_per_zone: usize) -> Self {
        RankTable {
            ranks_per_zone,
            subjects: Vec::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            slot_by_key: HashMap::new(),
            zones: Vec::new(),
        }
    }

    /// Ranks the nodes for another subject and returns its index, counted from 0.
    pub fn add_subject(&mut self, digest: u64) -> usize {
        let subject = self.subjects.len();
        self.subjects.push(digest);
        for zone in 0..self.zones.len() {
            let length = self.subjects.len() * self.ranks_per_zone;
            self.zones[zone].ranked.resize(length, EMPTY);
            for index in 0..self.zones[zone].nodes.len() {
                self.insert_ranked(zone, subject, self.zones[zone].nodes[index]);
            }
        }
        subject
    }

    /// Adds a node, unless its key is known, and returns the rankings that it has entered.
    pub fn add(&mut self, zone: &Z, node: N) -> Vec<RankChange> {
        if self.slot_by_key.contains_key(&node.key()) {
            return Vec::new();
        }
        let zone = self.zone_index(zone);
        let slot = self.allocate_slot(zone, node);
        self.update_subjects(|table, subject| table.insert_ranked(zone, subject, slot))
    }

    /// Removes a node and returns the rankings that contained it.
    pub fn remove(&mut self, key: NodeKey) -> Vec<RankChange> {
        let Some(slot) = self.slot_by_key.remove(&key) else {
            return Vec::new();
        };
        let zone = self.slots[slot as usize].zone as usize;
        self.release_slot(slot);
        self.update_subjects(|table, subject| table.remove_ranked(zone, subject, slot))
    }

    fn update_subjects(
        &mut self,
        mut change: impl FnMut(&mut Self, usize) -> Option<usize>,
    ) -> Vec<RankChange> {
        let mut changes = Vec::new();
        for subject in 0..self.subjects.len() {
            if let Some(position) = change(self, subject) {
                changes.push(RankChange { subject, position });
            }
        }
        changes
    }

    /// Whether a node is known.
    pub fn contains(&self, key: NodeKey) -> bool {
        self.slot_by_key.contains_key(&key)
    }

    /// Number of nodes in the table.
    pub fn node_count(&self) -> usize {
        self.slot_by_key.len()
    }

    /// Number of zones that have nodes.
    pub fn zone_count(&self) -> usize {
        let zones = self.zones.iter();
        zones.filter(|zone| !zone.nodes.is_empty()).count()
    }

    /// The zones that have nodes, in no particular order, each with the nodes ranked for a subject,
    /// best first.
    pub fn ranked_nodes(&self, subject: usize) -> impl Iterator<Item = (&Z, Vec<N>)> {
        let zones = self.zones.iter().filter(|zone| !zone.nodes.is_empty());
        zones.map(move |zone| {
            let slots = self.row(zone, subject).iter();
            let slots = slots.filter(|slot| **slot != EMPTY);
            let nodes = slots.map(|slot| self.slots[*slot as usize].node);
            (&zone.zone, nodes.collect())
        })
    }

    /// The zones that have nodes, each with all its nodes; both in no particular order.
    pub fn nodes_by_zone(&self) -> impl Iterator<Item = (&Z, impl Iterator<Item = N>)> {
        let zones = self.zones.iter().filter(|zone| !zone.nodes.is_empty());
        zones.map(|zone| {
            let nodes = zone.nodes.iter();
            (
                &zone.zone,
                nodes.map(|slot| self.slots[*slot as usize].node),
            )
        })
    }

    /// Whether a node is among those ranked for a subject.
    pub fn is_ranked(&self, subject: usize, key: NodeKey) -> bool {
        let Some(slot) = self.slot_by_key.get(&key) else {
            return false;
        };
        let zone = self.slots[*slot as usize].zone as usize;
        self.row(&self.zones[zone], subject).contains(slot)
    }

    /// Estimated memory use of the table in bytes.
    pub fn memory_bytes(&self) -> usize {
        let slot_by_key = self.slot_by_key.capacity() * (size_of::<(NodeKey, u32)>() + 1) * 8 / 7;
        let zones = self.zones.iter();
        let zones = zones.map(|zone| zone.nodes.capacity() + zone.ranked.capacity());
        zones.sum::<usize>() * size_of::<u32>()
            + slot_by_key
            + self.subjects.capacity() * size_of::<u64>()
            + self.slots.capacity() * size_of::<NodeEntry<N>>()
    }

    fn zone_index(&mut self, name: &Z) -> usize {
        let known = self.zones.iter().position(|zone| zone.zone == *name);
        known.unwrap_or_else(|| {
            self.zones.push(ZoneRanks {
                zone: name.clone(),
                nodes: Vec::new(),
                ranked: vec![EMPTY; self.subjects.len() * self.ranks_per_zone],
            });
            self.zones.len() - 1
        })
    }

    fn allocate_slot(&mut self, zone: usize, node: N) -> u32 {
        let nodes = &mut self.zones[zone].nodes;
        let entry = NodeEntry {
            node,
            zone: zone as u32,
            index: nodes.len() as u32,
        };
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.slots[slot as usize] = entry;
                slot
            }
            None => {
                self.slots.push(entry);
                (self.slots.len() - 1) as u32
            }
        };
        nodes.push(slot);
        self.slot_by_key.insert(node.key(), slot);
        slot
    }

    fn release_slot(&mut self, slot: u32) {
        let entry = &self.slots[slot as usize];
        let (zone, index) = (entry.zone as usize, entry.index);
        let nodes = &mut self.zones[zone].nodes;
        nodes.swap_remove(index as usize);
        if let Some(swapped) = nodes.get(index as usize) {
            self.slots[*swapped as usize].index = index;
        }
        self.free_slots.push(slot);
    }

    fn row<'a>(&self, zone: &'a ZoneRanks<Z>, subject: usize) -> &'a [u32] {
        let start = subject * self.ranks_per_zone;
        &zone.ranked[start..start + self.ranks_per_zone]
    }

    fn row_mut(&mut self, zone: usize, subject: usize) -> &mut [u32] {
        let start = subject * self.ranks_per_zone;
        &mut self.zones[zone].ranked[start..start + self.ranks_per_zone]
    }

    /// The score of the node in a slot; none for [`EMPTY`], which ranks below every node.
    fn score(&self, subject: usize, slot: u32) -> Option<N::Score> {
        let entry = self.slots.get(slot as usize)?;
        Some(entry.node.score(self.subjects[subject]))
    }

    /// Inserts a new node into a subject's ranking and returns its position; none if the node ranks
    /// too low.
    fn insert_ranked(&mut self, zone: usize, subject: usize, slot: u32) -> Option<usize> {
        let score = self.score(subject, slot);
        let row = self.row(&self.zones[zone], subject);
        let position = (0..row.len())
            .rev()
            .take_while(|position| score > self.score(subject, row[*position]))
            .last()?;
        let row = self.row_mut(zone, subject);
        row[position..].rotate_right(1);
        row[position] = slot;
        Some(position)
    }

    /// Removes a node from a subject's ranking, appends the next best one, and returns the position
    /// of the removed node; none if it was not ranked.
    fn remove_ranked(&mut self, zone: usize, subject: usize, slot: u32) -> Option<usize> {
        let row = self.row(&self.zones[zone], subject);
        let position = row.iter().position(|other| *other == slot)?;
        let others = self.zones[zone].nodes.iter().copied();
        let next = others
            .filter(|node| !row.contains(node))
            .max_by_key(|node| self.score(subject, *node))
            .unwrap_or(EMPTY);
        let last = self.ranks_per_zone - 1;
        let row = self.row_mut(zone, subject);
        row[position..].rotate_left(1);
        row[last] = next;
        Some(position)
    }
}
