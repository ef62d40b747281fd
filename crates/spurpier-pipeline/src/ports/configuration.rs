//! The operator's configuration.

use std::time::Duration;

use spurpier_core::locality::AllowedRegions;

use super::tenant::Tenant;

/// How fresh a route's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessKind {
    /// Reads see every commit that was acknowledged before they started.
    Latest,
    /// Reads may miss only commits younger than this staleness bound.
    Bounded(Duration),
    /// As `Bounded`, and reads also see every commit of their own session.
    OwnWrites(Duration),
}

impl FreshnessKind {
    /// The maximum age of a commit that a read may miss; zero if it may miss none.
    pub const fn staleness(self) -> Duration {
        match self {
            FreshnessKind::Latest => Duration::ZERO,
            FreshnessKind::Bounded(staleness) | FreshnessKind::OwnWrites(staleness) => staleness,
        }
    }
}

/// How the statements of one database are routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The database name that clients connect to.
    pub database: String,
    /// The replication group that serves the database.
    pub group: String,
    /// The freshness that its reads require.
    pub freshness: FreshnessKind,
    /// Maximum duration of one statement.
    pub timeout: Duration,
    /// Target latency of an operation, from which the maximum wait for a server is derived; zero
    /// if there is no target.
    pub target: Duration,
    /// Whether clients without an API key are served.
    pub is_public: bool,
    /// The regions in which its statements may run.
    pub allowed_regions: AllowedRegions,
}

/// Settings of one replication group.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupSettings {
    /// The group's name.
    pub name: String,
    /// Maximum connections that each of its servers accepts from all callers together.
    pub connections: usize,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub synchronous_replicas: usize,
    /// Maximum requests per second that a cold server accepts from all nodes together; `None` if
    /// unlimited.
    pub cold_per_second: Option<f64>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The version number; a higher number is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All groups.
    pub groups: Vec<GroupSettings>,
    /// The tenants whose clients are served; `None` if clients are not assigned to tenants.
    pub tenants: Option<Vec<Tenant>>,
    /// How long an open transaction may stay idle before the proxy may end it.
    pub transaction_idle: Duration,
}
