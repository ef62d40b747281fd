//! Scenarios: rates, latencies and faults with their times, read from TOML.

use std::fmt;
use std::path::Path;

use error_stack::{Report, ResultExt};
use serde::Deserialize;

/// A scenario that cannot be read.
#[derive(Debug)]
pub struct ScenarioError {
    /// The file.
    pub path: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the scenario {} cannot be used", self.path)
    }
}

impl std::error::Error for ScenarioError {}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// A zone and all others lose each other.
    ZoneCut {
        /// The zone's number, from 0.
        zone: usize,
        /// Whether the zone loses the platform too.
        #[serde(default)]
        platform: bool,
    },
    /// Messages from one zone to another are lost; the other way works.
    OneWayCut {
        /// The number of the zone that sends.
        from: usize,
        /// The number of the zone that does not receive.
        to: usize,
    },
    /// The two regions lose each other.
    RegionCut {
        /// Whether the second region loses the platform too.
        #[serde(default)]
        platform: bool,
    },
    /// Some nodes do not run, and go on afterwards.
    Freeze {
        /// How many nodes.
        nodes: usize,
    },
    /// Some machines of one zone stop at once and for good.
    RackLoss {
        /// The zone's number, from 0.
        zone: usize,
        /// How many machines.
        nodes: usize,
    },
    /// All machines of a zone stop at once; new ones start when the fault ends.
    ZoneLoss {
        /// The zone's number, from 0.
        zone: usize,
    },
    /// The platform answers 503.
    PlatformDown,
    /// The platform answers late.
    PlatformSlow {
        /// The time that an answer takes, in milliseconds.
        delay_ms: u64,
    },
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct PlannedFault {
    /// When it begins, in virtual seconds of the measured time.
    pub at_s: u64,
    /// How long it lasts, in seconds.
    pub for_s: u64,
    /// What it is.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// One-way latencies, in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Latencies {
    /// Within a zone.
    pub own_zone_us: u64,
    /// Between zones of a region.
    pub own_region_us: u64,
    /// Between regions.
    pub other_region_us: u64,
    /// Of the platform, for a request and its answer together.
    pub platform_us: u64,
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies {
            own_zone_us: 250,
            own_region_us: 1_500,
            other_region_us: 20_000,
            platform_us: 8_000,
        }
    }
}

/// How often homes probe the servers of their databases; a model adds the bytes of it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupProbingRates {
    /// Whether every home probes, or the first-ranked home alone, which passes its view on.
    pub every_home: bool,
    /// The least time between two probes of a server while nothing is in doubt, in milliseconds.
    pub probe_interval_ms: u64,
    /// Bytes a second that a node may spend on probes: above it probes come less often.
    pub probe_budget: usize,
    /// The least time between two copies of an unchanged view to another home, in milliseconds.
    pub view_interval_ms: u64,
    /// Bytes a second that a node may spend on sending views.
    pub view_budget: usize,
}

impl Default for GroupProbingRates {
    fn default() -> Self {
        GroupProbingRates {
            every_home: false,
            probe_interval_ms: 100,
            probe_budget: 1_200,
            view_interval_ms: 1_000,
            view_budget: 600,
        }
    }
}

/// How the hollow nodes run.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Virtual seconds that are measured.
    pub seconds: u64,
    /// Virtual seconds before the measurement, for the first rounds.
    pub warm_up_s: u64,
    /// Virtual seconds after it, without changes, after which all views must agree.
    pub settle_s: u64,
    /// Configuration changes each day.
    pub changes_per_day: f64,
    /// Nodes replaced as planned each day.
    pub replacements_per_day: f64,
    /// Machines that fail without a word each day; each is replaced a minute later.
    pub failures_per_day: f64,
    /// Datagrams lost, of a million.
    pub loss_per_million: u32,
    /// Latencies.
    pub latency: Latencies,
    /// Probes of the databases' servers.
    pub group_probing: GroupProbingRates,
    /// Faults.
    #[serde(rename = "fault")]
    pub faults: Vec<PlannedFault>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seconds: 60,
            warm_up_s: 10,
            settle_s: 30,
            changes_per_day: 36_000.0,
            replacements_per_day: 2_200.0,
            failures_per_day: 16.0,
            loss_per_million: 1_000,
            latency: Latencies::default(),
            group_probing: GroupProbingRates::default(),
            faults: Vec::new(),
        }
    }
}

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is no valid scenario.
    pub fn read(path: &Path) -> Result<Scenario, Report<ScenarioError>> {
        let error = || ScenarioError {
            path: path.display().to_string(),
        };
        let text = std::fs::read_to_string(path).change_context_lazy(error)?;
        toml::from_str(&text).change_context_lazy(error)
    }
}
