//! Intervals, fan-out and size limits of the distribution of documents.

use std::time::Duration;

/// Intervals, fan-out and size limits of the distribution of documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DistributionConfig {
    /// The number of nodes in each zone that poll the platform.
    pub watchers_per_zone: usize,
    /// The time between two reads of the head by one watcher, before jitter.
    pub poll_interval: Duration,
    /// The maximum delay between a watcher's reads while the platform fails, unless the platform
    /// asks for a longer one.
    pub poll_backoff_max: Duration,
    /// The maximum random delay between reading a newer head and fetching its changes.
    ///
    /// If gossip delivers the version within this time, the fetch is skipped.
    pub fetch_delay: Duration,
    /// The number of peers in the same zone to which a newly installed version is pushed.
    pub own_zone_fan_out: usize,
    /// The number of peers in other zones to which a newly installed version is pushed.
    pub other_zone_fan_out: usize,
    /// How long a node waits for a newer version to be pushed before it requests it from a peer.
    pub repair_delay: Duration,
    /// The initial delay before an unanswered request for changes is retried.
    pub repair_interval: Duration,
    /// The maximum delay between retries of an unanswered request, before jitter.
    pub repair_backoff_max: Duration,
    /// The number of recent changes that are retained to answer requests with deltas.
    pub retained_changes: usize,
    /// The maximum size of a datagram, in bytes; larger messages are sent over a connection.
    pub datagram_bytes: usize,
    /// The maximum size of a pushed delta, in bytes.
    ///
    /// Peers request larger deltas, so that each of them receives such a delta only once.
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
