//! Which nodes there are: each lists itself in the store while it runs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::context::Context;
use crate::directory::share_connections;
use crate::follow::RowSink;
use crate::ports::{Row, Table, Transaction, Write};

/// How long one write of the own entry may take.
const WRITE_LIMIT: Duration = Duration::from_secs(1);
/// The pause after a write that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(700);

/// Lists this node, as often as it takes.
pub async fn list_self(context: Arc<Context>, address: SocketAddr) {
    let key = context.settings.node.name.clone();
    let value = Bytes::from(address.to_string());
    loop {
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

impl NodeSink {
    fn update(&self, change: impl FnOnce(&mut HashMap<String, SocketAddr>)) {
        let context = &self.0;
        let count = {
            let mut peers = context.peers.lock().unwrap_or_else(PoisonError::into_inner);
            change(&mut peers);
            peers.len().max(1)
        };
        let before = context.nodes.swap(count, Ordering::Relaxed);
        if before != count {
            share_connections(context);
        }
    }
}

fn address(row: &Row) -> Option<SocketAddr> {
    std::str::from_utf8(&row.value).ok()?.parse().ok()
}

impl RowSink for NodeSink {
    fn replace(&mut self, rows: &[Row], _version: u64) {
        self.update(|peers| {
            peers.clear();
            let listed = rows
                .iter()
                .filter_map(|row| Some((row.key.clone(), address(row)?)));
            peers.extend(listed);
        });
    }

    fn change(&mut self, row: &Row) {
        self.update(|peers| match address(row).filter(|_| !row.gone) {
            Some(address) => {
                peers.insert(row.key.clone(), address);
            }
            None => {
                peers.remove(&row.key);
            }
        });
    }
}
