//! Takes client connections and brings them through PostgreSQL's start-up.

use std::io;
use std::sync::Arc;

use pgwire::messages::response::{GssEncResponse, ReadyForQuery, SslResponse, TransactionStatus};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey, Startup,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage};
use tokio::net::{TcpListener, TcpStream};

use super::connection::ClientConnection;
use super::server_core::ServerCore;
use super::session::Session;
use super::session_registry::SessionEntry;
use super::settings::{REPORTED, Settings};
use super::sql_error::{SqlError, SqlState};

/// Takes connections until the server shuts down.
pub(crate) async fn run(core: Arc<ServerCore>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shutdown = core.shutdown.clone();
        let connection = serve(Arc::clone(&core), stream);
        tokio::spawn(shutdown.run_until_cancelled_owned(async move {
            // A broken connection has nobody left to be told.
            let _ = connection.await;
        }));
    }
}

/// Removes a session from the registry however its task ends.
struct Registration {
    core: Arc<ServerCore>,
    entry: Arc<SessionEntry>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.core.sessions.remove(self.entry.process_id);
    }
}

async fn serve(core: Arc<ServerCore>, stream: TcpStream) -> io::Result<()> {
    let mut connection = ClientConnection::new(stream);
    let startup = read_startup(&core, &mut connection).await?;
    core.faults.thawed().await;
    let Some(startup) = startup else {
        return Ok(());
    };
    if core.is_leaving() {
        let error = SqlError::fatal(SqlState::AdminShutdown, "the server is leaving");
        return refuse(&mut connection, &error).await;
    }
    let Some(entry) = core.sessions.add() else {
        let error = SqlError::fatal(SqlState::TooManyConnections, "too many connections");
        return refuse(&mut connection, &error).await;
    };
    let registration = Registration {
        core: Arc::clone(&core),
        entry: Arc::clone(&entry),
    };
    tokio::time::sleep(core.config.connect_cost).await;
    core.faults.thawed().await;
    let settings = Settings::from_startup(&startup.parameters);
    greet(&mut connection, &startup, &settings, &entry).await?;
    entry.set_busy(false);
    let session = Session::new(core, entry, connection, settings);
    let result = session.run().await;
    drop(registration);
    result
}

async fn refuse(connection: &mut ClientConnection, error: &SqlError) -> io::Result<()> {
    let response = PgWireBackendMessage::ErrorResponse(error.response());
    connection.send(response).await?;
    connection.flush().await
}

/// Reads up to the start-up message; none where the connection served another end.
async fn read_startup(
    core: &ServerCore,
    connection: &mut ClientConnection,
) -> io::Result<Option<Startup>> {
    while let Some(message) = connection.read().await? {
        core.faults.thawed().await;
        match message {
            PgWireFrontendMessage::SslNegotiation(negotiation) => {
                let refusal = match negotiation {
                    SslNegotiationMetaMessage::PostgresSsl(_) => {
                        PgWireBackendMessage::SslResponse(SslResponse::Refuse)
                    }
                    SslNegotiationMetaMessage::PostgresGss(_) => {
                        PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse)
                    }
                    SslNegotiationMetaMessage::None => continue,
                };
                connection.send(refusal).await?;
                connection.flush().await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                core.sessions.cancel(request.pid, &request.secret_key);
                return Ok(None);
            }
            PgWireFrontendMessage::Startup(startup) => return Ok(Some(startup)),
            _ => return Err(io::Error::other("a message came before the start-up")),
        }
    }
    Ok(None)
}

async fn greet(
    connection: &mut ClientConnection,
    startup: &Startup,
    settings: &Settings,
    entry: &SessionEntry,
) -> io::Result<()> {
    if startup.protocol_number_minor != 0 {
        let answer = NegotiateProtocolVersion::new(0, Vec::new());
        connection
            .send(PgWireBackendMessage::NegotiateProtocolVersion(answer))
            .await?;
    }
    let authenticated = PgWireBackendMessage::Authentication(Authentication::Ok);
    connection.send(authenticated).await?;
    for name in REPORTED {
        let value = settings.show(name).map_err(io::Error::other)?;
        let status = ParameterStatus::new(name.to_owned(), value);
        connection
            .send(PgWireBackendMessage::ParameterStatus(status))
            .await?;
    }
    let key = BackendKeyData::new(entry.process_id, SecretKey::I32(entry.secret));
    connection
        .send(PgWireBackendMessage::BackendKeyData(key))
        .await?;
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    connection
        .send(PgWireBackendMessage::ReadyForQuery(ready))
        .await?;
    connection.flush().await
}
