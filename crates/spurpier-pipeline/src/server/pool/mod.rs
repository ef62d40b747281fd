//! The connection pool of one server.
//!
//! A connection belongs to the caller that it was opened for. When the pool is at its limit, an
//! idle connection of another caller is closed in favour of a caller that has none.

mod demand;
mod open;
mod opening;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt;
use spurpier_core::directory::Incarnation;
use spurpier_core::retry::Backoff;
use spurpier_core::time::Timestamp;
use tokio::sync::Notify;

use self::demand::Demand;
pub use self::open::OpenPools;
pub use self::opening::Lease;
use self::opening::Opening;
use super::connection::{OpenError, ServerConnection, StartUp, Values};
use crate::clock::Clock;
use crate::locality::{ColdGate, ZoneGate};
use crate::ports::{EncodeError, ErrorClass, ServerDialect};
use crate::tenant::UNNAMED_CALLER;

/// Backoff before another connection is requested from a server that has too many.
const INITIAL_FULL_DELAY: Duration = Duration::from_millis(60);
const MAX_FULL_DELAY: Duration = Duration::from_millis(600);
/// Why a unit of work could not acquire a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireError {
    /// All connections were in use until the unit's deadline.
    Full,
    /// A connection could not be opened.
    Open(OpenError),
    /// The dialect cannot express the message that opens one for the caller.
    Inexpressible(EncodeError),
}

/// The server that a pool connects to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// Its group.
    pub group: String,
    /// The server and its incarnation.
    pub incarnation: Incarnation,
    /// The gate that closes when nothing may be sent to its zone.
    pub zone_gate: Arc<ZoneGate>,
    /// The gate that each message to it passes, limiting messages while it is cold.
    pub cold_gate: Arc<ColdGate>,
}

/// The requirements of a unit of work for a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionNeed<'a> {
    /// The caller that it must have been opened for; `None` if any caller is acceptable.
    pub caller: Option<&'a str>,
    /// The session values that should already be set on it.
    pub values: &'a Values,
}

impl ConnectionNeed<'_> {
    /// Returns the requirements of the proxy's own statements.
    pub const fn own(values: &Values) -> ConnectionNeed<'_> {
        ConnectionNeed {
            caller: None,
            values,
        }
    }

    /// The caller that a new connection is opened for.
    fn opener(&self) -> &str {
        self.caller.unwrap_or(UNNAMED_CALLER)
    }

    fn is_met_by(&self, connection: &ServerConnection) -> bool {
        self.caller.is_none_or(|caller| caller == connection.caller)
    }
}

/// Counts of connections taken from the pool, opened and displaced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolUsage {
    /// Connections taken.
    pub taken: u64,
    /// Connections whose opening was started.
    pub opened: u64,
    /// Idle connections of other callers that were closed to make room.
    pub displaced: u64,
}

/// Numbers of connections in a pool and of units that wait for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolCounts {
    /// Open or being opened.
    pub open: usize,
    /// Open and unused.
    pub idle: usize,
    /// Waiting units.
    pub waiting: usize,
    /// Maximum number of open connections.
    pub limit: usize,
}

/// An unused connection and when it became unused.
#[derive(Debug)]
struct Idle {
    connection: ServerConnection,
    since: Timestamp,
}

#[derive(Debug)]
struct PoolInner {
    /// Ordered by the time of return, the most recent last.
    idle: Vec<Idle>,
    total: usize,
    /// Whether this pool is in the set of open pools.
    is_listed: bool,
    limit: usize,
    /// Whether the server's incarnation has ended; no more connections are handed out.
    is_retired: bool,
    demand: Demand,
    usage: PoolUsage,
    /// Time and cause of the newest failure to open a connection.
    failure: Option<(Timestamp, OpenError)>,
    /// No connection is opened before this time, as the server has too many.
    full_until: Timestamp,
    /// Delays after refusals because of too many connections.
    full_backoff: Backoff,
}

/// The connections to one server.
#[derive(Debug)]
pub struct Pool {
    target: Target,
    dialect: Arc<dyn ServerDialect>,
    clock: Clock,
    open_pools: Arc<OpenPools>,
    inner: Mutex<PoolInner>,
    freed: Notify,
}

impl Pool {
    /// Creates an empty pool of at most `limit` connections; it is in `open_pools` while it has
    /// any.
    pub fn new(
        target: Target,
        dialect: Arc<dyn ServerDialect>,
        clock: Clock,
        open_pools: Arc<OpenPools>,
        limit: usize,
    ) -> Arc<Self> {
        Arc::new(Pool {
            target,
            dialect,
            clock,
            open_pools,
            inner: Mutex::new(PoolInner {
                idle: Vec::new(),
                total: 0,
                is_listed: false,
                limit,
                is_retired: false,
                demand: Demand::default(),
                usage: PoolUsage::default(),
                failure: None,
                full_until: Timestamp::ZERO,
                full_backoff: Backoff::new(INITIAL_FULL_DELAY, MAX_FULL_DELAY),
            }),
            freed: Notify::new(),
        })
    }

    /// The gate in front of the server's zone.
    pub fn zone_gate(&self) -> &ZoneGate {
        &self.target.zone_gate
    }

    /// The gate that limits messages to the server while it is cold.
    pub fn cold_gate(&self) -> &Arc<ColdGate> {
        &self.target.cold_gate
    }

    /// Whether units wait for connections while the pool is at its limit and none is idle.
    pub fn is_saturated(&self) -> bool {
        let inner = self.lock();
        inner.idle.is_empty() && inner.total >= inner.limit && inner.demand.waiting() > 0
    }

    /// Returns the current numbers of connections and waiting units.
    pub fn counts(&self) -> PoolCounts {
        let inner = self.lock();
        PoolCounts {
            open: inner.total,
            idle: inner.idle.len(),
            waiting: inner.demand.waiting(),
            limit: inner.limit,
        }
    }

    /// Changes this node's share of the server's connections, and closes idle connections beyond
    /// it.
    pub fn set_limit(&self, limit: usize) {
        let surplus = {
            let mut inner = self.lock();
            inner.limit = limit;
            let excess = inner.total.saturating_sub(limit);
            let closing = excess.min(inner.idle.len());
            inner.total -= closing;
            let kept = inner.idle.len() - closing;
            inner.idle.split_off(kept)
        };
        drop(surplus);
        self.freed.notify_waiters();
    }

    /// Closes connections that have been unused for `limit`, keeping one.
    ///
    /// A server keeps the connections of a machine that lost power open for a while and counts
    /// them against its limit. Fewer open connections leave room for the machine's restart.
    fn close_unused(&self, limit: Duration) {
        let now = self.clock.now();
        let closed: Vec<Idle> = {
            let mut inner = self.lock();
            let unused = inner.idle.iter();
            let unused = unused.take_while(|idle| now.since(idle.since) >= limit);
            let surplus = unused.count().min(inner.total.saturating_sub(1));
            inner.total -= surplus;
            inner.idle.drain(..surplus).collect()
        };
        drop(closed);
    }

    /// Whether any connection is open or being opened. If not, the next one adds the pool to the
    /// set of open pools again.
    fn is_open(&self) -> bool {
        let mut inner = self.lock();
        inner.is_listed = inner.total > 0;
        inner.is_listed
    }

    /// Closes all idle connections, for example of a server that is leaving or silent.
    pub fn close_idle(&self) {
        let closed = {
            let mut inner = self.lock();
            inner.total -= inner.idle.len();
            std::mem::take(&mut inner.idle)
        };
        drop(closed);
        self.freed.notify_waiters();
    }

    /// Marks the server's incarnation as ended. Connections are closed as they are returned, and
    /// waiting units fail at once rather than reach the server's next incarnation.
    pub fn retire(&self) {
        self.lock().is_retired = true;
        self.set_limit(0);
    }

    /// Returns the usage counts since the last call, and resets them.
    pub fn take_usage(&self) -> PoolUsage {
        std::mem::take(&mut self.lock().usage)
    }

    /// Waits for a connection that meets the need, at most until `deadline`.
    ///
    /// If the unit gives up, a connection that is being opened for it stays in the pool.
    ///
    /// # Errors
    ///
    /// [`AcquireError`] if the deadline passes or a connection cannot be opened.
    pub async fn acquire(
        self: &Arc<Self>,
        need: ConnectionNeed<'_>,
        deadline: Timestamp,
    ) -> Result<Lease, AcquireError> {
        let started = self.clock.now();
        let _waiting = Waiting::new(self, need.opener());
        loop {
            // Registers for notifications before the checks, so that none is missed.
            let mut freed = std::pin::pin!(self.freed.notified());
            freed.as_mut().enable();
            if self.lock().is_retired {
                return Err(AcquireError::Open(OpenError::Unreachable));
            }
            if let Some(connection) = self.take_idle(&need) {
                return Ok(Lease::new(self, connection));
            }
            if let Some(error) = self.failure_since(started) {
                return Err(AcquireError::Open(error));
            }
            if let Some(opening) = self.start_opening(&need)? {
                tokio::spawn(opening.run());
            }
            self.wait_for_capacity(freed, deadline).await?;
        }
    }

    fn failure_since(&self, started: Timestamp) -> Option<OpenError> {
        let failure = self.lock().failure;
        failure
            .filter(|(at, _)| *at >= started)
            .map(|(_, error)| error)
    }

    /// Waits until a connection may be free or may be opened.
    async fn wait_for_capacity(
        &self,
        freed: impl Future<Output = ()>,
        deadline: Timestamp,
    ) -> Result<(), AcquireError> {
        let now = self.clock.now();
        let full_until = self.lock().full_until;
        let opens_again = full_until > now && full_until < deadline;
        let wake_at = if opens_again { full_until } else { deadline };
        let freed = tokio::time::timeout_at(self.clock.instant(wake_at), freed).await;
        if freed.is_err() && !opens_again {
            return Err(AcquireError::Full);
        }
        Ok(())
    }

    fn take_idle(&self, need: &ConnectionNeed<'_>) -> Option<ServerConnection> {
        loop {
            let mut connection = {
                let mut inner = self.lock();
                let index = best_match(&inner.idle, need)?;
                // `remove` preserves the order by idle time, unlike `swap_remove`.
                inner.idle.remove(index).connection
            };
            if connection.is_alive() {
                self.lock().usage.taken += 1;
                return Some(connection);
            }
            self.lock().total -= 1;
        }
    }

    /// Starts to open a connection unless enough are being opened for the caller already. At the
    /// limit it replaces the connection that has been idle for longest.
    fn start_opening(
        self: &Arc<Self>,
        need: &ConnectionNeed<'_>,
    ) -> Result<Option<Opening>, AcquireError> {
        let start_up = StartUp::new(&self.target, &*self.dialect, need.opener());
        let start_up = start_up.map_err(AcquireError::Inexpressible)?;
        let (displaced, was_listed) = {
            let mut inner = self.lock();
            let is_full = self.clock.now() < inner.full_until;
            if is_full || !inner.demand.wants_opening(need.opener()) {
                return Ok(None);
            }
            let displaced = if inner.total < inner.limit {
                inner.total += 1;
                None
            } else if inner.total == inner.limit && !inner.idle.is_empty() {
                inner.usage.displaced += 1;
                Some(inner.idle.remove(0))
            } else {
                return Ok(None);
            };
            inner.demand.start_opening(need.opener());
            inner.usage.opened += 1;
            (displaced, std::mem::replace(&mut inner.is_listed, true))
        };
        drop(displaced);
        if !was_listed {
            self.open_pools.add(Arc::clone(self));
        }
        Ok(Some(Opening::new(self, start_up)))
    }

    fn release(&self, connection: ServerConnection) {
        let surplus = {
            let mut inner = self.lock();
            if inner.total > inner.limit || self.zone_gate().is_closed() {
                inner.total -= 1;
                Some(connection)
            } else {
                let since = self.clock.now();
                inner.idle.push(Idle { connection, since });
                None
            }
        };
        drop(surplus);
        self.freed.notify_waiters();
    }

    /// Records that a connection could not be opened. If the server has too many, the next attempt
    /// is delayed, as other nodes must close some first.
    fn record_failure(&self, error: OpenError) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.failure = Some((now, error));
        if error == OpenError::Refused(ErrorClass::TooManyConnections) && inner.full_until <= now {
            let delay = inner.full_backoff.next_delay(rand::rng().random());
            inner.full_until = now + delay;
        }
    }

    fn release_slot(&self) {
        self.lock().total -= 1;
        self.freed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Index of the idle connection that meets the need with the fewest preparing statements.
fn best_match(idle: &[Idle], need: &ConnectionNeed<'_>) -> Option<usize> {
    let cost = |idle: &Idle| match &idle.connection.values {
        known if known == need.values => 0,
        known if known.is_empty() => 1,
        _ => 2,
    };
    let candidates = idle.iter().enumerate().rev();
    candidates
        .filter(|(_, idle)| need.is_met_by(&idle.connection))
        .min_by_key(|(_, idle)| cost(idle))
        .map(|(index, _)| index)
}

/// Counts a unit as waiting until dropped.
struct Waiting<'a> {
    pool: &'a Pool,
    caller: &'a str,
}

impl<'a> Waiting<'a> {
    fn new(pool: &'a Pool, caller: &'a str) -> Self {
        pool.lock().demand.start_waiting(caller);
        Waiting { pool, caller }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.pool.lock().demand.stop_waiting(self.caller);
    }
}
