//! Decides what may be sent to the servers of one zone. Each connection checks before it sends.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use spurpier_core::locality::ZonePhase;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;

use crate::clock::Clock;

/// The closing time of a zone that is not evacuated.
const NEVER: u64 = u64::MAX;

/// The gate in front of a zone's servers.
///
/// A statement may wait between server selection and sending: for a connection, for the session's
/// values, for a transaction to be opened. So the gate is checked when the statement is sent.
#[derive(Debug)]
pub struct ZoneGate {
    clock: Clock,
    /// When it closes, in microseconds of the clock.
    closes_at: AtomicU64,
    /// The encoded store version at which the zone was last known to be reopened; 0 before that.
    reopened_at: AtomicU64,
}

impl ZoneGate {
    /// Creates an open gate.
    pub fn new(clock: Clock) -> Self {
        ZoneGate {
            clock,
            closes_at: AtomicU64::new(NEVER),
            reopened_at: AtomicU64::new(0),
        }
    }

    /// Sets the time from which nothing may be sent; `None` if the zone is not evacuated.
    pub fn set(&self, closes_at: Option<Timestamp>) {
        let closes_at = closes_at.map_or(NEVER, Timestamp::as_micros);
        self.closes_at.store(closes_at, Ordering::Relaxed);
    }

    /// Sets the store version at which the zone was last known to be reopened.
    pub fn set_reopened_at(&self, version: StoreVersion) {
        self.reopened_at.store(version.to_bits(), Ordering::Release);
    }

    /// The store version up to which server entries must be known before the zone's servers are
    /// used, because one may have turned cold; `None` while no evacuations are known.
    pub fn reopened_at(&self) -> Option<StoreVersion> {
        let version = StoreVersion::from_bits(self.reopened_at.load(Ordering::Acquire));
        (version > StoreVersion::NONE).then_some(version)
    }

    /// The time left until nothing more may be sent; `None` if the zone is not evacuated.
    pub fn closes_in(&self) -> Option<Duration> {
        match self.closes_at.load(Ordering::Relaxed) {
            NEVER => None,
            closes_at => Some(Timestamp::from_micros(closes_at).since(self.clock.now())),
        }
    }

    /// What may be sent now.
    pub fn phase(&self) -> ZonePhase {
        match self.closes_in() {
            None => ZonePhase::Open,
            Some(Duration::ZERO) => ZonePhase::Closed,
            Some(_) => ZonePhase::Evacuating,
        }
    }

    /// Whether nothing may be sent now.
    pub fn is_closed(&self) -> bool {
        self.phase() == ZonePhase::Closed
    }
}
