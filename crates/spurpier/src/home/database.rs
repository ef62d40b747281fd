//! One database at this node: its groups and their pools.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use spurpier_core::group::{GroupView, ServerView};
use spurpier_core::handover::Handover;
use spurpier_core::identity::{DatabaseName, GroupId, ServerName, Side, ZoneName};
use spurpier_core::routing::ServerLoad;
use spurpier_core::time::Timestamp;

use super::backend::ServerAddress;
use super::clock::Clock;
use super::group::{GroupWatcher, ProbeTimes};
use super::planned_stop::TransferGuard;
use super::pool::ServerPool;
use super::seams::NodeShare;
use crate::settings::{DatabaseSettings, LimitSettings, SideSettings};

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The shortest time for which a probe's answer is awaited.
const LEAST_PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// One side of a database: its watcher and one pool for each server, in the same order.
#[derive(Debug)]
pub struct GroupHome {
    /// The group.
    pub id: GroupId,
    /// Knows the group's state.
    pub watcher: Arc<GroupWatcher>,
    /// Hold the connections.
    pub pools: Vec<Arc<ServerPool>>,
    /// Keeps this node from asking twice for the transfer of a leaving primary's role.
    pub transfer: TransferGuard,
}

impl GroupHome {
    fn start(
        database: &DatabaseSettings,
        side: &SideSettings,
        limits: &LimitSettings,
        share: NodeShare,
        clock: Clock,
    ) -> Arc<Self> {
        let id = GroupId {
            database: database.name.clone(),
            side: side.side,
        };
        let addresses: Vec<ServerAddress> = side
            .servers
            .iter()
            .map(|server| ServerAddress {
                address: server.address,
                user: database.user.clone(),
                database: database.name.as_str().to_owned(),
                timeout: CONNECT_TIMEOUT,
            })
            .collect();
        let views = side.servers.iter().map(|server| ServerView {
            name: server.name.clone(),
            zone: server.zone.clone(),
            observed: None,
            reachable: false,
            leaving_hint: false,
        });
        let servers = views.zip(addresses.iter().cloned()).collect();
        let watcher = GroupWatcher::start(id.clone(), servers, probe_times(limits), clock);
        let pools = addresses
            .into_iter()
            .map(|address| new_pool(address, limits, share, clock))
            .collect();
        Arc::new(GroupHome {
            id,
            watcher,
            pools,
            transfer: TransferGuard::default(),
        })
    }

    /// The node's use of each server, for routing.
    pub fn loads(&self, view: &GroupView, avoided: &[usize], now: Timestamp) -> Vec<ServerLoad> {
        let lags = self.watcher.lags(view, now);
        let load = |(index, (pool, lag)): (usize, (&Arc<ServerPool>, Duration))| {
            let usage = pool.usage();
            ServerLoad {
                running: usage.running,
                waiting: usage.waiting,
                slots: usage.slots,
                lag,
                avoided: avoided.contains(&index),
            }
        };
        let pairs = self.pools.iter().zip(lags);
        pairs.enumerate().map(load).collect()
    }

    /// Applies this node's share, opens connections ahead to servers that take work, and closes
    /// the idle ones to servers that are leaving; a primary keeps them until its role has gone.
    pub fn maintain_pools(&self, share: NodeShare) {
        let view = self.watcher.view();
        for (index, (server, pool)) in view.servers.iter().zip(&self.pools).enumerate() {
            let connections = to_size(share.connections);
            let slots = to_size(share.slots);
            let usage = pool.usage();
            if usage.limit != connections || usage.slots != slots {
                pool.set_share(connections, slots);
            }
            let is_primary = view.primary() == Some(index);
            if server.is_leaving() && !is_primary {
                pool.close_idle();
            } else if server.reachable && !server.is_leaving() {
                pool.maintain(slots);
            }
        }
    }
}

fn probe_times(limits: &LimitSettings) -> ProbeTimes {
    let calm = Duration::from_millis(limits.probe_ms);
    ProbeTimes {
        calm,
        doubt: Duration::from_millis(limits.probe_in_doubt_ms),
        timeout: LEAST_PROBE_TIMEOUT.max(calm * 2),
    }
}

fn new_pool(
    address: ServerAddress,
    limits: &LimitSettings,
    share: NodeShare,
    clock: Clock,
) -> Arc<ServerPool> {
    ServerPool::new(
        address,
        to_size(share.connections),
        to_size(share.slots),
        limits.queue,
        clock,
    )
}

fn to_size(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// One database at this node.
#[derive(Debug)]
pub struct DatabaseHome {
    /// Its settings.
    pub settings: DatabaseSettings,
    /// Its sides, in the order of the settings.
    pub groups: Vec<Arc<GroupHome>>,
    /// The node's zone.
    pub zone: ZoneName,
    /// How far the move that the policy asks for has come; none while there is none.
    pub handover: ArcSwapOption<Handover>,
}

impl DatabaseHome {
    /// Starts to watch the groups of a database.
    pub fn start(
        settings: &DatabaseSettings,
        limits: &LimitSettings,
        zone: &ZoneName,
        share: NodeShare,
        clock: Clock,
    ) -> Arc<Self> {
        let start = |side| GroupHome::start(settings, side, limits, share, clock);
        Arc::new(DatabaseHome {
            settings: settings.clone(),
            groups: settings.sides.iter().map(start).collect(),
            zone: zone.clone(),
            handover: ArcSwapOption::empty(),
        })
    }

    /// The database's name.
    pub fn name(&self) -> &DatabaseName {
        &self.settings.name
    }

    /// The group of a side; none if the database has no such side.
    pub fn group(&self, side: Side) -> Option<&Arc<GroupHome>> {
        self.groups.iter().find(|group| group.id.side == side)
    }

    /// Takes in what another source says of a server's leaving.
    pub fn set_leaving(&self, server: &ServerName, leaving: bool) {
        for group in &self.groups {
            group.watcher.set_leaving(server, leaving);
        }
    }
}
