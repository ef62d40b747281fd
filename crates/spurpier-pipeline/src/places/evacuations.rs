//! The evacuated zones as this node follows them, and the gates in front of zones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use spurpier_core::locality::{Evacuations, RetainedZones};
use spurpier_core::store_version::{StoreEra, StoreVersion};
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::sync::watch;

use super::gate::ZoneGate;
use crate::clock::Clock;
use crate::events;

#[derive(Debug)]
struct Inner {
    known: Evacuations,
    /// Zones whose rows the store has lost.
    held: RetainedZones,
    gates: BTreeMap<String, Arc<ZoneGate>>,
}

/// The evacuated zones as this node follows them.
#[derive(Debug)]
pub struct FollowedEvacuations {
    clock: Clock,
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl FollowedEvacuations {
    /// Nothing is known; nothing may arrive later than `bound` after an evacuation's row.
    pub fn new(bound: Duration, clock: Clock) -> Self {
        FollowedEvacuations {
            clock,
            inner: Mutex::new(Inner {
                known: Evacuations::new(bound),
                held: RetainedZones::default(),
                gates: BTreeMap::new(),
            }),
            changed: watch::Sender::new(0),
        }
    }

    /// Takes in which zones the store tells to be evacuated as of a version; `told_before` is up to when
    /// it had told of the rows as they were known before.
    pub fn take(
        &self,
        told: &BTreeSet<String>,
        version: StoreVersion,
        told_before: Option<Timestamp>,
    ) {
        let mut inner = self.lock();
        let is_first = inner.known.first_version().is_none();
        let zones = inner.with_held(told, version.era(), self.clock.now());
        let changes = inner.known.apply(&zones, version, told_before);
        if is_first || !changes.reopened.is_empty() {
            inner.note_taken_back();
        }
        if changes.is_empty() {
            return;
        }
        for zone in changes.evacuated.iter().chain(&changes.reopened) {
            let closes_at = inner.known.closes_at(zone);
            inner.gate(zone, &self.clock).set(closes_at);
        }
        for zone in &changes.evacuated {
            let closes_at = inner.known.closes_at(zone).unwrap_or_default();
            log_event!(
                events::ZONE_EVACUATED,
                zone = zone,
                closes_in_ms = closes_at.since(self.clock.now()).as_millis()
            );
        }
        for zone in &changes.reopened {
            log_event!(events::ZONE_RESTORED, zone = zone, version = version);
        }
        drop(inner);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Until when zones stay evacuated whose rows the store has lost; none if there are none.
    pub fn held_until(&self) -> Option<Timestamp> {
        self.lock().held.retained_until()
    }

    /// The gate in front of a zone's servers.
    pub fn gate(&self, zone: &str) -> Arc<ZoneGate> {
        self.lock().gate(zone, &self.clock)
    }

    /// The evacuated zones, and from when on nothing more may be sent to each.
    pub fn zones(&self) -> Vec<(String, Timestamp)> {
        let inner = self.lock();
        let zones = inner.known.zones();
        zones
            .map(|(zone, closes_at)| (zone.to_owned(), closes_at))
            .collect()
    }

    /// A receiver that is told of changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn with_held(
        &mut self,
        told: &BTreeSet<String>,
        era: StoreEra,
        now: Timestamp,
    ) -> BTreeSet<String> {
        let known = self.known.zones();
        let known = known.map(|(zone, _)| zone.to_owned());
        self.held.with_retained(known, told, era, now)
    }

    /// Tells the gates when their zones were taken back: an entry from before may tell of a server
    /// that has turned cold since that it is warm.
    fn note_taken_back(&mut self) {
        for (zone, gate) in &self.gates {
            gate.set_taken_back_at(self.known.reopened_at(zone).unwrap_or_default());
        }
    }

    fn gate(&mut self, zone: &str, clock: &Clock) -> Arc<ZoneGate> {
        if let Some(gate) = self.gates.get(zone) {
            return Arc::clone(gate);
        }
        let gate = Arc::new(ZoneGate::new(clock.clone()));
        gate.set(self.known.closes_at(zone));
        gate.set_taken_back_at(self.known.reopened_at(zone).unwrap_or_default());
        self.gates.insert(zone.to_owned(), Arc::clone(&gate));
        gate
    }
}
