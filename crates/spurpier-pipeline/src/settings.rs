//! The settings of a node before groups that are promoted from outside.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// All settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PipelineSettings {
    /// The node.
    pub node: NodeSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Control addresses of other nodes, asked if the store is down at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// What the platform promises and asks for.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What may be lost at once.
    #[serde(default)]
    pub tolerance: ToleranceSettings,
}

/// The node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Its name, unique among living nodes.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// How much it can do beside the other nodes: a node of twice the weight is home of twice as
    /// many groups.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// How much its link takes, in megabits a second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Whether the whole system starts for the first time, so that no node is listed yet.
    #[serde(default)]
    pub first_start: bool,
}

fn default_weight() -> f64 {
    1.0
}

fn default_link_mbps() -> f64 {
    1_000.0
}

/// Where a node listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// Clients.
    pub client: SocketAddr,
    /// The readiness endpoint.
    pub ready: SocketAddr,
    /// Messages of other nodes over UDP, and the units that they forward over TCP.
    pub internal: SocketAddr,
    /// Questions of nodes that start while the store is down, over TCP.
    pub control: SocketAddr,
}

/// Where the platform is.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct PlatformSettings {
    /// Its metadata store.
    pub store: SocketAddr,
    /// Its promotion service.
    pub promotion: SocketAddr,
}

/// What the platform promises and asks for.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// How long a server that leaves may still be given work, in milliseconds.
    pub server_drain_ms: u64,
    /// How long a node may take to end after SIGTERM, in milliseconds.
    pub grace_ms: u64,
    /// Within what a new configuration must be in force everywhere, in milliseconds.
    pub configuration_apply_ms: u64,
    /// The length of the spans in which a tenant's operations are judged, in seconds.
    pub quota_window_s: f64,
    /// The part by which a tenant's operations may exceed its limit in such a span.
    pub quota_overage: f64,
    /// Operations by which they may exceed it besides.
    pub quota_slack: f64,
    /// Within what nothing more may arrive at the servers of an evacuated zone, in milliseconds; 0
    /// if no such bound was agreed.
    pub evacuation_ms: u64,
    /// The factor by which requests at a cold server may exceed its rate within a second.
    pub cold_overage: f64,
    /// Requests by which they may exceed it besides.
    pub cold_slack: f64,
}

/// What may be lost at once with everything still kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(default)]
pub struct ToleranceSettings {
    /// Whole zones.
    pub zones: u32,
    /// Whole regions.
    pub regions: u32,
}

/// The bound of an evacuation where none was agreed.
const DEFAULT_EVACUATION_BOUND: Duration = Duration::from_secs(5);

impl BoundSettings {
    /// Within what nothing more may arrive at the servers of an evacuated zone, if that was agreed.
    pub fn agreed_evacuation_bound(&self) -> Option<Duration> {
        (self.evacuation_ms > 0).then(|| Duration::from_millis(self.evacuation_ms))
    }

    /// As [`Self::agreed_evacuation_bound`], and what is kept to all the same where none was.
    pub fn evacuation_bound(&self) -> Duration {
        let agreed = self.agreed_evacuation_bound();
        agreed.unwrap_or(DEFAULT_EVACUATION_BOUND)
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        BoundSettings {
            server_drain_ms: 7_000,
            grace_ms: 6_000,
            configuration_apply_ms: 3_000,
            quota_window_s: 5.0,
            quota_overage: 0.1,
            quota_slack: 20.0,
            evacuation_ms: 0,
            cold_overage: 1.0,
            cold_slack: 0.0,
        }
    }
}

impl PipelineSettings {
    /// Reads the settings of a TOML text; keys that are not known are passed over.
    ///
    /// # Errors
    ///
    /// The first fault of the text, with its place.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }
}
