//! The connections to one server and the units that use or await them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt;
use spurpier_core::retry::Backoff;
use spurpier_core::time::Timestamp;
use tokio::sync::Notify;

use super::connection::{OpenError, ServerConnection, Values};
use crate::clock::Clock;
use crate::ports::{ErrorClass, ServerDialect};

/// The pauses before a server that has too many connections is asked for one again.
const FIRST_FULL_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_FULL_PAUSE: Duration = Duration::from_millis(600);
/// How long opening a connection may take.
const OPEN_LIMIT: Duration = Duration::from_millis(1_000);

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
    /// Its name.
    pub instance: String,
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
    limit: usize,
    waiting: usize,
    opening: usize,
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
    inner: Mutex<PoolInner>,
    freed: Notify,
}

impl Pool {
    /// An empty pool of at most `limit` connections.
    pub fn new(
        target: Target,
        dialect: Arc<dyn ServerDialect>,
        clock: Clock,
        limit: usize,
    ) -> Arc<Self> {
        Arc::new(Pool {
            target,
            dialect,
            clock,
            inner: Mutex::new(PoolInner {
                idle: Vec::new(),
                total: 0,
                limit,
                waiting: 0,
                opening: 0,
                failure: None,
                full_until: Timestamp::ZERO,
                full_backoff: Backoff::new(FIRST_FULL_PAUSE, LONGEST_FULL_PAUSE),
            }),
            freed: Notify::new(),
        })
    }

    /// Whether units wait for connections although as many as allowed are open.
    pub fn is_crowded(&self) -> bool {
        let inner = self.lock();
        inner.idle.is_empty() && inner.total >= inner.limit && inner.waiting > 0
    }

    /// How many connections there are, and how many units wait for one.
    pub fn counts(&self) -> PoolCounts {
        let inner = self.lock();
        PoolCounts {
            open: inner.total,
            idle: inner.idle.len(),
            waiting: inner.waiting,
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
    pub fn close_unused(&self, limit: Duration) {
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

    /// Closes the idle connections, as for a server that is leaving or silent.
    pub fn close_idle(&self) {
        let closed = {
            let mut inner = self.lock();
            inner.total -= inner.idle.len();
            std::mem::take(&mut inner.idle)
        };
        drop(closed);
        self.freed.notify_one();
    }

    /// Waits for a connection, at most until `deadline`; one with these session values is
    /// preferred.
    ///
    /// A connection that is opened for a unit which then gives up stays open for the next one.
    ///
    /// # Errors
    ///
    /// [`AcquireError`].
    pub async fn acquire(
        self: &Arc<Self>,
        values: &Values,
        deadline: Timestamp,
    ) -> Result<Lease, AcquireError> {
        let started = self.clock.now();
        let _waiting = Waiting::new(self);
        loop {
            if let Some(connection) = self.take_idle(values) {
                return Ok(Lease::new(self, connection));
            }
            if let Some(error) = self.failure_since(started) {
                return Err(AcquireError::Open(error));
            }
            if let Some(opening) = self.start_opening() {
                tokio::spawn(opening.run());
            }
            self.wait_for_room(deadline).await?;
        }
    }

    fn failure_since(&self, started: Timestamp) -> Option<OpenError> {
        let failure = self.lock().failure;
        failure
            .filter(|(at, _)| *at >= started)
            .map(|(_, error)| error)
    }

    /// Waits until a connection may be free or may be opened.
    async fn wait_for_room(&self, deadline: Timestamp) -> Result<(), AcquireError> {
        let now = self.clock.now();
        let full_until = self.lock().full_until;
        let opens_again = full_until > now && full_until < deadline;
        let look = if opens_again { full_until } else { deadline };
        let freed = tokio::time::timeout_at(self.clock.instant(look), self.freed.notified()).await;
        if freed.is_err() && !opens_again {
            return Err(AcquireError::Full);
        }
        Ok(())
    }

    fn take_idle(&self, values: &Values) -> Option<ServerConnection> {
        loop {
            let mut connection = {
                let mut inner = self.lock();
                let index = best_match(&inner.idle, values)?;
                // Keeps the order by age.
                inner.idle.remove(index).connection
            };
            if connection.is_alive() {
                return Some(connection);
            }
            self.lock().total -= 1;
        }
    }

    /// One more connection, if the limit allows and not enough are being opened already.
    fn start_opening(self: &Arc<Self>) -> Option<Opening> {
        let mut inner = self.lock();
        let may_open = inner.total < inner.limit && self.clock.now() >= inner.full_until;
        let wanted = may_open && inner.opening < inner.waiting;
        wanted.then(|| {
            inner.total += 1;
            inner.opening += 1;
            Opening {
                pool: Arc::clone(self),
                connection: None,
            }
        })
    }

    fn give_back(&self, connection: ServerConnection) {
        let surplus = {
            let mut inner = self.lock();
            if inner.total > inner.limit {
                inner.total -= 1;
                Some(connection)
            } else {
                let since = self.clock.now();
                inner.idle.push(Idle { connection, since });
                None
            }
        };
        drop(surplus);
        self.freed.notify_one();
    }

    /// Takes in that a connection could not be opened. A server that has too many is not asked
    /// again at once: other nodes must close some first.
    fn note_failure(&self, error: OpenError) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.failure = Some((now, error));
        if error == OpenError::Refused(ErrorClass::TooManyConnections) && inner.full_until <= now {
            let pause = inner.full_backoff.next_pause(rand::rng().random());
            inner.full_until = now + pause;
        }
    }

    fn forget(&self) {
        self.lock().total -= 1;
        self.freed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The idle connection that needs the fewest statements before a session's work.
fn best_match(idle: &[Idle], values: &Values) -> Option<usize> {
    let cost = |idle: &Idle| match &idle.connection.values {
        known if known == values => 0,
        known if known.is_empty() => 1,
        _ => 2,
    };
    let candidates = idle.iter().enumerate().rev();
    candidates
        .min_by_key(|(_, idle)| cost(idle))
        .map(|(index, _)| index)
}

/// Counts a unit that waits.
struct Waiting<'a>(&'a Pool);

impl<'a> Waiting<'a> {
    fn new(pool: &'a Pool) -> Self {
        pool.lock().waiting += 1;
        Waiting(pool)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// A connection that is being opened.
struct Opening {
    pool: Arc<Pool>,
    connection: Option<ServerConnection>,
}

impl Opening {
    async fn run(mut self) {
        let pool = Arc::clone(&self.pool);
        let target = &pool.target;
        let dialect = Arc::clone(&pool.dialect);
        let open = ServerConnection::open(target.address, dialect, &target.group, &target.instance);
        let opened = tokio::time::timeout(OPEN_LIMIT, open).await;
        match opened.unwrap_or(Err(OpenError::Unreachable)) {
            Ok(connection) => {
                pool.lock().full_backoff.reset();
                self.connection = Some(connection);
            }
            Err(error) => pool.note_failure(error),
        }
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        self.pool.lock().opening -= 1;
        match self.connection.take() {
            Some(connection) => self.pool.give_back(connection),
            None => {
                self.pool.forget();
                self.pool.freed.notify_waiters();
            }
        }
    }
}

/// A connection for one unit alone. Dropping it closes the connection unless it is reusable.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Option<ServerConnection>,
}

impl Lease {
    fn new(pool: &Arc<Pool>, connection: ServerConnection) -> Self {
        Lease {
            pool: Arc::clone(pool),
            connection: Some(connection),
        }
    }

    /// The connection; none after it was given up.
    pub fn connection(&mut self) -> Option<&mut ServerConnection> {
        self.connection.as_mut()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        match self.connection.take() {
            Some(connection) if connection.is_reusable() => self.pool.give_back(connection),
            Some(connection) => {
                drop(connection);
                self.pool.forget();
            }
            None => self.pool.forget(),
        }
    }
}
