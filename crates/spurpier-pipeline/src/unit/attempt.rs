//! One attempt at a statement on one server.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;

use super::Unit;
use super::work::Work;
use crate::clock::Clock;
use crate::places::NoLeave;
use crate::ports::{Answer, ErrorClass, ServerRequest};
use crate::server::{ExchangeError, Lease, Server, ServerConnection, Values};

/// How long an exchange that nobody awaits may go on before its connection is closed.
const DETACHED_LIMIT: Duration = Duration::from_secs(3);

/// How an attempt ended without an answer for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The server refused; the statement has not run.
    Refused(ErrorClass),
    /// The statement was not sent.
    NotSent,
    /// The connection broke; the statement may have run.
    Broken,
    /// No answer came in time; the statement may have run or may run yet.
    Silent,
    /// The server is cold, and no leave was given; nothing was sent.
    Cold(NoLeave),
}

impl From<ExchangeError> for Failure {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent => Failure::NotSent,
            ExchangeError::Unclear => Failure::Broken,
            ExchangeError::Cold(no_leave) => Failure::Cold(no_leave),
        }
    }
}

/// Counts a request on a server while it lives.
#[derive(Debug)]
pub struct InFlight(Arc<Server>);

impl InFlight {
    /// Counts one more.
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

/// A connection to a server, taken for a unit.
#[derive(Debug)]
pub struct Place {
    /// The server.
    pub server: Arc<Server>,
    /// The connection.
    pub lease: Lease,
    _in_flight: InFlight,
}

impl Place {
    /// Takes a leased connection.
    pub fn new(server: Arc<Server>, lease: Lease) -> Self {
        let in_flight = InFlight::new(&server);
        Place {
            server,
            lease,
            _in_flight: in_flight,
        }
    }

    /// The connection.
    pub fn connection(&mut self) -> Result<&mut ServerConnection, Failure> {
        self.lease.connection().ok_or(Failure::NotSent)
    }
}

/// What is asked of a server once its connection knows the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// The statement alone, behind a position if one is given.
    Alone(Option<Position>),
    /// The statement, and right behind it the drop of the transaction that it stands in.
    ThenRollBack,
}

/// An answer, and when the statement left.
pub struct Answered {
    /// The answer.
    pub answer: Answer,
    /// When the statement left.
    pub sent_at: Timestamp,
}

impl Unit {
    /// Runs a statement on a connection, at most until `until`.
    ///
    /// If no answer comes in time, the exchange goes on without the unit, so that a server at
    /// work is not cut off and its connection can be used again.
    pub async fn attempt(
        &self,
        mut place: Place,
        work: &Work,
        manner: Manner,
        until: Timestamp,
    ) -> (Option<Place>, Result<Answered, Failure>) {
        let server = Arc::clone(&place.server);
        let clock = self.context.clock.clone();
        let work = work.clone();
        let values = self.values.clone();
        let started = clock.now();
        let inner_clock = clock.clone();
        let exchange = async move {
            let result = exchange(&mut place, &inner_clock, &work, &values, manner).await;
            (place, result)
        };
        match within(&clock, until, exchange).await {
            Some((place, Ok(answered))) => {
                server.note_answer(answered.sent_at);
                let now = clock.now();
                if let Some(position) = answered.answer.position {
                    self.group.note_shown(&server, position, now);
                }
                if answered.answer.outcome.is_ok() {
                    // A refusal is fast and says nothing of the server's work.
                    server.health().note_time(now.since(started));
                }
                (Some(place), Ok(answered))
            }
            Some((place, Err(failure))) => {
                if matches!(failure, Failure::Broken | Failure::NotSent) {
                    server.note_silence(&clock);
                }
                drop(place);
                (None, Err(failure))
            }
            None => {
                server.note_silence(&clock);
                (None, Err(Failure::Silent))
            }
        }
    }
}

async fn exchange(
    place: &mut Place,
    clock: &Clock,
    work: &Work,
    values: &Values,
    manner: Manner,
) -> Result<Answered, Failure> {
    let connection = place.connection()?;
    make_known(connection, values, work).await?;
    let sent_at = clock.now();
    let answer = match manner {
        Manner::Alone(after) => connection.exchange(&work.request(after)).await?,
        Manner::ThenRollBack => {
            connection
                .exchange_and_roll_back(&work.request(None))
                .await?
        }
    };
    if answer.error_class() == Some(ErrorClass::UnknownName) {
        connection.prepared.clear();
    }
    Ok(Answered { answer, sent_at })
}

/// Gives the connection the session's values and the prepared statement that the work uses.
pub async fn make_known(
    connection: &mut ServerConnection,
    values: &Values,
    work: &Work,
) -> Result<(), Failure> {
    if connection.values != *values {
        set_values(connection, values).await?;
    }
    let Some(prepared) = &work.prepared else {
        return Ok(());
    };
    if connection.prepared.contains(work.server_name()) {
        return Ok(());
    }
    let request = ServerRequest::Prepare {
        name: work.server_name(),
        effect: prepared.effect,
        shape: &prepared.shape,
    };
    own_exchange(connection, &request).await?;
    let name = work.server_name().to_owned();
    connection.prepared.insert(name);
    Ok(())
}

async fn set_values(connection: &mut ServerConnection, values: &Values) -> Result<(), Failure> {
    let has_foreign = connection
        .values
        .keys()
        .any(|name| !values.contains_key(name));
    if has_foreign {
        own_exchange(connection, &ServerRequest::Reset).await?;
        connection.values.clear();
        connection.prepared.clear();
    }
    for (name, value) in values {
        if connection.values.get(name) == Some(value) {
            continue;
        }
        own_exchange(connection, &ServerRequest::Set { name, value }).await?;
        connection.values.insert(name.clone(), value.clone());
    }
    Ok(())
}

/// Runs a statement of the proxy's own that must succeed.
async fn own_exchange(
    connection: &mut ServerConnection,
    request: &ServerRequest<'_>,
) -> Result<(), Failure> {
    let answer = connection.exchange(request).await;
    // Nothing of the client's has been sent yet.
    let answer = answer.map_err(|error| match error {
        ExchangeError::Cold(no_leave) => Failure::Cold(no_leave),
        ExchangeError::NotSent | ExchangeError::Unclear => Failure::NotSent,
    })?;
    match answer.error_class() {
        None => Ok(()),
        Some(class) => Err(Failure::Refused(class)),
    }
}

/// Awaits an exchange until a moment; then it goes on alone for a while. None if it does.
async fn within<T: Send + 'static>(
    clock: &Clock,
    until: Timestamp,
    exchange: impl Future<Output = T> + Send + 'static,
) -> Option<T> {
    let mut exchange = Box::pin(exchange);
    let end = clock.instant(until);
    if let Ok(done) = tokio::time::timeout_at(end, &mut exchange).await {
        return Some(done);
    }
    tokio::spawn(tokio::time::timeout(DETACHED_LIMIT, exchange));
    None
}

/// Runs a statement of the proxy's own on a taken connection, at most until `until`.
pub async fn own_attempt(
    clock: &Clock,
    mut place: Place,
    request: ServerRequest<'static>,
    until: Timestamp,
) -> (Option<Place>, Result<Answered, Failure>) {
    let server = Arc::clone(&place.server);
    let sent_at = clock.now();
    let exchange = async move {
        let answer = match place.connection() {
            Ok(connection) => connection.exchange(&request).await.map_err(Failure::from),
            Err(failure) => Err(failure),
        };
        (place, answer)
    };
    match within(clock, until, exchange).await {
        Some((place, Ok(answer))) => {
            server.note_answer(sent_at);
            (Some(place), Ok(Answered { answer, sent_at }))
        }
        Some((_, Err(failure @ Failure::Cold(_)))) => (None, Err(failure)),
        Some((_, Err(failure))) => {
            server.note_silence(clock);
            (None, Err(failure))
        }
        None => {
            server.note_silence(clock);
            (None, Err(Failure::Silent))
        }
    }
}
