//! The users' deployments as settings: zones, latencies, sizes and load.

use std::time::Duration;

use serde::Deserialize;
use spurpier_core::identity::{DatabaseName, RegionName, ZoneName};

const PUZZELBOND: &str = include_str!("../../deployments/puzzelbond.toml");
const KUSGOZU: &str = include_str!("../../deployments/kusgozu.toml");

/// A deployment that the kit brings along.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownDeployment {
    /// Puzzelbond Member Exchange.
    Puzzelbond,
    /// Kuşgözü.
    Kusgozu,
}

impl KnownDeployment {
    /// All deployments.
    pub const ALL: [KnownDeployment; 2] = [KnownDeployment::Puzzelbond, KnownDeployment::Kusgozu];

    /// Its name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            KnownDeployment::Puzzelbond => "puzzelbond",
            KnownDeployment::Kusgozu => "kusgozu",
        }
    }

    /// Its settings file.
    pub const fn text(self) -> &'static str {
        match self {
            KnownDeployment::Puzzelbond => PUZZELBOND,
            KnownDeployment::Kusgozu => KUSGOZU,
        }
    }

    /// Its settings.
    ///
    /// # Errors
    ///
    /// The file's first error with line and column; the embedded files have none.
    pub fn settings(self) -> Result<DeploymentSettings, toml::de::Error> {
        toml::from_str(self.text())
    }
}

impl std::str::FromStr for KnownDeployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = KnownDeployment::ALL
            .into_iter()
            .find(|deployment| deployment.name() == text);
        found.ok_or_else(|| format!("`{text}` is neither puzzelbond nor kusgozu"))
    }
}

/// One deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSettings {
    /// Its name.
    pub name: String,
    /// How the measures weigh for its users.
    pub weights: Weights,
    /// One-way latencies.
    pub latency_ms: LatencySettings,
    /// Its zones.
    #[serde(rename = "zone")]
    pub zones: Vec<ZoneSettings>,
    /// Its databases.
    pub databases: DatabaseSizes,
    /// Its proxies.
    pub proxies: ProxySizes,
    /// The load of its users.
    pub load: LoadSettings,
}

/// How the two measures weigh for the users; the weights add up to 1.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// The share of reads that replicas serve.
    pub replica_read_share: f64,
    /// How long writes cannot be accepted after a primary is lost.
    pub failover_gap: f64,
}

/// One-way latencies in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencySettings {
    /// Between two zones of one region.
    pub between_zones: f64,
    /// Between zones of different regions.
    pub between_regions: f64,
    /// Between a client and a proxy.
    pub to_clients: f64,
}

/// One zone.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSettings {
    /// Its name.
    pub name: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// What every database of a deployment has.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatabaseSizes {
    /// The databases' names.
    pub names: Vec<DatabaseName>,
    /// Statements that one server runs at the same time.
    pub slots: u32,
    /// Connections that one server takes.
    pub connections: u32,
    /// What opening a connection costs, in milliseconds.
    pub connection_cost_ms: u64,
}

/// How many proxies run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySizes {
    /// In each zone.
    pub per_zone: usize,
}

/// The load of a deployment's users.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Client sessions that live at the same time.
    pub sessions: usize,
    /// Requests that arrive each second over all sessions, whether or not earlier ones ended.
    pub requests_per_second: f64,
    /// The chance that a session goes on at another proxy after a request.
    pub roam_share: f64,
    /// How long a client goes on retrying a request that is not run, in milliseconds.
    pub retry_for_ms: u64,
    /// How often each kind of request occurs.
    pub mix: Mix,
}

/// How often each kind of request occurs, relative to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Reads that may lag: the catalogue, the atlas.
    pub browse: u32,
    /// Reads of the session's own writes.
    pub read_own: u32,
    /// Reads that must be current: stock counts, surveys.
    pub read_fresh: u32,
    /// Writes with a request key.
    pub keyed_write: u32,
    /// Writes without a request key.
    pub unkeyed_write: u32,
    /// Transactions of several statements.
    pub transaction: u32,
    /// Updates of a record that others read fresh.
    pub update: u32,
}

impl DeploymentSettings {
    /// The one-way latency between two zones.
    pub fn latency_between(&self, from: &ZoneName, to: &ZoneName) -> Duration {
        let milliseconds = if from == to {
            0.0
        } else if self.region_of(from) == self.region_of(to) {
            self.latency_ms.between_zones
        } else {
            self.latency_ms.between_regions
        };
        milliseconds_to_duration(milliseconds)
    }

    /// The one-way latency between two zones of one region.
    pub fn zone_latency(&self) -> Duration {
        milliseconds_to_duration(self.latency_ms.between_zones)
    }

    /// The one-way latency between a client and a proxy.
    pub fn client_latency(&self) -> Duration {
        milliseconds_to_duration(self.latency_ms.to_clients)
    }

    /// The region of a zone; a zone that is not of the deployment is a region of its own.
    pub fn region_of(&self, zone: &ZoneName) -> RegionName {
        let known = self.zones.iter().find(|settings| settings.name == *zone);
        known.map_or_else(
            || RegionName::from(zone.as_str()),
            |settings| settings.region.clone(),
        )
    }
}

fn milliseconds_to_duration(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1_000.0)
}
