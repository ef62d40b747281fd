//! The node's settings as typed values, with their defaults.

pub mod check;
pub mod finding;
pub mod gateway_schema;
pub mod load;
mod relations;
pub mod schema;
pub mod template;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use spurpier_core::identity::{DatabaseName, NodeName, RegionName, ServerName, Side, ZoneName};

/// All settings of a node.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct Settings {
    /// Who the node is and where it stands.
    pub node: NodeSettings,
    /// Where it listens.
    #[serde(default)]
    pub listen: ListenSettings,
    /// How it reaches the platform.
    pub platform: PlatformSettings,
    /// Bounds on clients, statements, queues and times.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How it logs.
    #[serde(default)]
    pub log: LogSettings,
    /// How it finds and probes other nodes.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// How databases are spread over nodes.
    #[serde(default)]
    pub homes: HomeSettings,
    /// The databases that it serves.
    #[serde(default, rename = "database")]
    pub databases: Vec<DatabaseSettings>,
}

/// Who the node is and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct NodeSettings {
    /// The node's name, unique among living nodes.
    pub name: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// Where the node listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct ListenSettings {
    /// PostgreSQL clients (TCP).
    pub client: SocketAddr,
    /// The admin endpoint (HTTP).
    pub admin: SocketAddr,
    /// Work forwarded by other nodes (TCP).
    pub internal: SocketAddr,
    /// Membership and policy gossip (UDP).
    pub gossip: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        ListenSettings {
            client: loopback(6432),
            admin: loopback(6433),
            internal: loopback(6434),
            gossip: loopback(6435),
        }
    }
}

/// How the node reaches the platform.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct PlatformSettings {
    /// The base address of the platform's HTTP service.
    pub url: String,
    /// How often a watcher reads the policy head and the machine list, in milliseconds.
    #[serde(default = "PlatformSettings::default_poll_ms")]
    pub poll_ms: u64,
    /// How long one call may take, in milliseconds.
    #[serde(default = "PlatformSettings::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl PlatformSettings {
    fn default_poll_ms() -> u64 {
        500
    }

    fn default_timeout_ms() -> u64 {
        2_000
    }
}

/// Bounds on clients, statements, queues and times.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Client connections on this node.
    pub clients: usize,
    /// Bytes of one statement or front-end message.
    pub statement_bytes: usize,
    /// Units that may wait for one database.
    pub queue: usize,
    /// The longest wait of a unit before it is sent, in milliseconds; a policy may ask for less.
    pub queue_wait_ms: u32,
    /// The time for a client's start-up, in milliseconds.
    pub startup_ms: u64,
    /// The time that a client may stay idle outside a transaction, in milliseconds; 0 is no limit.
    pub idle_ms: u64,
    /// The time that a client may stay idle inside a transaction, in milliseconds.
    pub idle_in_transaction_ms: u64,
    /// The time for which a client that takes no bytes of its answer is kept, in milliseconds.
    pub slow_reader_ms: u64,
    /// Bytes of a keyed request's answer that are recorded for a repeat.
    pub recorded_answer_bytes: usize,
    /// The time for which request keys are kept, in seconds.
    pub request_key_seconds: u64,
    /// The time that a drain waits for work in flight, in milliseconds.
    pub drain_ms: u64,
    /// How long a commit's confirmation is awaited before its outcome is unknown, in milliseconds.
    pub confirm_ms: u64,
    /// How often a group's servers are probed while all is well, in milliseconds.
    pub probe_ms: u64,
    /// How often they are probed while in doubt, in milliseconds.
    pub probe_in_doubt_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            clients: 10_000,
            statement_bytes: 1 << 20,
            queue: 1_000,
            queue_wait_ms: 5_000,
            startup_ms: 10_000,
            idle_ms: 0,
            idle_in_transaction_ms: 60_000,
            slow_reader_ms: 30_000,
            recorded_answer_bytes: 65_536,
            request_key_seconds: 86_400,
            drain_ms: 30_000,
            confirm_ms: 5_000,
            probe_ms: 100,
            probe_in_doubt_ms: 20,
        }
    }
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Text,
}

/// How the node logs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct LogSettings {
    /// The form of the lines.
    pub format: LogFormat,
    /// The least level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            format: LogFormat::Json,
            level: "info".to_owned(),
        }
    }
}

/// Where a node is reached when its own announced address does not serve, as behind a relay.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct ReachSettings {
    /// The node.
    pub node: NodeName,
    /// Its gossip address as seen from here.
    pub gossip: SocketAddr,
    /// Its internal address as seen from here.
    pub internal: SocketAddr,
}

/// How the node finds and probes other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct MembershipSettings {
    /// Gossip addresses to join by; the platform's list is used as well.
    pub seeds: Vec<SocketAddr>,
    /// Addresses that replace the announced ones.
    pub reach: Vec<ReachSettings>,
    /// The time between two probes that this node sends, in milliseconds.
    pub probe_ms: u64,
    /// The time that a suspected node has to refute, in milliseconds.
    pub suspicion_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            seeds: Vec::new(),
            reach: Vec::new(),
            probe_ms: 1_000,
            suspicion_ms: 5_000,
        }
    }
}

/// How databases are spread over nodes.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct HomeSettings {
    /// Home nodes of a database in each zone; 0 makes every node a home of every database.
    pub per_zone: usize,
}

impl Default for HomeSettings {
    fn default() -> Self {
        HomeSettings { per_zone: 2 }
    }
}

/// One database.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct DatabaseSettings {
    /// The name that clients connect to.
    pub name: DatabaseName,
    /// Connections that all nodes together may hold to each server of the database.
    pub connections: u32,
    /// Units that one server runs at the same time.
    pub slots: u32,
    /// The user under which the node connects.
    #[serde(default = "DatabaseSettings::default_user")]
    pub user: String,
    /// The sides: one before any move, two during it.
    #[serde(rename = "side")]
    pub sides: Vec<SideSettings>,
}

impl DatabaseSettings {
    fn default_user() -> String {
        "spurpier".to_owned()
    }
}

/// One side of a database.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct SideSettings {
    /// Which side.
    pub side: Side,
    /// The servers of the group.
    #[serde(rename = "server")]
    pub servers: Vec<ServerSettings>,
}

/// One server of a group.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct ServerSettings {
    /// Its name, unique within the group.
    pub name: ServerName,
    /// Its PostgreSQL address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}
