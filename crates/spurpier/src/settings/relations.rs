//! Checks that relate several settings: duplicates, empty sides, contradicting limits.

use std::collections::HashSet;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::check::Collector;

/// Checks the relations between keys whose own values may be wrong already.
pub(super) fn check(collector: &mut Collector<'_>, root: &DeTable<'_>) {
    check_listen(collector, root);
    check_probe_times(collector, root);
    check_suspicion(collector, root);
    let databases = tables(root, "database");
    if databases.is_empty() && !root.contains_key("database") {
        collector.warning(
            0..0,
            "no `[[database]]` is given; the node would serve none",
        );
    }
    check_unique(collector, &databases, "name", "database");
    check_server_addresses(collector, &databases);
    for database in databases {
        check_database(collector, database);
    }
}

fn check_database(collector: &mut Collector<'_>, database: &Spanned<DeValue<'_>>) {
    let Some(table) = database.get_ref().as_table() else {
        return;
    };
    if let (Some((slots, span)), Some((connections, _))) =
        (integer(table, "slots"), integer(table, "connections"))
        && slots > connections
    {
        let message = format!("`slots` ({slots}) exceeds `connections` ({connections})");
        collector.warning(span, message);
    }
    let sides = tables(table, "side");
    if sides.is_empty() && table.contains_key("side") {
        collector.error(database.span(), "the database has no side");
    }
    check_unique(collector, &sides, "side", "side");
    for side in sides {
        check_side(collector, side);
    }
}

fn check_side(collector: &mut Collector<'_>, side: &Spanned<DeValue<'_>>) {
    let Some(table) = side.get_ref().as_table() else {
        return;
    };
    let servers = tables(table, "server");
    check_unique(collector, &servers, "name", "server");
    let count = servers.len();
    if count == 0 && table.contains_key("server") {
        collector.error(side.span(), "the side has no servers");
    } else if count > 0 && count.is_multiple_of(2) {
        let message = format!(
            "the side has {count} servers; an even number outlives no more failures than one less"
        );
        collector.warning(side.span(), message);
    }
}

/// Reports each table whose `key` an earlier table has as well.
fn check_unique(
    collector: &mut Collector<'_>,
    among: &[&Spanned<DeValue<'_>>],
    key: &str,
    kind: &str,
) {
    let mut seen = HashSet::new();
    for table in among {
        let value = table.get_ref().as_table().and_then(|table| table.get(key));
        let Some(value) = value else { continue };
        let Some(text) = value.get_ref().as_str() else {
            continue;
        };
        if !seen.insert(text.to_owned()) {
            let message = format!("another {kind} has the {key} `{text}` already");
            collector.error(value.span(), message);
        }
    }
}

fn check_server_addresses(collector: &mut Collector<'_>, databases: &[&Spanned<DeValue<'_>>]) {
    let mut servers = Vec::new();
    for database in databases
        .iter()
        .filter_map(|value| value.get_ref().as_table())
    {
        for side in tables(database, "side") {
            if let Some(side) = side.get_ref().as_table() {
                servers.extend(tables(side, "server"));
            }
        }
    }
    check_unique(collector, &servers, "address", "server");
}

fn check_listen(collector: &mut Collector<'_>, root: &DeTable<'_>) {
    let Some(listen) = root
        .get("listen")
        .and_then(|value| value.get_ref().as_table())
    else {
        return;
    };
    let mut seen = HashSet::new();
    // The gossip address is a UDP port and cannot clash with the three TCP ports.
    for name in ["client", "admin", "internal"] {
        let Some(value) = listen.get(name) else {
            continue;
        };
        let Some(text) = value.get_ref().as_str() else {
            continue;
        };
        // Port 0 lets the system choose, so that two of them never clash.
        if !text.ends_with(":0") && !seen.insert(text.to_owned()) {
            let message = format!("`{name}` has the address of another listener, {text}");
            collector.error(value.span(), message);
        }
    }
}

fn check_probe_times(collector: &mut Collector<'_>, root: &DeTable<'_>) {
    let Some(limits) = root
        .get("limits")
        .and_then(|value| value.get_ref().as_table())
    else {
        return;
    };
    if let (Some((in_doubt, span)), Some((calm, _))) = (
        integer(limits, "probe_in_doubt_ms"),
        integer(limits, "probe_ms"),
    ) && in_doubt > calm
    {
        let message = format!("`probe_in_doubt_ms` ({in_doubt}) exceeds `probe_ms` ({calm})");
        collector.warning(span, message);
    }
}

fn check_suspicion(collector: &mut Collector<'_>, root: &DeTable<'_>) {
    let membership = root.get("membership");
    let Some(membership) = membership.and_then(|value| value.get_ref().as_table()) else {
        return;
    };
    if let (Some((suspicion, span)), Some((probe, _))) = (
        integer(membership, "suspicion_ms"),
        integer(membership, "probe_ms"),
    ) && suspicion < probe
    {
        let message = format!("`suspicion_ms` ({suspicion}) is less than `probe_ms` ({probe})");
        collector.warning(span, message);
    }
}

/// The tables of the array under `name`; none if it is absent or no array.
fn tables<'table, 'text>(
    table: &'table DeTable<'text>,
    name: &str,
) -> Vec<&'table Spanned<DeValue<'text>>> {
    let array = table.get(name).and_then(|value| value.get_ref().as_array());
    array.map_or_else(Vec::new, |array| array.iter().collect())
}

/// The whole number under `name` and its place; none if it is absent or no whole number.
fn integer(table: &DeTable<'_>, name: &str) -> Option<(i64, std::ops::Range<usize>)> {
    let value = table.get(name)?;
    let integer = value.get_ref().as_integer()?;
    let number = i64::from_str_radix(integer.as_str(), integer.radix()).ok()?;
    Some((number, value.span()))
}
