//! A model of the probes that homes send to their databases' servers.
//!
//! The servers are not simulated. Sizes follow from the PostgreSQL protocol: the status query of
//! design note 0001 as a prepared statement, so that a probe is Bind, Execute and Sync, answered
//! by BindComplete, one DataRow, CommandComplete and ReadyForQuery. Which node is home to which
//! database is computed by the real table.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::homes::{HomeTable, budgeted_interval};
use spurpier_core::identity::DatabaseName;
use spurpier_core::membership::{MemberIdentity, NodeKey};

use super::network::datagram_bytes;
use super::platform::database_name;
use super::scenario::GroupProbingRates;

/// Home nodes of a database in each zone.
pub(super) const HOMES_PER_ZONE: usize = 2;
/// Servers of a database.
const SERVERS: usize = 3;
/// Bind (20 bytes), Execute (10), Sync (5) behind one TCP/IP header.
const PROBE_REQUEST_BYTES: usize = 75;
/// BindComplete (5), DataRow of nine short columns (95), CommandComplete (14), ReadyForQuery (6)
/// behind one TCP/IP header, and the acknowledgement that follows.
const PROBE_ANSWER_BYTES: usize = 200;
/// A view: a database's key, and for each server terms, positions, role and flags.
const VIEW_PAYLOAD_BYTES: usize = 26 + 3 * 58;

/// The bytes a second that one node spends on its databases' groups.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GroupProbing {
    /// Databases of which it is the first-ranked home.
    pub(super) first_homes: usize,
    /// Databases of which it is a home.
    pub(super) homes: usize,
}

impl GroupProbing {
    /// The modelled bytes a second that this node itself sends or causes: its probes with their
    /// answers, and the views that it passes on.
    pub(super) fn own_bytes_per_second(
        self,
        homes_per_database: usize,
        rates: &GroupProbingRates,
    ) -> f64 {
        let probed = match rates.every_home {
            true => self.homes,
            false => self.first_homes,
        };
        let probe_bytes = PROBE_REQUEST_BYTES + PROBE_ANSWER_BYTES;
        let probes = rate(
            Duration::from_millis(rates.probe_interval_ms),
            probed * SERVERS,
            probe_bytes,
            rates.probe_budget,
        );
        let receivers = match rates.every_home {
            true => 0,
            false => homes_per_database.saturating_sub(1),
        };
        let views = rate(
            Duration::from_millis(rates.view_interval_ms),
            self.first_homes * receivers,
            datagram_bytes(VIEW_PAYLOAD_BYTES) as usize,
            rates.view_budget,
        );
        probes + views
    }

    /// The modelled bytes of state: a view of each group.
    pub(super) fn memory_bytes(self) -> usize {
        /// Three server views of about 150 bytes each with their names.
        const GROUP_VIEW: usize = 3 * 150;
        self.homes * GROUP_VIEW
    }
}

/// The bytes a second of messages that are repeated within a budget.
fn rate(least: Duration, messages: usize, message_bytes: usize, budget: usize) -> f64 {
    let interval = budgeted_interval(least, messages, message_bytes, budget);
    (messages * message_bytes) as f64 / interval.as_secs_f64()
}

/// The modelled bytes a second of each node: its own, and the views that first homes send it.
pub(super) fn bytes_by_node(
    counts: &HashMap<NodeKey, GroupProbing>,
    homes_per_database: usize,
    rates: &GroupProbingRates,
) -> HashMap<NodeKey, f64> {
    let view_bytes = datagram_bytes(VIEW_PAYLOAD_BYTES) as usize;
    // Each first home spreads its views over the homes of its databases; on average over all
    // senders a home receives this much for each database of which it is not the first home.
    let sent: f64 = counts
        .values()
        .map(|one| {
            let messages = one.first_homes * homes_per_database.saturating_sub(1);
            let least = Duration::from_millis(rates.view_interval_ms);
            rate(least, messages, view_bytes, rates.view_budget)
        })
        .sum();
    let followed: usize = counts.values().map(|one| one.homes - one.first_homes).sum();
    let received_each = match rates.every_home {
        true => 0.0,
        false => sent / followed.max(1) as f64,
    };
    counts
        .iter()
        .map(|(key, one)| {
            let received = (one.homes - one.first_homes) as f64 * received_each;
            let own = one.own_bytes_per_second(homes_per_database, rates);
            (*key, own + received)
        })
        .collect()
}

/// The homes of all databases among these nodes, built node by node.
pub(super) fn home_table(databases: usize, nodes: &[Arc<MemberIdentity>]) -> HomeTable {
    let names = (0..databases).map(|number| DatabaseName::from(database_name(number)));
    let mut table = HomeTable::new(names, HOMES_PER_ZONE);
    for node in nodes {
        table.add(node);
    }
    table
}

/// How many databases each node is home to.
pub(super) fn home_counts(
    databases: usize,
    table: &HomeTable,
) -> (HashMap<NodeKey, GroupProbing>, usize) {
    let mut counts: HashMap<NodeKey, GroupProbing> = HashMap::new();
    let mut homes_per_database = 0;
    for number in 0..databases {
        let Some(homes) = table.homes_of(&DatabaseName::from(database_name(number))) else {
            continue;
        };
        let nodes = homes.zones.iter().flat_map(|zone| &zone.nodes);
        let mut count = 0;
        for node in nodes {
            counts.entry(*node).or_default().homes += 1;
            count += 1;
        }
        homes_per_database = homes_per_database.max(count);
        if let Some(first) = homes.first {
            counts.entry(first).or_default().first_homes += 1;
        }
    }
    (counts, homes_per_database)
}
