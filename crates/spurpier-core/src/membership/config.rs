//! Configuration of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipConfig {
    /// The interval between probes to nodes of the own zone.
    pub own_zone_probe_interval: Duration,
    /// The interval between probes to other zones of the own region.
    pub own_region_probe_interval: Duration,
    /// The interval between probes to other regions.
    pub other_region_probe_interval: Duration,
    /// How long a probe may go unanswered before other nodes are asked for indirect probes.
    pub direct_probe_timeout: Duration,
    /// How long a probe may go unanswered in total before it counts as failed.
    pub probe_timeout: Duration,
    /// How many nodes are asked for an indirect probe.
    pub indirect_probe_count: usize,
    /// The base time that a suspected node of the own zone has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Added to [`Self::suspicion_timeout`] for each doubling of the cluster's size, because a
    /// refutation then takes more rounds of gossip.
    pub suspicion_timeout_per_doubling: Duration,
    /// The factor by which the timeout is longer for suspected nodes of other zones.
    pub other_zone_suspicion_factor: u32,
    /// Nodes of other zones may also raise suspicions in a zone with fewer members than this.
    pub small_zone_size: usize,
    /// The number of consecutive failed probes after which a zone counts as unreachable.
    pub zone_unreachable_failures: u32,
    /// While at least this percentage of a zone's members is suspected, none of them is declared
    /// dead: a network partition is then more likely than their deaths.
    pub mass_suspicion_percent: usize,
    /// The minimum number of suspected members for which that percentage applies.
    pub mass_suspicion_min_members: usize,
    /// The longest time for which a mass suspicion delays deaths in a zone that still answers.
    pub mass_suspicion_max_hold: Duration,
    /// Each update is sent this many times the binary logarithm of the member count.
    pub retransmit_factor: usize,
    /// The maximum size of the updates in one datagram, in bytes.
    pub max_update_bytes: usize,
    /// The minimum interval between two anti-entropy syncs that this node starts.
    pub sync_interval: Duration,
    /// How long departed members are remembered, so that delayed updates do not add them again.
    pub departed_retention: Duration,
    /// The first delay before a join is retried; doubled up to [`Self::join_retry_max`].
    pub join_retry_initial: Duration,
    /// The longest delay before a join is retried.
    pub join_retry_max: Duration,
    /// How long an unreachable zone must have been silent before its members can be removed
    /// because the platform's list lacks them.
    pub unlisted_min_silence: Duration,
    /// For how long the list must have lacked a silent member before it is removed. Longer than
    /// the list can lag behind.
    pub unlisted_min_absence: Duration,
    /// The pause between two events from which this node assumes that its process was frozen.
    pub freeze_threshold: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            own_zone_probe_interval: Duration::from_millis(1_000),
            own_region_probe_interval: Duration::from_millis(2_000),
            other_region_probe_interval: Duration::from_millis(5_000),
            direct_probe_timeout: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(1_000),
            indirect_probe_count: 3,
            suspicion_timeout: Duration::from_millis(5_000),
            suspicion_timeout_per_doubling: Duration::from_millis(500),
            other_zone_suspicion_factor: 2,
            small_zone_size: 4,
            zone_unreachable_failures: 3,
            mass_suspicion_percent: 30,
            mass_suspicion_min_members: 5,
            mass_suspicion_max_hold: Duration::from_secs(60),
            retransmit_factor: 2,
            max_update_bytes: 800,
            sync_interval: Duration::from_millis(10_000),
            departed_retention: Duration::from_secs(3_600),
            join_retry_initial: Duration::from_millis(500),
            join_retry_max: Duration::from_millis(10_000),
            unlisted_min_silence: Duration::from_secs(60),
            unlisted_min_absence: Duration::from_secs(120),
            freeze_threshold: Duration::from_millis(3_000),
        }
    }
}
