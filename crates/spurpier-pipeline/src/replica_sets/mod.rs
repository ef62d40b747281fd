//! The replica sets that the store records for groups with synchronous replicas.
//!
//! A decision on a lost primary counts which servers may hold acknowledged commits. The homes of a
//! group keep that set in the store ([`keep`]), and each decision reads it and is stored on the
//! condition that it has not changed ([`ServerCount`]).

mod count;
mod keep;
mod removal;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nanoserde::DeBin;
use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{MissingReplicas, ReplicaLocation, ReplicaSet};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::time::timeout;

use crate::context::{Context, STORE_SOURCE};
use crate::directory::new_server;
use crate::events;
use crate::group::Group;
use crate::ports::{Condition, ReadRow, ServerEntry, ServerRole, Shard, Table};
use crate::server::{Listing, Server};

pub use self::count::ServerCount;
pub use self::keep::keep_replica_sets;

/// How long one call to the store may take.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A group's replica set as last read from the store or written to it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct RecordedSet {
    /// The set; `None` if none is recorded or the row cannot be decoded.
    set: Option<ReplicaSet>,
    /// The version that the row must still have for the set to be valid.
    version: StoreVersion,
}

impl RecordedSet {
    fn condition(&self, group: &Group) -> Condition {
        Condition {
            table: Table::ReplicaSets,
            key: group.name.clone(),
            version: self.version,
        }
    }
}

/// What this process knows of one group's replica set.
#[derive(Debug, Default)]
struct KnownReplicas {
    recorded: RecordedSet,
    missing: MissingReplicas,
    /// Recorded servers that this process has never seen listed, so that they can be asked.
    unlisted: BTreeMap<Incarnation, Arc<Server>>,
    /// When a decision first found no recorded set.
    unrecorded_since: Option<Timestamp>,
}

/// What this process knows of the groups' replica sets, by group name.
#[derive(Debug, Default)]
pub struct ReplicaSets {
    groups: Mutex<BTreeMap<String, KnownReplicas>>,
}

impl ReplicaSets {
    /// Records that the directory lists a server: it is not missing, also if it leaves again before
    /// the recorded set is next read.
    pub fn record_listed(&self, group: &str, server: &Incarnation) {
        if let Some(known) = self.lock().get_mut(group) {
            known.missing.record_listed(server);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, KnownReplicas>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The incarnations of a group that the directory lists now, with their locations.
fn listed_servers(group: &Group) -> BTreeMap<Incarnation, ReplicaLocation> {
    let servers = group.servers().into_iter();
    let listed = servers.filter(|server| !server.listing().gone);
    let listed = listed.map(|server| {
        let listing = server.listing();
        let location = ReplicaLocation {
            address: listing.entry.address,
            zone: listing.entry.zone.clone(),
        };
        (server.incarnation.clone(), location)
    });
    listed.collect()
}

/// Reads the group's replica set from the store. `None` if the store does not answer in time, or if
/// this node knows a later era of the store than the answer's.
async fn read_recorded(context: &Context, group: &Group) -> Option<RecordedSet> {
    let row = read_row(context, Table::ReplicaSets, &group.name).await?;
    let set = row
        .value
        .and_then(|value| match ReplicaSet::deserialize_bin(&value) {
            Ok(set) => Some(set),
            Err(_) => {
                log_event!(
                    events::ROW_MALFORMED,
                    table = "replica_sets",
                    key = group.name
                );
                None
            }
        });
    let recorded = RecordedSet {
        set,
        version: row.version,
    };
    record(context, group, recorded.clone());
    Some(recorded)
}

async fn read_row(context: &Context, table: Table, key: &str) -> Option<ReadRow> {
    let call = context.store.read_row(table, Shard::Duty, key);
    let row = match timeout(STORE_CALL_TIMEOUT, call).await {
        Ok(Ok(row)) => row,
        Ok(Err(_)) | Err(_) => {
            context.record_store_failure();
            return None;
        }
    };
    context.record_store_answer();
    let is_of_known_era = context.record_store_era(row.version.era(), STORE_SOURCE);
    is_of_known_era.then_some(row)
}

/// Takes a recorded set over, and makes its unlisted members available for requests.
fn record(context: &Context, group: &Group, recorded: RecordedSet) {
    let now = context.clock.now();
    let listed: BTreeSet<Incarnation> = listed_servers(group).into_keys().collect();
    let set = recorded.set.clone().unwrap_or_default();
    let mut groups = context.replica_sets.lock();
    let known = groups.entry(group.name.clone()).or_default();
    known.missing.update(&set, &listed, now);
    known.recorded = recorded;
    let former = std::mem::take(&mut known.unlisted);
    for (server, location) in set.members() {
        if is_known_to(group, server) {
            continue;
        }
        let unlisted = former.get(server).map(Arc::clone);
        let unlisted =
            unlisted.unwrap_or_else(|| unlisted_server(context, group, server, location));
        known.unlisted.insert(server.clone(), unlisted);
    }
    for (server, unlisted) in former {
        if !known.unlisted.contains_key(&server) {
            unlisted.pool.retire();
        }
    }
}

/// Whether the directory has listed a server of this name to this process. Another incarnation of
/// it answers at the former one's address, so the former one cannot be asked.
fn is_known_to(group: &Group, server: &Incarnation) -> bool {
    let servers = group.servers().into_iter();
    let mut names = servers.map(|known| known.incarnation.clone());
    names.any(|known| known.name() == server.name())
}

/// A recorded server that this process has never seen listed. It is asked for its status only.
fn unlisted_server(
    context: &Context,
    group: &Group,
    server: &Incarnation,
    location: &ReplicaLocation,
) -> Arc<Server> {
    let entry = ServerEntry {
        incarnation: server.clone(),
        group: group.name.clone(),
        address: location.address,
        zone: location.zone.clone(),
        slots: 1,
        draining: false,
        role: ServerRole::Replica,
        cold_for: Duration::ZERO,
    };
    let listing = Listing {
        entry,
        version: StoreVersion::NONE,
        leaving_since: Some(context.clock.now()),
        gone: true,
    };
    new_server(context, listing)
}
