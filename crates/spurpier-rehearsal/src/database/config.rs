//! What one database server is started with.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use spurpier_core::identity::{ServerName, ZoneName};

const DEFAULT_GROUP_SIZE: usize = 3;
const DEFAULT_SLOTS: usize = 10;
const DEFAULT_CONNECTIONS: usize = 100;
const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(150);
const DEFAULT_LEAVING_GRACE: Duration = Duration::from_millis(500);

/// Another server of the group and where its replication port is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// The other server's name.
    pub name: ServerName,
    /// The address to call; it may be a relay.
    pub address: SocketAddr,
}

/// The settings of one server.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// The server's name, unique in its group.
    pub name: ServerName,
    /// The zone that it stands in.
    pub zone: ZoneName,
    /// Where to listen for PostgreSQL clients.
    pub listen: SocketAddr,
    /// Where to listen for the other servers of the group.
    pub peer_listen: SocketAddr,
    /// The other servers; may be given later by `set_peers`.
    pub peers: Vec<PeerAddress>,
    /// How many servers the group has, this one included; a majority is counted from it.
    pub group_size: usize,
    /// Where log and votes are kept; in memory only if none.
    pub data_dir: Option<PathBuf>,
    /// How many statements run at one time.
    pub slots: usize,
    /// How many client connections are taken.
    pub connections: usize,
    /// How long the start of a connection takes.
    pub connect_cost: Duration,
    /// The seed of the election timeouts.
    pub seed: u64,
    /// How long after its receipt a record is applied on a replica.
    pub apply_delay: Duration,
    /// The least time without a word from the primary before an election; the greatest is twice it.
    pub election_timeout: Duration,
    /// For how long a leaving server must have been idle before it closes its connections.
    pub leaving_grace: Duration,
}

impl ServerConfig {
    /// A configuration with the defaults, listening on free loopback ports.
    pub fn new(name: &str, zone: &str) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        ServerConfig {
            name: ServerName::from(name),
            zone: ZoneName::from(zone),
            listen: any_port,
            peer_listen: any_port,
            peers: Vec::new(),
            group_size: DEFAULT_GROUP_SIZE,
            data_dir: None,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            connect_cost: Duration::ZERO,
            seed: 0,
            apply_delay: Duration::ZERO,
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
            leaving_grace: DEFAULT_LEAVING_GRACE,
        }
    }
}
