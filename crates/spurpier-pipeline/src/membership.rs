//! Which nodes there are: each lists itself in the store while it runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use spurpier_events::log_event;
use tokio::time::timeout;

use crate::context::Context;
use crate::directory::share_connections;
use crate::events;
use crate::follow::RowSink;
use crate::forward::LostNodes;
use crate::homes::{ListedNode, NodeEntry};
use crate::ports::{Row, Table, Transaction, Write};

/// How long one write of the own entry may take.
const WRITE_LIMIT: Duration = Duration::from_secs(1);
/// The pause after a write that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(700);

/// Lists this node, as often as it takes.
pub async fn list_self(context: Arc<Context>) {
    let key = context.settings.node.name.clone();
    let value = Bytes::from(NodeEntry::own(&context.settings).serialize_bin());
    while !context.draining.is_cancelled() {
        let write = Write::Put {
            key: key.clone(),
            value: value.clone(),
        };
        if try_write(&context, Vec::new(), write).await {
            return;
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

/// Takes this node off the list, if the store answers.
pub async fn unlist_self(context: &Context) {
    let key = context.settings.node.name.clone();
    try_write(context, Vec::new(), Write::Remove { key }).await;
}

async fn try_write(context: &Context, conditions: Vec<(String, u64)>, write: Write) -> bool {
    let call = context.store.transact(Transaction {
        table: Table::Nodes,
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
        let conditions = vec![(key.clone(), version)];
        try_write(&context, conditions, Write::Remove { key }).await;
    }
}

/// Keeps the nodes as the store lists them.
pub struct NodeSink {
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

impl NodeSink {
    /// A sink that knows no node yet.
    pub fn new(context: Arc<Context>) -> Self {
        let is_listed = false;
        NodeSink { context, is_listed }
    }

    /// Takes in whether this node is listed; lists it again if another one has taken it off.
    fn note_own(&mut self, is_listed: bool) {
        let was_listed = std::mem::replace(&mut self.is_listed, is_listed);
        if was_listed && !is_listed {
            tokio::spawn(list_self(Arc::clone(&self.context)));
        }
    }
}

impl RowSink for NodeSink {
    fn replace(&mut self, rows: &[Row]) {
        self.context.homes.update(|nodes| {
            nodes.clear();
            let all = rows
                .iter()
                .filter_map(|row| Some((row.key.clone(), listed(row)?)));
            nodes.extend(all);
        });
        share_connections(&self.context);
        let own = &self.context.settings.node.name;
        let is_listed = rows.iter().any(|row| row.key == *own);
        self.note_own(is_listed);
    }

    fn change(&mut self, row: &Row) {
        self.context
            .homes
            .update(|nodes| match listed(row).filter(|_| !row.gone) {
                Some(node) => {
                    nodes.insert(row.key.clone(), node);
                }
                None => {
                    nodes.remove(&row.key);
                }
            });
        share_connections(&self.context);
        if row.key == self.context.settings.node.name {
            self.note_own(!row.gone);
        }
    }
}
