//! Which nodes there are: each lists itself in the store while it runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use spurpier_core::lead::Succession;
use spurpier_events::log_event;
use tokio::time::timeout;

use crate::context::Context;
use crate::directory::share_connections;
use crate::duty::yield_by_store;
use crate::events;
use crate::follow::RowSink;
use crate::forward::LostNodes;
use crate::homes::{ListedNode, NodeEntry};
use crate::ports::{Condition, Row, Table, Transaction, Write};

/// How long one write of the own entry may take.
const WRITE_LIMIT: Duration = Duration::from_secs(1);
/// The pause after a write that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(700);

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

/// Lists this node, as often as it takes.
pub async fn list_self(context: Arc<Context>) {
    while !context.draining.is_cancelled() {
        if try_write(&context, Vec::new(), own_entry(&context, false)).await {
            return;
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

fn own_entry(context: &Context, leaving: bool) -> Write {
    let entry = NodeEntry {
        leaving,
        ..NodeEntry::own(&context.settings)
    };
    Write::Put {
        table: Table::Cluster,
        key: context.settings.node.name.clone(),
        value: Bytes::from(entry.serialize_bin()),
    }
}

/// Tells that this node is about to end, if the store answers: others give it no more work, and
/// still ask it before a primary that it may use is replaced.
pub async fn list_leaving(context: &Context) {
    try_write(context, Vec::new(), own_entry(context, true)).await;
}

/// Takes this node off the list, if the store answers.
pub async fn unlist_self(context: &Context) {
    let key = context.settings.node.name.clone();
    let table = Table::Cluster;
    try_write(context, Vec::new(), Write::Remove { table, key }).await;
}

async fn try_write(context: &Context, conditions: Vec<Condition>, write: Write) -> bool {
    let call = context.store.transact(Transaction {
        conditions,
        writes: vec![write],
    });
    matches!(timeout(WRITE_LIMIT, call).await, Ok(Ok(_)))
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
        try_write(&context, conditions, Write::Remove { table, key }).await;
    }
}

/// Keeps the nodes as the store lists them, and takes in the groups' successions.
pub struct ClusterSink {
    context: Arc<Context>,
    /// Whether this node has been seen on the list and not been taken off since.
    is_listed: bool,
}

fn listed(row: &Row) -> Option<ListedNode> {
    Some(ListedNode {
        entry: NodeEntry::deserialize_bin(&row.value).ok()?,
        version: row.version,
    })
}

impl ClusterSink {
    /// A sink that knows no node yet.
    pub fn new(context: Arc<Context>) -> Self {
        let is_listed = false;
        ClusterSink { context, is_listed }
    }

    /// Takes in whether this node is listed; lists it again if another one has taken it off.
    fn note_own(&mut self, is_listed: bool) {
        let was_listed = std::mem::replace(&mut self.is_listed, is_listed);
        if was_listed && !is_listed {
            tokio::spawn(list_self(Arc::clone(&self.context)));
        }
    }
}

impl RowSink for ClusterSink {
    fn replace(&mut self, rows: &[Row]) {
        let (nodes, successions): (Vec<&Row>, Vec<&Row>) =
            rows.iter().partition(|row| is_node_row(row));
        let now = self.context.clock.now();
        self.context.homes.update(now, |known| {
            known.clear();
            let all = nodes.iter();
            known.extend(all.filter_map(|row| Some((row.key.clone(), listed(row)?))));
        });
        for row in successions {
            self.take_succession(row);
        }
        share_connections(&self.context);
        let own = &self.context.settings.node.name;
        let is_listed = nodes.iter().any(|row| row.key == *own);
        self.note_own(is_listed);
    }

    fn change(&mut self, row: &Row) {
        if !is_node_row(row) {
            self.take_succession(row);
            return;
        }
        let now = self.context.clock.now();
        self.context.homes.update(now, |nodes| {
            match listed(row).filter(|_| !row.gone) {
                Some(node) => nodes.insert(row.key.clone(), node),
                None => nodes.remove(&row.key),
            };
        });
        share_connections(&self.context);
        if row.key == self.context.settings.node.name {
            self.note_own(!row.gone);
        }
    }
}

impl ClusterSink {
    fn take_succession(&self, row: &Row) {
        let Some(group) = row.key.strip_prefix(SUCCESSION_PREFIX) else {
            return;
        };
        let Ok(succession) = Succession::deserialize_bin(&row.value) else {
            log_event!(events::ROW_MALFORMED, table = "cluster", key = row.key);
            return;
        };
        let group = self.context.group(group);
        if self.context.take_succession(&group, &succession) {
            tokio::spawn(yield_by_store(
                Arc::clone(&self.context),
                group,
                succession.token,
            ));
        }
    }
}
