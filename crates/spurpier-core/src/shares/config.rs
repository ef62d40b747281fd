//! The times of connection shares.

use std::time::Duration;

/// The times of connection shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareConfig {
    /// How long an allowance lasts, counted by the holder from the sending of its report.
    pub lease_duration: Duration,
    /// The time between two reports of a holder whose demand does not change.
    pub report_interval: Duration,
    /// The least time between two reports.
    pub min_report_interval: Duration,
    /// How soon a holder reports that it wants less than half of its allowance.
    pub surplus_report_delay: Duration,
    /// The time constant of the mean of the demand.
    pub demand_time_constant: Duration,
    /// For how long a peak of demand is remembered.
    pub peak_retention: Duration,
    /// Connections that a holder wants beyond its peaks of demand.
    pub spare_connections: u32,
    /// How long a ledger may grant after its last proof that its epoch is in force.
    pub ledger_lease: Duration,
    /// The time after which a server closes the connections of a silent node.
    pub server_close_timeout: Duration,
    /// By how many percent two clocks may differ in speed.
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
    /// A duration on another node's clock, at its longest on this one.
    fn with_drift(&self, duration: Duration) -> Duration {
        duration * (100 + self.max_clock_drift_percent) / 100
    }

    /// How long a ledger counts a silent holder after its last grant: until the lease has run
    /// out and the server has closed what the holder left open.
    pub fn holder_expiry(&self) -> Duration {
        self.with_drift(self.lease_duration + self.server_close_timeout)
    }

    /// How long a new ledger deals only with what the homes that follow it hold: until an earlier
    /// ledger has stopped granting and its last grants have run out.
    pub fn takeover_delay(&self) -> Duration {
        self.with_drift(self.ledger_lease) + self.holder_expiry()
    }
}
