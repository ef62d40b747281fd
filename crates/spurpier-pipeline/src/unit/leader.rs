//! Finding a group's leader, and having it prove its leadership.

use std::sync::Arc;
use std::time::Duration;

use spurpier_core::leader::{LeadershipProof, ProofError};
use spurpier_core::locality::AllowedRegions;
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;

use super::attempt::{Failure, LeasedConnection, internal_attempt};
use super::{NotRun, Unit};
use crate::context::Context;
use crate::events;
use crate::group::Group;
use crate::locality::ExclusionReason;
use crate::ports::{ErrorClass, ServerRequest, TransactionState};
use crate::server::{AcquireError, ConnectionNeed, OpenError, Server, Values};

/// How long the leader may take to open a transaction before it counts as unresponsive.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a unit that waits for a leader checks again, even without a change in the group.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);
/// The delay after a server refused a connection or the opening of a transaction.
const REFUSAL_DELAY: Duration = Duration::from_millis(20);

/// A transaction that the leader has opened.
pub struct LeaderTransaction {
    /// The connection on which the transaction is open.
    pub leased: LeasedConnection,
    /// The leader's log position when it opened the transaction.
    pub position: Position,
}

/// Acquires a connection to the server that is most likely to be the leader, and waits for one
/// until `until`.
///
/// # Errors
///
/// The reason why there is no connection; [`NotRun::Barred`] without waiting if the unit may not
/// run on that server.
pub async fn acquire_leader(
    context: &Context,
    group: &Group,
    need: ConnectionNeed<'_>,
    allowed: &AllowedRegions,
    until: Timestamp,
) -> Result<LeasedConnection, NotRun> {
    let clock = &context.clock;
    let mut changes = group.changes();
    loop {
        changes.borrow_and_update();
        let candidate = group
            .leader_candidate(clock.now(), context.leaving_use())
            .filter(|_| context.holds_leader_lease(group));
        let mut missing = NotRun::NoLeader;
        if let Some(server) = candidate.filter(|server| is_responsive(server, clock.now())) {
            if let Some(bar) = context
                .locality
                .exclusion_for_leader(allowed, &server, clock.now())
            {
                return Err(NotRun::Barred(bar));
            }
            match server.pool.acquire(need, until).await {
                Ok(lease) => {
                    let mut leased = LeasedConnection::new(server, lease);
                    if has_observed_log(context, group, &mut leased) {
                        return Ok(leased);
                    }
                    continue;
                }
                Err(AcquireError::Full) => return Err(NotRun::NoConnection),
                Err(AcquireError::Inexpressible(error)) => return Err(error.into()),
                Err(AcquireError::Open(OpenError::Refused(ErrorClass::TooManyConnections))) => {
                    tokio::time::sleep(REFUSAL_DELAY).await;
                    missing = NotRun::NoConnection;
                }
                // The next iteration returns the reason why the server is barred.
                Err(AcquireError::Open(OpenError::Closed)) => continue,
                Err(AcquireError::Open(OpenError::Cold(no_leave))) => return Err(no_leave.into()),
                Err(AcquireError::Open(_)) => {
                    server.record_unanswered(clock);
                    group.record_refusal(&server, clock.now());
                }
            }
        }
        if clock.now() >= until {
            return Err(missing);
        }
        let recheck = clock.instant(until.min(clock.now() + RECHECK_INTERVAL));
        // On a timeout the loop checks again.
        let _ = tokio::time::timeout_at(recheck, changes.changed()).await;
    }
}

/// Whether the server's log, when the connection was opened, contained everything that the leader
/// had reported before.
///
/// A primary that has restarted without its log would accept a write and replicate the empty log.
/// Its restart closes all connections, so checking each new connection detects it before anything
/// is sent.
fn has_observed_log(context: &Context, group: &Group, leased: &mut LeasedConnection) -> bool {
    let server = Arc::clone(&leased.server);
    let Ok(connection) = leased.connection() else {
        return true;
    };
    let shown = connection.opening_proof;
    let Err(why) = group.check_position(&server, shown) else {
        return true;
    };
    reject_leader(context, group, &server, why, shown.position);
    false
}

/// Whether to try a server: false if it has just left several messages unanswered.
fn is_responsive(server: &Server, now: Timestamp) -> bool {
    let health = server.health();
    !health.is_unresponsive() || health.avoided_until <= now
}

/// Opens a read-write transaction on the leader, which proves its leadership, and retries until
/// `until`.
///
/// # Errors
///
/// The reason why no leader has opened a transaction.
pub async fn begin_on_leader(
    context: &Context,
    group: &Group,
    need: ConnectionNeed<'_>,
    allowed: &AllowedRegions,
    until: Timestamp,
) -> Result<LeaderTransaction, NotRun> {
    let clock = &context.clock;
    loop {
        let leased = acquire_leader(context, group, need, allowed, until).await?;
        let server = Arc::clone(&leased.server);
        let deadline = clock.now() + BEGIN_TIMEOUT;
        let (leased, result) =
            internal_attempt(clock, leased, ServerRequest::Begin, deadline).await;
        let reason = match (leased, result) {
            (Some(leased), Ok(answered)) if answered.answer.outcome.is_ok() => {
                let may_use_as_leader = context.may_use_as_leader(group, &server);
                if may_use_as_leader && answered.answer.state == TransactionState::Open {
                    let position = answered.answer.position;
                    let proved = record_proof(context, group, &server, answered.sent_at, position);
                    if proved {
                        let position = position.unwrap_or(Position::ZERO);
                        return Ok(LeaderTransaction { leased, position });
                    }
                }
                NotRun::NoLeader
            }
            (_, Ok(answered)) => match answered.answer.error_class() {
                Some(ErrorClass::ReadOnly) => {
                    group.record_refusal(&server, clock.now());
                    NotRun::NoLeader
                }
                _ => {
                    // Without the delay, an overloaded server would get retries as fast as it
                    // refuses them.
                    tokio::time::sleep(REFUSAL_DELAY).await;
                    NotRun::ServerBusy
                }
            },
            (_, Err(Failure::Cold(no_leave))) => return Err(no_leave.into()),
            (_, Err(_)) => NotRun::NoLeader,
        };
        if clock.now() >= until {
            return Err(reason);
        }
    }
}

/// Records the proof of leadership that a server gave by accepting a request that only the leader
/// accepts. Returns false if the proof is invalid and the server must not be used as the leader.
pub fn record_proof(
    context: &Context,
    group: &Group,
    server: &Server,
    sent_at: Timestamp,
    position: Option<Position>,
) -> bool {
    let position = position.unwrap_or(Position::ZERO);
    let proof = LeadershipProof { sent_at, position };
    let Err(why) = group.record_proof(server, proof, context.clock.now()) else {
        return true;
    };
    reject_leader(context, group, server, why, position);
    false
}

/// Records that a server must not be used as the leader for now.
fn reject_leader(
    context: &Context,
    group: &Group,
    server: &Server,
    why: ProofError,
    position: Position,
) {
    let now = context.clock.now();
    group.record_refusal(server, now);
    if why == ProofError::LogLost
        && let Some(suppressed) = context.log_budget.take(events::LEADER_LOST_LOG, now)
    {
        log_event!(
            events::LEADER_LOST_LOG,
            group = group.name,
            server = server.incarnation,
            position = position,
            suppressed = suppressed
        );
    }
}

/// Obtains a proof of leadership that was requested at or after `since`, and waits for it until
/// `until`.
///
/// Concurrent calls for the same group share one exchange.
///
/// # Errors
///
/// The reason why there is no such proof.
pub async fn renew_proof(
    context: &Context,
    group: &Group,
    since: Timestamp,
    until: Timestamp,
) -> Result<(), NotRun> {
    let clock = &context.clock;
    let mut changes = group.changes();
    loop {
        changes.borrow_and_update();
        if group.proven_at().is_some_and(|proven| proven >= since) {
            return Ok(());
        }
        if let Some(_turn) = group.start_proving() {
            let values = Values::new();
            let need = ConnectionNeed::own(&values);
            let mut opened = begin_with_retry(context, group, need, until).await?;
            if let Ok(connection) = opened.leased.connection() {
                // A connection that breaks here is closed when the lease is dropped.
                let _ = connection.roll_back().await;
            }
            continue;
        }
        let end = clock.instant(until);
        let changed = tokio::time::timeout_at(end, changes.changed()).await;
        changed
            .map_err(|_| NotRun::NoLeader)?
            .map_err(|_| NotRun::NoLeader)?;
    }
}

/// Like [`begin_on_leader`], but retries while a cold leader grants no permit: many reads share the
/// proof, and reads on warm replicas should not be refused because the leader is cold.
async fn begin_with_retry(
    context: &Context,
    group: &Group,
    need: ConnectionNeed<'_>,
    until: Timestamp,
) -> Result<LeaderTransaction, NotRun> {
    loop {
        let opened = begin_on_leader(context, group, need, &AllowedRegions::ANYWHERE, until).await;
        match opened {
            Err(NotRun::Barred(ExclusionReason::Cold(delay)))
                if context.clock.now() + delay < until =>
            {
                tokio::time::sleep(delay).await;
            }
            opened => return opened,
        }
    }
}

impl Unit {
    /// Like [`begin_on_leader`], for this unit.
    pub async fn begin_on_leader(&self, until: Timestamp) -> Result<LeaderTransaction, NotRun> {
        let (context, group) = (&self.context, &self.group);
        let (need, allowed) = (self.connection_need(), &self.allowed_regions);
        begin_on_leader(context, group, need, allowed, until).await
    }

    /// Like [`record_proof`], for this unit.
    pub fn record_proof(
        &self,
        server: &Server,
        sent_at: Timestamp,
        position: Option<Position>,
    ) -> bool {
        record_proof(&self.context, &self.group, server, sent_at, position)
    }

    /// Like [`acquire_leader`], for this unit.
    pub async fn acquire_leader(&self, until: Timestamp) -> Result<LeasedConnection, NotRun> {
        let (context, group) = (&self.context, &self.group);
        let (need, allowed) = (self.connection_need(), &self.allowed_regions);
        acquire_leader(context, group, need, allowed, until).await
    }
}
