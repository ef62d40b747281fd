//! The rates, times and bounds of the membership protocol.

use std::time::Duration;

/// The rates, times and bounds of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipConfig {
    /// The time between two probes to nodes of the own zone.
    pub own_zone_probe_interval: Duration,
    /// The time between two probes to other zones of the own region.
    pub own_region_probe_interval: Duration,
    /// The time between two probes to other regions.
    pub other_region_probe_interval: Duration,
    /// How long a probe may go unanswered before others are asked to probe too.
    pub direct_probe_timeout: Duration,
    /// How long a probe may go unanswered in all before it counts as failed.
    pub probe_timeout: Duration,
    /// How many nodes are asked to probe in one's place.
    pub indirect_probe_count: usize,
    /// How long a suspected node of the own zone has to refute, in a cluster of one.
    pub suspicion_timeout: Duration,
    /// What is added to that for each doubling of the cluster: a refutation takes more rounds.
    pub suspicion_timeout_per_doubling: Duration,
    /// Suspicions of nodes in other zones last this many times as long.
    pub other_zone_suspicion_factor: u32,
    /// Zones with fewer members than this are watched by all other nodes too.
    pub small_zone_size: usize,
    /// Failed probes without an answer between them after which a zone counts as unreachable.
    pub zone_unreachable_failures: u32,
    /// No death is declared in a zone while this many or more percent of it are suspected.
    pub mass_suspicion_percent: usize,
    /// The percentage is only applied to at least this many suspected members.
    pub mass_suspicion_min_members: usize,
    /// The longest time for which a storm of suspicions holds deaths back while the zone answers.
    pub mass_suspicion_max_hold: Duration,
    /// Each statement is passed on this many times the binary logarithm of the member count.
    pub retransmit_factor: usize,
    /// Bytes of statements in one datagram.
    pub max_update_bytes: usize,
    /// The least time between two repairs by digests that this node starts.
    pub sync_interval: Duration,
    /// How long departed members are remembered, so that late statements do not revive them.
    pub departed_retention: Duration,
    /// The first wait before a join is tried again; doubled up to [`Self::join_retry_max`].
    pub join_retry_initial: Duration,
    /// The longest wait before a join is tried again.
    pub join_retry_max: Duration,
    /// How long a member must have been silent before the platform's list can remove it.
    pub unlisted_min_silence: Duration,
    /// For how long the lists must have lacked it by then; longer than the list can lag.
    pub unlisted_min_absence: Duration,
    /// A pause between two ticks longer than this means that this node was frozen.
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
