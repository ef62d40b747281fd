//! Reports regional demand for primaries to the homes that decide on moves, and makes those
//! decisions.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nanoserde::SerBin;
use spurpier_core::locality::RegionDemand;
use spurpier_core::wire::{List, LongText, Text};

use super::messages::{DemandReport, PeerMessage};
use super::peers::{MAX_DATAGRAM_BYTES, Peers};
use super::requests::MAX_ORIGIN_BYTES;
use crate::context::Context;
use crate::group::Group;
use crate::homes::Home;

/// How often a node reports what its clients have requested. Only requests that are restricted to
/// some regions are reported, in one datagram for each group. Without such requests nothing is
/// sent.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The greatest size of a report of demand without the origin of the request.
const MAX_DEMAND_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_ORIGIN_BYTES;
/// How many homes are contacted in turn until one answers.
const MAX_CONTACTED_HOMES: usize = 3;

/// Reports demand and decides on moves of primaries. Never returns.
pub async fn report_demand_and_decide_moves(context: Arc<Context>, peers: Arc<Peers>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        for (name, demand) in context.locality.demand.take_counts() {
            let now = context.clock.now();
            context.locality.demand.record(&name, &demand, now);
            let homes = deciding_homes(&context, &name);
            let homes = homes.into_iter().take(MAX_CONTACTED_HOMES);
            let addresses: Vec<Option<SocketAddr>> = homes.map(peer_address).collect();
            tokio::spawn(Arc::clone(&peers).report_demand(name, demand, addresses));
        }
        for group in context.locality.demand.groups() {
            if let Some(group) = context.known_group(&group) {
                decide(&context, &group);
            }
        }
    }
}

/// The homes of a group in the order in which they decide on moves, without those that cannot be
/// reached. The first one decides.
fn deciding_homes(context: &Context, group: &str) -> Vec<Home> {
    let homes = context.homes_of(group);
    let mut ranked = context.homes.ranked_over_all(&homes, group);
    ranked.retain(|home| match home {
        Home::Own => true,
        Home::Peer(peer) => context.links.is_usable(peer.address),
    });
    ranked
}

fn peer_address(home: Home) -> Option<SocketAddr> {
    match home {
        Home::Own => None,
        Home::Peer(peer) => Some(peer.address),
    }
}

/// Decides on a group's move if this node is first in the order of homes. The watch carries the
/// move out.
fn decide(context: &Context, group: &Group) {
    if deciding_homes(context, &group.name).first() != Some(&Home::Own) {
        return;
    }
    let Some(leader) = group.leader() else {
        return;
    };
    let locality = &context.locality;
    let Some(current_region) = locality
        .region(&leader.listing().entry.zone)
        .map(str::to_owned)
    else {
        return;
    };
    let now = context.clock.now();
    let servers = group.servers();
    let may_succeed = servers.iter().filter(|server| {
        server.is_staying()
            && !server.health().is_unresponsive()
            && locality.is_eligible_successor(server, now)
    });
    let regions = may_succeed.filter_map(|server| {
        locality
            .region(&server.listing().entry.zone)
            .map(str::to_owned)
    });
    let candidates: BTreeSet<String> = regions.collect();
    locality
        .demand
        .decide(&group.name, &current_region, &candidates, now);
}

impl Peers {
    /// Records that another node requests a group's primary in a region, if the group is known.
    pub(super) fn record_move_request(&self, group: &str, region: String) {
        let context = self.context();
        if context.known_group(group).is_some() {
            let now = context.clock.now();
            context
                .locality
                .demand
                .record_move_request(group, region, now);
        }
    }

    /// Records demand that another node has reported. Returns false if this node does not know the
    /// group.
    pub(super) fn record_demand(&self, group: &str, reports: List<DemandReport>) -> bool {
        let context = self.context();
        if context.known_group(group).is_none() {
            return false;
        }
        let demand: Vec<RegionDemand> = reports.0.into_iter().map(RegionDemand::from).collect();
        let now = context.clock.now();
        context.locality.demand.record(group, &demand, now);
        true
    }

    /// Reports demand to the first of the homes that answers. `None` in the list stands for this
    /// node, which has recorded the demand already.
    async fn report_demand(
        self: Arc<Self>,
        group: String,
        demand: Vec<RegionDemand>,
        homes: Vec<Option<SocketAddr>>,
    ) {
        for address in homes {
            let Some(address) = address else {
                return;
            };
            let request = |request_id| demand_message(request_id, &group, &demand);
            if !self.request(&group, request, &[address]).await.is_empty() {
                return;
            }
        }
    }
}

/// The message with as much demand as fits into a datagram. `demand` is sorted, greatest first, and
/// the smallest entries are dropped.
fn demand_message(request_id: u64, group: &str, demand: &[RegionDemand]) -> PeerMessage {
    let mut reports: Vec<DemandReport> = demand.iter().map(DemandReport::from).collect();
    loop {
        let message = PeerMessage::Demand {
            request_id,
            group: Text::from(group),
            demand: List(reports.clone()),
        };
        if reports.pop().is_none() || message.serialize_bin().len() <= MAX_DEMAND_BYTES {
            return message;
        }
    }
}

impl From<&RegionDemand> for DemandReport {
    fn from(demand: &RegionDemand) -> Self {
        let regions = demand.regions.iter().cloned();
        DemandReport {
            regions: List(regions.map(LongText).collect()),
            units: demand.units,
        }
    }
}

impl From<DemandReport> for RegionDemand {
    fn from(report: DemandReport) -> Self {
        let regions = report.regions.0.into_iter();
        RegionDemand {
            regions: regions.map(|name| name.0).collect(),
            units: report.units,
        }
    }
}
