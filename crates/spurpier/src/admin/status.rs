//! The status of a node as `/status` and `spurpier status` give it.

use serde::{Deserialize, Serialize};

/// What a node tells of itself and of what it sees.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// The program's version.
    pub version: String,
    /// Seconds since the node started.
    pub uptime_s: u64,
    /// Whether the node is stopping and takes no new work.
    pub draining: bool,
    /// The policy in force on the node; none before it has learnt one.
    pub policy: Option<PolicyStatus>,
    /// The database groups, in the order of the settings.
    pub groups: Vec<GroupStatus>,
    /// Client sessions connected now.
    pub sessions: u64,
    /// The nodes that this node sees, itself included.
    pub members: Vec<MemberStatus>,
    /// Databases that are moving from one side to the other.
    pub moves: Vec<MoveStatus>,
}

/// The policy in force on a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyStatus {
    /// Its version.
    pub version: u64,
    /// Milliseconds since the node learnt that it is in force.
    pub age_ms: u64,
}

/// One database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group as `database.side`.
    pub group: String,
    /// The newest term known; 0 before any server has answered.
    pub term: u64,
    /// The server that takes writes; none while the group elects one.
    pub primary: Option<String>,
    /// Its servers, in the order of the settings.
    pub servers: Vec<ServerReport>,
    /// This node's connections to the group.
    pub pool: PoolStatus,
}

/// One server of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The role that it last reported: `primary`, `replica` or `unknown`.
    pub role: String,
    /// How far it is behind the group, in milliseconds; none before its first answer.
    pub lag_ms: Option<u64>,
    /// Whether the last probe got an answer.
    pub reachable: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A node's connections to one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Connections that run a request.
    pub in_use: u64,
    /// Connections that wait for one.
    pub idle: u64,
    /// Requests that wait for a connection or slot.
    pub waiting: u64,
}

/// A node as another node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Its state: `alive`, `suspected`, `leaving`, `dead` or `left`.
    pub state: String,
}

/// A database that moves from one side to the other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// The database.
    pub database: String,
    /// The policy version that asks for the move.
    pub epoch: u64,
    /// The step that the move has reached.
    pub step: String,
}

/// A part of a node that adds what it knows to the status.
pub trait StatusSource: Send + Sync + 'static {
    /// Adds this part's knowledge; returns at once and does no input or output.
    fn contribute(&self, report: &mut StatusReport);
}
