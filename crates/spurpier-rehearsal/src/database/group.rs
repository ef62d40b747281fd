//! A whole group in one process, for tests and rehearsals.

use std::time::Duration;

use error_stack::Report;
use spurpier_core::group::ServerRole;

use super::config::{PeerAddress, ServerConfig};
use super::server::{DatabaseServer, RunningServer, ServerError};

/// How often the group is looked at while a condition is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The servers of one group, each a set of tasks of this process.
#[derive(Debug)]
pub struct DatabaseGroup {
    /// The servers, in the order of their configurations.
    pub servers: Vec<RunningServer>,
}

impl DatabaseGroup {
    /// Starts a server for each configuration and makes them known to each other.
    pub async fn start(configs: Vec<ServerConfig>) -> Result<Self, Report<ServerError>> {
        let group_size = configs.len();
        let mut servers = Vec::with_capacity(group_size);
        for config in configs {
            let config = ServerConfig {
                group_size,
                ..config
            };
            servers.push(DatabaseServer::start(config).await?);
        }
        let group = DatabaseGroup { servers };
        group.connect_peers();
        Ok(group)
    }

    /// Gives each server the direct addresses of the others.
    pub fn connect_peers(&self) {
        for server in &self.servers {
            let others = self
                .servers
                .iter()
                .filter(|other| other.name() != server.name());
            let peers = others.map(|other| PeerAddress {
                name: other.name(),
                address: other.peer_address(),
            });
            server.set_peers(peers.collect());
        }
    }

    /// The index of the primary of the newest term that any server knows.
    pub fn primary(&self) -> Option<usize> {
        let statuses: Vec<_> = self.servers.iter().map(RunningServer::status).collect();
        let newest = statuses.iter().map(|status| status.vote_term).max()?;
        statuses
            .iter()
            .position(|status| status.role == ServerRole::Primary && status.vote_term == newest)
    }

    /// Waits until a primary takes writes and gives its index.
    pub async fn wait_for_primary(&self) -> usize {
        loop {
            if let Some(primary) = self.primary() {
                return primary;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until all servers show the same log.
    pub async fn wait_until_level(&self) {
        loop {
            let statuses: Vec<_> = self.servers.iter().map(RunningServer::status).collect();
            let first = statuses.first().map(|status| status.received);
            let level = statuses
                .iter()
                .all(|status| Some(status.received) == first && Some(status.applied) == first);
            if level {
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Ends all servers at once.
    pub fn kill(&self) {
        for server in &self.servers {
            server.kill();
        }
    }
}

impl Drop for DatabaseGroup {
    fn drop(&mut self) {
        self.kill();
    }
}
