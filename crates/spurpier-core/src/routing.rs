//! Which server of a group runs a unit.

use std::time::Duration;

use crate::group::{GroupView, ServerRole, ServerStatus};
use crate::identity::ZoneName;
use crate::position::Position;
use crate::time::Timestamp;

/// What a read needs of the server that runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadDemand {
    /// The applied position that the server must have reached.
    pub floor: Position,
    /// The position of the other side's log that the server must show; zero if it need not.
    pub upstream_floor: Position,
    /// Whether a replica may serve it.
    pub replica_allowed: bool,
}

impl ReadDemand {
    /// Whether a server with this status may serve the read, as far as `newest_term` is known.
    ///
    /// A server that calls itself primary in an older term has been replaced: what it holds
    /// beyond the newer term's start will be lost.
    pub fn is_met_by(&self, status: &ServerStatus, newest_term: u64) -> bool {
        let replaced = status.role == ServerRole::Primary && status.received.term < newest_term;
        !replaced && status.applied >= self.floor && status.upstream_applied >= self.upstream_floor
    }
}

/// What the node knows of its own use of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerLoad {
    /// Units that run on it now.
    pub running: usize,
    /// Units that wait for it.
    pub waiting: usize,
    /// Units that it may run at the same time.
    pub slots: usize,
    /// How far its applied position is behind the group, in time.
    pub lag: Duration,
    /// Whether this unit has already failed on it and should try others first.
    pub avoided: bool,
}

impl ServerLoad {
    fn has_free_slot(&self) -> bool {
        self.running < self.slots && self.waiting == 0
    }

    /// Whether a new unit would wait behind more than one unit for each slot.
    ///
    /// A slot is free again within a statement, sooner than another zone answers, so a taken
    /// slot alone is no reason to leave a server.
    fn has_long_queue(&self) -> bool {
        self.waiting > self.slots
    }

    /// Units in front of a new one for each slot, scaled so that whole numbers compare.
    fn load_per_slot(&self) -> usize {
        (self.running + self.waiting) * 100 / self.slots.max(1)
    }
}

/// Where a unit goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// To the server with this index.
    Server(usize),
    /// Nowhere yet: a replica is expected to reach the floor within the time allowed.
    AwaitReplica,
    /// Nowhere yet: the group has no primary that takes new work.
    AwaitPrimary,
}

/// Chooses the primary, unless it is about to stop.
pub fn route_write(view: &GroupView, now: Timestamp) -> Route {
    match view.primary() {
        Some(index) if view.servers[index].accepts_work(now) => Route::Server(index),
        _ => Route::AwaitPrimary,
    }
}

/// The hand-over of a leaving primary's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedTransfer {
    /// The primary that is leaving.
    pub from: usize,
    /// The server that should follow it.
    pub to: usize,
}

/// Chooses the successor of a primary that is leaving: of the servers that stay and answer, the
/// one that has received most. None while the primary stays, or nobody can follow it.
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
/// `loads` stands in the order of the servers; `replica_wait` is how long the read may still wait
/// for a replica, zero to take the primary at once.
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

/// Whether the newest status says that a server can serve the demand.
fn can_serve(view: &GroupView, index: usize, demand: &ReadDemand, now: Timestamp) -> bool {
    let server = &view.servers[index];
    let newest_term = view.newest_term();
    let requirements_met = server
        .observed
        .as_ref()
        .is_some_and(|observed| demand.is_met_by(&observed.status, newest_term));
    requirements_met && server.accepts_work(now)
}

/// Less is better: untried before tried, a short queue, the node's own zone, then less pressure.
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

/// The replica, unless its queue is long and the primary has a free slot.
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

/// Whether some replica lags less than the read may wait.
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
