//! The task that probes one server over a connection kept for that.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use spurpier_core::group::ServerStatus;
use spurpier_core::time::Timestamp;
use tokio::sync::watch;

use super::status::{STATUS_QUERY, read_status};
use super::watcher::GroupWatcher;
use crate::home::backend::{BackEndConnection, ServerAddress};

/// Probes server `index` until the watcher is dropped.
pub(super) async fn run(watcher: Weak<GroupWatcher>, index: usize, address: ServerAddress) {
    let Some(mut wanted) = watcher.upgrade().map(|watcher| watcher.wanted()) else {
        return;
    };
    let mut connection = None;
    while let Some(strong) = watcher.upgrade() {
        let asked_at = strong.clock().now();
        let status = probe_once(&strong, &mut connection, &address).await;
        let answered = status.is_some();
        match status {
            Some(status) => strong.observe(index, asked_at, status),
            None => strong.observe_failure(index),
        }
        let watcher_is_gone = !wait_for_turn(strong, &mut wanted, asked_at, answered).await;
        if watcher_is_gone {
            return;
        }
    }
}

/// Asks for the status, over a new connection if there is none; none if no answer came in time.
async fn probe_once(
    watcher: &GroupWatcher,
    connection: &mut Option<BackEndConnection>,
    address: &ServerAddress,
) -> Option<ServerStatus> {
    watcher.counters().probes.fetch_add(1, Ordering::Relaxed);
    let timeout = watcher.times().timeout;
    let answer = tokio::time::timeout(timeout, ask(connection, address)).await;
    let status = answer.ok().flatten();
    if status.is_none() {
        // An answer that comes late must not be taken for the next one's.
        *connection = None;
    }
    status
}

async fn ask(
    connection: &mut Option<BackEndConnection>,
    address: &ServerAddress,
) -> Option<ServerStatus> {
    let open = match connection {
        Some(open) => open,
        None => connection.insert(BackEndConnection::open(address).await.ok()?),
    };
    let answer = open.query(STATUS_QUERY).await.ok()?;
    read_status(&answer)
}

/// Waits until the next probe is due; false when the watcher is gone.
///
/// A server that does not answer is not asked again at once, whoever wants it.
async fn wait_for_turn(
    watcher: Arc<GroupWatcher>,
    wanted: &mut watch::Receiver<Timestamp>,
    asked_at: Timestamp,
    answered: bool,
) -> bool {
    let pause = watcher.pause();
    drop(watcher);
    if !answered {
        tokio::time::sleep(pause).await;
        return true;
    }
    tokio::select! {
        asked = wanted.wait_for(|wanted| *wanted > asked_at) => asked.is_ok(),
        () = tokio::time::sleep(pause) => true,
    }
}
