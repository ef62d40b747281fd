//! One server: what is known of it, and the connections to it.

mod connection;
mod health;
mod pool;

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

use spurpier_events::log_event;

use crate::clock::Clock;
use crate::events;
use crate::ports::{ServerEntry, ServerRole};

/// What the directory last said of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The entry.
    pub entry: ServerEntry,
    /// The version of its row.
    pub version: StoreVersion,
    /// Since when it was seen to be draining or gone; a moment to come if its entry may return.
    pub leaving_since: Option<Timestamp>,
    /// Whether the entry is gone.
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
    /// Which life of which server it is.
    pub incarnation: Incarnation,
    /// How far it is.
    pub distance: Distance,
    /// The connections to it.
    pub pool: Arc<Pool>,
    clock: Clock,
    listing: Mutex<Listing>,
    health: Mutex<Health>,
}

impl Server {
    /// A server that the directory lists.
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

    /// What the directory last said.
    pub fn listing(&self) -> MutexGuard<'_, Listing> {
        self.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the exchanges with it have shown.
    pub fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it may be given new work, but for the lead's.
    pub fn is_staying(&self) -> bool {
        self.listing().is_staying(self.clock.now())
    }

    /// Whether its zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.pool.zone_gate().phase() != ZonePhase::Open
    }

    /// Whether the directory has dropped it.
    pub fn is_gone(&self) -> bool {
        let listing = self.listing();
        listing.gone && !listing.is_staying(self.clock.now())
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.pool.cold_gate().is_cold(now)
    }

    /// Whether it says that it leads the group.
    pub fn claims_leadership(&self) -> bool {
        self.listing().entry.role == ServerRole::Primary
    }

    /// For how long it has been leaving; none if it stays.
    pub fn leaving_for(&self, now: Timestamp) -> Option<Duration> {
        self.listing().leaving_since.map(|since| now.since(since))
    }

    /// What a read's placement must know of it.
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
            observed: health.shown,
            avoided_until: health.avoided_until,
            accepts_reads: staying,
            is_leader,
        }
    }

    /// Takes in a whole answer to a message that left at `sent_at`.
    pub fn record_answer(&self, sent_at: Timestamp) {
        self.health().record_answer(sent_at);
    }

    /// Takes in that it did not answer. Once nothing may be sent to its zone, that says nothing of it.
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
            log_event!(events::SERVER_SILENT, server = self.incarnation);
        }
    }
}
