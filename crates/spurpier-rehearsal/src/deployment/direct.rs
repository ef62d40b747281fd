//! Direct access to database servers, past the proxies and the relays.
//!
//! The harness uses it to make tables, to see elections and to read what survived.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use futures::future::{join_all, select_all};
use tokio::task::JoinHandle;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, SimpleQueryRow};

use super::topology::ServerPlace;

/// How long one call to a server may take.
const CALL_PATIENCE: Duration = Duration::from_secs(2);
/// The time between two looks at a server.
const LOOK_INTERVAL: Duration = Duration::from_millis(3);
/// How long a group may take until the condition that is waited for holds.
const GROUP_PATIENCE: Duration = Duration::from_secs(60);
const HARNESS_USER: &str = "harness";

/// A server could not be asked, or a group did not come to the state that was waited for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectError {
    /// What was being done.
    pub doing: String,
}

impl fmt::Display for DirectError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "could not {}", self.doing)
    }
}

impl std::error::Error for DirectError {}

fn failure(doing: impl Into<String>) -> DirectError {
    DirectError {
        doing: doing.into(),
    }
}

/// The part of a server's status that the harness looks at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectStatus {
    /// The newest term in which it has voted.
    pub vote_term: u64,
    /// The term of its last record.
    pub received_term: u64,
    /// The offset of its last record.
    pub received_offset: u64,
    /// The offset up to which its tables show the log.
    pub applied_offset: u64,
    /// Whether it says that it is primary.
    pub is_primary: bool,
}

/// A connection to one server.
pub struct DirectConnection {
    client: Client,
    driver: JoinHandle<()>,
}

impl DirectConnection {
    /// Connects to the server at `address`.
    ///
    /// # Errors
    ///
    /// When there is no connection in time.
    pub async fn open(address: SocketAddr, database: &str) -> Result<Self, Report<DirectError>> {
        let doing = || failure(format!("connect to {address}"));
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(HARNESS_USER)
            .dbname(database);
        let connecting = tokio::time::timeout(CALL_PATIENCE, config.connect(NoTls)).await;
        let connected = connecting.change_context_lazy(doing)?;
        let (client, connection) = connected.change_context_lazy(doing)?;
        let driver = tokio::spawn(async move {
            // The client sees the end of the connection by its next call.
            let _ = connection.await;
        });
        Ok(DirectConnection { client, driver })
    }

    /// Runs statements by the simple protocol and gives the rows of all of them.
    ///
    /// # Errors
    ///
    /// When a statement fails or there is no answer in time.
    pub async fn query(&self, sql: &str) -> Result<Vec<SimpleQueryRow>, Report<DirectError>> {
        let doing = || failure(format!("run `{sql}`"));
        let answer = tokio::time::timeout(CALL_PATIENCE, self.client.simple_query(sql)).await;
        let messages = answer.change_context_lazy(doing)?;
        let messages = messages.change_context_lazy(doing)?;
        let rows = messages.into_iter().filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        Ok(rows.collect())
    }

    /// What the server reports of itself.
    ///
    /// # Errors
    ///
    /// As [`DirectConnection::query`], and when the answer has another form.
    pub async fn status(&self) -> Result<DirectStatus, Report<DirectError>> {
        let rows = self.query("SELECT * FROM group_status()").await?;
        let row = rows.first();
        let number = |column: &str| {
            let text = row.and_then(|row| row.try_get(column).ok().flatten());
            text.and_then(|text| text.parse().ok())
                .ok_or_else(|| Report::new(failure(format!("read {column} of group_status()"))))
        };
        let role = row.and_then(|row| row.try_get("role").ok().flatten());
        Ok(DirectStatus {
            vote_term: number("vote_term")?,
            received_term: number("received_term")?,
            received_offset: number("received_offset")?,
            applied_offset: number("applied_offset")?,
            is_primary: role == Some("primary"),
        })
    }
}

impl Drop for DirectConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The servers of one group, looked at directly.
#[derive(Debug, Clone)]
pub struct GroupAccess {
    database: String,
    servers: Vec<ServerPlace>,
}

impl GroupAccess {
    /// Access to these servers of one database.
    pub fn new(database: &str, servers: Vec<ServerPlace>) -> Self {
        GroupAccess {
            database: database.to_owned(),
            servers,
        }
    }

    /// The status of each server; none where it cannot be asked.
    pub async fn statuses(&self) -> Vec<Option<DirectStatus>> {
        let asked = self.servers.iter().map(|server| async {
            let connection = DirectConnection::open(server.postgres, &self.database).await;
            connection.ok()?.status().await.ok()
        });
        join_all(asked).await
    }

    /// The primary of the newest term known and that term; none while there is none.
    pub async fn primary(&self) -> Option<(ServerPlace, u64)> {
        let statuses = self.statuses().await;
        let newest = statuses.iter().flatten().map(|status| status.vote_term);
        let newest = newest.max()?;
        let index = statuses.iter().position(|status| {
            status
                .as_ref()
                .is_some_and(|status| status.is_primary && status.vote_term == newest)
        });
        Some((self.servers[index?].clone(), newest))
    }

    /// Waits for a primary.
    ///
    /// # Errors
    ///
    /// When the group elects none in time.
    pub async fn wait_for_primary(&self) -> Result<(ServerPlace, u64), Report<DirectError>> {
        let deadline = Instant::now() + GROUP_PATIENCE;
        while Instant::now() < deadline {
            if let Some(primary) = self.primary().await {
                return Ok(primary);
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        let doing = format!("find a primary of {}", self.database);
        Err(Report::new(failure(doing)))
    }

    /// Waits until a server is primary in a term after `term`, and gives the moment at which
    /// that was seen; none when it is not within the patience for groups.
    pub async fn wait_for_term_after(&self, term: u64) -> Option<Instant> {
        let looks = self
            .servers
            .iter()
            .map(|server| Box::pin(watch_server(server.postgres, &self.database, term)));
        let first = select_all(looks);
        let seen = tokio::time::timeout(GROUP_PATIENCE, first).await;
        seen.ok().map(|(moment, ..)| moment)
    }

    /// Waits until all servers hold and show the same log.
    ///
    /// # Errors
    ///
    /// When they do not in time.
    pub async fn wait_until_level(&self) -> Result<(), Report<DirectError>> {
        let deadline = Instant::now() + GROUP_PATIENCE;
        while Instant::now() < deadline {
            if is_level(&self.statuses().await) {
                return Ok(());
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        let doing = format!("see the servers of {} agree", self.database);
        Err(Report::new(failure(doing)))
    }
}

fn is_level(statuses: &[Option<DirectStatus>]) -> bool {
    let primaries = statuses.iter().flatten().filter(|status| status.is_primary);
    let Some(Some(first)) = statuses.first() else {
        return false;
    };
    let same = statuses.iter().all(|status| {
        status.as_ref().is_some_and(|status| {
            status.received_term == first.received_term
                && status.received_offset == first.received_offset
                && status.applied_offset == first.received_offset
        })
    });
    same && primaries.count() == 1
}

/// Looks at one server until it is primary in a term after `term`.
async fn watch_server(address: SocketAddr, database: &str, term: u64) -> Instant {
    loop {
        if let Ok(connection) = DirectConnection::open(address, database).await {
            while let Ok(status) = connection.status().await {
                if status.is_primary && status.received_term > term {
                    return Instant::now();
                }
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
