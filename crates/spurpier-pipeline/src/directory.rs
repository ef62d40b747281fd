//! The servers as the store lists them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::time::Timestamp;
use spurpier_events::log_event;

use crate::context::Context;
use crate::events;
use crate::follow::RowSink;
use crate::group::Group;
use crate::places::ColdGate;
use crate::ports::{Row, ServerEntry};
use crate::server::{Listing, Pool, Server, Target};

/// Keeps the groups' servers as the store lists them.
pub struct ServerSink {
    context: Arc<Context>,
    /// The group of each listed server.
    groups: BTreeMap<String, String>,
}

impl ServerSink {
    /// A sink that knows no server yet.
    pub fn new(context: Arc<Context>) -> Self {
        ServerSink {
            context,
            groups: BTreeMap::new(),
        }
    }

    fn take(&mut self, row: &Row) {
        let Some(entry) = self.context.entries.server(row) else {
            log_event!(events::ROW_MALFORMED, table = "servers", key = row.key);
            return;
        };
        self.groups.insert(row.key.clone(), entry.group.clone());
        let group = self.context.group(&entry.group);
        match group.server(&entry.instance) {
            Some(server) => self.update(&group, &server, entry, row.version),
            None => self.add(&group, entry, row.version),
        }
    }

    fn add(&self, group: &Group, entry: ServerEntry, version: u64) {
        let context = &self.context;
        log_event!(
            events::SERVER_ADDED,
            group = group.name,
            server = entry.instance,
            address = entry.address,
            zone = entry.zone,
            role = format!("{:?}", entry.role)
        );
        let zone_gate = context.places.evacuations.gate(&entry.zone);
        let target = Target {
            address: entry.address,
            group: entry.group.clone(),
            instance: entry.instance.clone(),
            zone_gate: Arc::clone(&zone_gate),
            cold_gate: ColdGate::new(&context.cold, &entry, zone_gate),
        };
        target.cold_gate.note_entry(entry.cold_for, version);
        let dialect = Arc::clone(&context.server_dialect);
        let limit = connection_share(context, &group.name, &entry.zone);
        let clock = context.clock.clone();
        let open_pools = Arc::clone(&context.open_pools);
        let pool = Pool::new(target, dialect, clock, open_pools, limit);
        let distance = context.distance(&entry.zone);
        let leaving_since = entry.draining.then(|| context.clock.now());
        let listing = Listing {
            entry,
            version,
            leaving_since,
            gone: false,
        };
        let clock = context.clock.clone();
        group.add(Arc::new(Server::new(listing, distance, pool, clock)));
    }

    fn update(&self, group: &Group, server: &Server, entry: ServerEntry, version: u64) {
        let (draining, role) = (entry.draining, entry.role);
        server.pool.cold_gate().note_entry(entry.cold_for, version);
        let begins_to_leave = {
            let mut listing = server.listing();
            if version < listing.version {
                return;
            }
            listing.entry = entry;
            listing.version = version;
            listing.gone = false;
            let was_leaving = listing.leaving_since.is_some();
            if !draining {
                listing.leaving_since = None;
            } else if !was_leaving {
                listing.leaving_since = Some(self.context.clock.now());
            }
            draining && !was_leaving
        };
        if begins_to_leave {
            log_leaving(group, server, "draining");
        }
        group.note_entry(&server.instance, role);
    }

    fn drop_entry(&mut self, instance: &str) {
        let Some(group) = self.groups.remove(instance) else {
            return;
        };
        let group = self.context.group(&group);
        let Some(server) = group.server(instance) else {
            return;
        };
        let now = self.context.clock.now();
        let gone_at = self.gone_at(now);
        {
            let mut listing = server.listing();
            listing.gone = true;
            listing.leaving_since.get_or_insert(gone_at);
        }
        locked(&self.context.groups_with_gone).insert(group.name.clone());
        if gone_at > now {
            log_leaving(&group, &server, "lapsed");
            return;
        }
        log_leaving(&group, &server, "gone");
        let leads = group
            .lead()
            .is_some_and(|lead| lead.instance == server.instance);
        if !leads {
            server.pool.close_idle();
        }
    }
}

impl ServerSink {
    /// From when a server counts as gone whose entry is gone now: while the store was away, the
    /// entries of servers that live may have lapsed, and they come back.
    fn gone_at(&self, now: Timestamp) -> Timestamp {
        let regained_at = *locked(&self.context.store_regained_at);
        regained_at.map_or(now, |regained_at| now.max(regained_at + RETURN_LIMIT))
    }
}

impl RowSink for ServerSink {
    fn replace(&mut self, rows: &[Row]) {
        let listed: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let missing = self
            .groups
            .keys()
            .filter(|key| !listed.contains(key.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        for instance in missing {
            self.drop_entry(&instance);
        }
        for row in rows {
            self.take(row);
        }
        self.context.directory_known.send_replace(true);
    }

    fn change(&mut self, rows: &[Row]) {
        for row in rows {
            if row.gone {
                self.drop_entry(&row.key);
            } else {
                self.take(row);
            }
        }
    }
}

/// How long after the store's return a server's entry that lapsed may take to come back.
const RETURN_LIMIT: Duration = Duration::from_millis(2_500);
/// For how long a server that left the directory is remembered: it may still run, and it may hold
/// commits that a successor must not lack.
const GONE_MEMORY: Duration = Duration::from_secs(30);
/// How often servers are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// Forgets servers that left the directory long ago; never returns.
///
/// Only the groups of which an entry has gone are looked at: going over the servers of all groups
/// was 2 % of a node's processor time on a day at 300 nodes (1,225 samples of `perf`).
pub async fn forget_gone(context: Arc<Context>) {
    loop {
        tokio::time::sleep(FORGET_INTERVAL).await;
        let now = context.clock.now();
        let has_gone = |name: &String| {
            let group = context.known_group(name);
            group.is_some_and(|group| forget_gone_of(&group, now))
        };
        let mut names = std::mem::take(&mut *locked(&context.groups_with_gone));
        names.retain(has_gone);
        locked(&context.groups_with_gone).append(&mut names);
    }
}

/// Forgets a group's servers that left long ago; tells whether it has others that are gone.
fn forget_gone_of(group: &Group, now: Timestamp) -> bool {
    let mut has_gone = false;
    let gone = group.servers().into_iter();
    for server in gone.filter(|server| server.is_gone()) {
        let leaving_for = server.leaving_for(now);
        if leaving_for.is_some_and(|time| time > GONE_MEMORY) {
            group.remove(&server.instance);
        } else {
            has_gone = true;
        }
    }
    has_gone
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn log_leaving(group: &Group, server: &Server, why: &str) {
    log_event!(
        events::SERVER_LEAVING,
        group = group.name,
        server = server.instance,
        why = why
    );
}

/// How long a server may keep the connections of a process that ended without a word.
const FORMER_CONNECTIONS: Duration = Duration::from_millis(3_300);

/// How many parts of a server's connections a home in its region takes for each part of another:
/// the others keep some for reads that the region's servers lack, and for a lead that only they
/// reach. With three parts instead the mean worth of five days was 0.772, with four and what needs
/// the lead at these homes 0.778; with equal parts 0.761 (one play of each day).
const NEAR_PARTS: usize = 4;

/// This node's share of the connections to each server of a group.
///
/// The homes of the group share them; a node that is none may open one, for questions to servers.
/// A node that has just started takes two thirds of its share: if the machines lost power, the
/// servers still hold the connections from before.
///
/// Connections that belong to tenants are worth most at the homes of the server's region, where its
/// reads come from, and what needs it as the lead: these take [`NEAR_PARTS`] times the others' share.
fn connection_share(context: &Context, group: &str, server_zone: &str) -> usize {
    let homes = context.homes_of(group);
    if !homes.is_own {
        return 1;
    }
    let usable = context.usable_connections(group);
    let has_tenants = context.in_force().is_some_and(|known| known.has_tenants());
    let share = if has_tenants {
        let near = context.homes.count_near(&homes, server_zone);
        let far = homes.count.saturating_sub(near);
        let is_near = context.homes.is_own_region(server_zone);
        let own_parts = if is_near { NEAR_PARTS } else { 1 };
        usable * own_parts / (near * NEAR_PARTS + far).max(1)
    } else {
        usable / homes.count.max(1)
    };
    let share = if context.clock.runs_for() < FORMER_CONNECTIONS {
        share * 2 / 3
    } else {
        share
    };
    share.max(1)
}

/// Gives each pool its whole share once the servers have dropped what was there before the start.
pub async fn share_after_start(context: Arc<Context>) {
    tokio::time::sleep(FORMER_CONNECTIONS).await;
    share_connections(&context);
}

/// How long a connection stays open that nobody uses.
const UNUSED_LIMIT: Duration = Duration::from_millis(1_500);
/// How often unused connections are looked for.
const UNUSED_INTERVAL: Duration = Duration::from_millis(500);

/// Closes connections that nobody uses; never returns.
pub async fn close_unused(context: Arc<Context>) {
    loop {
        tokio::time::sleep(UNUSED_INTERVAL).await;
        context.open_pools.close_unused(UNUSED_LIMIT);
    }
}

/// Gives each pool this node's share anew.
pub fn share_connections(context: &Context) {
    for group in context.all_groups() {
        share_group(context, &group);
    }
}

/// Gives the pools of these groups this node's share anew.
pub fn share_connections_of(context: &Context, groups: &[String]) {
    let groups = groups.iter().filter_map(|name| context.known_group(name));
    for group in groups {
        share_group(context, &group);
    }
}

fn share_group(context: &Context, group: &Group) {
    for server in group.servers() {
        let zone = server.listing().entry.zone.clone();
        let share = connection_share(context, &group.name, &zone);
        server.pool.set_limit(share);
    }
}
