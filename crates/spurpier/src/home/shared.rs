//! What all units of a node share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use spurpier_core::identity::DatabaseName;
use spurpier_core::retry::RetryBudget;
use tokio::sync::watch;

use super::clock::Clock;
use super::counters::HomeCounters;
use super::database::{DatabaseHome, GroupHome};
use super::seams::HomeSeams;
use crate::settings::LimitSettings;

/// The parts of a home that its units read.
#[derive(Debug)]
pub struct HomeShared {
    /// The node's clock.
    pub clock: Clock,
    /// The node's limits.
    pub limits: LimitSettings,
    /// The databases by name.
    pub databases: HashMap<DatabaseName, Arc<DatabaseHome>>,
    /// What the rest of the node answers.
    pub seams: HomeSeams,
    /// Counts of all units.
    pub counters: Arc<HomeCounters>,
    /// The units that run now.
    pub in_flight: InFlight,
    /// Bounds how often units are tried again.
    pub retry_budget: Mutex<RetryBudget>,
}

impl HomeShared {
    /// Notes a unit's first attempt, which earns a part of a retry.
    pub(super) fn note_attempt(&self) {
        self.budget().record_attempt();
    }

    /// Takes a retry out of the budget; false when it is spent.
    pub(super) fn may_retry(&self) -> bool {
        self.budget().try_retry(self.clock.now())
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The group that takes a database's writes: the policy's, or the only one.
    pub(super) fn write_group<'a>(&self, database: &'a DatabaseHome) -> Option<&'a Arc<GroupHome>> {
        match (self.seams.placement)(database.name()) {
            Some(placement) => database.group(placement.side),
            None => database
                .groups
                .first()
                .filter(|_| database.groups.len() == 1),
        }
    }
}

/// Counts the units in flight, and refuses new ones once the home drains.
#[derive(Debug)]
pub struct InFlight {
    running: watch::Sender<usize>,
    draining: watch::Sender<bool>,
}

impl InFlight {
    pub(super) fn new() -> Self {
        InFlight {
            running: watch::Sender::new(0),
            draining: watch::Sender::new(false),
        }
    }

    /// Counts a unit until the guard is dropped.
    pub(super) fn start(&self) -> InFlightGuard {
        self.running.send_modify(|running| *running += 1);
        InFlightGuard {
            running: self.running.clone(),
        }
    }

    /// Whether new units are refused.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// How many units are in flight.
    pub fn count(&self) -> usize {
        *self.running.borrow()
    }

    /// Refuses new units from now on and waits until those in flight have ended.
    pub(super) async fn drain(&self) {
        self.draining.send_replace(true);
        let mut running = self.running.subscribe();
        // The sender lives as long as this method runs, so waiting cannot fail.
        let _ = running.wait_for(|running| *running == 0).await;
    }
}

/// One unit in flight.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    running: watch::Sender<usize>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.running.send_modify(|running| *running -= 1);
    }
}
