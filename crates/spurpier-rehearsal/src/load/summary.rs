//! What a load run counted.

use std::collections::BTreeMap;

use super::session::RequestResult;
use crate::oracle::Outcome;
use crate::report::{LatencyRecorder, LatencyReport, ReadCounts, RequestCounts};

/// Counts and latencies of a load run.
#[derive(Debug, Clone, Default)]
pub struct LoadSummary {
    /// Requests by outcome.
    pub requests: RequestCounts,
    /// Reads by the kind of server.
    pub reads: ReadCounts,
    /// Latencies of reads that were answered.
    pub read_latency: LatencyRecorder,
    /// Latencies of writes that were answered.
    pub write_latency: LatencyRecorder,
    /// Failed attempts by their code; a request may have several.
    pub failed_attempts: BTreeMap<String, u64>,
}

impl LoadSummary {
    /// Adds one request.
    pub fn add(&mut self, result: &RequestResult) {
        for code in &result.failure_codes {
            *self.failed_attempts.entry(code.clone()).or_insert(0) += 1;
        }
        match result.outcome {
            Outcome::Done => self.add_done(result),
            Outcome::NotRun => self.requests.not_run += 1,
            Outcome::Unknown => self.requests.unknown += 1,
        }
    }

    fn add_done(&mut self, result: &RequestResult) {
        self.requests.done += 1;
        if !result.kind.is_read() {
            self.write_latency.record(result.latency);
            return;
        }
        self.read_latency.record(result.latency);
        self.reads.total += 1;
        if result.by_replica == Some(true) {
            self.reads.replica += 1;
        }
    }

    /// The latencies for a report.
    pub fn latency(&self) -> LatencyReport {
        LatencyReport {
            read: self.read_latency.quantiles(),
            write: self.write_latency.quantiles(),
        }
    }
}
