//! Settings of a node in front of groups that an external service promotes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// All settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PipelineSettings {
    /// Identity and capacity of the node.
    pub node: NodeSettings,
    /// Addresses on which it listens.
    pub listen: ListenSettings,
    /// Control addresses of other nodes, used if the store is down at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Guarantees and requirements of the platform.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Simultaneous losses to tolerate.
    #[serde(default)]
    pub tolerance: ToleranceSettings,
}

/// Identity and capacity of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Its name, unique among running nodes.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Capacity relative to the other nodes: a node of twice the weight is a home of twice as many
    /// groups.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Bandwidth of its network link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Whether the whole system starts for the first time, so that no node is listed yet and
    /// none is waited for.
    #[serde(default)]
    pub first_start: bool,
}

fn default_weight() -> f64 {
    1.0
}

fn default_link_mbps() -> f64 {
    1_000.0
}

/// Addresses on which a node listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// Client connections.
    pub client: SocketAddr,
    /// The readiness endpoint.
    pub ready: SocketAddr,
    /// Messages of other nodes over UDP, and the units that they forward over TCP.
    pub internal: SocketAddr,
    /// Requests of nodes that start while the store is down, over TCP.
    pub control: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct PlatformSettings {
    /// Its metadata store.
    pub store: SocketAddr,
    /// Its promotion service.
    pub promotion: SocketAddr,
}

/// Guarantees and requirements of the platform.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// How long a leaving server may still receive work, in milliseconds.
    pub server_drain_ms: u64,
    /// Maximum time for a node to exit after SIGTERM, in milliseconds.
    pub grace_ms: u64,
    /// Maximum time until a new configuration is in force on all nodes, in milliseconds.
    pub configuration_apply_ms: u64,
    /// Length of the windows in which a tenant's operations are compared with its limit, in
    /// seconds.
    pub quota_window_s: f64,
    /// Fraction by which a tenant's operations may exceed its limit in such a window.
    pub quota_overage: f64,
    /// Operations by which they may exceed it in addition.
    pub quota_slack: f64,
    /// Maximum time after which nothing may arrive at the servers of an evacuated zone any more, in
    /// milliseconds; 0 if no such bound is agreed.
    pub evacuation_ms: u64,
    /// Factor by which requests at a cold server may exceed its rate within a second.
    pub cold_overage: f64,
    /// Requests by which they may exceed it in addition.
    pub cold_slack: f64,
}

/// What may be lost at the same time while all guarantees still hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(default)]
pub struct ToleranceSettings {
    /// Number of whole zones.
    pub zones: u32,
    /// Number of whole regions.
    pub regions: u32,
}

/// Evacuation bound that applies if none is agreed.
const DEFAULT_EVACUATION_BOUND: Duration = Duration::from_secs(5);

impl BoundSettings {
    /// Maximum time after which nothing may arrive at the servers of an evacuated zone any more;
    /// `None` if no bound is agreed.
    pub fn agreed_evacuation_bound(&self) -> Option<Duration> {
        (self.evacuation_ms > 0).then(|| Duration::from_millis(self.evacuation_ms))
    }

    /// As [`Self::agreed_evacuation_bound`], with a default of 5 s if none is agreed.
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
    /// Parses settings from TOML; unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// The first error in the text, with its position.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }
}
