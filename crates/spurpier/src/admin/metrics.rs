//! Metrics in the Prometheus text form.
//!
//! Gauges are read off the status at each scrape; counters are registered by the node's parts.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::status::{GroupStatus, StatusReport};

/// The prefix of all metric names.
pub const PREFIX: &str = "spurpier";

/// The label of a metric of one group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GroupLabel {
    group: String,
}

/// The labels of a metric of one server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabels {
    group: String,
    server: String,
    zone: String,
}

/// The labels of the count of members.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemberLabel {
    state: String,
}

/// Encodes the gauges of the status and the counters of `counters` as one text.
///
/// # Errors
///
/// Only if a metric cannot be formatted, which is a defect of that metric's encoding.
pub fn encode(report: &StatusReport, counters: &Registry) -> Result<String, fmt::Error> {
    let mut gauges = Registry::with_prefix(PREFIX);
    add_node_gauges(&mut gauges, report);
    add_group_gauges(&mut gauges, report);
    add_server_gauges(&mut gauges, report);
    add_member_gauge(&mut gauges, report);
    let mut text = String::new();
    encode_registry(&mut text, &gauges)?;
    encode_registry(&mut text, counters)?;
    encode_eof(&mut text)?;
    Ok(text)
}

fn add_node_gauges(registry: &mut Registry, report: &StatusReport) {
    let policy_version = report.policy.as_ref().map_or(0, |policy| policy.version);
    let policy_age = report.policy.as_ref().map_or(0, |policy| policy.age_ms);
    let values = [
        (
            "uptime_seconds",
            "Seconds since the node started",
            report.uptime_s,
        ),
        (
            "draining",
            "Whether the node is stopping",
            u64::from(report.draining),
        ),
        ("sessions", "Client sessions connected now", report.sessions),
        (
            "policy_version",
            "Version of the policy in force; 0 before one is known",
            policy_version,
        ),
        (
            "policy_age_milliseconds",
            "Time since the policy was learnt",
            policy_age,
        ),
        (
            "moves",
            "Databases that are moving",
            report.moves.len() as u64,
        ),
    ];
    for (name, help, value) in values {
        let gauge: Gauge = Gauge::default();
        gauge.set(gauge_value(value));
        registry.register(name, help, gauge);
    }
}

fn add_group_gauges(registry: &mut Registry, report: &StatusReport) {
    type GroupValue = fn(&GroupStatus) -> u64;
    let values: [(&str, &str, GroupValue); 5] = [
        ("group_term", "Newest term known of the group", |group| {
            group.term
        }),
        ("group_has_primary", "Whether a primary is known", |group| {
            u64::from(group.primary.is_some())
        }),
        ("pool_in_use", "Connections that run a request", |group| {
            group.pool.in_use
        }),
        (
            "pool_idle",
            "Connections that wait for a request",
            |group| group.pool.idle,
        ),
        (
            "pool_waiting",
            "Requests that wait for a connection",
            |group| group.pool.waiting,
        ),
    ];
    for (name, help, value_of) in values {
        let family = Family::<GroupLabel, Gauge>::default();
        for group in &report.groups {
            let label = GroupLabel {
                group: group.group.clone(),
            };
            family
                .get_or_create(&label)
                .set(gauge_value(value_of(group)));
        }
        registry.register(name, help, family);
    }
}

fn add_server_gauges(registry: &mut Registry, report: &StatusReport) {
    let lag = Family::<ServerLabels, Gauge>::default();
    let reachable = Family::<ServerLabels, Gauge>::default();
    let leaving = Family::<ServerLabels, Gauge>::default();
    for group in &report.groups {
        for server in &group.servers {
            let labels = ServerLabels {
                group: group.group.clone(),
                server: server.name.clone(),
                zone: server.zone.clone(),
            };
            if let Some(milliseconds) = server.lag_ms {
                lag.get_or_create(&labels).set(gauge_value(milliseconds));
            }
            reachable
                .get_or_create(&labels)
                .set(i64::from(server.reachable));
            leaving
                .get_or_create(&labels)
                .set(i64::from(server.leaving));
        }
    }
    registry.register(
        "server_lag_milliseconds",
        "How far the server is behind its group",
        lag,
    );
    registry.register(
        "server_reachable",
        "Whether the last probe was answered",
        reachable,
    );
    registry.register(
        "server_leaving",
        "Whether the server is about to stop",
        leaving,
    );
}

fn add_member_gauge(registry: &mut Registry, report: &StatusReport) {
    let members = Family::<MemberLabel, Gauge>::default();
    for member in &report.members {
        let label = MemberLabel {
            state: member.state.clone(),
        };
        members.get_or_create(&label).inc();
    }
    registry.register("members", "Nodes that this node sees", members);
}

/// Gauges hold signed values; a count past their range is shown as their greatest.
fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
