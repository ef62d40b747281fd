//! The report of a run: what was asked, what was measured and which guarantees were violated.

mod failover;
mod latency;
mod text;
mod violations;

pub use failover::FailoverSample;
pub use latency::{LatencyQuantiles, LatencyRecorder};
pub use violations::ViolationCounts;

use std::collections::BTreeMap;

use serde::Serialize;

/// How many requests ended in each of the three outcomes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RequestCounts {
    /// Requests that ran and were answered.
    pub done: u64,
    /// Requests given up by the client after it was told that they had no effect.
    pub not_run: u64,
    /// Requests whose outcome the client could not learn.
    pub unknown: u64,
}

/// How many reads were answered, and by what kind of server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ReadCounts {
    /// All reads that were answered.
    pub total: u64,
    /// Reads that a replica answered.
    pub replica: u64,
}

impl ReadCounts {
    /// The share of the reads that replicas answered; none without a read.
    pub fn replica_share(&self) -> Option<f64> {
        (self.total > 0).then(|| self.replica as f64 / self.total as f64)
    }
}

/// How long writes could not be accepted after the loss of a primary, in milliseconds.
///
/// All fields are none when no primary was lost, or when no write was accepted afterwards. With
/// several losses, each field is the median over the losses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct FailoverReport {
    /// From the loss until the first write accepted afterwards, as the clients saw it.
    pub gap_ms: Option<f64>,
    /// The group's own part: from the loss until the new primary opened its term.
    pub election_ms: Option<f64>,
    /// The rest of the gap: detection by the proxies and the way of the first write.
    pub detection_ms: Option<f64>,
}

/// Latencies that the clients measured, from the first attempt to the final answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Of reads.
    pub read: LatencyQuantiles,
    /// Of writes.
    pub write: LatencyQuantiles,
}

/// The report of one `run` or `torture`; its JSON form is a stable interface.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The name of the deployment.
    pub deployment: String,
    /// The seed of the load and the faults.
    pub seed: u64,
    /// How long the load ran, in seconds.
    pub seconds: f64,
    /// Requests by outcome.
    pub requests: RequestCounts,
    /// Reads by the kind of server.
    pub reads: ReadCounts,
    /// The share of the reads that replicas answered; none without a read.
    pub replica_read_share: Option<f64>,
    /// The failover gap and its parts.
    pub failover: FailoverReport,
    /// Latencies in milliseconds.
    pub latency_ms: LatencyReport,
    /// Violations by guarantee; all guarantees are listed.
    pub violations: ViolationCounts,
    /// How often each kind of fault truly struck; only in a torture report.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub faults: Option<BTreeMap<String, u64>>,
}

impl Report {
    /// Whether no guarantee was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.total() == 0
    }
}
