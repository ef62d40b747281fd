//! The rates, times and bounds of the spread of documents.

use std::time::Duration;

/// The rates, times and bounds of the spread of documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DistributionConfig {
    /// How many nodes of each zone read the platform.
    pub watchers_per_zone: usize,
    /// The time between two reads of the head by one watcher.
    pub poll_interval: Duration,
    /// The longest wait of a watcher between reads while the platform fails.
    pub poll_backoff_max: Duration,
    /// How long a watcher that sees a newer head leaves gossip the chance to bring it first.
    pub fetch_delay: Duration,
    /// To how many nodes of the own zone a newly installed version is passed.
    pub own_zone_fan_out: usize,
    /// To how many nodes of other zones a newly installed version is passed.
    pub other_zone_fan_out: usize,
    /// How long a node that hears of a newer version waits for it before it asks.
    pub repair_delay: Duration,
    /// The time after which an unanswered request for changes is made again.
    pub repair_interval: Duration,
    /// The longest wait between requests for changes that stay unanswered.
    pub repair_backoff_max: Duration,
    /// How many recent changes are remembered, to answer requests with deltas.
    pub retained_changes: usize,
    /// Messages above this size, in bytes, travel over a connection.
    pub datagram_bytes: usize,
    /// Changes above this size, in bytes, are not passed on unasked: peers ask for them once.
    pub push_bytes: usize,
}

impl Default for DistributionConfig {
    fn default() -> Self {
        DistributionConfig {
            watchers_per_zone: 2,
            poll_interval: Duration::from_millis(500),
            poll_backoff_max: Duration::from_millis(8_000),
            fetch_delay: Duration::from_millis(100),
            own_zone_fan_out: 2,
            other_zone_fan_out: 1,
            repair_delay: Duration::from_millis(300),
            repair_interval: Duration::from_millis(1_000),
            repair_backoff_max: Duration::from_millis(2_000),
            retained_changes: 1_024,
            datagram_bytes: 1_200,
            push_bytes: 16_384,
        }
    }
}
