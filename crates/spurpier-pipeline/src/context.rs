//! State shared by all sessions and tasks of a node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::leader::{Distance, Succession, holds_leader_lease};
use spurpier_core::retry::{RetryBudget, RetryBudgetSettings};
use spurpier_core::store_version::StoreEra;
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::configuration::IndexedConfiguration;
use crate::events;
use crate::forward::Links;
use crate::group::Group;
use crate::homes::{ChosenNodes, Homes};
use crate::known_tables::{FOLLOWED, KnownTables};
use crate::locality::{ColdServers, Locality};
use crate::log_budget::LogBudget;
use crate::metrics::Metrics;
use crate::node_entry::LeaseScope;
use crate::ports::{
    ClientDialect, EntryFormat, MetadataStore, PromotionService, ServerDialect, Table,
};
use crate::quota::Quotas;
use crate::replica_sets::ReplicaSets;
use crate::server::{OpenPools, Server};
use crate::settings::PipelineSettings;

/// Budget for retries. Losing a server makes many statements retry at the same time, so the budget
/// is generous and limits retries only in a lasting failure.
pub const RETRY_BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    percent: 30,
    per_second: 30,
    burst: 150,
};

/// Connection limit assumed for a server until the configuration is known.
const DEFAULT_CONNECTION_LIMIT: usize = 8;

/// The groups that this node is a home of.
#[derive(Debug)]
pub struct ServedGroups {
    /// Group names as returned by [`Homes::served`]; compared by pointer to detect changes.
    names: Arc<[String]>,
    groups: Vec<Arc<Group>>,
}

impl Default for ServedGroups {
    fn default() -> Self {
        ServedGroups {
            names: Arc::from([]),
            groups: Vec::new(),
        }
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Source named in log lines for information that comes from the store itself.
pub const STORE_SOURCE: &str = "store";

/// State shared by all sessions and tasks of a node.
pub struct Context {
    /// The node's settings.
    pub settings: PipelineSettings,
    /// The monotonic clock.
    pub clock: Clock,
    /// Wire protocol of clients.
    pub client_dialect: Arc<dyn ClientDialect>,
    /// Wire protocol of servers.
    pub server_dialect: Arc<dyn ServerDialect>,
    /// The platform's metadata store.
    pub store: Arc<dyn MetadataStore>,
    /// Decodes the store's rows.
    pub entries: Arc<dyn EntryFormat>,
    /// Promotes the server that takes over a group.
    pub promotions: Arc<dyn PromotionService>,
    /// The configuration in force; `None` until the first one is known.
    pub configuration: watch::Sender<Option<Arc<IndexedConfiguration>>>,
    /// All groups by name.
    pub groups: Mutex<BTreeMap<String, Arc<Group>>>,
    /// The groups whose homes this node substitutes for, or whose primary it monitors, and some for
    /// which it has just stopped doing so.
    pub visited: Mutex<BTreeMap<String, Arc<Group>>>,
    /// Cached lookup of the groups that this node is a home of.
    pub served_groups: Mutex<ServedGroups>,
    /// Groups with a server whose directory entry was removed; such servers are dropped later.
    pub groups_with_gone: Mutex<BTreeSet<String>>,
    /// The pools with open connections to servers.
    pub open_pools: Arc<OpenPools>,
    /// The other nodes, and the home nodes of each group.
    pub homes: Homes,
    /// Where units of work may run.
    pub locality: Locality,
    /// The servers of groups with synchronous replicas that may hold acknowledged commits.
    pub replica_sets: ReplicaSets,
    /// Permits to start operations of tenants.
    pub quotas: Quotas,
    /// Permits to send messages to cold servers.
    pub cold: Arc<ColdServers>,
    /// Connections to other nodes that carry forwarded units.
    pub links: Links,
    /// Whether this node's last call to the store got no answer.
    pub store_lost: AtomicBool,
    /// When the store last became reachable again for this node.
    pub store_regained_at: Mutex<Option<Timestamp>>,
    /// The latest known era of the store.
    pub store_era: watch::Sender<StoreEra>,
    /// Whether the server directory has been read at least once.
    pub directory_known: watch::Sender<bool>,
    /// Whether this node acquired the promotion lease and has not observed another holder since.
    pub holds_promotion_lease: AtomicBool,
    /// Notified when this node starts to need the leader lease of another group.
    pub lease_wanted: Notify,
    /// Limits retries.
    pub retry_budget: Mutex<RetryBudget>,
    /// The latest known contents of the store's tables.
    pub known_tables: KnownTables,
    /// Limits concurrent large table transfers to other nodes. One semaphore per table, by table
    /// number, so that a transfer of one table does not delay those of another.
    pub large_transfer_slots: [Arc<Semaphore>; FOLLOWED.len()],
    /// Metrics served by the metrics endpoint.
    pub metrics: Metrics,
    /// Limits log lines about individual requests.
    pub log_budget: LogBudget,
    /// Tracks units forwarded by other nodes that run on this one.
    pub forwarded: TaskTracker,
    /// Cancelled when the node starts to drain.
    pub draining: CancellationToken,
    /// Cancelled when sessions stop accepting statements and open transactions are ended.
    pub closing: CancellationToken,
}

impl Context {
    /// Returns the group of this name, creating it if it is unknown.
    pub fn group(&self, name: &str) -> Arc<Group> {
        if let Some(group) = self.known_group(name) {
            return group;
        }
        let group = {
            let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
            let group = groups.entry(name.to_owned());
            Arc::clone(group.or_insert_with(|| Arc::new(Group::new(name))))
        };
        // Starts tracking the group's home nodes.
        self.homes_of(name);
        group
    }

    /// The group of this name; `None` if it is unknown.
    pub fn known_group(&self, name: &str) -> Option<Arc<Group>> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.get(name).map(Arc::clone)
    }

    /// All groups.
    pub fn all_groups(&self) -> Vec<Arc<Group>> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.values().map(Arc::clone).collect()
    }

    /// The groups that this node is a home of, substitutes for the homes of, or monitors.
    ///
    /// Periodic work iterates over these only, not over all groups: with 9,600 groups on 6,100
    /// nodes, a node is a home of 19.
    pub fn groups_in_use(&self) -> Vec<Arc<Group>> {
        // Empty until the list of nodes is known: no decision is allowed before, and when the whole
        // fleet starts, every node would otherwise handle all groups.
        let served = self.homes.served().unwrap_or_else(|| Arc::from([]));
        let mut groups = self.served_groups(served);
        let now = self.clock.now();
        let mut visited = locked(&self.visited);
        visited.retain(|_, group| group.is_substitute_home(now) || group.is_monitored());
        let others = visited.values();
        let others = others.filter(|group| !self.homes_of(&group.name).is_own);
        groups.extend(others.map(Arc::clone));
        groups
    }

    /// The groups of these names, looked up again only if the names have changed.
    fn served_groups(&self, names: Arc<[String]>) -> Vec<Arc<Group>> {
        let mut known = locked(&self.served_groups);
        if !Arc::ptr_eq(&known.names, &names) {
            let groups = names.iter().filter_map(|name| self.known_group(name));
            let groups = groups.collect();
            *known = ServedGroups { names, groups };
        }
        known.groups.clone()
    }

    /// Records that this node substitutes for a group's homes, or monitors its primary.
    pub fn record_visited(&self, group: &Arc<Group>) {
        let mut visited = locked(&self.visited);
        visited.insert(group.name.clone(), Arc::clone(group));
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Option<Arc<IndexedConfiguration>> {
        self.configuration.borrow().clone()
    }

    /// The home nodes of a group.
    pub fn homes_of(&self, group: &str) -> Arc<ChosenNodes> {
        self.homes.of(group, self.usable_connections(group))
    }

    /// The connections that all nodes together may open to each server of a group.
    ///
    /// One in ten connections is reserved for nodes that do not know the current homes yet.
    pub fn usable_connections(&self, group: &str) -> usize {
        let known = self.in_force().and_then(|known| known.connections(group));
        known.unwrap_or(DEFAULT_CONNECTION_LIMIT) * 9 / 10
    }

    /// Whether this node holds the leader lease, which allows it to use a group's primary.
    ///
    /// Reports from before the start of this incarnation do not count: the previous one may have
    /// released its lease for a succession that this one does not know. A promotion decision
    /// waits only for nodes whose entry names the group.
    pub fn holds_leader_lease(&self, group: &Group) -> bool {
        let reported_at = self.known_tables.reported_at(Table::Cluster);
        let reported_at = reported_at.filter(|reported_at| *reported_at > self.clock.started_at());
        let version = self.known_tables.version(Table::Cluster);
        holds_leader_lease(reported_at, self.clock.now())
            && self.homes.may_hold_lease(&group.name, version)
    }

    /// The groups whose leader lease this node needs: those that it is a home of, substitutes for
    /// the homes of or monitors, and all groups while it holds the promotion lease.
    pub fn wanted_leases(&self) -> LeaseScope {
        let groups = self.groups_in_use();
        LeaseScope {
            groups: groups.iter().map(|group| group.name.clone()).collect(),
            is_all: self.holds_promotion_lease.load(Ordering::Relaxed),
        }
    }

    /// Whether a server may be used as its group's leader and its answers trusted: no other server
    /// can have become the leader before now.
    pub fn may_use_as_leader(&self, group: &Group, server: &Server) -> bool {
        group.is_successor(&server.incarnation) && self.holds_leader_lease(group)
    }

    /// Records that a server takes over a group; returns whether that was unknown.
    pub fn record_succession(&self, group: &Group, succession: &Succession) -> bool {
        let is_new = group.record_succession(succession, self.clock.now());
        if is_new {
            log_event!(
                events::SUCCESSION_KNOWN,
                group = group.name,
                server = succession.successor,
                token = succession.token
            );
        }
        is_new
    }

    /// Network distance from this node to a zone.
    pub fn distance(&self, zone: &str) -> Distance {
        self.homes.distance(zone)
    }

    /// Records that the store has answered.
    pub fn record_store_answer(&self) {
        self.store_lost.store(false, Ordering::Relaxed);
    }

    /// Records an era of the store reported by `told_by`; returns false if a later one is known.
    pub fn record_store_era(&self, era: StoreEra, told_by: &str) -> bool {
        let is_later = self.store_era.send_if_modified(|known| {
            let is_later = era > *known;
            *known = era.max(*known);
            is_later
        });
        if is_later {
            log_event!(events::STORE_ERA_KNOWN, era = era, told_by = told_by);
        }
        era >= self.era()
    }

    /// The latest known era of the store.
    pub fn era(&self) -> StoreEra {
        *self.store_era.borrow()
    }

    /// Records that the store has not answered.
    pub fn record_store_failure(&self) {
        self.store_lost.store(true, Ordering::Relaxed);
    }

    /// Whether this node may hold the promotion lease: it is not draining, and its last call to the
    /// store was answered.
    pub fn can_hold_promotion_lease(&self) -> bool {
        !self.draining.is_cancelled() && !self.store_lost.load(Ordering::Relaxed)
    }

    /// Records which node holds the promotion lease.
    pub fn record_promotion_lease_holder(&self, holder: &str) {
        let is_own = holder == self.settings.node.name;
        if self.holds_promotion_lease.swap(is_own, Ordering::Relaxed) != is_own {
            self.lease_wanted.notify_one();
        }
    }

    /// Records the first attempt of a statement, which adds a fraction of a retry to the budget.
    pub fn record_first_attempt(&self) {
        let budget = &self.retry_budget;
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_attempt();
    }

    /// Whether a retry is allowed; takes it from the budget if so.
    pub fn may_retry(&self) -> bool {
        let now = self.clock.now();
        let budget = &self.retry_budget;
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_retry(now)
    }

    /// How long a leaving server may still receive work as its group's leader.
    pub fn leaving_use(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.server_drain_ms) * 3 / 4
    }
}
