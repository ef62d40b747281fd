//! The node list of the store, and the nodes selected from it: homes of groups, watchers of the
//! store and quota authorities.

mod authorities;
mod chosen;
mod fleet;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::homes::{rendezvous_score, subject_digest};
use spurpier_core::leader::{Distance, LEADER_LEASE, LEADER_LEASE_MARGIN};
use spurpier_core::membership::NodeKey;
use spurpier_core::store_version::{StoreEra, StoreVersion};
use spurpier_core::time::Timestamp;
use spurpier_core::wire::List;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

pub use self::chosen::{ChosenNodes, Home, PeerNode};
use self::chosen::{OwnLocality, peer_node};
use self::fleet::Fleet;
use crate::forward::{NodeEndpoint, WatcherAssignment};
use crate::node_entry::{LeaseScope, ListedNode, NodeEntry};
use crate::quota::Scope;
use crate::settings::PipelineSettings;

#[derive(Debug)]
struct Inner {
    own_name: String,
    /// This node's entry according to its settings.
    own: NodeEntry,
    /// The listed nodes; `None` before the node list is known.
    nodes: Option<BTreeMap<String, ListedNode>>,
    /// The store's era in which the whole list was last read.
    era: StoreEra,
    /// The listed nodes that are not leaving, and this one, with their ranks.
    fleet: Fleet,
    /// Cached selection of the nodes that follow the store; `None` after a change.
    watchers: Option<Arc<ChosenNodes>>,
    /// Cached quota authorities by scope, in order of preference.
    authorities: HashMap<Scope, Arc<Vec<PeerNode>>>,
    /// Entries removed from the list, or replaced in a later era of the store, by node name.
    former: BTreeMap<String, FormerEntry>,
    /// Writes of this node's entry that the store may still apply.
    own_writes: Vec<OwnWrite>,
}

/// A previous entry of a node that may still hold leases because of it.
#[derive(Debug, Clone)]
struct FormerEntry {
    entry: NodeEntry,
    /// When this node observed that the entry is no longer listed.
    since: Timestamp,
    /// Whether the store was restored from an older copy. The node may then have registered for
    /// more groups than are known here, and the restored list lacks that registration.
    of_lost_era: bool,
}

impl FormerEntry {
    /// Whether the node may still hold the leader lease of a group.
    fn may_hold(&self, group: &str, now: Timestamp) -> bool {
        let has_ended = now.since(self.since) >= FORMER_LEASE_TTL;
        !has_ended && (self.of_lost_era || self.entry.leases.contains(group))
    }
}

/// A conditional write of this node's entry: the store may apply it as long as it still holds the
/// row version that the write replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OwnWrite {
    /// The version of the replaced row; number 0 if there was none.
    replaced: StoreVersion,
    /// The groups that the written entry names.
    leases: LeaseScope,
}

impl Inner {
    fn new(own_name: &str, own: &NodeEntry) -> Self {
        let mut fleet = Fleet::new();
        fleet.put(own_name, Some(own));
        Inner {
            own_name: own_name.to_owned(),
            own: own.clone(),
            nodes: None,
            era: StoreEra::UNREPORTED,
            fleet,
            watchers: None,
            authorities: HashMap::new(),
            former: BTreeMap::new(),
            own_writes: Vec::new(),
        }
    }

    /// Discards pending writes that replace a version older than this node's current row; the store
    /// cannot apply them any more.
    fn record_own_version(&mut self, version: StoreVersion) {
        self.own_writes.retain(|write| write.replaced >= version);
    }

    /// Adds or replaces a node's entry, or removes it if `node` is `None`.
    fn set(&mut self, name: String, node: Option<ListedNode>, now: Timestamp) {
        if name == self.own_name
            && let Some(node) = &node
        {
            self.record_own_version(node.version);
        }
        let nodes = self.nodes.get_or_insert_default();
        let before = match &node {
            Some(node) => nodes.insert(name.clone(), node.clone()),
            None => nodes.remove(&name),
        };
        let after = node.as_ref().map(|node| &node.entry);
        self.rank(&name, before.as_ref().map(|before| &before.entry), after);
        self.record_former(name, before, node.as_ref(), now);
    }

    /// Keeps the previous entry of a node while the node may hold leases because of it.
    fn record_former(
        &mut self,
        name: String,
        before: Option<ListedNode>,
        after: Option<&ListedNode>,
        now: Timestamp,
    ) {
        let era = after.map_or(self.era, |after| after.version.era());
        let of_lost_era = before
            .as_ref()
            .is_some_and(|before| before.version.era() < era);
        let former = self.former.get(&name);
        let keeps_lost = former.is_some_and(|former| former.of_lost_era) && !of_lost_era;
        if keeps_lost {
            return;
        }
        if after.is_some() && !of_lost_era {
            self.former.remove(&name);
            return;
        }
        if let Some(before) = before.filter(|before| of_lost_era || !before.entry.leaving) {
            let entry = before.entry;
            let former = FormerEntry {
                entry,
                since: now,
                of_lost_era,
            };
            self.former.insert(name, former);
        }
    }

    /// Updates a node's ranks if the change of its entry affects them.
    fn rank(&mut self, name: &str, before: Option<&NodeEntry>, after: Option<&NodeEntry>) {
        let is_same = match (before, after) {
            (Some(before), Some(after)) => before.is_ranked_as(after),
            (None, None) => true,
            (Some(_), None) | (None, Some(_)) => false,
        };
        if is_same {
            return;
        }
        self.watchers = None;
        self.authorities.clear();
        let stays = after.filter(|entry| !entry.leaving);
        // This node stays ranked even if it is leaving or not yet listed: a leaving node continues
        // to serve its groups, and a starting one is about to be listed.
        let own = (name == self.own_name).then_some(&self.own);
        self.fleet.put(name, stays.or(own));
    }

    fn forget_former(&mut self, now: Timestamp) {
        self.former
            .retain(|_, former| now.since(former.since) < FORMER_LEASE_TTL);
    }

    /// The nodes that may hold the leader lease of a group: those whose entry names the group, even
    /// while they are leaving, and those with a former entry that has not expired.
    fn lease_holders(&self, group: &str, now: Timestamp) -> BTreeMap<&String, &NodeEntry> {
        let former = self.former.iter();
        let former = former.filter(|(_, former)| former.may_hold(group, now));
        let former = former.map(|(name, former)| (name, &former.entry));
        let listed = self.nodes.iter().flatten();
        let listed = listed.filter(|(_, node)| node.entry.leases.contains(group));
        let listed = listed.map(|(name, node)| (name, &node.entry));
        // The current entry of a node overrides a former one.
        former.chain(listed).collect()
    }
}

/// How long a node that was removed from the list may still hold a leader lease.
const FORMER_LEASE_TTL: Duration = LEADER_LEASE.saturating_add(LEADER_LEASE_MARGIN);

/// The node list, and the selection of homes, watchers and quota authorities.
#[derive(Debug)]
pub struct Homes {
    own_name: String,
    own: NodeEntry,
    locality: OwnLocality,
    inner: Mutex<Inner>,
    /// Whether the node list is known.
    is_known: watch::Sender<bool>,
    /// Incremented when this node's entry or the set of groups that it is a home of changes.
    own_changed: watch::Sender<u64>,
}

/// Ranking subject for watchers. All nodes must use the same one, because the ranks are computed
/// from its hash.
const WATCHER_SUBJECT: &str = "store";
/// Target for the minimum number of watchers; with at most this many nodes, all are watchers.
const MIN_WATCHERS: usize = 8;
/// Approximate number of nodes that follow one watcher. Fewer followers shorten the time to send a
/// whole table to each in turn; more followers share the cost of a watcher's load on the store.
const FOLLOWERS_PER_WATCHER: usize = 32;

/// Maximum number of watchers returned to a starting node, so that a seed's response does not grow
/// with the number of nodes.
const MAX_ASSIGNED_WATCHERS: usize = 8;

fn watchers_per_zone(nodes: usize, zones: usize) -> usize {
    if nodes <= MIN_WATCHERS {
        return nodes.max(1);
    }
    let zones = zones.max(1);
    (MIN_WATCHERS / zones).max(nodes.div_ceil(zones * FOLLOWERS_PER_WATCHER))
}

impl Homes {
    /// Creates the homes before the node list is known.
    pub fn new(settings: &PipelineSettings) -> Self {
        let own_name = settings.node.name.clone();
        let own = NodeEntry::own(settings);
        Homes {
            locality: OwnLocality::new(settings),
            inner: Mutex::new(Inner::new(&own_name, &own)),
            own_name,
            own,
            is_known: watch::Sender::new(false),
            own_changed: watch::Sender::new(0),
        }
    }

    /// Waits until the node list is known or the deadline `limit` passes.
    pub async fn wait_for_list(&self, limit: Instant) {
        if !*self.is_known.borrow() {
            let mut is_known = self.is_known.subscribe();
            // After the deadline, this node continues without the list.
            let _ = timeout_at(limit, is_known.wait_for(|is_known| *is_known)).await;
        }
    }

    /// A receiver that is notified when this node's entry changes, or when it becomes or stops
    /// being a home of a group.
    pub fn own_changes(&self) -> watch::Receiver<u64> {
        self.own_changed.subscribe()
    }

    /// Replaces the whole list by one read in an era of the store; returns whether a list of
    /// another era was known.
    pub fn replace(
        &self,
        nodes: BTreeMap<String, ListedNode>,
        era: StoreEra,
        now: Timestamp,
    ) -> bool {
        let (mut changes, has_era_changed) = {
            let mut inner = self.lock();
            let former = std::mem::replace(&mut inner.era, era);
            let has_era_changed = inner.nodes.is_some() && former != era;
            let known = inner.nodes.iter().flatten();
            let missing = known.filter(|(name, _)| !nodes.contains_key(*name));
            let missing = missing.map(|(name, _)| (name.clone(), None));
            let changes: Vec<(String, Option<ListedNode>)> = missing.collect();
            (changes, has_era_changed)
        };
        changes.extend(nodes.into_iter().map(|(name, node)| (name, Some(node))));
        self.change(changes, now);
        has_era_changed
    }

    /// Applies changed entries, and removes nodes whose entry is `None`; returns the groups whose
    /// homes changed.
    pub fn change(
        &self,
        changes: Vec<(String, Option<ListedNode>)>,
        now: Timestamp,
    ) -> Vec<String> {
        let is_own = changes.iter().any(|(name, _)| *name == self.own_name);
        let mut inner = self.lock();
        inner.nodes.get_or_insert_default();
        for (name, node) in changes {
            inner.set(name, node, now);
        }
        inner.forget_former(now);
        let settled = inner.fleet.settle(&self.locality);
        drop(inner);
        let was_known = self.is_known.send_replace(true);
        if is_own || settled.has_own_changed || !was_known {
            self.own_changed.send_modify(|count| *count += 1);
        }
        settled.groups
    }

    /// A node's address; `None` if it is not listed.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let inner = self.lock();
        let node = inner.nodes.as_ref()?.get(name)?;
        Some(node.entry.address)
    }

    /// This node's entry in the list, which may differ from its settings.
    pub fn own_listing(&self) -> Option<ListedNode> {
        let inner = self.lock();
        inner.nodes.as_ref()?.get(&self.own_name).cloned()
    }

    /// Records that this node is about to write its entry with these groups, replacing the row with
    /// version `replaced`. Until the list shows a later version, this node does not use the primary
    /// of any other group.
    pub fn record_own_write(&self, replaced: StoreVersion, leases: &LeaseScope) {
        let leases = leases.clone();
        let write = OwnWrite { replaced, leases };
        let mut inner = self.lock();
        if !inner.own_writes.contains(&write) {
            inner.own_writes.push(write);
        }
    }

    /// Whether a pending write of this node's entry, which the store may still apply, lacks one of
    /// these groups.
    pub fn may_lose(&self, leases: &LeaseScope) -> bool {
        let inner = self.lock();
        let mut writes = inner.own_writes.iter();
        writes.any(|write| !write.leases.covers(leases))
    }

    /// Whether this node's entry and all its pending writes name the group, so that it may use the
    /// group's primary. All changes of the list up to `version` must be known.
    ///
    /// A list that is read in pages may contain a row that is newer than the previous page; until
    /// the changes in between are known, such an entry is not used.
    pub fn may_hold_lease(&self, group: &str, version: StoreVersion) -> bool {
        let inner = self.lock();
        let listed = inner.nodes.as_ref();
        let listed = listed.and_then(|nodes| nodes.get(&self.own_name));
        let allows =
            |node: &ListedNode| node.version <= version && node.entry.leases.contains(group);
        let mut writes = inner.own_writes.iter();
        writes.all(|write| write.leases.contains(group)) && listed.is_some_and(allows)
    }

    /// All other nodes that may hold the leader lease of a group: those whose entry names the
    /// group, even while they are leaving; those that named it and were removed from the list
    /// within the lease time; and all whose entries were lost or replaced within that time by a
    /// restore of the store from a copy.
    pub fn lease_holders(&self, group: &str, now: Timestamp) -> Vec<PeerNode> {
        let inner = self.lock();
        let holders = inner.lease_holders(group, now).into_iter();
        holders
            .filter(|(name, _)| **name != self.own_name)
            .map(|(name, entry)| peer_node(name, entry))
            .collect()
    }

    /// Whether a decision on a group's primary must wait for this node, because it may hold the
    /// leader lease by its current or a former entry.
    pub fn is_awaited(&self, group: &str, now: Timestamp) -> bool {
        let inner = self.lock();
        let holders = inner.lease_holders(group, now);
        holders.contains_key(&self.own_name)
    }

    /// The name and row version of the listed node with this address.
    pub fn listed_at(&self, address: SocketAddr) -> Option<(String, StoreVersion)> {
        let inner = self.lock();
        let mut nodes = inner.nodes.as_ref()?.iter();
        let (name, node) = nodes.find(|(_, node)| node.entry.address == address)?;
        Some((name.clone(), node.version))
    }

    /// The homes of a group whose servers accept `connections` connections each.
    pub fn of(&self, group: &str, connections: usize) -> Arc<ChosenNodes> {
        let mut inner = self.lock();
        if inner.nodes.is_none() {
            return Arc::new(ChosenNodes::unknown());
        }
        inner.fleet.homes_of(group, connections, &self.locality)
    }

    /// The groups that this node is a home of, among those passed to [`Homes::of`]; `None` before
    /// the node list is known, when it is a home of all groups.
    pub fn served(&self) -> Option<Arc<[String]>> {
        let mut inner = self.lock();
        inner.nodes.as_ref()?;
        Some(inner.fleet.served())
    }

    /// The watchers: the nodes that follow the store directly. All other nodes follow a watcher.
    pub fn watchers(&self) -> Arc<ChosenNodes> {
        let mut inner = self.lock();
        if let Some(watchers) = &inner.watchers {
            return Arc::clone(watchers);
        }
        let Some(nodes) = &inner.nodes else {
            return Arc::new(ChosenNodes::unknown());
        };
        let nodes = nodes_not_leaving(nodes);
        let mut watchers = self
            .locality
            .choose(&nodes, WATCHER_SUBJECT, watchers_per_zone);
        self.locality.sort_for_own_node(&mut watchers.others);
        let watchers = Arc::new(watchers);
        inner.watchers = Some(Arc::clone(&watchers));
        watchers
    }

    /// A bounded selection of watchers for a node to follow, those of its zone first; `None` before
    /// the node list is known.
    pub fn watchers_for(&self, name: &str, zone: &str) -> Option<WatcherAssignment> {
        if !*self.is_known.borrow() {
            return None;
        }
        let watchers = self.watchers();
        let own = watchers
            .is_own
            .then(|| peer_node(&self.own_name, &self.own));
        let mut others: Vec<PeerNode> = watchers.others.iter().cloned().chain(own).collect();
        let is_watcher = others.iter().any(|watcher| watcher.name == name);
        let digest = subject_digest(name);
        others.retain(|watcher| watcher.name != name);
        others.sort_by_cached_key(|watcher| {
            let rank = rendezvous_score(digest, NodeKey(subject_digest(&watcher.name)));
            (watcher.zone != zone, Reverse(rank))
        });
        others.truncate(MAX_ASSIGNED_WATCHERS);
        let nodes = others.into_iter().map(|watcher| NodeEndpoint {
            name: watcher.name,
            address: watcher.address,
            zone: watcher.zone,
        });
        Some(WatcherAssignment {
            is_watcher,
            nodes: List(nodes.collect()),
        })
    }

    /// The homes of a group in the order in which this node tries them for a tenant: those in the
    /// region of `zone` first.
    pub fn ranked_for(&self, homes: &ChosenNodes, tenant: &str, zone: &str) -> Vec<Home> {
        let own = (self.own_name.as_str(), self.own.zone.as_str());
        homes.ranked_for(tenant, own, |other| {
            self.locality.is_same_region(other, zone)
        })
    }

    /// The homes of a group in an order that is the same on all nodes, regardless of locality.
    pub fn ranked_over_all(&self, homes: &ChosenNodes, subject: &str) -> Vec<Home> {
        let own = (self.own_name.as_str(), self.own.zone.as_str());
        homes.ranked_for(subject, own, |_| true)
    }

    /// Whether a zone is in this node's region.
    pub fn is_own_region(&self, zone: &str) -> bool {
        self.locality.distance(zone) != Distance::Remote
    }

    /// The number of homes in the region of a zone.
    pub fn count_near(&self, homes: &ChosenNodes, zone: &str) -> usize {
        let others = homes.others.iter();
        let near = others.filter(|home| self.locality.is_same_region(&home.zone, zone));
        near.count() + usize::from(homes.is_own && self.is_own_region(zone))
    }

    /// The distance from this node to a zone.
    pub fn distance(&self, zone: &str) -> Distance {
        self.locality.distance(zone)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The listed nodes that are not leaving, by name.
fn nodes_not_leaving(listed: &BTreeMap<String, ListedNode>) -> BTreeMap<&str, &NodeEntry> {
    let entries = listed
        .iter()
        .map(|(name, node)| (name.as_str(), &node.entry));
    entries.filter(|(_, entry)| !entry.leaving).collect()
}
