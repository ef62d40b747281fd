//! The client connections of a server, and how their statements are cancelled.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::sync::{Arc, Mutex};

use pgwire::messages::startup::SecretKey;
use rand::RngExt;
use tokio::sync::Notify;

use super::server_core::lock;

/// The state of one client connection that others look at.
#[derive(Debug)]
pub(crate) struct SessionEntry {
    /// The process id told to the client.
    pub process_id: i32,
    /// The secret for cancel requests.
    pub secret: i32,
    /// Set while the running statement is to be interrupted.
    pub cancelled: Arc<AtomicBool>,
    cancel_signal: Notify,
    busy: AtomicBool,
}

impl SessionEntry {
    /// Forgets cancel requests for earlier statements.
    pub(crate) fn start_statement(&self) {
        self.cancelled.store(false, Ordering::Release);
        self.set_busy(true);
    }

    /// Notes whether the session runs a statement or has a transaction open.
    pub(crate) fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Release);
    }

    /// Waits until the running statement is cancelled.
    pub(crate) async fn cancelled(&self) {
        loop {
            let signal = self.cancel_signal.notified();
            if self.cancelled.load(Ordering::Acquire) {
                return;
            }
            signal.await;
        }
    }

    fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        self.cancel_signal.notify_waiters();
    }
}

/// All client connections of a server.
#[derive(Debug)]
pub(crate) struct SessionRegistry {
    limit: usize,
    next_process_id: AtomicI32,
    entries: Mutex<HashMap<i32, Arc<SessionEntry>>>,
}

impl SessionRegistry {
    /// An empty registry that takes up to `limit` connections.
    pub(crate) fn new(limit: usize) -> Self {
        SessionRegistry {
            limit,
            next_process_id: AtomicI32::new(1),
            entries: Mutex::default(),
        }
    }

    /// Adds a connection; none over the limit.
    pub(crate) fn add(&self) -> Option<Arc<SessionEntry>> {
        let mut entries = lock(&self.entries);
        if entries.len() >= self.limit {
            return None;
        }
        let process_id = self.next_process_id.fetch_add(1, Ordering::Relaxed);
        let entry = Arc::new(SessionEntry {
            process_id,
            secret: rand::rng().random(),
            cancelled: Arc::default(),
            cancel_signal: Notify::new(),
            busy: AtomicBool::new(true),
        });
        entries.insert(process_id, Arc::clone(&entry));
        Some(entry)
    }

    /// Removes a connection.
    pub(crate) fn remove(&self, process_id: i32) {
        lock(&self.entries).remove(&process_id);
    }

    /// Cancels the statement that a connection runs, if the secret is right.
    pub(crate) fn cancel(&self, process_id: i32, secret: &SecretKey) {
        let entries = lock(&self.entries);
        let entry = entries.get(&process_id);
        if let Some(entry) = entry.filter(|entry| secret.eq_value(&SecretKey::I32(entry.secret))) {
            entry.cancel();
        }
    }

    /// Whether any connection runs a statement or has a transaction open.
    pub(crate) fn any_busy(&self) -> bool {
        let entries = lock(&self.entries);
        entries
            .values()
            .any(|entry| entry.busy.load(Ordering::Acquire))
    }

    /// Whether no connection is left.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.entries).is_empty()
    }
}
