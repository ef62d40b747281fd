//! The nodes as the store lists them, and which of them are the homes of each group.

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
    /// This node as it lists itself.
    own: NodeEntry,
    /// The listed nodes; none before the list was read.
    nodes: Option<BTreeMap<String, ListedNode>>,
    /// The store's era in which the list was last told.
    era: StoreEra,
    /// The listed nodes that are not about to end, and this one, by their ranks.
    fleet: Fleet,
    /// The nodes that follow the store.
    watchers: Option<Arc<ChosenNodes>>,
    /// The nodes that count tenants' operations, by whom they count for, in their order.
    authorities: HashMap<Scope, Arc<Vec<PeerNode>>>,
    /// Entries that were taken off the list, or replaced in a later era of the store.
    former: BTreeMap<String, FormerEntry>,
    /// Writes of this node's own entry that the list does not show to be over.
    own_writes: Vec<OwnWrite>,
}

/// An entry that is listed no more, of a node that may still hold leases.
#[derive(Debug, Clone)]
struct FormerEntry {
    entry: NodeEntry,
    /// When it was seen that it is not listed.
    since: Timestamp,
    /// Whether the store has come back from an older copy: the node may have registered for more
    /// groups than are known here, and the list has lost that.
    of_lost_era: bool,
}

impl FormerEntry {
    /// Whether the node may hold the lease of a group.
    fn may_hold(&self, group: &str, now: Timestamp) -> bool {
        let has_ended = now.since(self.since) >= FORMER_LEASE_TTL;
        !has_ended && (self.of_lost_era || self.entry.leases.contains(group))
    }
}

/// A write of this node's own entry, which may be carried out as long as the row that it replaces
/// stands there.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OwnWrite {
    /// The version of the row that it replaces; number 0 if there was none.
    replaced: StoreVersion,
    /// The groups that it tells of.
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

    /// Takes in the version of this node's own row: writes that replace an older one are over.
    fn record_own_version(&mut self, version: StoreVersion) {
        self.own_writes.retain(|write| write.replaced >= version);
    }

    /// Lists a node, or takes it off the list.
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

    /// Keeps what a node was listed with, as long as it may hold leases by that.
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

    /// Moves a node's ranks if its entry has come to ask for that.
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
        // A node that leaves goes on with what it has, and one that starts is about to be listed.
        let own = (name == self.own_name).then_some(&self.own);
        self.fleet.put(name, stays.or(own));
    }

    fn forget_former(&mut self, now: Timestamp) {
        self.former
            .retain(|_, former| now.since(former.since) < FORMER_LEASE_TTL);
    }

    /// The nodes that may hold the lease of a group's primary: those whose entry names the group,
    /// also while they leave, and nodes whose former entry still counts.
    fn lease_holders(&self, group: &str, now: Timestamp) -> BTreeMap<&String, &NodeEntry> {
        let former = self.former.iter();
        let former = former.filter(|(_, former)| former.may_hold(group, now));
        let former = former.map(|(name, former)| (name, &former.entry));
        let listed = self.nodes.iter().flatten();
        let listed = listed.filter(|(_, node)| node.entry.leases.contains(group));
        let listed = listed.map(|(name, node)| (name, &node.entry));
        // What is listed of a node goes before what was.
        former.chain(listed).collect()
    }
}

/// After so long a node that was taken off the list cannot use a lead any more.
const FORMER_LEASE_TTL: Duration = LEADER_LEASE.saturating_add(LEADER_LEASE_MARGIN);

/// The nodes that are listed, and the homes of groups.
#[derive(Debug)]
pub struct Homes {
    own_name: String,
    own: NodeEntry,
    locality: OwnLocality,
    inner: Mutex<Inner>,
    /// Whether the list of nodes has been read.
    is_known: watch::Sender<bool>,
    /// Counts the changes of this node's entry and of the groups that it is a home of.
    own_changed: watch::Sender<u64>,
}

/// What nodes are ranked for as watchers of the store.
const WATCHER_SUBJECT: &str = "store";
/// How many nodes follow the store at least, if each zone has one; all do if they are no more.
const MIN_WATCHERS: usize = 8;
/// How many nodes follow one watcher, about. Fewer take less time to be told a whole table one after
/// another, more share the price of what a watcher asks of the store.
const FOLLOWERS_PER_WATCHER: usize = 32;

/// How many watchers a starting node is told of, so that what a seed tells does not grow with the
/// fleet.
const MAX_ASSIGNED_WATCHERS: usize = 8;

fn watchers_per_zone(nodes: usize, zones: usize) -> usize {
    if nodes <= MIN_WATCHERS {
        return nodes.max(1);
    }
    let zones = zones.max(1);
    (MIN_WATCHERS / zones).max(nodes.div_ceil(zones * FOLLOWERS_PER_WATCHER))
}

impl Homes {
    /// The homes before any node is known.
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

    /// Waits until the list of nodes has been read, at most until `limit`.
    pub async fn wait_for_list(&self, limit: Instant) {
        if !*self.is_known.borrow() {
            let mut is_known = self.is_known.subscribe();
            // If the time passes, this node goes on by itself.
            let _ = timeout_at(limit, is_known.wait_for(|is_known| *is_known)).await;
        }
    }

    /// A receiver that is told of changes of this node's entry, and when it becomes a home of a
    /// group or is one no more.
    pub fn own_changes(&self) -> watch::Receiver<u64> {
        self.own_changed.subscribe()
    }

    /// Takes in the whole list, as the store tells it in an era; tells whether a list of another era
    /// was known.
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

    /// Takes in nodes that are listed, or are not listed any more; gives the groups whose homes
    /// have changed.
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

    /// Where a node is reached; none if it is not listed.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let inner = self.lock();
        let node = inner.nodes.as_ref()?.get(name)?;
        Some(node.entry.address)
    }

    /// This node's entry as the store lists it.
    pub fn own_listing(&self) -> Option<ListedNode> {
        let inner = self.lock();
        inner.nodes.as_ref()?.get(&self.own_name).cloned()
    }

    /// Takes in that this node is about to write its entry with these groups, in the place of the
    /// row of a version: until the list shows that the write is over, this node uses the primary
    /// of no other group.
    pub fn record_own_write(&self, replaced: StoreVersion, leases: &LeaseScope) {
        let leases = leases.clone();
        let write = OwnWrite { replaced, leases };
        let mut inner = self.lock();
        if !inner.own_writes.contains(&write) {
            inner.own_writes.push(write);
        }
    }

    /// Whether a write of this node's entry that may still be carried out lacks one of these
    /// groups.
    pub fn may_lose(&self, leases: &LeaseScope) -> bool {
        let inner = self.lock();
        let mut writes = inner.own_writes.iter();
        writes.any(|write| !write.leases.covers(leases))
    }

    /// Whether this node's entry names a group whose primary it may use, when all changes of the
    /// list are known up to `version`.
    ///
    /// A list that is read by pages may show a row that is newer than the page before: until the
    /// changes between are known too, the entry allows nothing.
    pub fn may_hold_lease(&self, group: &str, version: StoreVersion) -> bool {
        let inner = self.lock();
        let listed = inner.nodes.as_ref();
        let listed = listed.and_then(|nodes| nodes.get(&self.own_name));
        let allows =
            |node: &ListedNode| node.version <= version && node.entry.leases.contains(group);
        let mut writes = inner.own_writes.iter();
        writes.all(|write| write.leases.contains(group)) && listed.is_some_and(allows)
    }

    /// All other nodes that may hold the lease of a group's primary: those whose entry names the
    /// group, also while they leave, nodes that were taken off the list a short time ago, and all that
    /// were listed before the store came back from a copy a short time ago.
    pub fn lease_holders(&self, group: &str, now: Timestamp) -> Vec<PeerNode> {
        let inner = self.lock();
        let holders = inner.lease_holders(group, now).into_iter();
        holders
            .filter(|(name, _)| **name != self.own_name)
            .map(|(name, entry)| peer_node(name, entry))
            .collect()
    }

    /// Whether a decision on a group's primary waits for this node, listed or just taken off.
    pub fn is_awaited(&self, group: &str, now: Timestamp) -> bool {
        let inner = self.lock();
        let holders = inner.lease_holders(group, now);
        holders.contains_key(&self.own_name)
    }

    /// The name of the listed node at an address, and the version of its row.
    pub fn listed_at(&self, address: SocketAddr) -> Option<(String, StoreVersion)> {
        let inner = self.lock();
        let mut nodes = inner.nodes.as_ref()?.iter();
        let (name, node) = nodes.find(|(_, node)| node.entry.address == address)?;
        Some((name.clone(), node.version))
    }

    /// The homes of a group whose servers take so many connections each.
    pub fn of(&self, group: &str, connections: usize) -> Arc<ChosenNodes> {
        let mut inner = self.lock();
        if inner.nodes.is_none() {
            return Arc::new(ChosenNodes::unknown());
        }
        inner.fleet.homes_of(group, connections, &self.locality)
    }

    /// The groups that this node is a home of, among those that were asked for; none before the
    /// list was read, when it is a home of all.
    pub fn served(&self) -> Option<Arc<[String]>> {
        let mut inner = self.lock();
        inner.nodes.as_ref()?;
        Some(inner.fleet.served())
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
        let nodes = nodes_not_leaving(nodes);
        let mut watchers = self
            .locality
            .choose(&nodes, WATCHER_SUBJECT, watchers_per_zone);
        self.locality.sort_for_own_node(&mut watchers.others);
        let watchers = Arc::new(watchers);
        inner.watchers = Some(Arc::clone(&watchers));
        watchers
    }

    /// The watchers that a node of a zone is to follow, some of them; none before any is known.
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

    /// The homes of a group in the order in which this node asks them for a tenant: first those in
    /// the region of a zone.
    pub fn ranked_for(&self, homes: &ChosenNodes, tenant: &str, zone: &str) -> Vec<Home> {
        let own = (self.own_name.as_str(), self.own.zone.as_str());
        homes.ranked_for(tenant, own, |other| {
            self.locality.is_same_region(other, zone)
        })
    }

    /// The homes of a group in an order that is the same at all nodes, wherever they stand.
    pub fn ranked_over_all(&self, homes: &ChosenNodes, subject: &str) -> Vec<Home> {
        let own = (self.own_name.as_str(), self.own.zone.as_str());
        homes.ranked_for(subject, own, |_| true)
    }

    /// Whether a zone lies in this node's region.
    pub fn is_own_region(&self, zone: &str) -> bool {
        self.locality.distance(zone) != Distance::Remote
    }

    /// How many homes stand in the region of a zone.
    pub fn count_near(&self, homes: &ChosenNodes, zone: &str) -> usize {
        let others = homes.others.iter();
        let near = others.filter(|home| self.locality.is_same_region(&home.zone, zone));
        near.count() + usize::from(homes.is_own && self.is_own_region(zone))
    }

    /// How far a zone is.
    pub fn distance(&self, zone: &str) -> Distance {
        self.locality.distance(zone)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The nodes that are not about to end.
fn nodes_not_leaving(listed: &BTreeMap<String, ListedNode>) -> BTreeMap<&str, &NodeEntry> {
    let entries = listed
        .iter()
        .map(|(name, node)| (name.as_str(), &node.entry));
    entries.filter(|(_, entry)| !entry.leaving).collect()
}
