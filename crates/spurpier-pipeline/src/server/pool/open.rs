//! The set of pools that have connections.
//!
//! Each tick looks for unused connections, and a node has connections to few of all servers.
//! Iterating over the pools of all groups took about a fifth of the CPU time of 300 nodes (518
//! `perf` samples over one simulated day).

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::Pool;

/// The pools that have connections, and some that have recently closed their last one.
#[derive(Debug, Default)]
pub struct OpenPools(Mutex<Vec<Arc<Pool>>>);

impl OpenPools {
    /// Adds a pool that opens its first connection; it must not be in the set yet.
    pub(super) fn add(&self, pool: Arc<Pool>) {
        self.lock().push(pool);
    }

    /// Closes connections that have been unused for `limit`, keeping one per pool.
    pub fn close_unused(&self, limit: Duration) {
        let mut pools = std::mem::take(&mut *self.lock());
        pools.retain(|pool| {
            pool.close_unused(limit);
            pool.is_open()
        });
        self.lock().append(&mut pools);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Pool>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
