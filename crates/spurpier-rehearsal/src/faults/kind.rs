//! The kinds of faults, planned stops and races.

use std::fmt;

use serde::Deserialize;

/// Something that is done to a running deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The primary of a database dies, and comes back with its log when the fault ends.
    PrimaryKilled,
    /// The primary of a database is cut off from its group; clients and proxies still reach it.
    PrimaryIsolated,
    /// The primary of a database is paused and goes on unaware; real processes only.
    PrimaryFrozen,
    /// A replica of a database gets nothing of the log.
    ReplicaBehind,
    /// A zone is cut off from the others in both directions.
    ZoneCut,
    /// What leaves a zone for the others is lost; what comes in arrives.
    ZoneCutOutbound,
    /// The platform answers every call with an error.
    PlatformDown,
    /// The platform answers late.
    PlatformSlow,
    /// Calls to the platform take effect and lose their answers.
    PlatformEffectWithoutAnswer,
    /// A proxy dies, and a new one takes its place when the fault ends.
    ProxyKilled,
    /// A proxy is paused and goes on unaware; real processes only.
    ProxyFrozen,
    /// A proxy is stopped as planned, and a new one takes its place when the stop has ended.
    ProxyStopped,
    /// The primary of a database is stopped as planned and comes back.
    ServerStopped,
    /// Two operators publish conflicting policies at the same moment.
    PolicyRace,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 14] = [
        FaultKind::PrimaryKilled,
        FaultKind::PrimaryIsolated,
        FaultKind::PrimaryFrozen,
        FaultKind::ReplicaBehind,
        FaultKind::ZoneCut,
        FaultKind::ZoneCutOutbound,
        FaultKind::PlatformDown,
        FaultKind::PlatformSlow,
        FaultKind::PlatformEffectWithoutAnswer,
        FaultKind::ProxyKilled,
        FaultKind::ProxyFrozen,
        FaultKind::ProxyStopped,
        FaultKind::ServerStopped,
        FaultKind::PolicyRace,
    ];

    /// The name in schedules and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            FaultKind::PrimaryKilled => "primary_killed",
            FaultKind::PrimaryIsolated => "primary_isolated",
            FaultKind::PrimaryFrozen => "primary_frozen",
            FaultKind::ReplicaBehind => "replica_behind",
            FaultKind::ZoneCut => "zone_cut",
            FaultKind::ZoneCutOutbound => "zone_cut_outbound",
            FaultKind::PlatformDown => "platform_down",
            FaultKind::PlatformSlow => "platform_slow",
            FaultKind::PlatformEffectWithoutAnswer => "platform_effect_without_answer",
            FaultKind::ProxyKilled => "proxy_killed",
            FaultKind::ProxyFrozen => "proxy_frozen",
            FaultKind::ProxyStopped => "proxy_stopped",
            FaultKind::ServerStopped => "server_stopped",
            FaultKind::PolicyRace => "policy_race",
        }
    }

    /// Whether the primary of a database is lost unplanned, so that a failover gap follows.
    pub const fn loses_primary(self) -> bool {
        matches!(
            self,
            FaultKind::PrimaryKilled | FaultKind::PrimaryIsolated | FaultKind::PrimaryFrozen
        )
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
