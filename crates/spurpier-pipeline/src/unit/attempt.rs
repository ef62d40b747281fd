//! A single attempt to execute a statement on one server.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;

use super::Unit;
use super::statement::{BoundStatement, ClientStatement, PreparedExecution};
use crate::clock::Clock;
use crate::context::Context;
use crate::events;
use crate::locality::NoLeave;
use crate::ports::{Answer, EncodeError, ErrorClass, ServerRequest, StatementName};
use crate::server::{ExchangeError, Lease, Server, ServerConnection, ShapeDigest, Values};

/// How long an exchange may continue after its unit timed out before its connection is closed.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(3);

/// The reason why an attempt produced no answer for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The server refused the request; the statement has not run.
    Refused(ErrorClass),
    /// The statement was not sent.
    NotSent,
    /// The connection broke; the statement may have run.
    Broken,
    /// No answer arrived in time; the statement may have run or may still run.
    Silent,
    /// The server is cold and no permit was granted; nothing was sent.
    Cold(NoLeave),
    /// The dialect cannot express a message that is needed; the statement was not sent, and trying
    /// another server is of no use.
    Inexpressible(EncodeError),
}

impl From<ExchangeError> for Failure {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent => Failure::NotSent,
            ExchangeError::Unclear => Failure::Broken,
            ExchangeError::Cold(no_leave) => Failure::Cold(no_leave),
            ExchangeError::Inexpressible(error) => Failure::Inexpressible(error),
        }
    }
}

/// Guard that counts a request as in flight on a server until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Server>);

impl InFlight {
    /// Increments the server's number of requests in flight.
    pub fn new(server: &Arc<Server>) -> Self {
        server.health().in_flight += 1;
        InFlight(Arc::clone(server))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.health().in_flight -= 1;
    }
}

/// A connection that is leased from a server's pool and counted as one request in flight.
#[derive(Debug)]
pub struct LeasedConnection {
    /// The server to which the connection belongs.
    pub server: Arc<Server>,
    /// The pool's lease of the connection.
    pub lease: Lease,
    _in_flight: InFlight,
}

impl LeasedConnection {
    /// Wraps a pool lease and counts it as a request in flight on `server`.
    pub fn new(server: Arc<Server>, lease: Lease) -> Self {
        let in_flight = InFlight::new(&server);
        LeasedConnection {
            server,
            lease,
            _in_flight: in_flight,
        }
    }

    /// Returns the connection.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] if the lease no longer has a connection.
    pub fn connection(&mut self) -> Result<&mut ServerConnection, Failure> {
        self.lease.connection().ok_or(Failure::NotSent)
    }
}

/// Which messages an attempt sends once the connection has the session's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeMode {
    /// The statement alone. If a position is given, the server must have applied it.
    Statement(Option<Position>),
    /// The statement, directly followed by a rollback of its transaction.
    StatementAndRollback,
}

/// An answer and the time at which its statement was sent.
pub struct TimedAnswer {
    /// The server's answer.
    pub answer: Answer,
    /// When the statement was sent.
    pub sent_at: Timestamp,
}

impl Unit {
    /// Runs a statement on a connection and waits for its answer until `until`.
    ///
    /// Returns the connection if it can be used further. If no answer arrives in time, the
    /// exchange continues in the background: the server's work is not interrupted, and the
    /// connection can be reused afterwards.
    pub async fn attempt(
        &self,
        mut leased: LeasedConnection,
        statement: &ClientStatement,
        mode: ExchangeMode,
        until: Timestamp,
    ) -> (Option<LeasedConnection>, Result<TimedAnswer, Failure>) {
        let server = Arc::clone(&leased.server);
        let clock = self.context.clock.clone();
        let statement = statement.clone();
        let values = self.values.clone();
        let started = clock.now();
        let context = Arc::clone(&self.context);
        let exchange = async move {
            let result = exchange(&mut leased, &context, &statement, &values, mode).await;
            (leased, result)
        };
        match await_or_detach(&clock, until, exchange).await {
            Some((leased, Ok(answered))) => {
                server.record_answer(answered.sent_at);
                let now = clock.now();
                if let Some(position) = answered.answer.position {
                    self.group.record_position(&server, position, now);
                }
                if answered.answer.outcome.is_ok() {
                    // Refusals are fast and would distort the server's response times.
                    server.health().record_run_time(now.since(started));
                }
                (Some(leased), Ok(answered))
            }
            Some((leased, Err(failure))) => {
                if matches!(failure, Failure::Broken | Failure::NotSent) {
                    server.record_unanswered(&clock);
                }
                drop(leased);
                (None, Err(failure))
            }
            None => {
                server.record_unanswered(&clock);
                (None, Err(Failure::Silent))
            }
        }
    }
}

async fn exchange(
    leased: &mut LeasedConnection,
    context: &Context,
    statement: &ClientStatement,
    values: &Values,
    mode: ExchangeMode,
) -> Result<TimedAnswer, Failure> {
    let server = Arc::clone(&leased.server);
    let connection = leased.connection()?;
    let bound = prepare_connection(connection, context, &server, values, statement).await?;
    let sent_at = context.clock.now();
    let answer = match mode {
        ExchangeMode::Statement(after) => connection.exchange(&bound.request(after)).await?,
        ExchangeMode::StatementAndRollback => {
            connection
                .exchange_and_roll_back(&bound.request(None))
                .await?
        }
    };
    if answer.error_class() == Some(ErrorClass::UnknownName) {
        connection.prepared.clear();
        record_unknown(context, &server, bound);
    }
    Ok(TimedAnswer { answer, sent_at })
}

/// Sets the session's values on the connection and prepares the statement's prepared statement,
/// unless the connection already has them.
async fn prepare_connection<'a>(
    connection: &mut ServerConnection,
    context: &Context,
    server: &Server,
    values: &Values,
    statement: &'a ClientStatement,
) -> Result<BoundStatement<'a>, Failure> {
    if connection.values != *values {
        set_values(connection, values).await?;
    }
    let Some(prepared) = &statement.prepared else {
        return Ok(BoundStatement::Plain(statement));
    };
    let digest = prepared.shape_digest();
    let name = match connection.prepared.find(&digest) {
        Some(name) => name,
        None => {
            let name = prepare(connection, context, prepared, digest).await?;
            record_prepared(context, server, &statement.id, digest, name);
            name
        }
    };
    Ok(BoundStatement::Execution {
        id: &statement.id,
        name,
        arguments: &prepared.arguments,
    })
}

/// Prepares a statement on the connection under a new name, in place of the least recently used
/// one if there are too many.
async fn prepare(
    connection: &mut ServerConnection,
    context: &Context,
    prepared: &PreparedExecution,
    digest: ShapeDigest,
) -> Result<StatementName, Failure> {
    if let Some(name) = connection.prepared.surplus() {
        match internal_exchange(connection, &ServerRequest::Deallocate { name }).await {
            Ok(()) | Err(Failure::Refused(ErrorClass::UnknownName)) => {
                connection.prepared.remove(name);
            }
            Err(failure) => return Err(failure),
        }
        context.metrics.count_evicted_statement();
    }
    let name = connection.prepared.new_name();
    let request = ServerRequest::Prepare {
        name,
        effect: prepared.effect,
        shape: &prepared.shape,
    };
    internal_exchange(connection, &request).await?;
    connection.prepared.insert(digest, name);
    Ok(name)
}

/// Logs and counts that a statement has been prepared on a connection to a server.
fn record_prepared(
    context: &Context,
    server: &Server,
    request: &str,
    shape: ShapeDigest,
    name: StatementName,
) {
    context.metrics.count_prepared_statement();
    log_event!(
        events::STATEMENT_PREPARED,
        request = request,
        server = server.incarnation,
        statement = name,
        shape = shape
    );
}

/// Logs and counts that a server does not know a statement that was prepared on the connection.
fn record_unknown(context: &Context, server: &Server, bound: BoundStatement<'_>) {
    let BoundStatement::Execution { id, name, .. } = bound else {
        return;
    };
    context.metrics.count_unknown_prepared_statement();
    let event = events::PREPARED_STATEMENT_UNKNOWN;
    if let Some(suppressed) = context.log_budget.take(event, context.clock.now()) {
        log_event!(
            event,
            request = id,
            server = server.incarnation,
            statement = name,
            suppressed = suppressed
        );
    }
}

async fn set_values(connection: &mut ServerConnection, values: &Values) -> Result<(), Failure> {
    let has_foreign = connection
        .values
        .keys()
        .any(|name| !values.contains_key(name));
    if has_foreign {
        internal_exchange(connection, &ServerRequest::Reset).await?;
        connection.values.clear();
        connection.prepared.clear();
    }
    for (name, value) in values {
        if connection.values.get(name) == Some(value) {
            continue;
        }
        internal_exchange(connection, &ServerRequest::Set { name, value }).await?;
        connection.values.insert(name.clone(), value.clone());
    }
    Ok(())
}

/// Sends one of the proxy's own requests and fails unless the server accepts it.
async fn internal_exchange(
    connection: &mut ServerConnection,
    request: &ServerRequest<'_>,
) -> Result<(), Failure> {
    let answer = connection.exchange(request).await;
    // The client's statement has not been sent yet, so a broken connection is not ambiguous.
    let answer = answer.map_err(|error| match error {
        ExchangeError::Cold(no_leave) => Failure::Cold(no_leave),
        ExchangeError::Inexpressible(error) => Failure::Inexpressible(error),
        ExchangeError::NotSent | ExchangeError::Unclear => Failure::NotSent,
    })?;
    match answer.error_class() {
        None => Ok(()),
        Some(class) => {
            if !class.is_not_run() {
                connection.invalidate();
            }
            Err(Failure::Refused(class))
        }
    }
}

/// Waits for an exchange until `until`. Returns `None` if it is not done by then and continues in
/// the background for at most [`DETACHED_TIMEOUT`].
async fn await_or_detach<T: Send + 'static>(
    clock: &Clock,
    until: Timestamp,
    exchange: impl Future<Output = T> + Send + 'static,
) -> Option<T> {
    let mut exchange = Box::pin(exchange);
    let end = clock.instant(until);
    if let Ok(done) = tokio::time::timeout_at(end, &mut exchange).await {
        return Some(done);
    }
    tokio::spawn(tokio::time::timeout(DETACHED_TIMEOUT, exchange));
    None
}

/// Sends one of the proxy's own requests on a leased connection and waits for its answer until
/// `until`.
///
/// Returns the connection if it can be used further.
pub async fn internal_attempt(
    clock: &Clock,
    mut leased: LeasedConnection,
    request: ServerRequest<'static>,
    until: Timestamp,
) -> (Option<LeasedConnection>, Result<TimedAnswer, Failure>) {
    let server = Arc::clone(&leased.server);
    let sent_at = clock.now();
    let exchange = async move {
        let answer = match leased.connection() {
            Ok(connection) => connection.exchange(&request).await.map_err(Failure::from),
            Err(failure) => Err(failure),
        };
        (leased, answer)
    };
    match await_or_detach(clock, until, exchange).await {
        Some((leased, Ok(answer))) => {
            server.record_answer(sent_at);
            (Some(leased), Ok(TimedAnswer { answer, sent_at }))
        }
        Some((_, Err(failure @ (Failure::Cold(_) | Failure::Inexpressible(_))))) => {
            (None, Err(failure))
        }
        Some((_, Err(failure))) => {
            server.record_unanswered(clock);
            (None, Err(failure))
        }
        None => {
            server.record_unanswered(clock);
            (None, Err(Failure::Silent))
        }
    }
}
