//! A unit's hold on a server: its slot and its connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::server_pool::ServerPool;
use crate::home::backend::BackEndConnection;

/// A slot of a server; given back when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    pool: Arc<ServerPool>,
    held: bool,
}

impl Slot {
    pub(super) fn new(pool: &Arc<ServerPool>) -> Self {
        Slot {
            pool: Arc::clone(pool),
            held: true,
        }
    }

    fn pause(&mut self) {
        if std::mem::take(&mut self.held) {
            self.pool
                .lock()
                .admission
                .release_slot(self.pool.clock.now());
            self.pool.dispatch();
        }
    }

    fn resume(&mut self) {
        if !std::mem::replace(&mut self.held, true) {
            self.pool.lock().admission.reacquire_slot();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pause();
    }
}

/// A connection that serves one unit, and the unit's slot.
///
/// Dropping it closes the connection, so that nothing outstanding can reach another unit; only
/// [`Lease::finish`] gives it back.
#[derive(Debug)]
pub struct Lease {
    // Declared first, so that the connection is counted out before the slot wakes a waiter.
    connection: LeasedConnection,
    slot: Slot,
}

#[derive(Debug)]
struct LeasedConnection {
    pool: Arc<ServerPool>,
    connection: Option<BackEndConnection>,
}

impl Drop for LeasedConnection {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool
                .counters()
                .discarded
                .fetch_add(1, Ordering::Relaxed);
            self.pool.lock().state.closed_in_use();
        }
    }
}

impl Lease {
    pub(super) fn new(slot: Slot, connection: BackEndConnection) -> Self {
        Lease {
            connection: LeasedConnection {
                pool: Arc::clone(&slot.pool),
                connection: Some(connection),
            },
            slot,
        }
    }

    /// The connection; none only after it was given back.
    pub fn connection(&mut self) -> Option<&mut BackEndConnection> {
        self.connection.connection.as_mut()
    }

    /// Leaves the slot while the unit waits for its client.
    pub fn pause(&mut self) {
        self.slot.pause();
    }

    /// Takes a slot again for the unit's next batch.
    pub fn resume(&mut self) {
        self.slot.resume();
    }

    /// Gives the connection back if it is clean, and closes it otherwise.
    pub fn finish(mut self) {
        let clean = self
            .connection
            .connection
            .as_ref()
            .is_some_and(BackEndConnection::is_clean);
        if !clean {
            return;
        }
        if let Some(connection) = self.connection.connection.take() {
            let mut inner = self.slot.pool.lock();
            if inner.state.release() {
                inner.idle.push(connection);
            }
        }
    }
}
