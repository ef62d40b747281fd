//! The pools that have connections.
//!
//! Unused connections are looked for at each tick, and a node has connections to few of all
//! servers: going over the pools of all groups led the profile of 300 nodes, with about a fifth of
//! their processor time (518 samples of `perf` while a day was played).

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::Pool;

/// The pools that have connections, and some that have just closed their last one.
#[derive(Debug, Default)]
pub struct OpenPools(Mutex<Vec<Arc<Pool>>>);

impl OpenPools {
    /// Takes in a pool that has come to have a connection; it is not among them yet.
    pub(super) fn add(&self, pool: Arc<Pool>) {
        self.lock().push(pool);
    }

    /// Closes the connections that nobody has used for `limit`, but for one of each pool.
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
