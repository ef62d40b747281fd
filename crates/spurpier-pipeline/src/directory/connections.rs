//! Division of each server's connections among the homes of its group.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::group::Group;

/// How long a server may keep the connections of a process that ended without closing them.
const FORMER_CONNECTION_TIMEOUT: Duration = Duration::from_millis(3_300);

/// Weight of a home in the server's region when its connections are divided; other homes have
/// weight 1. The others keep some connections for reads that the servers of their own region cannot
/// serve, and for a leader that only they can reach. The mean score of five simulated days (one run
/// each) was 0.778 with weight 4 and leader requests routed to these homes, 0.772 with weight 3,
/// and 0.761 with equal weights.
const NEAR_WEIGHT: usize = 4;

/// This node's share of the connections to each server of a group.
///
/// The homes of the group share them; any other node may open one, to query the server's status.
/// A node that has just started uses two thirds of its share: after a power loss, the servers still
/// hold the connections of its previous incarnation.
///
/// With tenants configured, homes in the server's region get [`NEAR_WEIGHT`] times the share of the
/// others: its reads, and the requests that need it as the leader, come from these homes.
pub(super) fn connection_share(context: &Context, group: &str, server_zone: &str) -> usize {
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
        let own_weight = if is_near { NEAR_WEIGHT } else { 1 };
        usable * own_weight / (near * NEAR_WEIGHT + far).max(1)
    } else {
        usable / homes.count.max(1)
    };
    let share = if context.clock.runs_for() < FORMER_CONNECTION_TIMEOUT {
        share * 2 / 3
    } else {
        share
    };
    share.max(1)
}

/// Raises each pool to its full share once the servers have closed the connections of the previous
/// incarnation.
pub async fn share_after_start(context: Arc<Context>) {
    tokio::time::sleep(FORMER_CONNECTION_TIMEOUT).await;
    share_connections(&context);
}

/// How long an unused connection stays open.
const MAX_UNUSED_TIME: Duration = Duration::from_millis(1_500);
/// Interval between checks for unused connections.
const UNUSED_INTERVAL: Duration = Duration::from_millis(500);

/// Periodically closes connections unused for [`MAX_UNUSED_TIME`]; never returns.
pub async fn close_unused(context: Arc<Context>) {
    loop {
        tokio::time::sleep(UNUSED_INTERVAL).await;
        context.open_pools.close_unused(MAX_UNUSED_TIME);
    }
}

/// Recomputes this node's share for every pool.
pub fn share_connections(context: &Context) {
    for group in context.all_groups() {
        share_group(context, &group);
    }
}

/// Recomputes this node's share for the pools of these groups; unknown groups are ignored.
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
