//! The connections to one server and the units that use or await them.
//!
//! A connection belongs to the caller that it was opened for. Where no more may be open, an unused
//! one of another caller is closed in favour of a caller that has none.

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
use super::connection::{OpenError, ServerConnection, Values};
use crate::clock::Clock;
use crate::places::{ColdGate, ZoneGate};
use crate::ports::{ErrorClass, ServerDialect};
use crate::tenant::UNNAMED_CALLER;

/// The pauses before a server that has too many connections is asked for one again.
const INITIAL_FULL_DELAY: Duration = Duration::from_millis(60);
const MAX_FULL_DELAY: Duration = Duration::from_millis(600);
/// Why a unit got no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireError {
    /// All connections were in use until the unit's deadline.
    Full,
    /// A connection could not be opened.
    Open(OpenError),
}

/// The server that a pool connects to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// Its group.
    pub group: String,
    /// Which life of which server it is.
    pub incarnation: Incarnation,
    /// The gate in front of its zone.
    pub zone_gate: Arc<ZoneGate>,
    /// Passed with each message that is sent to it.
    pub cold_gate: Arc<ColdGate>,
}

/// What a unit needs of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionNeed<'a> {
    /// Whom it must have been opened for; none if that is all the same.
    pub caller: Option<&'a str>,
    /// The session values that it should know.
    pub values: &'a Values,
}

impl ConnectionNeed<'_> {
    /// What the proxy's own statements need.
    pub const fn own(values: &Values) -> ConnectionNeed<'_> {
        ConnectionNeed {
            caller: None,
            values,
        }
    }

    /// Whom a connection is opened for.
    fn opener(&self) -> &str {
        self.caller.unwrap_or(UNNAMED_CALLER)
    }

    fn is_met_by(&self, connection: &ServerConnection) -> bool {
        self.caller.is_none_or(|caller| caller == connection.caller)
    }
}

/// How often units took connections, and what that needed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolUse {
    /// Connections taken.
    pub taken: u64,
    /// Connections whose opening was begun.
    pub opened: u64,
    /// Unused connections of other callers that were closed for that.
    pub displaced: u64,
}

/// How many connections a pool has, and how many units wait for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolCounts {
    /// Open or being opened.
    pub open: usize,
    /// Open and unused.
    pub idle: usize,
    /// Units that wait.
    pub waiting: usize,
    /// The most that may be open.
    pub limit: usize,
}

/// A connection that nobody uses.
#[derive(Debug)]
struct Idle {
    connection: ServerConnection,
    since: Timestamp,
}

#[derive(Debug)]
struct PoolInner {
    /// The one that was given back last stands last.
    idle: Vec<Idle>,
    total: usize,
    /// Whether this pool is among the open ones.
    is_listed: bool,
    limit: usize,
    /// Whether the server's life is over: nobody is given a connection any more.
    is_retired: bool,
    demand: Demand,
    uses: PoolUse,
    /// The newest connection that could not be opened.
    failure: Option<(Timestamp, OpenError)>,
    /// Until when no connection is opened, since the server has too many.
    full_until: Timestamp,
    /// The pauses after refusals for too many connections.
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
    /// An empty pool of at most `limit` connections; it is listed in `open_pools` while it has
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
                uses: PoolUse::default(),
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

    /// What each message to the server passes while it is cold.
    pub fn cold_gate(&self) -> &Arc<ColdGate> {
        &self.target.cold_gate
    }

    /// Whether units wait for connections although as many as allowed are open.
    pub fn is_crowded(&self) -> bool {
        let inner = self.lock();
        inner.idle.is_empty() && inner.total >= inner.limit && inner.demand.waiting() > 0
    }

    /// How many connections there are, and how many units wait for one.
    pub fn counts(&self) -> PoolCounts {
        let inner = self.lock();
        PoolCounts {
            open: inner.total,
            idle: inner.idle.len(),
            waiting: inner.demand.waiting(),
            limit: inner.limit,
        }
    }

    /// Changes this node's share of the server's connections.
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

    /// Closes the connections that nobody has used for `limit`, but for one.
    ///
    /// A server keeps the connections of a machine that lost power for a while, and takes no more
    /// than its limit: what is not open then is free for the machine's next start.
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

    /// Whether any connection is open or being opened; if not, the next one lists the pool anew.
    fn is_open(&self) -> bool {
        let mut inner = self.lock();
        inner.is_listed = inner.total > 0;
        inner.is_listed
    }

    /// Closes the idle connections, as for a server that is leaving or silent.
    pub fn close_idle(&self) {
        let closed = {
            let mut inner = self.lock();
            inner.total -= inner.idle.len();
            std::mem::take(&mut inner.idle)
        };
        drop(closed);
        self.freed.notify_waiters();
    }

    /// Takes in that the server's life is over: its connections are closed as they come back, and
    /// who waits for one is told at once, rather than be led to the server's next life.
    pub fn retire(&self) {
        self.lock().is_retired = true;
        self.set_limit(0);
    }

    /// How often units took connections since this was asked last, and what that needed.
    pub fn take_uses(&self) -> PoolUse {
        std::mem::take(&mut self.lock().uses)
    }

    /// Waits for a connection that meets the need, at most until `deadline`.
    ///
    /// A connection that is opened for a unit which then gives up stays open for the next one.
    ///
    /// # Errors
    ///
    /// [`AcquireError`].
    pub async fn acquire(
        self: &Arc<Self>,
        need: ConnectionNeed<'_>,
        deadline: Timestamp,
    ) -> Result<Lease, AcquireError> {
        let started = self.clock.now();
        let _waiting = Waiting::new(self, need.opener());
        loop {
            // Told of what is freed from here on, also while this looks.
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
            if let Some(opening) = self.start_opening(&need) {
                tokio::spawn(opening.run());
            }
            self.wait_for_room(freed, deadline).await?;
        }
    }

    fn failure_since(&self, started: Timestamp) -> Option<OpenError> {
        let failure = self.lock().failure;
        failure
            .filter(|(at, _)| *at >= started)
            .map(|(_, error)| error)
    }

    /// Waits until a connection may be free or may be opened.
    async fn wait_for_room(
        &self,
        freed: impl Future<Output = ()>,
        deadline: Timestamp,
    ) -> Result<(), AcquireError> {
        let now = self.clock.now();
        let full_until = self.lock().full_until;
        let opens_again = full_until > now && full_until < deadline;
        let look = if opens_again { full_until } else { deadline };
        let freed = tokio::time::timeout_at(self.clock.instant(look), freed).await;
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
                // Keeps the order by age.
                inner.idle.remove(index).connection
            };
            if connection.is_alive() {
                self.lock().uses.taken += 1;
                return Some(connection);
            }
            self.lock().total -= 1;
        }
    }

    /// One more connection, if not enough are being opened for the caller already. Where no more
    /// may be open it takes the place of the connection that was unused for longest.
    fn start_opening(self: &Arc<Self>, need: &ConnectionNeed<'_>) -> Option<Opening> {
        let (displaced, was_listed) = {
            let mut inner = self.lock();
            let is_full = self.clock.now() < inner.full_until;
            if is_full || !inner.demand.wants_opening(need.opener()) {
                return None;
            }
            let displaced = if inner.total < inner.limit {
                inner.total += 1;
                None
            } else if inner.total == inner.limit && !inner.idle.is_empty() {
                inner.uses.displaced += 1;
                Some(inner.idle.remove(0))
            } else {
                return None;
            };
            inner.demand.start_opening(need.opener());
            inner.uses.opened += 1;
            (displaced, std::mem::replace(&mut inner.is_listed, true))
        };
        drop(displaced);
        if !was_listed {
            self.open_pools.add(Arc::clone(self));
        }
        Some(Opening::new(self, need.opener()))
    }

    fn give_back(&self, connection: ServerConnection) {
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

    /// Takes in that a connection could not be opened. A server that has too many is not asked
    /// again at once: other nodes must close some first.
    fn record_failure(&self, error: OpenError) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.failure = Some((now, error));
        if error == OpenError::Refused(ErrorClass::TooManyConnections) && inner.full_until <= now {
            let pause = inner.full_backoff.next_delay(rand::rng().random());
            inner.full_until = now + pause;
        }
    }

    fn forget(&self) {
        self.lock().total -= 1;
        self.freed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The unused connection that meets the need with the fewest statements before the session's work.
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

/// Counts a unit that waits.
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
