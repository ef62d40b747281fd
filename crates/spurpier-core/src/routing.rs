//! Chooses the server of a group that runs a unit.

use std::time::Duration;

use crate::group::{GroupView, ServerRole, ServerStatus};
use crate::identity::ZoneName;
use crate::position::Position;
use crate::time::Timestamp;

/// What a read requires of the server that runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadDemand {
    /// The lowest applied position that the server may have.
    pub floor: Position,
    /// The position up to which the server must have applied the other side's log; zero for none.
    pub upstream_floor: Position,
    /// Whether a replica may serve the read.
    pub replica_allowed: bool,
}

impl ReadDemand {
    /// Whether a server with this status may serve the read, where `newest_term` is the newest term
    /// known of the group.
    ///
    /// A server that reports itself primary in an older term has been replaced, and its records
    /// past the newer term's start will be lost.
    pub fn is_met_by(&self, status: &ServerStatus, newest_term: u64) -> bool {
        let replaced = status.role == ServerRole::Primary && status.received.term < newest_term;
        !replaced && status.applied >= self.floor && status.upstream_applied >= self.upstream_floor
    }
}

/// The load that this node puts on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerLoad {
    /// Number of units that run on the server now.
    pub running: usize,
    /// Number of units that wait for the server.
    pub waiting: usize,
    /// Number of units that may run on the server at the same time.
    pub slots: usize,
    /// The server's replication lag behind the group, as a time.
    pub lag: Duration,
    /// Whether this unit has already failed on the server and should try others first.
    pub avoided: bool,
}

impl ServerLoad {
    fn has_free_slot(&self) -> bool {
        self.running < self.slots && self.waiting == 0
    }

    /// Whether a new unit would wait behind more than one unit for each slot.
    ///
    /// A slot is usually free again within one statement, sooner than a server in another zone
    /// answers, so a server is not avoided only because its slots are taken.
    fn has_long_queue(&self) -> bool {
        self.waiting > self.slots
    }

    /// Units ahead of a new one for each slot, in hundredths.
    fn load_per_slot(&self) -> usize {
        (self.running + self.waiting) * 100 / self.slots.max(1)
    }
}

/// The decision on where a unit runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// On the server with this index in the view.
    Server(usize),
    /// Wait: a replica is expected to reach the floor within the allowed time.
    AwaitReplica,
    /// Wait: the group has no primary that accepts new work.
    AwaitPrimary,
}

/// Chooses the primary for a write, if it accepts new work.
pub fn route_write(view: &GroupView, now: Timestamp) -> Route {
    match view.primary() {
        Some(index) if view.servers[index].accepts_work(now) => Route::Server(index),
        _ => Route::AwaitPrimary,
    }
}

/// The transfer of a leaving primary's role to another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedTransfer {
    /// The index of the primary that is leaving.
    pub from: usize,
    /// The index of its successor.
    pub to: usize,
}

/// Chooses the successor of a leaving primary: of the servers that accept new work, the one with
/// the highest received position. None if the primary is not leaving or no server can succeed it.
pub fn planned_transfer(view: &GroupView, now: Timestamp) -> Option<PlannedTransfer> {
    let from = view.primary()?;
    if !view.servers[from].is_leaving() {
        return None;
    }
    let received = |index: &usize| {
        let observed = view.servers[*index].observed.as_ref();
        observed.map(|observed| observed.status.received)
    };
    let to = (0..view.servers.len())
        .filter(|index| *index != from && view.servers[*index].accepts_work(now))
        .max_by_key(received)?;
    Some(PlannedTransfer { from, to })
}

/// Chooses a server for a read.
///
/// `loads` is in the order of the view's servers. `replica_wait` is how long the read may still
/// wait for a replica to catch up; zero falls back to the primary at once.
pub fn route_read(
    view: &GroupView,
    demand: &ReadDemand,
    loads: &[ServerLoad],
    zone: &ZoneName,
    replica_wait: Duration,
    now: Timestamp,
) -> Route {
    let primary = view.primary();
    let primary_usable = primary.filter(|index| can_serve(view, *index, demand, now));
    if !demand.replica_allowed {
        return primary_usable.map_or(Route::AwaitPrimary, Route::Server);
    }
    let replicas = (0..view.servers.len())
        .filter(|index| Some(*index) != primary)
        .filter(|index| can_serve(view, *index, demand, now));
    let replica = replicas.min_by_key(|index| replica_preference(view, loads, *index, zone));
    match (replica, primary_usable) {
        (Some(replica), Some(primary)) => {
            Route::Server(replica_or_free_primary(loads, replica, primary))
        }
        (Some(replica), None) => Route::Server(replica),
        (None, _) if replica_catches_up_in_time(view, primary, loads, replica_wait, now) => {
            Route::AwaitReplica
        }
        (None, Some(primary)) => Route::Server(primary),
        (None, None) => Route::AwaitPrimary,
    }
}

/// Whether a server accepts new work and its newest status meets the demand.
fn can_serve(view: &GroupView, index: usize, demand: &ReadDemand, now: Timestamp) -> bool {
    let server = &view.servers[index];
    let newest_term = view.newest_term();
    let requirements_met = server
        .observed
        .as_ref()
        .is_some_and(|observed| demand.is_met_by(&observed.status, newest_term));
    requirements_met && server.accepts_work(now)
}

/// Sort key of a replica; the least is preferred: not yet failed for this unit, a short queue, this
/// node's zone, then the lower load.
fn replica_preference(
    view: &GroupView,
    loads: &[ServerLoad],
    index: usize,
    zone: &ZoneName,
) -> (bool, bool, bool, usize) {
    let load = loads.get(index).copied().unwrap_or_default();
    let in_other_zone = view.servers[index].zone != *zone;
    (
        load.avoided,
        load.has_long_queue(),
        in_other_zone,
        load.load_per_slot(),
    )
}

/// The replica, unless it is to be avoided or has a long queue and the primary has a free slot.
fn replica_or_free_primary(loads: &[ServerLoad], replica: usize, primary: usize) -> usize {
    let load = |index: usize| loads.get(index).copied().unwrap_or_default();
    let replica_overloaded = load(replica).avoided || load(replica).has_long_queue();
    let primary_free = load(primary).has_free_slot() && !load(primary).avoided;
    if replica_overloaded && primary_free {
        primary
    } else {
        replica
    }
}

/// Whether the lag of some replica is shorter than the time that the read may wait.
fn replica_catches_up_in_time(
    view: &GroupView,
    primary: Option<usize>,
    loads: &[ServerLoad],
    replica_wait: Duration,
    now: Timestamp,
) -> bool {
    view.servers
        .iter()
        .enumerate()
        .filter(|(index, _)| Some(*index) != primary)
        .filter(|(_, server)| server.accepts_work(now))
        .filter_map(|(index, _)| loads.get(index))
        .any(|load| load.lag < replica_wait)
}
