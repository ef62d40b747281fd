//! The configuration of connection shares.

use std::time::Duration;

/// The leases, intervals and margins of connection shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareConfig {
    /// How long an allowance is valid, measured by the holder from when it sent its report.
    pub lease_duration: Duration,
    /// The interval between two reports of a holder whose demand does not change.
    pub report_interval: Duration,
    /// The shortest interval between two reports.
    pub min_report_interval: Duration,
    /// How soon a holder reports after its demand falls below half of its allowance.
    pub surplus_report_delay: Duration,
    /// The time constant of the exponentially weighted mean of the demand.
    pub demand_time_constant: Duration,
    /// How long a peak of the demand is kept.
    pub peak_retention: Duration,
    /// The connections that a holder wants beyond its peak demand.
    pub spare_connections: u32,
    /// How long a ledger may grant after it last confirmed that its epoch is in force.
    pub ledger_lease: Duration,
    /// The time after which a server closes the connections of an unresponsive node.
    pub server_close_timeout: Duration,
    /// The most by which the speeds of two clocks may differ, in percent.
    pub max_clock_drift_percent: u32,
}

impl Default for ShareConfig {
    fn default() -> Self {
        ShareConfig {
            lease_duration: Duration::from_secs(20),
            report_interval: Duration::from_secs(8),
            min_report_interval: Duration::from_millis(50),
            surplus_report_delay: Duration::from_millis(500),
            demand_time_constant: Duration::from_millis(150),
            peak_retention: Duration::from_secs(2),
            spare_connections: 1,
            ledger_lease: Duration::from_secs(5),
            server_close_timeout: Duration::from_secs(10),
            max_clock_drift_percent: 2,
        }
    }
}

impl ShareConfig {
    /// The longest that a duration on another node's clock can take on this node's clock.
    fn with_drift(&self, duration: Duration) -> Duration {
        duration * (100 + self.max_clock_drift_percent) / 100
    }

    /// How long a ledger counts an unresponsive holder after its last grant: until the lease has
    /// expired and the servers have closed the connections that the holder left open.
    pub fn holder_expiry(&self) -> Duration {
        self.with_drift(self.lease_duration + self.server_close_timeout)
    }

    /// How long a new ledger may redistribute only the connections of homes that have joined its
    /// epoch: until an earlier ledger has stopped granting and its last grants have expired.
    pub fn takeover_delay(&self) -> Duration {
        self.with_drift(self.ledger_lease) + self.holder_expiry()
    }
}
