//! Latency histograms and the quantiles that a report gives.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant decimal digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest latency that is told apart from longer ones: one hour.
const LONGEST_MICROS: u64 = 3_600_000_000;
/// The median, as a fraction.
const MEDIAN: f64 = 0.50;
/// The ninety-ninth percentile, as a fraction.
const PERCENTILE_99: f64 = 0.99;
const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// Quantiles of a latency, in milliseconds; none without a sample.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencyQuantiles {
    /// The median.
    pub p50: Option<f64>,
    /// The ninety-ninth percentile.
    pub p99: Option<f64>,
}

/// Collects latencies with a resolution of a microsecond.
#[derive(Debug, Clone)]
pub struct LatencyRecorder {
    histogram: Histogram<u64>,
}

impl LatencyRecorder {
    /// An empty recorder.
    pub fn new() -> Self {
        // The bounds and the digits are constants that the constructor accepts.
        let histogram = Histogram::new_with_bounds(1, LONGEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("valid bounds");
        LatencyRecorder { histogram }
    }

    /// Adds one sample.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Adds all samples of another recorder.
    pub fn merge(&mut self, other: &LatencyRecorder) {
        for sample in other.histogram.iter_recorded() {
            let value = sample.value_iterated_to();
            self.histogram
                .saturating_record_n(value, sample.count_at_value());
        }
    }

    /// How many samples were added.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The quantiles of the samples so far.
    pub fn quantiles(&self) -> LatencyQuantiles {
        LatencyQuantiles {
            p50: self.milliseconds_at(MEDIAN),
            p99: self.milliseconds_at(PERCENTILE_99),
        }
    }

    fn milliseconds_at(&self, quantile: f64) -> Option<f64> {
        if self.histogram.is_empty() {
            return None;
        }
        let micros = self.histogram.value_at_quantile(quantile);
        Some(micros as f64 / MICROS_PER_MILLISECOND)
    }
}

impl Default for LatencyRecorder {
    fn default() -> Self {
        LatencyRecorder::new()
    }
}
