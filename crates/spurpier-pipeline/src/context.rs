//! What all sessions and tasks of a node share.

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
use crate::configuration::InForce;
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
use crate::server::{OpenPools, Server};
use crate::settings::PipelineSettings;

/// Attempts beyond the first: a lost server makes many statements try again at the same time, so
/// the budget is ample and stops only a lasting failure.
pub const RETRY_BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    percent: 30,
    per_second: 30,
    burst: 150,
};

/// Connections that a server is taken to allow before the configuration is known.
const UNKNOWN_LIMIT: usize = 8;

/// The groups that this node is a home of.
#[derive(Debug)]
pub struct ServedGroups {
    /// Their names, as the homes give them.
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

/// What log lines name as the teller of the store's own answers.
pub const TOLD_BY_STORE: &str = "store";

/// What all sessions and tasks of a node share.
pub struct Context {
    /// The node's settings.
    pub settings: PipelineSettings,
    /// The steady clock.
    pub clock: Clock,
    /// What clients speak.
    pub client_dialect: Arc<dyn ClientDialect>,
    /// What servers speak.
    pub server_dialect: Arc<dyn ServerDialect>,
    /// The platform's store.
    pub store: Arc<dyn MetadataStore>,
    /// Reads the store's rows.
    pub entries: Arc<dyn EntryFormat>,
    /// Names the server that takes over.
    pub promotions: Arc<dyn PromotionService>,
    /// The configuration in force; none before the first is known.
    pub configuration: watch::Sender<Option<Arc<InForce>>>,
    /// All groups by name.
    pub groups: Mutex<BTreeMap<String, Arc<Group>>>,
    /// The groups that this node stands in for or sees to, and some that it has just ceased to.
    pub visited: Mutex<BTreeMap<String, Arc<Group>>>,
    /// The groups that this node is a home of, as last looked up.
    pub served_groups: Mutex<ServedGroups>,
    /// Groups of which a server's entry has gone; its servers are to be forgotten in time.
    pub groups_with_gone: Mutex<BTreeSet<String>>,
    /// The pools that have connections to servers.
    pub open_pools: Arc<OpenPools>,
    /// The other nodes, and which nodes are the homes of each group.
    pub homes: Homes,
    /// Where units may run.
    pub locality: Locality,
    /// Leave to start tenants' operations.
    pub quotas: Quotas,
    /// Leave to send to cold servers.
    pub cold: Arc<ColdServers>,
    /// The connections to other nodes that take forwarded units.
    pub links: Links,
    /// Whether the store left this node's last call without an answer.
    pub store_lost: AtomicBool,
    /// When the store last answered again after it had been away from this node.
    pub store_regained_at: Mutex<Option<Timestamp>>,
    /// The store's latest era that is known.
    pub store_era: watch::Sender<StoreEra>,
    /// Whether the servers have been read once.
    pub directory_known: watch::Sender<bool>,
    /// Whether this node took the promotion duty and has not seen another holder since.
    pub holds_duty: AtomicBool,
    /// Told when this node comes to want the lease of another group.
    pub lease_wanted: Notify,
    /// Bounds attempts beyond the first.
    pub retry_budget: Mutex<RetryBudget>,
    /// The store's tables as last seen.
    pub known_tables: KnownTables,
    /// Turns to tell another node much of a table, by the tables' numbers: what is told of one keeps
    /// no other waiting.
    pub news_turns: [Arc<Semaphore>; FOLLOWED.len()],
    /// What is counted and told at the metrics endpoint.
    pub metrics: Metrics,
    /// Bounds the log lines of single requests.
    pub log_budget: LogBudget,
    /// Work of other nodes that runs here.
    pub forwarded: TaskTracker,
    /// Cancelled when the drain begins.
    pub draining: CancellationToken,
    /// Cancelled when sessions take no further statement and open transactions are ended.
    pub closing: CancellationToken,
}

impl Context {
    /// The group of this name, made if it is new.
    pub fn group(&self, name: &str) -> Arc<Group> {
        if let Some(group) = self.known_group(name) {
            return group;
        }
        let group = {
            let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
            let group = groups.entry(name.to_owned());
            Arc::clone(group.or_insert_with(|| Arc::new(Group::new(name))))
        };
        // From now on its homes are followed.
        self.homes_of(name);
        group
    }

    /// The group of this name; none if nothing has told of it.
    pub fn known_group(&self, name: &str) -> Option<Arc<Group>> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.get(name).map(Arc::clone)
    }

    /// All groups.
    pub fn all_groups(&self) -> Vec<Arc<Group>> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.values().map(Arc::clone).collect()
    }

    /// The groups that this node looks after: those that it is a home of, stands in for or sees to.
    ///
    /// What is done at each tick goes over these: of 9,600 groups on 6,100 nodes a node is a home
    /// of 19 (worked out).
    pub fn groups_in_use(&self) -> Vec<Arc<Group>> {
        // Nothing may be decided before the list of nodes is known, and at a start of the whole fleet
        // all nodes would look after all groups.
        let served = self.homes.served().unwrap_or_else(|| Arc::from([]));
        let mut groups = self.served_groups(served);
        let now = self.clock.now();
        let mut visited = locked(&self.visited);
        visited.retain(|_, group| group.stands_in(now) || group.is_attended());
        let others = visited.values();
        let others = others.filter(|group| !self.homes_of(&group.name).is_own);
        groups.extend(others.map(Arc::clone));
        groups
    }

    /// The groups of these names, looked up only if the names are others than the last time.
    fn served_groups(&self, names: Arc<[String]>) -> Vec<Arc<Group>> {
        let mut known = locked(&self.served_groups);
        if !Arc::ptr_eq(&known.names, &names) {
            let groups = names.iter().filter_map(|name| self.known_group(name));
            let groups = groups.collect();
            *known = ServedGroups { names, groups };
        }
        known.groups.clone()
    }

    /// Takes in that this node stands in for a group's homes, or sees to its primary.
    pub fn note_visited(&self, group: &Arc<Group>) {
        let mut visited = locked(&self.visited);
        visited.insert(group.name.clone(), Arc::clone(group));
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.configuration.borrow().clone()
    }

    /// The homes of a group.
    pub fn homes_of(&self, group: &str) -> Arc<ChosenNodes> {
        self.homes.of(group, self.usable_connections(group))
    }

    /// The connections that all nodes together may open to each server of a group.
    ///
    /// One in ten is left for nodes that have not taken in yet which nodes are homes.
    pub fn usable_connections(&self, group: &str) -> usize {
        let known = self.in_force().and_then(|known| known.connections(group));
        known.unwrap_or(UNKNOWN_LIMIT) * 9 / 10
    }

    /// Whether this node holds the lease to use a group's primary.
    ///
    /// What was told in a former life does not count: that one may have yielded to a succession that
    /// this one does not know. A decision waits only for nodes whose entry names the group.
    pub fn holds_lease(&self, group: &Group) -> bool {
        let told_at = self.known_tables.told_at(Table::Cluster);
        let told_at = told_at.filter(|told_at| *told_at > self.clock.started_at());
        let version = self.known_tables.version(Table::Cluster);
        holds_leader_lease(told_at, self.clock.now())
            && self.homes.may_hold_lease(&group.name, version)
    }

    /// The groups whose primary this node has a use for: those that it is a home of, stands in for
    /// or is to see to, and all of them while it holds the promotion duty.
    pub fn wanted_leases(&self) -> LeaseScope {
        let groups = self.groups_in_use();
        LeaseScope {
            groups: groups.iter().map(|group| group.name.clone()).collect(),
            is_all: self.holds_duty.load(Ordering::Relaxed),
        }
    }

    /// Whether a server may be used as its group's lead, and what it answers be believed: no other
    /// server can have taken the lead before this moment.
    pub fn may_lead(&self, group: &Group, server: &Server) -> bool {
        group.is_successor(&server.incarnation) && self.holds_lease(group)
    }

    /// Takes in that a server takes over a group; tells whether that is new.
    pub fn take_succession(&self, group: &Group, succession: &Succession) -> bool {
        let is_new = group.take_succession(succession, self.clock.now());
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

    /// How far a zone is.
    pub fn distance(&self, zone: &str) -> Distance {
        self.homes.distance(zone)
    }

    /// Takes in that the store has answered.
    pub fn note_store_answer(&self) {
        self.store_lost.store(false, Ordering::Relaxed);
    }

    /// Takes in the era in which the store was told of; false if a later one is known.
    pub fn note_store_era(&self, era: StoreEra, told_by: &str) -> bool {
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

    /// The store's latest era that is known.
    pub fn era(&self) -> StoreEra {
        *self.store_era.borrow()
    }

    /// Takes in that the store has not answered.
    pub fn note_store_failure(&self) {
        self.store_lost.store(true, Ordering::Relaxed);
    }

    /// Whether this node reaches the store, as far as it has tried, and goes on running.
    pub fn can_hold_duty(&self) -> bool {
        !self.draining.is_cancelled() && !self.store_lost.load(Ordering::Relaxed)
    }

    /// Takes in which node holds the promotion duty.
    pub fn note_duty_holder(&self, holder: &str) {
        let is_own = holder == self.settings.node.name;
        if self.holds_duty.swap(is_own, Ordering::Relaxed) != is_own {
            self.lease_wanted.notify_one();
        }
    }

    /// Takes in a statement's first attempt, which earns a part of a further one.
    pub fn note_first_attempt(&self) {
        let budget = &self.retry_budget;
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_attempt();
    }

    /// Whether one more attempt may be made.
    pub fn may_retry(&self) -> bool {
        let now = self.clock.now();
        let budget = &self.retry_budget;
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_retry(now)
    }

    /// For how long a leaving server may still be given work as its group's lead.
    pub fn leaving_use(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.server_drain_ms) * 3 / 4
    }
}
