//! Records the history of a run on one monotonic clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::oracle::{
    BackEndEvent, Fault, History, PlannedStop, PolicyAccepted, PolicyObserved, SurvivingGroup, Unit,
};

/// Shared by all who record; cheap to clone.
#[derive(Debug, Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    origin: Instant,
    next_unit: AtomicU64,
    history: Mutex<History>,
}

impl Recorder {
    /// A recorder with an empty history, whose clock starts now.
    pub fn new() -> Self {
        let shared = Shared {
            origin: Instant::now(),
            next_unit: AtomicU64::new(1),
            history: Mutex::new(History::default()),
        };
        Recorder {
            shared: Arc::new(shared),
        }
    }

    /// Microseconds since the recorder was made.
    pub fn now(&self) -> u64 {
        self.at(Instant::now())
    }

    /// A moment on the recorder's clock.
    pub fn at(&self, moment: Instant) -> u64 {
        let elapsed = moment.saturating_duration_since(self.shared.origin);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    /// A number that no other unit of the history has.
    pub fn next_unit(&self) -> u64 {
        self.shared.next_unit.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds a unit that has ended.
    pub fn unit(&self, unit: Unit) {
        self.history().units.push(unit);
    }

    /// Adds what a database server noted.
    pub fn back_end(&self, event: BackEndEvent) {
        self.history().back_end.push(event);
    }

    /// Adds a planned stop.
    pub fn planned_stop(&self, stop: PlannedStop) {
        self.history().planned_stops.push(stop);
    }

    /// Adds a fault that truly struck.
    pub fn fault(&self, fault: Fault) {
        self.history().faults.push(fault);
    }

    /// Adds a policy that the platform accepted.
    pub fn policy_accepted(&self, accepted: PolicyAccepted) {
        self.history().policies_accepted.push(accepted);
    }

    /// Adds a policy version that a proxy was seen to serve by.
    pub fn policy_observed(&self, observed: PolicyObserved) {
        self.history().policies_observed.push(observed);
    }

    /// Adds the final contents of a group.
    pub fn survivor(&self, group: SurvivingGroup) {
        self.history().survivors.push(group);
    }

    /// A copy of the history so far.
    pub fn snapshot(&self) -> History {
        self.history().clone()
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.shared
            .history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder::new()
    }
}
