//! This node's share of the connections to each server.

use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::group::Group;

/// How long a server may keep the connections of a process that ended without a word.
const FORMER_CONNECTION_TIMEOUT: Duration = Duration::from_millis(3_300);

/// How many parts of a server's connections a home in its region takes for each part of another:
/// the others keep some for reads that the region's servers lack, and for a lead that only they
/// reach. With three parts instead the mean worth of five days was 0.772, with four and what needs
/// the lead at these homes 0.778; with equal parts 0.761 (one play of each day).
const NEAR_WEIGHT: usize = 4;

/// This node's share of the connections to each server of a group.
///
/// The homes of the group share them; a node that is none may open one, for questions to servers.
/// A node that has just started takes two thirds of its share: if the machines lost power, the
/// servers still hold the connections from before.
///
/// Connections that belong to tenants are worth most at the homes of the server's region, where its
/// reads come from, and what needs it as the lead: these take [`NEAR_WEIGHT`] times the others' share.
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

/// Gives each pool its whole share once the servers have dropped what was there before the start.
pub async fn share_after_start(context: Arc<Context>) {
    tokio::time::sleep(FORMER_CONNECTION_TIMEOUT).await;
    share_connections(&context);
}

/// How long a connection stays open that nobody uses.
const MAX_UNUSED_TIME: Duration = Duration::from_millis(1_500);
/// How often unused connections are looked for.
const UNUSED_INTERVAL: Duration = Duration::from_millis(500);

/// Closes connections that nobody uses; never returns.
pub async fn close_unused(context: Arc<Context>) {
    loop {
        tokio::time::sleep(UNUSED_INTERVAL).await;
        context.open_pools.close_unused(MAX_UNUSED_TIME);
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
