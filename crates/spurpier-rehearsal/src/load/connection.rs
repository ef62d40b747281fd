//! A client connection that carries a session's identity and position.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, SimpleQueryRow};

use super::outcome::Failure;
use super::position::{ConnectionDriver, PositionCell};

/// The user under which the load connects.
const LOAD_USER: &str = "rehearsal";

/// Who connects, and what it has seen so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionIdentity {
    /// The session.
    pub session: String,
    /// The database.
    pub database: String,
    /// The session's position token; none when it has seen nothing yet.
    pub position: Option<String>,
    /// The class of its requests, for the policy.
    pub class: Option<String>,
}

impl ConnectionIdentity {
    fn options(&self) -> String {
        let mut options = format!("-c spurpier.session={}", self.session);
        if let Some(position) = &self.position {
            options.push_str(&format!(" -c spurpier.position={position}"));
        }
        if let Some(class) = &self.class {
            options.push_str(&format!(" -c spurpier.class={class}"));
        }
        options
    }
}

/// An open client connection.
#[derive(Debug)]
pub struct ClientConnection {
    client: Client,
    position: PositionCell,
    driver: JoinHandle<()>,
}

impl ClientConnection {
    /// Connects to the proxy or server at `address`.
    ///
    /// # Errors
    ///
    /// `NotRun`, since nothing of a request has been sent yet.
    pub async fn open(
        address: SocketAddr,
        identity: &ConnectionIdentity,
        patience: Duration,
    ) -> Result<Self, Failure> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(LOAD_USER)
            .dbname(&identity.database)
            .application_name(&identity.session)
            .options(identity.options());
        let connecting = tokio::time::timeout(patience, config.connect(NoTls));
        let Ok(Ok((client, connection))) = connecting.await else {
            return Err(Failure::not_connected());
        };
        let position = PositionCell::default();
        let driver = tokio::spawn(ConnectionDriver::new(connection, position.clone()));
        Ok(ClientConnection {
            client,
            position,
            driver,
        })
    }

    /// Runs a statement by the simple protocol and gives its rows.
    ///
    /// # Errors
    ///
    /// What may be concluded when there is no whole answer within `patience`.
    pub async fn run(
        &self,
        statement: &str,
        patience: Duration,
    ) -> Result<Vec<SimpleQueryRow>, Failure> {
        let answer = tokio::time::timeout(patience, self.client.simple_query(statement)).await;
        let messages = answer
            .map_err(|_| Failure::timed_out())?
            .map_err(|error| Failure::from_error(&error))?;
        Ok(messages.into_iter().filter_map(into_row).collect())
    }

    /// Runs a statement by the extended protocol and gives its columns as text.
    ///
    /// All columns of the statement must be of a text type.
    ///
    /// # Errors
    ///
    /// As [`ClientConnection::run`].
    pub async fn run_extended(
        &self,
        statement: &str,
        patience: Duration,
    ) -> Result<Vec<tokio_postgres::Row>, Failure> {
        let answer = tokio::time::timeout(patience, self.client.query(statement, &[])).await;
        answer
            .map_err(|_| Failure::timed_out())?
            .map_err(|error| Failure::from_error(&error))
    }

    /// The newest position that was reported; none without a report.
    pub fn position(&self) -> Option<String> {
        self.position.get()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn into_row(message: SimpleQueryMessage) -> Option<SimpleQueryRow> {
    match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    }
}
