//! Cluster membership: each running node keeps an entry about itself in the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use spurpier_core::leader::Succession;
use spurpier_core::store_version::StoreVersion;
use spurpier_events::log_event;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::context::Context;
use crate::directory::{share_connections, share_connections_of};
use crate::era::transact_in_era;
use crate::events;
use crate::follow::RowSink;
use crate::forward::LostNodes;
use crate::node_entry::{ListedNode, NodeEntry};
use crate::ports::{Condition, Row, Shard, Table, TransactOutcome, Transaction, Write};
use crate::promotion::{report_release_by_store, restore_succession};

/// Timeout for one write of the node's own entry.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Maximum attempts to write the entry of a leaving node.
const MAX_LEAVING_WRITES: usize = 3;
/// Delay between two such attempts.
const LEAVING_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum time that a starting node waits for the node list before it lists itself; after a
/// restart, its old entry is still in the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that a starting node then waits for the groups, so that its first write already
/// names those that it serves.
const GROUPS_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that a node waits to see its own write in the list before it writes again. Longer
/// than a node that follows another one waits for updates.
const OWN_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the own entry is compared with the wanted one if no change is notified.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long an entry keeps groups whose primary the node no longer uses: the homes of a group often
/// change back after a node has restarted, and every write has a cost.
const SURPLUS_RETENTION: Duration = Duration::from_secs(6);

/// Prefix of the key of a succession's row; the group's name follows.
const SUCCESSION_PREFIX: &str = "lead/";

/// The key of the row with a group's newest succession.
pub fn succession_key(group: &str) -> String {
    format!("{SUCCESSION_PREFIX}{group}")
}

/// Whether a row of the cluster table is a node's entry.
pub fn is_node_row(row: &Row) -> bool {
    !row.key.starts_with(SUCCESSION_PREFIX)
}

/// Keeps this node listed with the groups whose primary it uses; returns when the node drains.
pub async fn keep_listed(context: Arc<Context>) {
    let mut changes = context.homes.own_changes();
    if !context.settings.node.first_start {
        context
            .homes
            .wait_for_list(Instant::now() + LIST_TIMEOUT)
            .await;
        await_groups(&context).await;
    }
    let mut surplus_since = None;
    while !context.draining.is_cancelled() {
        changes.borrow_and_update();
        let listing = context.homes.own_listing();
        let entry = NodeEntry {
            leases: context.wanted_leases(),
            ..NodeEntry::own(&context.settings)
        };
        let listed = listing.as_ref().map(|listing| &listing.entry);
        let now = Instant::now();
        let is_due = match compare(listed, &entry) {
            EntryState::Current => {
                surplus_since = None;
                false
            }
            EntryState::Surplus => now - *surplus_since.get_or_insert(now) >= SURPLUS_RETENTION,
            EntryState::Lacking => true,
        };
        // An earlier write that takes effect late would remove a group that is in use.
        let may_lose = context.homes.may_lose(&entry.leases);
        if !is_due && !may_lose {
            await_change(&context, &mut changes).await;
            continue;
        }
        surplus_since = None;
        match write_own(&context, listing.as_ref(), entry).await {
            Some(version) => await_own_write(&context, &mut changes, version).await,
            None => tokio::time::sleep(WRITE_RETRY_DELAY).await,
        }
    }
}

/// How the listed entry differs from the wanted one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryState {
    /// Both are equal.
    Current,
    /// It names more groups than wanted.
    Surplus,
    /// It is missing, lacks a group, or differs otherwise.
    Lacking,
}

fn compare(listed: Option<&NodeEntry>, wanted: &NodeEntry) -> EntryState {
    let Some(listed) = listed else {
        return EntryState::Lacking;
    };
    if listed == wanted {
        return EntryState::Current;
    }
    let with_groups = NodeEntry {
        leases: listed.leases.clone(),
        ..wanted.clone()
    };
    if *listed == with_groups && listed.leases.covers(&wanted.leases) {
        EntryState::Surplus
    } else {
        EntryState::Lacking
    }
}

/// Waits until the servers and the configuration have been read, up to [`GROUPS_TIMEOUT`].
async fn await_groups(context: &Context) {
    let mut servers = context.directory_known.subscribe();
    let mut configuration = context.configuration.subscribe();
    let known = async {
        // Cannot fail: the senders are dropped only with the context.
        let _ = servers.wait_for(|is_known| *is_known).await;
        let _ = configuration.wait_for(Option::is_some).await;
    };
    // On timeout, the node is listed without groups first and with them later.
    let _ = timeout(GROUPS_TIMEOUT, known).await;
}

/// Waits until this node's entry or its wanted leases change, or the next check is due.
async fn await_change(context: &Context, changes: &mut watch::Receiver<u64>) {
    tokio::select! {
        // Cannot fail: the sender is dropped only with the context.
        _ = changes.changed() => {}
        () = context.lease_wanted.notified() => {}
        () = tokio::time::sleep(CHECK_INTERVAL) => {}
        () = context.draining.cancelled() => {}
    }
}

/// Waits until the list shows this node's entry at `version`, up to [`OWN_WRITE_TIMEOUT`].
async fn await_own_write(
    context: &Context,
    changes: &mut watch::Receiver<u64>,
    version: StoreVersion,
) {
    let told = async {
        loop {
            let listing = context.homes.own_listing();
            if listing.is_some_and(|listing| listing.version >= version) {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    // On timeout, the entry is compared and written again.
    let _ = timeout(OWN_WRITE_TIMEOUT, told).await;
}

/// Writes this node's entry if the listed one still has the known version, since a write that takes
/// effect late must not replace a newer one. Returns the version of the new row, or `None` if it
/// is not known to be written.
async fn write_own(
    context: &Context,
    listing: Option<&ListedNode>,
    entry: NodeEntry,
) -> Option<StoreVersion> {
    let key = context.settings.node.name.clone();
    let known = context.known_tables.version(Table::Cluster);
    let version = listing.map_or(known.for_absent_row(), |listing| listing.version);
    context.homes.record_own_write(version, &entry.leases);
    let condition = Condition {
        table: Table::Cluster,
        key: key.clone(),
        version,
    };
    let write = Write::Put {
        table: Table::Cluster,
        key,
        value: Bytes::from(entry.serialize_bin()),
    };
    try_write(context, vec![condition], write, &context.settings.node.name).await
}

/// Lists this node as leaving, if the store answers: other nodes give it no more work, but still
/// ask it before they replace a primary that it may use.
pub async fn list_leaving(context: &Context) {
    for _ in 0..MAX_LEAVING_WRITES {
        let listing = context.homes.own_listing();
        let listed = listing.as_ref().map(|listing| listing.entry.clone());
        let entry = NodeEntry {
            leaving: true,
            ..listed.unwrap_or_else(|| NodeEntry::own(&context.settings))
        };
        if write_own(context, listing.as_ref(), entry).await.is_some() {
            return;
        }
        tokio::time::sleep(LEAVING_RETRY_DELAY).await;
    }
}

/// Removes this node from the list, if the store answers.
pub async fn unlist_self(context: &Context) {
    let key = context.settings.node.name.clone();
    let table = Table::Cluster;
    let write = Write::Remove { table, key };
    try_write(context, Vec::new(), write, &context.settings.node.name).await;
}

/// Returns the version of the write; `None` if it conflicted, failed or timed out.
async fn try_write(
    context: &Context,
    conditions: Vec<Condition>,
    write: Write,
    node: &str,
) -> Option<StoreVersion> {
    let transaction = Transaction {
        conditions,
        writes: vec![write],
        shard: Shard::of_node(node),
    };
    let call = transact_in_era(context, transaction);
    match timeout(WRITE_TIMEOUT, call).await {
        Ok(Ok(TransactOutcome::Committed(version))) => Some(version),
        Ok(Ok(TransactOutcome::Conflict(_)) | Err(_)) | Err(_) => None,
    }
}

/// Removes nodes from the list that this node could not reach for a long time; never returns.
///
/// A node that is only partitioned from this one lists itself again once it finds itself missing
/// from the list. The removal requires the known version of the row, so that a restarted node stays
/// listed.
pub async fn unlist_lost(context: Arc<Context>, mut lost: LostNodes) {
    while let Some(address) = lost.recv().await {
        let Some((key, version)) = context.homes.listed_at(address) else {
            continue;
        };
        log_event!(events::NODE_LOST, node = key, address = address);
        let table = Table::Cluster;
        let conditions = vec![Condition {
            table,
            key: key.clone(),
            version,
        }];
        let node = key.clone();
        try_write(&context, conditions, Write::Remove { table, key }, &node).await;
    }
}

/// Applies the rows of the cluster table: listed nodes and successions of groups.
pub struct ClusterSink(pub Arc<Context>);

fn listed(row: &Row) -> Option<ListedNode> {
    match NodeEntry::deserialize_bin(&row.value) {
        Ok(entry) => Some(ListedNode {
            entry,
            version: row.version,
        }),
        Err(_) => {
            log_event!(events::ROW_MALFORMED, table = "cluster", key = row.key);
            None
        }
    }
}

impl RowSink for ClusterSink {
    fn replace(&mut self, rows: &[Row], version: StoreVersion) {
        let (nodes, successions): (Vec<&Row>, Vec<&Row>) =
            rows.iter().partition(|row| is_node_row(row));
        let nodes = nodes.into_iter();
        let nodes = nodes.filter_map(|row| Some((row.key.clone(), listed(row)?)));
        let now = self.0.clock.now();
        let nodes = nodes.collect();
        let has_era_changed = self.0.homes.replace(nodes, version.era(), now);
        for row in &successions {
            self.record_succession(row);
        }
        if has_era_changed {
            self.restore_lost(&successions, version);
        }
        share_connections(&self.0);
    }

    fn change(&mut self, rows: &[Row]) {
        let (nodes, successions): (Vec<&Row>, Vec<&Row>) =
            rows.iter().partition(|row| is_node_row(row));
        for row in successions {
            self.record_succession(row);
        }
        if nodes.is_empty() {
            return;
        }
        let nodes = nodes.into_iter().map(|row| {
            let node = if row.gone { None } else { listed(row) };
            (row.key.clone(), node)
        });
        let groups = self.0.homes.change(nodes.collect(), self.0.clock.now());
        share_connections_of(&self.0, &groups);
    }
}

impl ClusterSink {
    /// Restores successions that the store has lost, for the groups in use on this node, so that
    /// nodes that start later learn of them.
    fn restore_lost(&self, told: &[&Row], version: StoreVersion) {
        let told: BTreeMap<&str, &Row> = told.iter().map(|row| (row.key.as_str(), *row)).collect();
        for group in self.0.groups_in_use() {
            let Some(succession) = group.succession() else {
                continue;
            };
            let row = told.get(succession_key(&group.name).as_str()).copied();
            let stored = row.and_then(|row| Succession::deserialize_bin(&row.value).ok());
            if stored.is_some_and(|stored| stored.token >= succession.token) {
                continue;
            }
            let known = row.map_or(version.for_absent_row(), |row| row.version);
            tokio::spawn(restore_succession(
                Arc::clone(&self.0),
                group,
                succession,
                known,
            ));
        }
    }

    fn record_succession(&self, row: &Row) {
        let Some(group) = row.key.strip_prefix(SUCCESSION_PREFIX) else {
            return;
        };
        let Ok(succession) = Succession::deserialize_bin(&row.value) else {
            log_event!(events::ROW_MALFORMED, table = "cluster", key = row.key);
            return;
        };
        let group = self.0.group(group);
        if self.0.record_succession(&group, &succession) {
            tokio::spawn(report_release_by_store(
                Arc::clone(&self.0),
                group,
                succession.token,
            ));
        }
    }
}
