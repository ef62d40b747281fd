//! The failover gap of each lost primary, and their medians.

use std::time::Duration;

use super::FailoverReport;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What was measured after the loss of one primary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailoverSample {
    /// From the loss until the first write accepted afterwards.
    pub gap: Option<Duration>,
    /// From the loss until the new primary had opened its term.
    pub election: Option<Duration>,
}

impl FailoverSample {
    /// The gap without the election.
    fn detection(&self) -> Option<Duration> {
        Some(self.gap?.saturating_sub(self.election?))
    }
}

impl FailoverReport {
    /// The medians of all samples.
    pub fn of(samples: &[FailoverSample]) -> Self {
        FailoverReport {
            gap_ms: median(samples.iter().filter_map(|sample| sample.gap)),
            election_ms: median(samples.iter().filter_map(|sample| sample.election)),
            detection_ms: median(samples.iter().filter_map(FailoverSample::detection)),
        }
    }
}

/// The lower median in milliseconds; none without a value.
fn median(values: impl Iterator<Item = Duration>) -> Option<f64> {
    let mut values: Vec<Duration> = values.collect();
    values.sort_unstable();
    let middle = values.len().checked_sub(1)? / 2;
    Some(values[middle].as_secs_f64() * MILLIS_PER_SECOND)
}
