//! The subcommand `spurpier-rehearsal database`: one server as a process of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use error_stack::{Report, ResultExt};
use spurpier_core::identity::{ServerName, ZoneName};
use tokio::signal::unix::{SignalKind, signal};

use super::config::{PeerAddress, ServerConfig};
use super::server::{DatabaseServer, ServerError};

/// Another server as given by a flag: `name=address`.
#[derive(Debug, Clone)]
struct PeerFlag(PeerAddress);

impl FromStr for PeerFlag {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, address) = text
            .split_once('=')
            .ok_or_else(|| format!("`{text}` is not of the form name=address"))?;
        let address = address
            .parse()
            .map_err(|_| format!("`{address}` is not an address"))?;
        Ok(PeerFlag(PeerAddress {
            name: ServerName::from(name),
            address,
        }))
    }
}

/// The flags of one database server.
#[derive(Debug, Clone, Bpaf)]
pub struct DatabaseOptions {
    /// The server's name, unique in its group
    #[bpaf(argument("NAME"))]
    name: String,
    /// The zone that the server stands in
    #[bpaf(argument("ZONE"), fallback("zone".to_owned()))]
    zone: String,
    /// Where to listen for PostgreSQL clients
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    listen: SocketAddr,
    /// Where to listen for the other servers of the group
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    peer_listen: SocketAddr,
    /// Another server of the group; give one for each
    #[bpaf(argument("NAME=ADDR"))]
    peer: Vec<PeerFlag>,
    /// Where to keep log and votes; in memory only if not given
    #[bpaf(argument("DIR"), optional)]
    data_dir: Option<PathBuf>,
    /// How many statements run at one time
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    slots: usize,
    /// How many client connections are taken
    #[bpaf(argument("N"), fallback(100), display_fallback)]
    connections: usize,
    /// How long the start of a connection takes, in milliseconds
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    connect_cost_ms: u64,
    /// The seed of the election timeouts
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    seed: u64,
    /// How long after its receipt a record is applied on a replica, in milliseconds
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    apply_delay_ms: u64,
    /// The least silence of the primary before an election, in milliseconds; the greatest is twice
    #[bpaf(argument("N"), fallback(150), display_fallback)]
    election_timeout_ms: u64,
    /// How long a leaving server must have been idle before it closes its connections
    #[bpaf(argument("N"), fallback(500), display_fallback)]
    leaving_grace_ms: u64,
}

impl DatabaseOptions {
    fn into_config(self) -> ServerConfig {
        ServerConfig {
            name: ServerName::from(self.name),
            zone: ZoneName::from(self.zone),
            listen: self.listen,
            peer_listen: self.peer_listen,
            group_size: self.peer.len() + 1,
            peers: self.peer.into_iter().map(|PeerFlag(peer)| peer).collect(),
            data_dir: self.data_dir,
            slots: self.slots,
            connections: self.connections,
            connect_cost: Duration::from_millis(self.connect_cost_ms),
            seed: self.seed,
            apply_delay: Duration::from_millis(self.apply_delay_ms),
            election_timeout: Duration::from_millis(self.election_timeout_ms),
            leaving_grace: Duration::from_millis(self.leaving_grace_ms),
        }
    }
}

/// Runs one server until it has stopped after a SIGTERM.
pub async fn run(options: DatabaseOptions) -> Result<(), Report<ServerError>> {
    let config = options.into_config();
    let failure = ServerError {
        name: config.name.clone(),
    };
    let mut terminate = signal(SignalKind::terminate()).change_context(failure)?;
    let server = DatabaseServer::start(config).await?;
    println!(
        "ready postgres={} peer={}",
        server.postgres_address(),
        server.peer_address()
    );
    tokio::select! {
        _ = terminate.recv() => server.stop().await,
        () = server.ended() => {}
    }
    Ok(())
}
