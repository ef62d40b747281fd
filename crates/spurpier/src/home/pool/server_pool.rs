//! The connections to one server and the units that use or await them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use error_stack::Report;
use spurpier_core::admission::{AdmissionControl, AdmissionDecision, Ticket};
use spurpier_core::identity::SessionId;
use spurpier_core::pool::{AcquireDecision, PoolState};
use spurpier_core::time::Timestamp;
use tokio::sync::oneshot;

use super::lease::{Lease, Slot};
use super::opening::Opening;
use crate::home::backend::{BackEndConnection, OpenError, ServerAddress};
use crate::home::clock::Clock;

/// How long a unit with a slot waits before it looks for a connection again.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(2);

/// Why a unit got no connection.
#[derive(Debug)]
pub enum AcquireError {
    /// The queue is full, or the unit's deadline comes before its turn.
    Overloaded {
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The connection could not be opened.
    Open(Report<OpenError>),
}

/// Counts of a pool's work.
#[derive(Debug, Default)]
pub struct PoolCounters {
    /// Connections that were opened.
    pub opened: AtomicU64,
    /// Connections that could not be opened.
    pub open_failures: AtomicU64,
    /// Connections that were closed rather than reused.
    pub discarded: AtomicU64,
    /// Units that were given a connection.
    pub leases: AtomicU64,
    /// Units that had to wait for their turn.
    pub queued: AtomicU64,
    /// Units that were refused.
    pub refused: AtomicU64,
}

/// How a pool is used at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolUse {
    /// Units that run.
    pub running: usize,
    /// Units that wait.
    pub waiting: usize,
    /// Units that may run at the same time.
    pub slots: usize,
    /// Idle connections.
    pub idle: usize,
    /// Connections that are open or being opened.
    pub total: usize,
    /// Connections that may be.
    pub limit: usize,
}

#[derive(Debug)]
pub(super) struct PoolInner {
    pub(super) admission: AdmissionControl,
    pub(super) state: PoolState,
    pub(super) idle: Vec<BackEndConnection>,
    grants: HashMap<Ticket, oneshot::Sender<()>>,
}

/// The pool of one server.
#[derive(Debug)]
pub struct ServerPool {
    pub(super) address: ServerAddress,
    pub(super) clock: Clock,
    inner: Mutex<PoolInner>,
    counters: PoolCounters,
}

impl ServerPool {
    /// An empty pool of at most `connections`, running `slots` units at the same time and
    /// letting `queue` units wait.
    pub fn new(
        address: ServerAddress,
        connections: usize,
        slots: usize,
        queue: usize,
        clock: Clock,
    ) -> Arc<Self> {
        Arc::new(ServerPool {
            address,
            clock,
            inner: Mutex::new(PoolInner {
                admission: AdmissionControl::new(slots, queue),
                state: PoolState::new(connections),
                idle: Vec::new(),
                grants: HashMap::new(),
            }),
            counters: PoolCounters::default(),
        })
    }

    /// Counts of the pool's work.
    pub fn counters(&self) -> &PoolCounters {
        &self.counters
    }

    /// How the pool is used now.
    pub fn usage(&self) -> PoolUse {
        let inner = self.lock();
        PoolUse {
            running: inner.admission.running(),
            waiting: inner.admission.waiting(),
            slots: inner.admission.slots(),
            idle: inner.state.idle(),
            total: inner.state.total(),
            limit: inner.state.limit(),
        }
    }

    /// How long a unit that arrives now is likely to wait.
    pub fn expected_wait(&self) -> Duration {
        self.lock().admission.expected_wait()
    }

    /// Changes this node's share of connections and slots.
    pub fn set_share(self: &Arc<Self>, connections: usize, slots: usize) {
        let surplus = {
            let mut inner = self.lock();
            inner.admission.set_slots(slots);
            inner.state.set_limit(connections);
            let excess = inner.state.total().saturating_sub(connections);
            let closing = excess.min(inner.idle.len());
            inner.state.closed_idle(closing);
            let kept = inner.idle.len() - closing;
            inner.idle.split_off(kept)
        };
        drop(surplus);
        self.dispatch();
    }

    /// Waits for a slot and a connection, at most until `deadline`.
    ///
    /// # Errors
    ///
    /// [`AcquireError`].
    pub async fn acquire(
        self: &Arc<Self>,
        session: &SessionId,
        deadline: Timestamp,
    ) -> Result<Lease, AcquireError> {
        let slot = self.take_slot(session, deadline).await?;
        self.counters.leases.fetch_add(1, Ordering::Relaxed);
        self.connect(slot, deadline).await
    }

    async fn take_slot(
        self: &Arc<Self>,
        session: &SessionId,
        deadline: Timestamp,
    ) -> Result<Slot, AcquireError> {
        let Some(mut place) = self.arrive(session, deadline)? else {
            return Ok(Slot::new(self));
        };
        self.counters.queued.fetch_add(1, Ordering::Relaxed);
        let end = self.clock.instant(deadline);
        match tokio::time::timeout_at(end, &mut place.granted).await {
            Ok(Ok(())) => Ok(Slot::new(self)),
            Ok(Err(_)) | Err(_) => Err(self.refusal()),
        }
    }

    /// None when the unit has its slot already.
    fn arrive<'a>(
        &'a self,
        session: &'a SessionId,
        deadline: Timestamp,
    ) -> Result<Option<QueuePlace<'a>>, AcquireError> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let free = inner.state.can_acquire(now);
        match inner.admission.admit(session, deadline, free, now) {
            AdmissionDecision::Admitted => Ok(None),
            AdmissionDecision::Queued(ticket) => {
                let (grant, granted) = oneshot::channel();
                inner.grants.insert(ticket, grant);
                Ok(Some(QueuePlace {
                    pool: self,
                    session,
                    ticket,
                    granted,
                }))
            }
            AdmissionDecision::Refused { retry_after } => {
                self.counters.refused.fetch_add(1, Ordering::Relaxed);
                Err(AcquireError::Overloaded { retry_after })
            }
        }
    }

    fn refusal(&self) -> AcquireError {
        self.counters.refused.fetch_add(1, Ordering::Relaxed);
        AcquireError::Overloaded {
            retry_after: self.expected_wait(),
        }
    }

    async fn connect(
        self: &Arc<Self>,
        slot: Slot,
        deadline: Timestamp,
    ) -> Result<Lease, AcquireError> {
        loop {
            let decision = self.lock().state.acquire(self.clock.now());
            match decision {
                AcquireDecision::ReuseIdle => {
                    if let Some(connection) = self.take_idle() {
                        return Ok(Lease::new(slot, connection));
                    }
                }
                AcquireDecision::Open => return self.open(slot).await,
                AcquireDecision::Exhausted if self.clock.now() >= deadline => {
                    return Err(self.refusal());
                }
                AcquireDecision::Exhausted => tokio::time::sleep(EXHAUSTED_PAUSE).await,
            }
        }
    }

    /// The idle connection that was counted as leased; none if the server has closed it.
    fn take_idle(&self) -> Option<BackEndConnection> {
        let mut connection = self.lock().idle.pop();
        let alive = connection.as_mut().is_some_and(BackEndConnection::is_alive);
        if !alive {
            self.lock().state.closed_in_use();
            return None;
        }
        connection
    }

    async fn open(self: &Arc<Self>, slot: Slot) -> Result<Lease, AcquireError> {
        let opening = Opening::new(self);
        match BackEndConnection::open(&self.address).await {
            Ok(connection) => {
                opening.succeeded(|state| state.opened_in_use());
                Ok(Lease::new(slot, connection))
            }
            Err(report) => Err(AcquireError::Open(report)),
        }
    }

    /// Opens connections ahead until `wanted` are open, as far as the limit allows.
    pub fn open_ahead(self: &Arc<Self>, wanted: usize) {
        let missing = self.lock().state.preopen(wanted, self.clock.now());
        for _ in 0..missing {
            let opening = Opening::new(self);
            tokio::spawn(opening.open_idle());
        }
    }

    /// Opens connections ahead and lets units start that wait for a refused connection.
    pub fn maintain(self: &Arc<Self>, wanted: usize) {
        self.open_ahead(wanted);
        self.dispatch();
    }

    /// Closes the idle connections, as for a server that is leaving.
    pub fn close_idle(&self) {
        let closed = {
            let mut inner = self.lock();
            let closed = std::mem::take(&mut inner.idle);
            inner.state.closed_idle(closed.len());
            closed
        };
        drop(closed);
    }

    /// Lets waiting units start, as many as slots and connections allow.
    pub(super) fn dispatch(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        while inner.state.can_acquire(now) {
            let Some(ticket) = inner.admission.start_next(now) else {
                return;
            };
            let granted = inner.grants.remove(&ticket);
            if granted.is_none_or(|grant| grant.send(()).is_err()) {
                inner.admission.release_slot(now);
            }
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, PoolInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A unit's place in the queue; leaves it when dropped.
struct QueuePlace<'a> {
    pool: &'a ServerPool,
    session: &'a SessionId,
    ticket: Ticket,
    granted: oneshot::Receiver<()>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut inner = self.pool.lock();
        inner.admission.cancel(self.session, self.ticket);
        inner.grants.remove(&self.ticket);
        // A grant that came too late to be taken must not keep the slot.
        let unused = self.granted.try_recv().is_ok();
        if unused {
            inner.admission.release_slot(self.pool.clock.now());
        }
        drop(inner);
        if unused {
            self.pool.dispatch();
        }
    }
}
