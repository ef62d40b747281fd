//! Connections that are being opened, and connections that are leased to units of work.

use std::sync::Arc;
use std::time::Duration;

use super::Pool;
use crate::server::connection::{OpenError, ServerConnection, StartUp};

/// Maximum time to open a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection that is being opened.
pub struct Opening {
    pool: Arc<Pool>,
    start_up: StartUp,
    connection: Option<ServerConnection>,
}

impl Opening {
    /// Creates an opening; the pool must have counted the connection already.
    pub fn new(pool: &Arc<Pool>, start_up: StartUp) -> Self {
        Opening {
            pool: Arc::clone(pool),
            start_up,
            connection: None,
        }
    }

    /// Opens the connection and hands it to the pool; a failure is recorded in the pool.
    pub async fn run(mut self) {
        let pool = Arc::clone(&self.pool);
        let dialect = Arc::clone(&pool.dialect);
        let open = ServerConnection::open(&pool.target, dialect, &self.start_up, pool.clock.now());
        let opened = tokio::time::timeout(OPEN_TIMEOUT, open).await;
        match opened.unwrap_or(Err(OpenError::Unreachable)) {
            Ok(connection) => {
                pool.lock().full_backoff.reset();
                self.connection = Some(connection);
            }
            Err(error) => pool.record_failure(error),
        }
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        self.pool.lock().demand.stop_opening(self.start_up.caller());
        match self.connection.take() {
            Some(connection) => self.pool.release(connection),
            None => {
                self.pool.release_slot();
                self.pool.freed.notify_waiters();
            }
        }
    }
}

/// Exclusive use of a connection by one unit of work. Dropping it returns the connection to the
/// pool if it is reusable, and closes it otherwise.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Option<ServerConnection>,
}

impl Lease {
    /// Leases a connection that was taken from the pool.
    pub fn new(pool: &Arc<Pool>, connection: ServerConnection) -> Self {
        Lease {
            pool: Arc::clone(pool),
            connection: Some(connection),
        }
    }

    /// The leased connection; `None` if it was given up.
    pub fn connection(&mut self) -> Option<&mut ServerConnection> {
        self.connection.as_mut()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        match self.connection.take() {
            Some(connection) if connection.is_reusable() => self.pool.release(connection),
            Some(connection) => {
                drop(connection);
                self.pool.release_slot();
            }
            None => self.pool.release_slot(),
        }
    }
}
