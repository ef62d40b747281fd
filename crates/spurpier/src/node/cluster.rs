//! The traffic between nodes as a part of a node.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use spurpier_core::identity::{DatabaseName, ServerName};
use spurpier_core::membership::MemberStatus as SeenStatus;

use crate::admin::status::{MemberStatus, StatusReport, StatusSource};
use crate::cluster::control::{Cluster, ClusterView};
use crate::home::{Home, NodeShare};
use crate::platform::wire::{MachineKind, MachineList, MachineState};
use crate::settings::{DatabaseSettings, NodeSettings};

/// How often a newly read machine list is looked for.
const MACHINE_LIST_LOOK: Duration = Duration::from_secs(1);

/// The view of the cluster for parts that start before it: the home runs first, since the cluster
/// forwards to it.
#[derive(Debug, Clone, Default)]
pub(super) struct LateView(Arc<OnceLock<Arc<ArcSwap<ClusterView>>>>);

impl LateView {
    /// Makes the view known to those who wait for it.
    pub(super) fn set(&self, cluster: &Cluster) {
        // Set once in a node's life.
        let _ = self.0.set(cluster.view_cell());
    }

    /// Whether this node is the first-ranked home of a database; not before the view is known.
    pub(super) fn is_first_home(&self, database: &DatabaseName) -> bool {
        let view = self.0.get();
        view.is_some_and(|view| view.load().is_own_first_home(database))
    }

    /// This node's part of a database's connections and slots: equal for all homes, the whole
    /// until the view is known.
    ///
    /// While nodes see different members the parts may add up to more than the whole; the
    /// database's own limit then refuses, which means that nothing was run.
    pub(super) fn connection_share(&self, database: &DatabaseSettings) -> NodeShare {
        let view = self.0.get();
        let homes = view.map_or(1, |view| view.load().home_count(&database.name));
        NodeShare::equal(database, u32::try_from(homes).unwrap_or(u32::MAX))
    }
}

/// Tells the home of database servers that are leaving by the platform's list.
pub(super) async fn follow_machine_list(home: Home, machines: Arc<ArcSwap<MachineList>>) {
    let mut seen = machines.load_full();
    loop {
        tokio::time::sleep(MACHINE_LIST_LOOK).await;
        let newest = machines.load_full();
        if Arc::ptr_eq(&seen, &newest) {
            continue;
        }
        seen = newest;
        let servers = seen
            .machines
            .iter()
            .filter(|machine| machine.kind == MachineKind::Server);
        for server in servers {
            let name = ServerName::from(server.name.as_str());
            home.set_leaving(&name, server.state == MachineState::Leaving);
        }
    }
}

/// Contributes the nodes that this node sees, itself first.
pub(super) struct MemberSource {
    pub(super) own: NodeSettings,
    pub(super) cluster: Cluster,
}

impl StatusSource for MemberSource {
    fn contribute(&self, report: &mut StatusReport) {
        let view = self.cluster.view();
        let own_state = if view.is_leaving { "leaving" } else { "alive" };
        let own = member_status(self.own.name.as_str(), self.own.zone.as_str(), own_state);
        let mut others: Vec<MemberStatus> = view
            .seen_members()
            .map(|member| {
                let state = state_name(member.status);
                member_status(member.name.as_str(), member.zone.as_str(), state)
            })
            .collect();
        others.sort_by(|one, other| one.node.cmp(&other.node));
        report.members.push(own);
        report.members.extend(others);
    }
}

fn member_status(node: &str, zone: &str, state: &str) -> MemberStatus {
    MemberStatus {
        node: node.to_owned(),
        zone: zone.to_owned(),
        state: state.to_owned(),
    }
}

fn state_name(status: SeenStatus) -> &'static str {
    if status.is_leaving() {
        "leaving"
    } else if status.is_suspect() {
        "suspected"
    } else {
        "alive"
    }
}
