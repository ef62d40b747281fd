//! The figures of a run.

use std::fmt::Write;

use serde::Serialize;

/// Times from the publication of a version until it was in force on a node, in seconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpreadTimes {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The greatest.
    pub max: f64,
}

/// Bytes a second on the wire, sent and received together.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ByteRates {
    /// The mean over the nodes.
    pub mean: f64,
    /// The 99th percentile of the nodes.
    pub p99: f64,
    /// The greatest.
    pub max: f64,
}

/// The figures of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HollowReport {
    /// Nodes at the start.
    pub nodes: usize,
    /// Databases.
    pub databases: usize,
    /// Times until a version was in force.
    pub policy_spread_s: SpreadTimes,
    /// Control bytes of a node.
    pub control_bytes_per_node_s: ByteRates,
    /// The part of one core that control takes on a node, on average.
    pub control_cpu_share_per_node: f64,
    /// The bytes of control state of a node, on average.
    pub control_memory_bytes_per_node: u64,
    /// Requests to the platform a second, on average.
    pub platform_requests_s: f64,
    /// Suspicions raised against nodes that ran and could be reached.
    pub false_suspicions: u64,
    /// Breaches of what must always hold.
    pub violations: u64,
    /// The most requests to the platform within one second.
    #[serde(skip)]
    pub platform_peak_requests: u64,
    /// The number of times that a view lost a member that lived.
    #[serde(skip)]
    pub removed_alive: u64,
    /// Further figures, for the text form alone.
    #[serde(skip)]
    pub details: Vec<String>,
}

impl HollowReport {
    /// The report as one JSON object.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("numbers and names have a JSON form")
    }

    /// The report for people.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let spread = &self.policy_spread_s;
        let bytes = &self.control_bytes_per_node_s;
        // Writing to a String does not fail.
        let _ = writeln!(text, "nodes {}, databases {}", self.nodes, self.databases);
        let _ = writeln!(
            text,
            "in force after: p50 {:.3} s, p99 {:.3} s, max {:.3} s",
            spread.p50, spread.p99, spread.max
        );
        let _ = writeln!(
            text,
            "bytes per node and second: mean {:.0}, p99 {:.0}, max {:.0}",
            bytes.mean, bytes.p99, bytes.max
        );
        let _ = writeln!(
            text,
            "processor: {:.4} % of a core per node; memory: {} bytes per node",
            self.control_cpu_share_per_node * 100.0,
            self.control_memory_bytes_per_node
        );
        let _ = writeln!(
            text,
            "platform: {:.1} requests a second; false suspicions {}; violations {}",
            self.platform_requests_s, self.false_suspicions, self.violations
        );
        for detail in &self.details {
            let _ = writeln!(text, "{detail}");
        }
        text
    }
}
