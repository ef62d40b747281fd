//! What the parts of a node contribute to its status.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use spurpier_core::policy::PolicyInForce;

use crate::admin::status::{
    GroupStatus, MoveStatus, PolicyStatus, PoolStatus, ServerReport, StatusReport, StatusSource,
};
use crate::home::{GroupSnapshot, Home, ServerSnapshot};
use crate::ingress::IngressCounters;

/// Contributes the policy in force and how long this node has known it.
pub(super) struct PolicySource {
    policy: Arc<ArcSwapOption<PolicyInForce>>,
    /// The version last seen and when it was first seen.
    first_seen: Mutex<Option<(u64, Instant)>>,
}

impl PolicySource {
    pub(super) fn new(policy: Arc<ArcSwapOption<PolicyInForce>>) -> Self {
        PolicySource {
            policy,
            first_seen: Mutex::new(None),
        }
    }

    /// When this version was first seen here.
    fn first_seen(&self, version: u64) -> Instant {
        // A panic elsewhere cannot leave the pair half written.
        let mut first_seen = self
            .first_seen
            .lock()
            .unwrap_or_else(|lock| lock.into_inner());
        match *first_seen {
            Some((known, since)) if known == version => since,
            _ => {
                let now = Instant::now();
                *first_seen = Some((version, now));
                now
            }
        }
    }
}

impl StatusSource for PolicySource {
    fn contribute(&self, report: &mut StatusReport) {
        report.policy = self.policy.load().as_ref().map(|policy| {
            let age = self.first_seen(policy.version()).elapsed();
            PolicyStatus {
                version: policy.version(),
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            }
        });
    }
}

/// Contributes the client sessions.
pub(super) struct IngressSource(pub(super) Arc<IngressCounters>);

impl StatusSource for IngressSource {
    fn contribute(&self, report: &mut StatusReport) {
        report.sessions = self.0.clients();
    }
}

/// Contributes the database groups, the pools and the moves.
pub(super) struct HomeSource(pub(super) Home);

impl StatusSource for HomeSource {
    fn contribute(&self, report: &mut StatusReport) {
        for database in self.0.snapshot().databases {
            let groups = database.groups.iter();
            let groups = groups.map(|group| group_status(&database.name, group));
            report.groups.extend(groups);
            let moving = database.handover.iter().map(|handover| MoveStatus {
                database: database.name.clone(),
                epoch: handover.epoch,
                step: handover.step.to_owned(),
            });
            report.moves.extend(moving);
        }
    }
}

fn group_status(database: &str, group: &GroupSnapshot) -> GroupStatus {
    GroupStatus {
        group: format!("{database}.{}", group.side),
        term: group.term,
        primary: group.primary.clone(),
        servers: group.servers.iter().map(server_report).collect(),
        pool: pool_status(&group.servers),
    }
}

fn server_report(server: &ServerSnapshot) -> ServerReport {
    let role = match server.is_primary {
        Some(true) => "primary",
        Some(false) => "replica",
        None => "unknown",
    };
    ServerReport {
        name: server.name.clone(),
        zone: server.zone.clone(),
        role: role.to_owned(),
        lag_ms: server.lag_ms,
        reachable: server.reachable,
        leaving: server.leaving,
    }
}

/// The pools of a group's servers, added up.
fn pool_status(servers: &[ServerSnapshot]) -> PoolStatus {
    let total = |count: fn(&ServerSnapshot) -> usize| {
        let sum: usize = servers.iter().map(count).sum();
        sum as u64
    };
    PoolStatus {
        in_use: total(|server| server.pool.running),
        idle: total(|server| server.pool.idle),
        waiting: total(|server| server.pool.waiting),
    }
}
