//! What every phase of a unit knows, and the phases that all kinds of units share.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use spurpier_core::group::{ServerRole, ServerStatus};
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_core::routing::{Route, route_write};
use spurpier_core::time::Timestamp;
use spurpier_protocol::unit::{ServedBy, UnitRequest, UnitResult};

use crate::home::backend::OpenError;
use crate::home::counters::HomeCounters;
use crate::home::database::{DatabaseHome, GroupHome};
use crate::home::pool::{AcquireError, Lease};
use crate::home::shared::HomeShared;

/// When to come back if the group has no primary or the database is moving.
pub(super) const FAILOVER_RETRY_AFTER: Duration = Duration::from_millis(200);
/// How long to wait before another try on a server that refused a connection.
const REFUSAL_PAUSE: Duration = Duration::from_millis(10);

/// A unit that ends without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Why.
    pub(super) reason: Reason,
    /// When the caller may come back.
    pub(super) retry_after: Duration,
}

impl Refusal {
    /// A refusal for which nothing better is known than to come back soon.
    pub(super) fn new(reason: Reason) -> Self {
        Refusal {
            reason,
            retry_after: FAILOVER_RETRY_AFTER,
        }
    }

    /// The unit's result.
    pub(super) fn result(self) -> UnitResult {
        let millis = u32::try_from(self.retry_after.as_millis()).unwrap_or(u32::MAX);
        UnitResult::NotRun {
            reason: self.reason,
            retry_after_ms: millis.max(1),
        }
    }
}

impl From<Refusal> for UnitResult {
    fn from(refusal: Refusal) -> Self {
        refusal.result()
    }
}

/// A connection to a server of the unit's group, for this unit alone.
#[derive(Debug)]
pub(super) struct Place {
    /// The server's index in the group.
    pub(super) index: usize,
    /// The connection and the slot.
    pub(super) lease: Lease,
}

/// What every phase of a unit knows.
#[derive(Debug)]
pub(super) struct UnitContext {
    pub(super) home: Arc<HomeShared>,
    pub(super) database: Arc<DatabaseHome>,
    pub(super) group: Arc<GroupHome>,
    pub(super) request: UnitRequest,
    /// When the unit arrived.
    pub(super) arrived: Timestamp,
    /// Until when it may wait before anything of it is sent.
    pub(super) patience_end: Timestamp,
}

impl UnitContext {
    pub(super) fn now(&self) -> Timestamp {
        self.home.clock.now()
    }

    pub(super) fn counters(&self) -> &HomeCounters {
        &self.home.counters
    }

    /// The session's floor in the group, or the start of the log.
    pub(super) fn floor(&self) -> Position {
        self.request.floor.unwrap_or(Position::ZERO)
    }

    /// Whether the session itself asks that nothing be written, so that a refusal of a write as
    /// read-only says nothing of the server.
    pub(super) fn asks_read_only(&self) -> bool {
        let settings = self.request.settings.iter();
        settings
            .map(|setting| &setting.name)
            .any(|name| name.contains("read_only"))
    }

    /// Waits for a connection to the primary: for a primary, a slot and a connection.
    pub(super) async fn acquire_primary(&self, deadline: Timestamp) -> Result<Place, Refusal> {
        loop {
            let index = self.await_primary(deadline).await?;
            let acquired = self.group.pools[index]
                .acquire(&self.request.session, deadline)
                .await;
            match acquired {
                Ok(lease) if self.still_takes_work(index) => return Ok(Place { index, lease }),
                Ok(lease) => lease.finish(),
                Err(error) => self.pause_after(index, error, deadline).await?,
            }
        }
    }

    async fn await_primary(&self, deadline: Timestamp) -> Result<usize, Refusal> {
        let choose = |view: &_| match route_write(view, self.now()) {
            Route::Server(index) => Some(index),
            _ => None,
        };
        let watcher = &self.group.watcher;
        let chosen = watcher.wait_for(deadline, choose).await;
        chosen.ok_or_else(|| Refusal::new(Reason::NoPrimary))
    }

    /// Whether the server takes new work now; the unit may have waited for its turn.
    pub(super) fn still_takes_work(&self, index: usize) -> bool {
        let view = self.group.watcher.view();
        view.servers
            .get(index)
            .is_some_and(|server| server.accepts_work(self.now()))
    }

    /// Waits a little after a connection was not to be had; an error when the unit must give up.
    pub(super) async fn pause_after(
        &self,
        index: usize,
        error: AcquireError,
        deadline: Timestamp,
    ) -> Result<(), Refusal> {
        let reason = match error {
            AcquireError::Overloaded { retry_after } => {
                return Err(Refusal {
                    reason: Reason::Overloaded,
                    retry_after,
                });
            }
            AcquireError::Open(report) => self.note_open_error(index, report.current_context()),
        };
        if self.now() + REFUSAL_PAUSE >= deadline {
            return Err(Refusal::new(reason));
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
        Ok(())
    }

    fn note_open_error(&self, index: usize, error: &OpenError) -> Reason {
        match error {
            OpenError::Refused(refusal) if refusal.is_out_of_connections() => Reason::Overloaded,
            OpenError::Refused(refusal) if refusal.is_leaving() => {
                self.group.watcher.observe_leaving(index);
                Reason::BackEndUnreachable
            }
            OpenError::Refused(_) | OpenError::Unreachable | OpenError::Unsupported => {
                self.group.watcher.doubt();
                Reason::BackEndUnreachable
            }
        }
    }

    /// Takes in a status that was asked behind the unit's own messages.
    pub(super) fn observe(&self, index: usize, asked_at: Timestamp, status: &ServerStatus) {
        self.group.watcher.observe(index, asked_at, status.clone());
    }

    /// Counts a read by the kind of server that ran it.
    pub(super) fn count_read(&self, status: &ServerStatus) -> ServedBy {
        let (counter, served_by) = match status.role {
            ServerRole::Primary => (&self.counters().reads_on_primary, ServedBy::Primary),
            ServerRole::Replica => (&self.counters().reads_on_replica, ServedBy::Replica),
        };
        counter.fetch_add(1, Ordering::Relaxed);
        served_by
    }
}
