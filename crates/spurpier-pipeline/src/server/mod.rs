//! A database server: its directory entry, its health and the connections to it.

mod connection;
mod health;
mod pool;
mod prepared;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{Distance, ServerLoad};
use spurpier_core::locality::ZonePhase;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;

pub use self::connection::{ExchangeError, OpenError, ServerConnection, Values};
pub use self::health::Health;
pub use self::pool::{AcquireError, ConnectionNeed, Lease, OpenPools, Pool, Target};
pub use self::prepared::ShapeDigest;

use spurpier_events::log_event;

use crate::clock::Clock;
use crate::events;
use crate::ports::{ServerEntry, ServerRole};

/// The state of a server's entry as last read from the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The last entry that was read.
    pub entry: ServerEntry,
    /// The version of its row.
    pub version: StoreVersion,
    /// When it was observed to be draining or gone; a time in the future if its entry may return
    /// until then.
    pub leaving_since: Option<Timestamp>,
    /// Whether the entry was removed.
    pub gone: bool,
}

impl Listing {
    /// Whether the server may be given new work.
    fn is_staying(&self, now: Timestamp) -> bool {
        self.leaving_since.is_none_or(|since| since > now)
    }
}

/// One server of a group.
#[derive(Debug)]
pub struct Server {
    /// The server and its incarnation.
    pub incarnation: Incarnation,
    /// Its network distance from this node.
    pub distance: Distance,
    /// The connections to it.
    pub pool: Arc<Pool>,
    clock: Clock,
    listing: Mutex<Listing>,
    health: Mutex<Health>,
}

impl Server {
    /// Creates a server from its directory entry, with no recorded exchanges.
    pub fn new(listing: Listing, distance: Distance, pool: Arc<Pool>, clock: Clock) -> Self {
        Server {
            incarnation: listing.entry.incarnation.clone(),
            distance,
            pool,
            clock,
            listing: Mutex::new(listing),
            health: Mutex::new(Health::default()),
        }
    }

    /// Locks and returns the server's state in the directory.
    pub fn listing(&self) -> MutexGuard<'_, Listing> {
        self.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the server's health.
    pub fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it may be given new work, other than the work of the leader.
    pub fn is_staying(&self) -> bool {
        self.listing().is_staying(self.clock.now())
    }

    /// Whether its zone is being evacuated or has been evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.pool.zone_gate().phase() != ZonePhase::Open
    }

    /// Whether its entry was removed from the directory and is not expected to return.
    pub fn is_gone(&self) -> bool {
        let listing = self.listing();
        listing.gone && !listing.is_staying(self.clock.now())
    }

    /// Whether it is cold at the given time, so that messages to it are limited.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.pool.cold_gate().is_cold(now)
    }

    /// Whether it reports that it is the leader of the group.
    pub fn claims_leadership(&self) -> bool {
        self.listing().entry.role == ServerRole::Primary
    }

    /// How long it has been leaving; `None` if it is staying.
    pub fn leaving_for(&self, now: Timestamp) -> Option<Duration> {
        self.listing().leaving_since.map(|since| now.since(since))
    }

    /// Returns the data that the placement of reads uses.
    pub fn load(&self, is_leader: bool) -> ServerLoad {
        let (staying, slots) = {
            let listing = self.listing();
            let staying = listing.is_staying(self.clock.now());
            (staying, listing.entry.slots)
        };
        let health = self.health();
        ServerLoad {
            distance: self.distance,
            answer_time: health.answer_time,
            in_flight: health.in_flight,
            slots,
            observed: health.observed,
            avoided_until: health.avoided_until,
            accepts_reads: staying,
            is_leader,
        }
    }

    /// Records a complete answer to a message that was sent at `sent_at`.
    pub fn record_answer(&self, sent_at: Timestamp) {
        self.health().record_answer(sent_at);
    }

    /// Records that it did not answer. Ignored while the gate of its zone is closed, as a missing
    /// answer is then no sign of a fault of the server.
    pub fn record_unanswered(&self, clock: &Clock) {
        if self.pool.zone_gate().is_closed() {
            return;
        }
        let unanswered_count = {
            let mut health = self.health();
            health.record_unanswered(clock.now());
            health.unanswered_count
        };
        if unanswered_count == 1 {
            log_event!(events::SERVER_UNRESPONSIVE, server = self.incarnation);
        }
    }
}
