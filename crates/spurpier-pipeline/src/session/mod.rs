//! Client sessions, from the accepted connection until it closes.
//!
//! A session processes one message at a time. While a statement runs, the session also watches the
//! client connection: if the client disconnects, the statement is cancelled and its server
//! connection is closed.

mod connection;
mod state;
mod statements;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spurpier_events::log_event;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout};

use self::connection::{ClientConnection, Received};
use self::state::{ClientCredentials, SessionState};
use crate::configuration::IndexedConfiguration;
use crate::context::Context;
use crate::events;
use crate::ports::{ClientMessage, ErrorClass, Request, ServerError, TransactionState};
use crate::tenant::AdmissionError;

/// Maximum time for a client to send its start-up message.
const START_UP_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time that a start-up waits for the first configuration.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a session must be idle before a drain closes it.
const MIN_DRAIN_IDLE_TIME: Duration = Duration::from_millis(150);
/// Maximum random delay added to [`MIN_DRAIN_IDLE_TIME`], so that idle sessions are not all closed
/// at once.
const MAX_DRAIN_JITTER: Duration = Duration::from_millis(600);

/// Serves one client connection until the client, a protocol violation or a drain ends it.
pub async fn serve_client(context: Arc<Context>, stream: TcpStream, peer: SocketAddr) {
    let Ok(mut connection) = ClientConnection::new(stream, Arc::clone(&context.client_dialect))
    else {
        return;
    };
    let Some(client) = start_up(&context, &mut connection).await else {
        return;
    };
    let mut session = SessionState::new(Arc::clone(&context), client);
    let ended = serve_session(&context, &mut connection, &mut session).await;
    session.end().await;
    if ended == Ended::Violation {
        log_event!(events::CLIENT_VIOLATION, peer = peer);
        let error = refusal(ErrorClass::Malformed, "the bytes violate the protocol");
        connection.refuse(&error).await;
    }
}

/// Opens the session; returns `None` if it was refused or the client disconnected.
async fn start_up(
    context: &Context,
    connection: &mut ClientConnection,
) -> Option<ClientCredentials> {
    let received = timeout(START_UP_TIMEOUT, connection.receive()).await;
    let error = match received.ok()? {
        Received::Message(ClientMessage::StartUp { database, key }) => {
            let admitted = match known_configuration(context).await {
                Some(known) => known.admit(&database, key).map_err(AdmissionError::error),
                None => Err(refusal(
                    ErrorClass::Busy,
                    "retry-after-ms=500 no configuration",
                )),
            };
            match admitted {
                Ok(_) => {
                    let client = ClientCredentials { database, key };
                    return connection.send_started().await.then_some(client);
                }
                Err(error) => error,
            }
        }
        Received::Message(ClientMessage::Request(_)) | Received::Violation => {
            refusal(ErrorClass::Malformed, "the session is not open")
        }
        Received::Message(ClientMessage::Terminate) | Received::Closed => return None,
    };
    connection.refuse(&error).await;
    None
}

fn refusal(class: ErrorClass, text: &str) -> ServerError {
    ServerError {
        class,
        text: text.to_owned(),
    }
}

async fn known_configuration(context: &Context) -> Option<Arc<IndexedConfiguration>> {
    let mut configuration = context.configuration.subscribe();
    let known = configuration.wait_for(Option::is_some);
    let known = timeout(CONFIGURATION_TIMEOUT, known).await.ok()?.ok()?;
    known.clone()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// By the client, a failed write or a drain.
    Closed,
    /// By a protocol violation.
    Violation,
}

async fn serve_session(
    context: &Context,
    connection: &mut ClientConnection,
    session: &mut SessionState,
) -> Ended {
    loop {
        let request = match next_request(context, connection, session).await {
            Next::Request(request) => request,
            Next::Ended(ended) => return ended,
        };
        let answer = {
            let running = session.run(request);
            tokio::select! {
                biased;
                answer = running => answer,
                () = connection.closed() => return Ended::Closed,
            }
        };
        if !connection.send_answer(&answer).await {
            return Ended::Closed;
        }
    }
}

enum Next {
    Request(Request),
    Ended(Ended),
}

/// Waits for the next request or the end of the session. Expires an open transaction that stays
/// idle for too long; a drain closes only sessions without a transaction.
async fn next_request(
    context: &Context,
    connection: &mut ClientConnection,
    session: &mut SessionState,
) -> Next {
    loop {
        let in_transaction = session.transaction_state() != TransactionState::Idle;
        let expiry = session.transaction_expiry();
        tokio::select! {
            biased;
            () = context.closing.cancelled() => return Next::Ended(Ended::Closed),
            received = connection.receive() => return match received {
                Received::Message(ClientMessage::Request(request)) => Next::Request(request),
                Received::Message(ClientMessage::StartUp { .. }) | Received::Violation => {
                    Next::Ended(Ended::Violation)
                }
                Received::Message(ClientMessage::Terminate) | Received::Closed => {
                    Next::Ended(Ended::Closed)
                }
            },
            () = sleep_until(expiry.unwrap_or_else(far_away)), if expiry.is_some() => {
                session.expire_transaction().await;
            }
            () = drain_quietly(context), if !in_transaction => {
                return Next::Ended(Ended::Closed);
            }
        }
    }
}

/// A placeholder deadline, one day ahead, for the disabled branch of `select!`.
fn far_away() -> tokio::time::Instant {
    tokio::time::Instant::now() + Duration::from_secs(86_400)
}

/// Waits for the drain to start, then for the minimum idle time and a random delay.
async fn drain_quietly(context: &Context) {
    context.draining.cancelled().await;
    let jitter = MAX_DRAIN_JITTER.mul_f64(rand::rng().random());
    tokio::time::sleep(MIN_DRAIN_IDLE_TIME + jitter).await;
}
