//! `spurpier status`: a node's status as a table or as JSON.

use std::fmt::Write;

use super::{StatusArguments, fail, print};
use crate::admin::client::fetch;
use crate::admin::status::{GroupStatus, StatusReport};

pub(super) fn run(arguments: &StatusArguments) -> u8 {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let report = match runtime.block_on(fetch(arguments.node)) {
        Ok(report) => report,
        Err(report) => return fail(&format!("{report:?}")),
    };
    if arguments.json {
        return match serde_json::to_string_pretty(&report) {
            Ok(json) => print(&format!("{json}\n")),
            Err(error) => fail(&error),
        };
    }
    match table(&report) {
        Ok(text) => print(&text),
        Err(error) => fail(&error),
    }
}

/// The status as text for people.
fn table(report: &StatusReport) -> Result<String, std::fmt::Error> {
    let mut text = String::new();
    let StatusReport { node, zone, .. } = report;
    let state = if report.draining { ", draining" } else { "" };
    let (version, uptime) = (&report.version, report.uptime_s);
    writeln!(
        text,
        "node {node} in {zone}, version {version}, up {uptime} s{state}"
    )?;
    match &report.policy {
        Some(policy) => writeln!(
            text,
            "policy {}, learnt {} ms ago",
            policy.version, policy.age_ms
        )?,
        None => writeln!(text, "policy none known yet")?,
    }
    writeln!(text, "sessions {}", report.sessions)?;
    for group in &report.groups {
        write_group(&mut text, group)?;
    }
    if !report.members.is_empty() {
        writeln!(text, "\n{:<24} {:<16} STATE", "MEMBER", "ZONE")?;
    }
    for member in &report.members {
        let (node, zone, state) = (&member.node, &member.zone, &member.state);
        writeln!(text, "{node:<24} {zone:<16} {state}")?;
    }
    for moving in &report.moves {
        let (database, epoch, step) = (&moving.database, moving.epoch, &moving.step);
        writeln!(text, "\nmove of {database} at epoch {epoch}: {step}")?;
    }
    Ok(text)
}

fn write_group(text: &mut String, group: &GroupStatus) -> std::fmt::Result {
    let primary = group.primary.as_deref().unwrap_or("none known");
    let pool = group.pool;
    writeln!(
        text,
        "\ngroup {}, term {}, primary {primary}",
        group.group, group.term
    )?;
    let (in_use, idle, waiting) = (pool.in_use, pool.idle, pool.waiting);
    writeln!(text, "pool in use {in_use}, idle {idle}, waiting {waiting}")?;
    writeln!(
        text,
        "{:<24} {:<16} {:<8} {:>8} STATE",
        "SERVER", "ZONE", "ROLE", "LAG MS"
    )?;
    for server in &group.servers {
        let lag = server
            .lag_ms
            .map_or_else(|| "?".to_owned(), |lag| lag.to_string());
        let state = match (server.reachable, server.leaving) {
            (false, _) => "unreachable",
            (true, true) => "leaving",
            (true, false) => "reachable",
        };
        let (name, zone, role) = (&server.name, &server.zone, &server.role);
        writeln!(text, "{name:<24} {zone:<16} {role:<8} {lag:>8} {state}")?;
    }
    Ok(())
}
