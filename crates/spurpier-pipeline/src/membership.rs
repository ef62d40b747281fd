//! Which nodes there are: each lists itself in the store while it runs.

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

/// How long one write of the own entry may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after a write that failed.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(700);
/// How often the entry of a node that leaves is tried to be written.
const MAX_LEAVING_WRITES: usize = 3;
/// The pause between two of these.
const LEAVING_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a starting node waits to read who is listed before it lists itself: after a restart its
/// entry still stands there.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a starting node then waits for the groups, so that one write names those it serves.
const GROUPS_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a node waits to be told of its own write before it writes again. Longer than a node
/// that follows another one waits for its news.
const OWN_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often the own entry is compared with what it should be, if nothing tells of a change.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// For how long an entry may name groups of which the node uses the primary no more: the homes of
/// a group often change back when a node has restarted, and each write is paid for.
const SURPLUS_RETENTION: Duration = Duration::from_secs(6);

/// What stands before a group's name in the key of its succession's row.
const SUCCESSION_PREFIX: &str = "lead/";

/// The key of the row with a group's newest succession.
pub fn succession_key(group: &str) -> String {
    format!("{SUCCESSION_PREFIX}{group}")
}

/// Whether a row of the cluster's table is a node's entry.
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
        // A former write that is carried out late would take back a group that is in use.
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

/// How a listed entry stands to the one that should be listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryState {
    /// It is the same.
    Current,
    /// It names more groups.
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

/// Waits until the servers and the configuration have been read, for a while.
async fn await_groups(context: &Context) {
    let mut servers = context.directory_known.subscribe();
    let mut configuration = context.configuration.subscribe();
    let known = async {
        // The senders live as long as the context.
        let _ = servers.wait_for(|is_known| *is_known).await;
        let _ = configuration.wait_for(Option::is_some).await;
    };
    // If the time passes, the node is listed without groups, and again with them.
    let _ = timeout(GROUPS_TIMEOUT, known).await;
}

/// Waits for a change of this node's entry or wants, or for the next look.
async fn await_change(context: &Context, changes: &mut watch::Receiver<u64>) {
    tokio::select! {
        // The sender lives as long as the context.
        _ = changes.changed() => {}
        () = context.lease_wanted.notified() => {}
        () = tokio::time::sleep(CHECK_INTERVAL) => {}
        () = context.draining.cancelled() => {}
    }
}

/// Waits until the list shows this node's entry of a version, for a while.
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
    // If the time passes, the entry is compared and written anew.
    let _ = timeout(OWN_WRITE_TIMEOUT, told).await;
}

/// Writes this node's entry, if it is listed as it is known to be: a write that is carried out
/// late must not replace a newer one. The version of the new row, or none if it was not written.
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

/// Tells that this node is about to end, if the store answers: others give it no more work, and
/// still ask it before a primary that it may use is replaced.
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

/// Takes this node off the list, if the store answers.
pub async fn unlist_self(context: &Context) {
    let key = context.settings.node.name.clone();
    let table = Table::Cluster;
    let write = Write::Remove { table, key };
    try_write(context, Vec::new(), write, &context.settings.node.name).await;
}

/// The version of the write; none if it was not made or the store does not tell.
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
        Ok(Ok(TransactOutcome::Made(version))) => Some(version),
        Ok(Ok(TransactOutcome::Conflict(_)) | Err(_)) | Err(_) => None,
    }
}

/// Takes nodes off the list that this node could not reach for long; never returns.
///
/// A node that is only cut off from this one lists itself again as soon as it sees that it is not
/// listed. The row must be the one that was known: a node that has started again stays listed.
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

/// Keeps the nodes as the store lists them, and takes in the groups' successions.
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
    /// Has the successions stored again that the store has lost, where this node is a home: nodes that
    /// start from now on must learn of them.
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
