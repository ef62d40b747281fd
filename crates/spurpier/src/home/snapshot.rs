//! The state of a home for `/status` and the operator's command line.

use std::sync::atomic::Ordering;

use serde::Serialize;
use spurpier_core::group::{GroupView, ServerRole, ServerView};
use spurpier_core::time::Timestamp;

use super::database::{DatabaseHome, GroupHome};
use super::pool::ServerPool;
use super::shared::HomeShared;

/// The state of a home at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HomeSnapshot {
    /// Units in flight.
    pub in_flight: usize,
    /// Whether new units are refused.
    pub draining: bool,
    /// The databases in the order of their names.
    pub databases: Vec<DatabaseSnapshot>,
}

/// The state of one database.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DatabaseSnapshot {
    /// Its name.
    pub name: String,
    /// Its groups.
    pub groups: Vec<GroupSnapshot>,
    /// The move to the side that the policy asks for, as far as this node drives it.
    pub handover: Option<HandoverSnapshot>,
}

/// How far a move has come.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HandoverSnapshot {
    /// The policy epoch that asks for it.
    pub epoch: u64,
    /// The step: `checking`, `raising_fence`, `catching_up`, `opening_fence`, `done` or
    /// `overtaken`.
    pub step: &'static str,
}

/// The state of one group.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GroupSnapshot {
    /// The side that it serves.
    pub side: String,
    /// The newest term that is known.
    pub term: u64,
    /// The primary's name; none while there is none.
    pub primary: Option<String>,
    /// Probes that were sent.
    pub probes: u64,
    /// Probes that got no answer.
    pub failed_probes: u64,
    /// Its servers.
    pub servers: Vec<ServerSnapshot>,
}

/// The state of one server and of the pool of connections to it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerSnapshot {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it answers probes.
    pub reachable: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it reports to be a primary; none before its first answer.
    pub is_primary: Option<bool>,
    /// Its received position as `term/offset`.
    pub received: Option<String>,
    /// Its applied position as `term/offset`.
    pub applied: Option<String>,
    /// How far it is behind the group, in milliseconds; none before its first answer.
    pub lag_ms: Option<u64>,
    /// The pool.
    pub pool: PoolSnapshot,
}

/// The use of one pool.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolSnapshot {
    /// Units that run.
    pub running: usize,
    /// Units that wait.
    pub waiting: usize,
    /// Units that may run at the same time.
    pub slots: usize,
    /// Idle connections.
    pub idle: usize,
    /// Connections that are open or being opened.
    pub total: usize,
    /// Connections that may be.
    pub limit: usize,
    /// Connections opened so far.
    pub opened: u64,
    /// Connections closed rather than reused.
    pub discarded: u64,
    /// Units that had to wait.
    pub queued: u64,
    /// Units that were refused.
    pub refused: u64,
}

impl HomeSnapshot {
    pub(super) fn of(home: &HomeShared) -> Self {
        let now = home.clock.now();
        let mut databases: Vec<DatabaseSnapshot> = home
            .databases
            .values()
            .map(|database| DatabaseSnapshot::of(database, now))
            .collect();
        databases.sort_by(|left, right| left.name.cmp(&right.name));
        HomeSnapshot {
            in_flight: home.in_flight.count(),
            draining: home.in_flight.is_draining(),
            databases,
        }
    }
}

impl DatabaseSnapshot {
    fn of(database: &DatabaseHome, now: Timestamp) -> Self {
        DatabaseSnapshot {
            name: database.name().as_str().to_owned(),
            groups: database
                .groups
                .iter()
                .map(|group| GroupSnapshot::of(group, now))
                .collect(),
            handover: database
                .handover
                .load()
                .as_ref()
                .map(|handover| HandoverSnapshot {
                    epoch: handover.epoch(),
                    step: handover.step().name(),
                }),
        }
    }
}

impl GroupSnapshot {
    fn of(group: &GroupHome, now: Timestamp) -> Self {
        let view = group.watcher.view();
        let counters = group.watcher.counters();
        let primary = view.primary();
        GroupSnapshot {
            side: group.id.side.as_str().to_owned(),
            term: view.newest_term(),
            primary: primary.map(|index| view.servers[index].name.as_str().to_owned()),
            probes: counters.probes.load(Ordering::Relaxed),
            failed_probes: counters.failed_probes.load(Ordering::Relaxed),
            servers: server_snapshots(group, &view, now),
        }
    }
}

fn server_snapshots(group: &GroupHome, view: &GroupView, now: Timestamp) -> Vec<ServerSnapshot> {
    let lags = group.watcher.lags(view, now);
    let rows = view.servers.iter().zip(&group.pools).zip(lags);
    rows.map(|((server, pool), lag)| {
        let lag_ms = u64::try_from(lag.as_millis()).ok();
        ServerSnapshot::of(server, pool, lag_ms)
    })
    .collect()
}

impl ServerSnapshot {
    fn of(server: &ServerView, pool: &ServerPool, lag_ms: Option<u64>) -> Self {
        let status = server.observed.as_ref().map(|observed| &observed.status);
        ServerSnapshot {
            name: server.name.as_str().to_owned(),
            zone: server.zone.as_str().to_owned(),
            reachable: server.reachable,
            leaving: server.is_leaving(),
            is_primary: status.map(|status| status.role == ServerRole::Primary),
            received: status.map(|status| status.received.to_string()),
            applied: status.map(|status| status.applied.to_string()),
            lag_ms: status.and(lag_ms),
            pool: PoolSnapshot::of(pool),
        }
    }
}

impl PoolSnapshot {
    fn of(pool: &ServerPool) -> Self {
        let usage = pool.usage();
        let counters = pool.counters();
        PoolSnapshot {
            running: usage.running,
            waiting: usage.waiting,
            slots: usage.slots,
            idle: usage.idle,
            total: usage.total,
            limit: usage.limit,
            opened: counters.opened.load(Ordering::Relaxed),
            discarded: counters.discarded.load(Ordering::Relaxed),
            queued: counters.queued.load(Ordering::Relaxed),
            refused: counters.refused.load(Ordering::Relaxed),
        }
    }
}
