//! What may be sent to the servers of one zone, as each of their connections asks before it sends.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use spurpier_core::locality::ZonePhase;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;

use crate::clock::Clock;

/// The closing of a zone that is not evacuated.
const NEVER: u64 = u64::MAX;

/// The gate in front of a zone's servers.
///
/// A statement may wait between the choice of a server and its sending: for a connection, for the
/// session's values, for a transaction to be opened. So the gate is asked at the sending.
#[derive(Debug)]
pub struct ZoneGate {
    clock: Clock,
    /// When it closes, in microseconds of the clock.
    closes_at: AtomicU64,
    /// The bits of the store's version as of which the zone was last known to be taken back; 0 before
    /// any.
    taken_back_at: AtomicU64,
}

impl ZoneGate {
    /// An open gate.
    pub fn new(clock: Clock) -> Self {
        ZoneGate {
            clock,
            closes_at: AtomicU64::new(NEVER),
            taken_back_at: AtomicU64::new(0),
        }
    }

    /// Takes in from when on nothing may be sent; none if the zone is not evacuated.
    pub fn set(&self, closes_at: Option<Timestamp>) {
        let closes_at = closes_at.map_or(NEVER, Timestamp::as_micros);
        self.closes_at.store(closes_at, Ordering::Relaxed);
    }

    /// Takes in the store's version as of which the zone was last known to be taken back.
    pub fn set_taken_back_at(&self, version: StoreVersion) {
        self.taken_back_at
            .store(version.to_bits(), Ordering::Release);
    }

    /// The store's version up to which the servers' entries must be known before a server of the
    /// zone is used that may have turned cold; none while nothing is known of evacuations.
    pub fn taken_back_at(&self) -> Option<StoreVersion> {
        let version = StoreVersion::from_bits(self.taken_back_at.load(Ordering::Acquire));
        (version > StoreVersion::NONE).then_some(version)
    }

    /// For how long something may still be sent; none if the zone is not evacuated.
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
