//! Registry of the connections of open transactions, which closes them when a zone is evacuated.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use super::attempt::LeasedConnection;

type SharedConnection = Mutex<Option<LeasedConnection>>;

#[derive(Debug, Default)]
struct Inner {
    next_id: u64,
    connections: HashMap<u64, Weak<SharedConnection>>,
}

/// The connections of all transactions that are open on this node.
#[derive(Debug, Clone, Default)]
pub struct OpenTransactions(Arc<Mutex<Inner>>);

impl OpenTransactions {
    /// Registers a transaction's connection until the returned handle is dropped.
    pub fn hold(&self, leased: LeasedConnection) -> HeldConnection {
        let leased = Arc::new(Mutex::new(Some(leased)));
        let id = {
            let mut inner = self.lock();
            inner.next_id += 1;
            let id = inner.next_id;
            inner.connections.insert(id, Arc::downgrade(&leased));
            id
        };
        HeldConnection {
            leased,
            id,
            registry: self.clone(),
        }
    }

    /// Closes the connections of idle transactions on servers in `zone` and returns their number.
    ///
    /// A connection on which a statement is running is closed after its answer.
    pub fn close_in_zone(&self, zone: &str) -> usize {
        let connections: Vec<_> = self.lock().connections.values().cloned().collect();
        let connections = connections.iter().filter_map(Weak::upgrade);
        let ended = connections.filter_map(|leased| {
            let is_in_zone =
                |leased: &mut LeasedConnection| leased.server.listing().entry.zone == zone;
            locked(&leased).take_if(is_in_zone)
        });
        ended.count()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A transaction's connection, held between its statements.
#[derive(Debug)]
pub struct HeldConnection {
    leased: Arc<SharedConnection>,
    id: u64,
    registry: OpenTransactions,
}

impl HeldConnection {
    /// Takes the connection to run a statement. Returns `None` if it has been closed.
    pub fn take(&self) -> Option<LeasedConnection> {
        locked(&self.leased).take()
    }

    /// Puts the connection back after a statement, or closes it if its server's zone is closed.
    pub fn put_back(&self, leased: Option<LeasedConnection>) {
        let leased = leased.filter(|leased| !leased.server.pool.zone_gate().is_closed());
        *locked(&self.leased) = leased;
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        self.registry.lock().connections.remove(&self.id);
    }
}

fn locked(leased: &SharedConnection) -> MutexGuard<'_, Option<LeasedConnection>> {
    leased.lock().unwrap_or_else(PoisonError::into_inner)
}
