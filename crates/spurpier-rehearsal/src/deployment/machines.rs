//! What a deployment asks of the machines that run its platform, servers and proxies.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use spurpier_core::identity::{DatabaseName, NodeName, ServerName, ZoneName};

/// A machine could not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineError {
    /// The machine.
    pub machine: String,
    /// What was asked.
    pub asked: &'static str,
}

impl MachineError {
    /// An error of `machine` at what was `asked`, as in "start".
    pub fn new(machine: impl Into<String>, asked: &'static str) -> Self {
        MachineError {
            machine: machine.into(),
            asked,
        }
    }
}

impl fmt::Display for MachineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "could not {} {}", self.asked, self.machine)
    }
}

impl std::error::Error for MachineError {}

/// The result of what was asked of a machine.
pub type MachineResult<T> = Result<T, Report<MachineError>>;

/// How the stand-in of the platform is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformPlan {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Calls a second that it takes; 0 is no limit.
    pub rate: u32,
    /// How long a change of the machine list stays unseen.
    pub list_lag: Duration,
}

/// Another server of a group, as reached from one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerPlan {
    /// Its name.
    pub name: ServerName,
    /// Its address, perhaps of a relay.
    pub address: SocketAddr,
}

/// How a database server is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerPlan {
    /// Its name, unique in the deployment.
    pub name: ServerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its database.
    pub database: DatabaseName,
    /// Where it listens for PostgreSQL clients.
    pub postgres: SocketAddr,
    /// Where it listens for the other servers.
    pub peer: SocketAddr,
    /// The other servers.
    pub peers: Vec<PeerPlan>,
    /// Statements that run at the same time.
    pub slots: u32,
    /// Client connections that are taken.
    pub connections: u32,
    /// What the start of a connection costs.
    pub connection_cost: Duration,
    /// The least silence of the primary before an election.
    pub election_timeout: Duration,
    /// The seed of the election timeouts.
    pub seed: u64,
}

/// How a proxy is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxyPlan {
    /// Its name, unique in the deployment.
    pub name: NodeName,
    /// Its settings file.
    pub settings: String,
    /// Where it listens for PostgreSQL clients.
    pub client: SocketAddr,
}

/// The machines of a deployment, by name: tasks of one process, or processes.
///
/// A started server or proxy that was killed or stopped may be started again by the same plan; a
/// server then has the log and vote that it had.
pub trait Machines: Send + Sync + 'static {
    /// Starts the platform; it listens when this returns.
    fn start_platform(&self, plan: &PlatformPlan)
    -> impl Future<Output = MachineResult<()>> + Send;

    /// Starts a database server; it listens when this returns.
    fn start_server(&self, plan: &ServerPlan) -> impl Future<Output = MachineResult<()>> + Send;

    /// Starts a proxy; it listens when this returns.
    fn start_proxy(&self, plan: &ProxyPlan) -> impl Future<Output = MachineResult<()>> + Send;

    /// Ends a server or proxy at once.
    fn kill(&self, name: &str) -> impl Future<Output = MachineResult<()>> + Send;

    /// Stops a server or proxy as planned and returns when it has ended.
    fn stop(&self, name: &str) -> impl Future<Output = MachineResult<()>> + Send;

    /// Pauses a server or proxy, unaware.
    fn freeze(&self, name: &str) -> impl Future<Output = MachineResult<()>> + Send;

    /// Ends a pause.
    fn thaw(&self, name: &str) -> impl Future<Output = MachineResult<()>> + Send;

    /// Ends all machines at once.
    fn end_all(&self) -> impl Future<Output = ()> + Send;
}
