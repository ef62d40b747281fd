//! Work that only the lead can do: finding it, and having it prove its lead.

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
use crate::places::Bar;
use crate::ports::{ErrorClass, ServerRequest, TransactionState};
use crate::server::{AcquireError, ConnectionNeed, OpenError, Server, Values};

/// How long the lead may take to open a transaction before it counts as silent.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a unit that waits for a lead looks again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);
/// The pause after a server refused a connection or the opening of a transaction.
const REFUSAL_DELAY: Duration = Duration::from_millis(20);

/// A transaction that the lead has opened.
pub struct LeaderTransaction {
    /// The connection.
    pub leased: LeasedConnection,
    /// The position that the lead showed.
    pub position: Position,
}

/// Takes a connection to the server that is most likely to lead, at most until `until`; at once
/// none if that server may not be used in these regions.
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
            .lead_candidate(clock.now(), context.leaving_use())
            .filter(|_| context.holds_lease(group));
        let mut missing = NotRun::NoLeader;
        if let Some(server) = candidate.filter(|server| is_responsive(server, clock.now())) {
            if let Some(bar) = context.places.bar_to_lead(allowed, &server, clock.now()) {
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
                Err(AcquireError::Open(OpenError::Refused(ErrorClass::TooManyConnections))) => {
                    tokio::time::sleep(REFUSAL_DELAY).await;
                    missing = NotRun::NoConnection;
                }
                // The next look finds it barred.
                Err(AcquireError::Open(OpenError::Closed)) => continue,
                Err(AcquireError::Open(OpenError::Cold(no_leave))) => return Err(no_leave.into()),
                Err(AcquireError::Open(_)) => {
                    server.note_silence(clock);
                    group.note_denial(&server, clock.now());
                }
            }
        }
        if clock.now() >= until {
            return Err(missing);
        }
        let recheck = clock.instant(until.min(clock.now() + RECHECK_INTERVAL));
        // Nothing is lost if the time passes first: the loop looks again.
        let _ = tokio::time::timeout_at(recheck, changes.changed()).await;
    }
}

/// Whether a server held all that the lead had shown before, when the connection to it was opened.
///
/// A primary that has started again without its log would take a write, and give its replicas the
/// empty log. That is seen before anything is sent, as the connection is a new one.
fn has_observed_log(context: &Context, group: &Group, leased: &mut LeasedConnection) -> bool {
    let server = Arc::clone(&leased.server);
    let Ok(connection) = leased.connection() else {
        return true;
    };
    let shown = connection.first_shown;
    let Err(why) = group.check_shown(&server, shown) else {
        return true;
    };
    reject_leader(context, group, &server, why, shown.position);
    false
}

/// Whether a server is worth asking: not one that has just left several messages unanswered.
fn is_responsive(server: &Server, now: Timestamp) -> bool {
    let health = server.health();
    !health.is_silent() || health.avoided_until <= now
}

/// Has the lead open a transaction that may write, which proves the lead; at most until `until`.
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
                let may_lead = context.may_lead(group, &server);
                if may_lead && answered.answer.state == TransactionState::Open {
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
                    group.note_denial(&server, clock.now());
                    NotRun::NoLeader
                }
                _ => {
                    // A server that sheds work is not asked as fast as it refuses.
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

/// Takes in what a server has shown by accepting what only the lead accepts; false if its answer is
/// not to be believed, and the server not to be used as the lead.
pub fn record_proof(
    context: &Context,
    group: &Group,
    server: &Server,
    sent_at: Timestamp,
    position: Option<Position>,
) -> bool {
    let position = position.unwrap_or(Position::ZERO);
    let proof = LeadershipProof { sent_at, position };
    let Err(why) = group.note_proof(server, proof, context.clock.now()) else {
        return true;
    };
    reject_leader(context, group, server, why, position);
    false
}

/// Does not use a server as the lead for now.
fn reject_leader(
    context: &Context,
    group: &Group,
    server: &Server,
    why: ProofError,
    position: Position,
) {
    let now = context.clock.now();
    group.note_denial(server, now);
    if why == ProofError::LogLost
        && let Some(suppressed) = context.log_budget.take(events::LEAD_LOST_LOG, now)
    {
        log_event!(
            events::LEAD_LOST_LOG,
            group = group.name,
            server = server.incarnation,
            position = position,
            suppressed = suppressed
        );
    }
}

/// Makes sure that a proof sent at or after `since` is known, at most until `until`.
///
/// Units that need one at the same time share one exchange.
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
                // A connection that breaks here is closed when the place is dropped.
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

/// As [`begin_on_leader`], for a proof that many reads share: where a cold lead takes no more for
/// now, it is asked again, so that reads on warm replicas need not be refused.
async fn begin_with_retry(
    context: &Context,
    group: &Group,
    need: ConnectionNeed<'_>,
    until: Timestamp,
) -> Result<LeaderTransaction, NotRun> {
    loop {
        let opened = begin_on_leader(context, group, need, &AllowedRegions::ANYWHERE, until).await;
        match opened {
            Err(NotRun::Barred(Bar::Cold(delay))) if context.clock.now() + delay < until => {
                tokio::time::sleep(delay).await;
            }
            opened => return opened,
        }
    }
}

impl Unit {
    /// As [`begin_on_leader`], for this unit.
    pub async fn begin_on_leader(&self, until: Timestamp) -> Result<LeaderTransaction, NotRun> {
        let (context, group) = (&self.context, &self.group);
        let (need, allowed) = (self.connection_need(), &self.allowed_regions);
        begin_on_leader(context, group, need, allowed, until).await
    }

    /// As [`record_proof`], for this unit.
    pub fn record_proof(
        &self,
        server: &Server,
        sent_at: Timestamp,
        position: Option<Position>,
    ) -> bool {
        record_proof(&self.context, &self.group, server, sent_at, position)
    }

    /// As [`acquire_leader`], for this unit.
    pub async fn acquire_leader(&self, until: Timestamp) -> Result<LeasedConnection, NotRun> {
        let (context, group) = (&self.context, &self.group);
        let (need, allowed) = (self.connection_need(), &self.allowed_regions);
        acquire_leader(context, group, need, allowed, until).await
    }
}
