//! This node's view of evacuated zones, and the gates in front of zones.

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
    /// Evacuated zones whose rows the store has lost.
    retained: RetainedZones,
    gates: BTreeMap<String, Arc<ZoneGate>>,
}

/// This node's view of evacuated zones, with one gate per zone.
#[derive(Debug)]
pub struct FollowedEvacuations {
    clock: Clock,
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl FollowedEvacuations {
    /// Creates an empty view. Nothing may reach an evacuated zone later than `bound` after the
    /// evacuation's row was written.
    pub fn new(bound: Duration, clock: Clock) -> Self {
        FollowedEvacuations {
            clock,
            inner: Mutex::new(Inner {
                known: Evacuations::new(bound),
                retained: RetainedZones::default(),
                gates: BTreeMap::new(),
            }),
            changed: watch::Sender::new(0),
        }
    }

    /// Applies the evacuated zones that the store reports at a version. `reported_before` is the
    /// time up to which it had reported the previously known rows.
    pub fn apply(
        &self,
        reported: &BTreeSet<String>,
        version: StoreVersion,
        reported_before: Option<Timestamp>,
    ) {
        let mut inner = self.lock();
        let is_first = inner.known.first_version().is_none();
        let zones = inner.with_retained(reported, version.era(), self.clock.now());
        let changes = inner.known.apply(&zones, version, reported_before);
        if is_first || !changes.reopened.is_empty() {
            inner.record_reopened();
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

    /// The time until which zones whose rows the store has lost stay evacuated; `None` if there are
    /// none.
    pub fn retained_until(&self) -> Option<Timestamp> {
        self.lock().retained.retained_until()
    }

    /// The gate in front of a zone's servers.
    pub fn gate(&self, zone: &str) -> Arc<ZoneGate> {
        self.lock().gate(zone, &self.clock)
    }

    /// The evacuated zones, each with the time from which nothing more may be sent to it.
    pub fn zones(&self) -> Vec<(String, Timestamp)> {
        let inner = self.lock();
        let zones = inner.known.zones();
        zones
            .map(|(zone, closes_at)| (zone.to_owned(), closes_at))
            .collect()
    }

    /// Subscribes to changes of the evacuated zones.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn with_retained(
        &mut self,
        reported: &BTreeSet<String>,
        era: StoreEra,
        now: Timestamp,
    ) -> BTreeSet<String> {
        let known = self.known.zones();
        let known = known.map(|(zone, _)| zone.to_owned());
        self.retained.with_retained(known, reported, era, now)
    }

    /// Updates the reopening version of all gates. An older entry may report as warm a server that
    /// has turned cold since.
    fn record_reopened(&mut self) {
        for (zone, gate) in &self.gates {
            gate.set_reopened_at(self.known.reopened_at(zone).unwrap_or_default());
        }
    }

    fn gate(&mut self, zone: &str, clock: &Clock) -> Arc<ZoneGate> {
        if let Some(gate) = self.gates.get(zone) {
            return Arc::clone(gate);
        }
        let gate = Arc::new(ZoneGate::new(clock.clone()));
        gate.set(self.known.closes_at(zone));
        gate.set_reopened_at(self.known.reopened_at(zone).unwrap_or_default());
        self.gates.insert(zone.to_owned(), Arc::clone(&gate));
        gate
    }
}
