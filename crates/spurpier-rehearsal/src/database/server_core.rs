//! What the tasks of one server share.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use spurpier_core::group::{ServerRole, ServerStatus};
use spurpier_core::identity::ServerName;
use spurpier_core::position::Position;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::config::{PeerAddress, ServerConfig};
use super::consensus::Consensus;
use super::durable::Durable;
use super::record::{LoggedStatement, StatementContext};
use super::role::NotWritable;
use super::session_registry::SessionRegistry;
use super::sql_error::SqlError;
use super::tables::{TableConnection, Tables};

/// A lock that survives the panic of a task that held it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Faults that can be set while the server runs.
#[derive(Debug)]
pub(crate) struct Faults {
    apply_delay_us: AtomicU64,
    frozen: watch::Sender<bool>,
    cut_peers: Mutex<HashSet<ServerName>>,
}

impl Faults {
    fn new(apply_delay: Duration) -> Self {
        let faults = Faults {
            apply_delay_us: AtomicU64::new(0),
            frozen: watch::Sender::new(false),
            cut_peers: Mutex::default(),
        };
        faults.set_apply_delay(apply_delay);
        faults
    }

    /// Sets how long a replica waits before it applies a record.
    pub(crate) fn set_apply_delay(&self, delay: Duration) {
        let microseconds = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.apply_delay_us.store(microseconds, Ordering::Relaxed);
    }

    /// How long a replica waits before it applies a record.
    pub(crate) fn apply_delay(&self) -> Duration {
        Duration::from_micros(self.apply_delay_us.load(Ordering::Relaxed))
    }

    /// Stops or continues everything that the server does.
    pub(crate) fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits while the server is frozen.
    pub(crate) async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// Cuts or heals the connections with one peer, in both directions.
    pub(crate) fn set_cut(&self, peer: &ServerName, cut: bool) {
        let mut cut_peers = lock(&self.cut_peers);
        if cut {
            cut_peers.insert(peer.clone());
        } else {
            cut_peers.remove(peer);
        }
    }

    /// Whether the connections with a peer are cut.
    pub(crate) fn is_cut(&self, peer: &ServerName) -> bool {
        lock(&self.cut_peers).contains(peer)
    }
}

/// The shared state of one server.
#[derive(Debug)]
pub(crate) struct ServerCore {
    /// What the server was started with.
    pub config: ServerConfig,
    /// Term, role and log.
    consensus: Mutex<Consensus>,
    /// Counts the changes of `consensus`, to wake those who wait for one.
    changes: watch::Sender<u64>,
    /// The other servers.
    pub peers: watch::Sender<Vec<PeerAddress>>,
    /// Held by the one transaction that may write.
    pub writer: Arc<tokio::sync::Mutex<()>>,
    /// One permit for each statement that may run.
    pub slots: Arc<Semaphore>,
    /// The tables.
    pub tables: Tables,
    /// Faults set from outside.
    pub faults: Faults,
    /// The client connections.
    pub sessions: SessionRegistry,
    /// Whether the server is about to stop.
    leaving: AtomicBool,
    /// Cancelled when idle client connections are to be closed.
    pub draining: CancellationToken,
    /// Cancelled when everything must end.
    pub shutdown: CancellationToken,
    /// The server's own tasks, those of its connections left out.
    pub tasks: TaskTracker,
    /// What a stopped server must not forget, for its restart.
    pub kept: Mutex<Option<Durable>>,
    statement_count: AtomicU64,
}

impl ServerCore {
    /// The shared state of a server that starts.
    pub(crate) fn new(config: ServerConfig, consensus: Consensus, tables: Tables) -> Self {
        ServerCore {
            consensus: Mutex::new(consensus),
            changes: watch::Sender::new(0),
            peers: watch::Sender::new(config.peers.clone()),
            writer: Arc::default(),
            slots: Arc::new(Semaphore::new(config.slots)),
            tables,
            faults: Faults::new(config.apply_delay),
            sessions: SessionRegistry::new(config.connections),
            leaving: AtomicBool::new(false),
            draining: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            tasks: TaskTracker::new(),
            kept: Mutex::default(),
            statement_count: AtomicU64::new(config.seed),
            config,
        }
    }

    /// The consensus state, to be looked at; changes go through `change`.
    pub(crate) fn consensus(&self) -> MutexGuard<'_, Consensus> {
        lock(&self.consensus)
    }

    /// Changes the consensus state and wakes those who wait for a change.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Consensus) -> T) -> T {
        let result = change(&mut self.consensus());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Tells of every change of the consensus state from now on.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits until `condition` holds for the consensus state.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&Consensus) -> bool) {
        let mut changes = self.subscribe();
        while !condition(&self.consensus()) {
            // The sender lives as long as `self`.
            let _ = changes.changed().await;
        }
    }

    /// Commits a write transaction that is open on `tables` and appends it to the log.
    ///
    /// Both happen under one lock, so that no newer term can come between them.
    pub(crate) fn commit(
        &self,
        tables: &TableConnection,
        term: u64,
        statements: Vec<LoggedStatement>,
        upstream: Option<Position>,
    ) -> Result<Position, SqlError> {
        let commit = |consensus: &mut Consensus| {
            consensus.check_term(term)?;
            tables.connection.execute_batch("COMMIT")?;
            Ok(consensus.append_committed(statements, upstream, Instant::now()))
        };
        let result = self.change(commit);
        if result.is_err() {
            tables.roll_back();
        }
        result
    }

    /// Ends everything at once; what must not be forgotten is kept for a restart.
    pub(crate) fn halt(&self) {
        self.shutdown.cancel();
        let mut kept = lock(&self.kept);
        if kept.is_none() {
            // Under the lock of the state, so that no commit is made after this returns.
            *kept = Some(self.consensus().stop());
        }
    }

    /// Whether the writes of `term` may still be made here.
    pub(crate) fn check_term(&self, term: u64) -> Result<(), NotWritable> {
        self.consensus().check_term(term)
    }

    /// What the volatile functions of a new statement answer.
    pub(crate) fn statement_context(&self) -> StatementContext {
        let count = self.statement_count.fetch_add(1, Ordering::Relaxed);
        let clock_ms = now_ms();
        StatementContext {
            clock_ms,
            seed: count.wrapping_mul(0x2545_F491_4F6C_DD1D) ^ clock_ms.unsigned_abs(),
        }
    }

    /// Whether the server is about to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Notes that the server is about to stop.
    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// What the server reports of itself.
    pub(crate) fn status(&self) -> ServerStatus {
        let consensus = self.consensus();
        let role = if consensus.is_promoted() {
            ServerRole::Primary
        } else {
            ServerRole::Replica
        };
        ServerStatus {
            vote_term: consensus.term(),
            received: consensus.log().last(),
            term_parent: consensus.log().term_parent(),
            applied: consensus.applied(),
            upstream_applied: consensus.upstream_applied(),
            role,
            leaving: self.is_leaving(),
        }
    }
}

/// The time in milliseconds since 1970.
fn now_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| {
        i64::try_from(elapsed.as_millis()).unwrap_or(i64::MAX)
    })
}
