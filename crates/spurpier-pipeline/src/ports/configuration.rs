//! The operator's configuration.

use std::time::Duration;

use spurpier_core::locality::AllowedRegions;

use super::tenant::Tenant;

/// How fresh a route's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessKind {
    /// They see every commit acknowledged before them.
    Latest,
    /// They lack at most commits that are younger than this.
    Bounded(Duration),
    /// As `Bounded`, and they see every commit of their own session.
    OwnWrites(Duration),
}

impl FreshnessKind {
    /// How old a missing commit may be; zero if none may be missing.
    pub const fn staleness(self) -> Duration {
        match self {
            FreshnessKind::Latest => Duration::ZERO,
            FreshnessKind::Bounded(staleness) | FreshnessKind::OwnWrites(staleness) => staleness,
        }
    }
}

/// Where the statements of one database go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The database that clients name.
    pub database: String,
    /// The group that serves it.
    pub group: String,
    /// How fresh its reads must be.
    pub freshness: FreshnessKind,
    /// How long one statement may take.
    pub timeout: Duration,
    /// Within what an operation should be answered.
    pub target: Duration,
    /// Whether it serves clients without a key.
    pub is_public: bool,
    /// Where its statements may run.
    pub allowed_regions: AllowedRegions,
}

/// What holds for one group.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupSettings {
    /// The group.
    pub name: String,
    /// Connections that each of its servers takes from all callers together.
    pub connections: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub synchronous_replicas: usize,
    /// Requests that one of its servers takes each second, from all nodes together, while it is
    /// cold; none if that is not bounded.
    pub cold_per_second: Option<f64>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Its version; a greater one is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All groups.
    pub groups: Vec<GroupSettings>,
    /// The tenants whose clients are served; none if clients are not told apart.
    pub tenants: Option<Vec<Tenant>>,
    /// How long an open transaction may rest before it may be ended.
    pub transaction_idle: Duration,
}
