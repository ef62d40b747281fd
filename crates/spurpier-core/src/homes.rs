//! The home nodes of each database, chosen by rendezvous hashing in each zone.
//!
//! A home is a node that holds connections to the database's servers. Every node computes the same
//! homes from the same members. A node that joins or leaves changes only the rankings in which it
//! appears, and only those are recomputed.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::identity::{DatabaseName, ZoneName};
use crate::membership::{MemberChange, MemberIdentity, NodeKey};
use crate::ranks::{RankChange, RankTable, Rankable};

/// The rendezvous score of a node for a subject: a database, or anything else that nodes are
/// ranked for.
pub fn rendezvous_score(subject_digest: u64, node: NodeKey) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), subject_digest)
}

/// The hash of a subject's name, for [`rendezvous_score`].
pub fn subject_digest(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The interval at which a node repeats messages of one kind within a bandwidth budget.
///
/// Each round sends `messages` of `message_bytes` each on the wire, and all rounds together may use
/// `bytes_per_second`. The interval is at least `minimum`, and longer where the budget requires it:
/// a node that is the first home of many databases probes each of them less often.
pub fn budgeted_interval(
    minimum: Duration,
    messages: usize,
    message_bytes: usize,
    bytes_per_second: usize,
) -> Duration {
    let bytes = (messages * message_bytes) as f64;
    let needed = Duration::from_secs_f64(bytes / bytes_per_second.max(1) as f64);
    minimum.max(needed)
}

/// The homes of a database in one zone, highest score first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneHomes {
    /// The zone.
    pub zone: ZoneName,
    /// The home nodes.
    pub nodes: Vec<NodeKey>,
}

/// The homes of a database in all zones.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RankedHomes {
    /// One entry for each zone that has nodes, ordered by zone name.
    pub zones: Vec<ZoneHomes>,
    /// The home with the highest score of all zones.
    pub first: Option<NodeKey>,
}

impl RankedHomes {
    /// The homes in one zone; empty if the zone has no nodes.
    pub fn in_zone(&self, zone: &ZoneName) -> &[NodeKey] {
        let found = self.zones.iter().find(|homes| homes.zone == *zone);
        found.map_or(&[], |homes| &homes.nodes)
    }

    /// Whether the node is one of the homes.
    pub fn contains(&self, node: NodeKey) -> bool {
        self.zones.iter().any(|homes| homes.nodes.contains(&node))
    }
}

impl Rankable for NodeKey {
    type Score = (u64, NodeKey);

    fn key(&self) -> NodeKey {
        *self
    }

    fn score(&self, subject_digest: u64) -> Self::Score {
        (rendezvous_score(subject_digest, *self), *self)
    }
}

/// The homes of all databases.
#[derive(Debug, Clone)]
pub struct HomeTable {
    per_zone: usize,
    names: Vec<DatabaseName>,
    digests: Vec<u64>,
    by_name: HashMap<DatabaseName, u32>,
    ranks: RankTable<NodeKey, ZoneName>,
}

impl HomeTable {
    /// Creates a table of these databases, without nodes.
    ///
    /// Each database has up to `per_zone` homes in each zone; 0 makes every node a home.
    pub fn new(databases: impl IntoIterator<Item = DatabaseName>, per_zone: usize) -> Self {
        let names: Vec<DatabaseName> = databases.into_iter().collect();
        let digests: Vec<u64> = names
            .iter()
            .map(|name| subject_digest(name.as_str()))
            .collect();
        let by_name = names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.clone(), index as u32))
            .collect();
        let mut ranks = RankTable::new(per_zone);
        for digest in &digests {
            ranks.add_subject(*digest);
        }
        HomeTable {
            per_zone,
            names,
            digests,
            by_name,
            ranks,
        }
    }

    /// Applies a membership change and returns the databases whose homes have changed.
    ///
    /// A node that is leaving is no longer a home. A suspected one still is, so that a false
    /// suspicion moves no database.
    pub fn apply(&mut self, change: &MemberChange) -> Vec<DatabaseName> {
        match change {
            MemberChange::Joined(identity) => self.add(identity),
            MemberChange::StateChanged {
                identity, after, ..
            } if after.status.is_leaving() => self.remove(identity.key()),
            MemberChange::StateChanged { identity, .. } => self.add(identity),
            MemberChange::Gone { identity, .. } => self.remove(identity.key()),
        }
    }

    /// Adds a node and returns the databases of which it has become a home.
    pub fn add(&mut self, identity: &Arc<MemberIdentity>) -> Vec<DatabaseName> {
        let changes = self.ranks.add(&identity.zone, identity.key());
        self.changed_databases(&changes)
    }

    /// Removes a node and returns the databases of which it was a home.
    pub fn remove(&mut self, key: NodeKey) -> Vec<DatabaseName> {
        let changes = self.ranks.remove(key);
        self.changed_databases(&changes)
    }

    fn changed_databases(&self, changes: &[RankChange]) -> Vec<DatabaseName> {
        let names = changes.iter().map(|change| &self.names[change.subject]);
        names.cloned().collect()
    }

    /// The homes of a database; none if the database is unknown.
    pub fn homes_of(&self, database: &DatabaseName) -> Option<RankedHomes> {
        let index = *self.by_name.get(database)? as usize;
        let digest = self.digests[index];
        let mut zones: Vec<ZoneHomes> = if self.per_zone > 0 {
            let ranked = self.ranks.ranked_nodes(index);
            ranked
                .map(|(zone, nodes)| zone_homes(zone, nodes))
                .collect()
        } else {
            let all = self.ranks.nodes_by_zone();
            let all = all.map(|(zone, nodes)| zone_homes(zone, all_ranked(nodes, digest)));
            all.collect()
        };
        zones.sort_unstable_by(|left, right| left.zone.cmp(&right.zone));
        let first = zones
            .iter()
            .map(|homes| homes.nodes[0])
            .max_by_key(|node| node.score(digest));
        Some(RankedHomes { zones, first })
    }

    /// Whether the node is a home of the database.
    pub fn is_home(&self, database: &DatabaseName, node: NodeKey) -> bool {
        let Some(index) = self.by_name.get(database) else {
            return false;
        };
        if self.per_zone == 0 {
            return self.ranks.contains(node);
        }
        self.ranks.is_ranked(*index as usize, node)
    }

    /// Whether the node is the home with the highest score of all zones.
    pub fn is_first_home(&self, database: &DatabaseName, node: NodeKey) -> bool {
        self.homes_of(database)
            .is_some_and(|homes| homes.first == Some(node))
    }

    /// Estimated memory use of the table in bytes, with each shared name counted once.
    pub fn memory_bytes(&self) -> usize {
        /// An `Arc<str>` stores a strong and a weak count in front of its text.
        const REFERENCE_COUNT_BYTES: usize = 2 * size_of::<usize>();
        let names: usize = self
            .names
            .iter()
            .map(|name| size_of::<DatabaseName>() + REFERENCE_COUNT_BYTES + name.as_str().len())
            .sum();
        let by_name = self.by_name.capacity() * (size_of::<(DatabaseName, u32)>() + 1) * 8 / 7;
        let digests = self.digests.capacity() * size_of::<u64>();
        names + by_name + digests + self.ranks.memory_bytes()
    }
}

fn zone_homes(zone: &ZoneName, nodes: Vec<NodeKey>) -> ZoneHomes {
    let zone = zone.clone();
    ZoneHomes { zone, nodes }
}

fn all_ranked(nodes: impl Iterator<Item = NodeKey>, digest: u64) -> Vec<NodeKey> {
    let mut nodes: Vec<NodeKey> = nodes.collect();
    nodes.sort_unstable_by_key(|node| Reverse(node.score(digest)));
    nodes
}
