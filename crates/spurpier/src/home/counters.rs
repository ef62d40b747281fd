//! Counts of what the home does.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper ends of the latency classes, in microseconds; longer ones fall in a last class.
pub const LATENCY_CLASS_MICROS: [u64; 10] = [
    100, 250, 500, 1_000, 2_500, 5_000, 10_000, 50_000, 250_000, 1_000_000,
];

/// Latencies, counted by class.
#[derive(Debug, Default)]
pub struct LatencyCounter {
    classes: [AtomicU64; LATENCY_CLASS_MICROS.len() + 1],
    count: AtomicU64,
    sum_micros: AtomicU64,
}

impl LatencyCounter {
    /// Counts one latency.
    pub fn record(&self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let class = LATENCY_CLASS_MICROS.partition_point(|end| *end < micros);
        self.classes[class].fetch_add(1, Ordering::Relaxed);
        self.count.fetch_add(1, Ordering::Relaxed);
        self.sum_micros.fetch_add(micros, Ordering::Relaxed);
    }

    /// How many were counted.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Their sum in microseconds.
    pub fn sum_micros(&self) -> u64 {
        self.sum_micros.load(Ordering::Relaxed)
    }

    /// The counts by class, in the order of [`LATENCY_CLASS_MICROS`], then the longer ones.
    pub fn classes(&self) -> Vec<u64> {
        let load = |class: &AtomicU64| class.load(Ordering::Relaxed);
        self.classes.iter().map(load).collect()
    }
}

/// Counts of all units of a node.
#[derive(Debug, Default)]
pub struct HomeCounters {
    /// Units that were opened.
    pub units: AtomicU64,
    /// Units that completed.
    pub completed: AtomicU64,
    /// Units that did not run.
    pub not_run: AtomicU64,
    /// Units that ran, but whose answer could not be given.
    pub done: AtomicU64,
    /// Units whose outcome is unknown.
    pub unknown: AtomicU64,
    /// Reads that the primary served.
    pub reads_on_primary: AtomicU64,
    /// Reads that a replica served.
    pub reads_on_replica: AtomicU64,
    /// Reads that were run again because a server failed or did not meet their floor.
    pub read_retries: AtomicU64,
    /// Attempts of writes after the first one.
    pub write_retries: AtomicU64,
    /// Answers that came from the record of an earlier copy.
    pub repeated_answers: AtomicU64,
    /// Cancel requests that were sent.
    pub cancels: AtomicU64,
    /// Rounds of probes that a unit asked for.
    pub probe_rounds: AtomicU64,
    /// Request keys that were removed because of their age.
    pub removed_request_keys: AtomicU64,
    /// How long commits waited for their confirmation.
    pub confirmation: LatencyCounter,
}

impl HomeCounters {
    /// Adds one to a count.
    pub(super) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
