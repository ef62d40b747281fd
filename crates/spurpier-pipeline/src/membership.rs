//! Which nodes there are: each lists itself in the store while it runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use tokio::time::timeout;

use crate::context::Context;
use crate::directory::share_connections;
use crate::follow::RowSink;
use crate::homes::NodeEntry;
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
        if try_write(&context, write).await {
            return;
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

/// Takes this node off the list, if the store answers.
pub async fn unlist_self(context: &Context) {
    let key = context.settings.node.name.clone();
    try_write(context, Write::Remove { key }).await;
}

async fn try_write(context: &Context, write: Write) -> bool {
    let call = context.store.transact(Transaction {
        table: Table::Nodes,
        conditions: Vec::new(),
        writes: vec![write],
    });
    matches!(timeout(WRITE_LIMIT, call).await, Ok(Ok(_)))
}

/// Keeps the nodes as the store lists them.
pub struct NodeSink(pub Arc<Context>);

fn entry(row: &Row) -> Option<NodeEntry> {
    NodeEntry::deserialize_bin(&row.value).ok()
}

impl RowSink for NodeSink {
    fn replace(&mut self, rows: &[Row]) {
        self.0.homes.update(|nodes| {
            nodes.clear();
            let listed = rows
                .iter()
                .filter_map(|row| Some((row.key.clone(), entry(row)?)));
            nodes.extend(listed);
        });
        share_connections(&self.0);
    }

    fn change(&mut self, row: &Row) {
        self.0
            .homes
            .update(|nodes| match entry(row).filter(|_| !row.gone) {
                Some(entry) => {
                    nodes.insert(row.key.clone(), entry);
                }
                None => {
                    nodes.remove(&row.key);
                }
            });
        share_connections(&self.0);
    }
}
