//! A connection while it is being opened.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use spurpier_core::pool::PoolState;

use super::server_pool::ServerPool;
use crate::home::backend::BackEndConnection;

/// A connection that is being opened; counted as failed unless it succeeds.
pub(super) struct Opening {
    pool: Arc<ServerPool>,
    open: bool,
}

impl Opening {
    pub(super) fn new(pool: &Arc<ServerPool>) -> Self {
        Opening {
            pool: Arc::clone(pool),
            open: true,
        }
    }

    pub(super) fn succeeded(mut self, count: impl FnOnce(&mut PoolState)) {
        self.open = false;
        self.pool.counters().opened.fetch_add(1, Ordering::Relaxed);
        count(&mut self.pool.lock().state);
    }

    pub(super) async fn open_idle(mut self) {
        let Ok(connection) = BackEndConnection::open(&self.pool.address).await else {
            return;
        };
        self.open = false;
        self.pool.counters().opened.fetch_add(1, Ordering::Relaxed);
        {
            let mut inner = self.pool.lock();
            inner.state.opened_idle();
            inner.idle.push(connection);
        }
        self.pool.dispatch();
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        if self.open {
            self.pool
                .counters()
                .open_failures
                .fetch_add(1, Ordering::Relaxed);
            self.pool.lock().state.open_failed(self.pool.clock.now());
        }
    }
}
