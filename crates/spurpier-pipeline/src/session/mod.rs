//! Client sessions: from the connection to its end.
//!
//! A session reads one message at a time. While a statement runs it watches whether the client is
//! still there; a client that vanishes ends the statement, and its server connection is closed.

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
use self::state::{ClientName, SessionState};
use crate::configuration::IndexedConfiguration;
use crate::context::Context;
use crate::events;
use crate::ports::{ClientMessage, ErrorClass, Request, ServerError, TransactionState};
use crate::tenant::AdmissionError;

/// How long a client may take to open its session.
const START_UP_LIMIT: Duration = Duration::from_secs(3);
/// How long a client's start-up waits for the first configuration.
const CONFIGURATION_LIMIT: Duration = Duration::from_millis(1_500);
/// For how long a session must have been quiet before a drain closes it.
const DRAIN_QUIET: Duration = Duration::from_millis(150);
/// Over how long a drain spreads the closing of quiet sessions.
const DRAIN_SPREAD: Duration = Duration::from_millis(600);

/// Serves one client until either side ends the session.
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

/// Opens the session; none if it was refused or the client left.
async fn start_up(context: &Context, connection: &mut ClientConnection) -> Option<ClientName> {
    let received = timeout(START_UP_LIMIT, connection.receive()).await;
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
                    let client = ClientName { database, key };
                    return connection.send_started().await.then_some(client);
                }
                Err(error) => error,
            }
        }
        Received::Message(ClientMessage::Request(_)) | Received::Violation => {
            refusal(ErrorClass::Malformed, "the session is not open")
        }
        Received::Message(ClientMessage::Terminate) | Received::Gone => return None,
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
    let known = timeout(CONFIGURATION_LIMIT, known).await.ok()?.ok()?;
    known.clone()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// By the client, or by a drain.
    Closed,
    /// By bytes that are no message.
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

/// Waits for the next statement, the end of an idle transaction, or a drain.
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
                Received::Message(ClientMessage::Terminate) | Received::Gone => {
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

/// A moment that does not come.
fn far_away() -> tokio::time::Instant {
    tokio::time::Instant::now() + Duration::from_secs(86_400)
}

/// Waits for the drain, and then until the session has been quiet long enough.
async fn drain_quietly(context: &Context) {
    context.draining.cancelled().await;
    let spread = DRAIN_SPREAD.mul_f64(rand::rng().random());
    tokio::time::sleep(DRAIN_QUIET + spread).await;
}
