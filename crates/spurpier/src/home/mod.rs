//! The home side of a node: it runs units on the database servers.
//!
//! A home watches the groups of its databases, holds connections to their servers, chooses a
//! server for each unit, and answers a write only once it is confirmed. The decisions are
//! `spurpier_core`'s; here they meet sockets, tasks and the clock.

mod backend;
mod clock;
mod control;
mod counters;
mod database;
mod error_response;
mod group;
mod handover;
mod key_cleaning;
mod maintenance;
mod planned_stop;
mod pool;
mod seams;
mod shared;
mod snapshot;
mod unit;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use spurpier_core::identity::{DatabaseName, ServerName};
use spurpier_core::retry::{RetryBudget, RetryBudgetSettings};
use spurpier_protocol::unit::{Batch, UnitRequest};
use tokio::sync::mpsc;

use self::clock::Clock;
use self::database::DatabaseHome;
use self::shared::{HomeShared, InFlight};
use crate::settings::Settings;
use crate::unit_runner::{UNIT_CHANNEL_CAPACITY, UnitHandle, UnitRunner};

pub use self::counters::{HomeCounters, LATENCY_CLASS_MICROS, LatencyCounter};
pub use self::seams::{ConnectionShare, FirstHomeCheck, HomeSeams, NodeShare, PlacementLookup};
pub use self::snapshot::{
    DatabaseSnapshot, GroupSnapshot, HandoverSnapshot, HomeSnapshot, PoolSnapshot, ServerSnapshot,
};

/// Retries of the home's own: a failover makes many units try again at the same time, and each
/// waits between its attempts, so the budget is ample and stops only a lasting failure.
const RETRY_BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    percent: 20,
    per_second: 50,
    burst: 200,
};

/// Runs units on the database servers that the settings name.
///
/// Must be made within a tokio runtime, where its watchers and units run.
#[derive(Debug, Clone)]
pub struct Home {
    shared: Arc<HomeShared>,
}

/// The home as the runner of this node's own units.
pub type LocalRunner = Home;

impl Home {
    /// Starts to watch the groups of all databases in the settings.
    pub fn start(settings: &Settings, seams: HomeSeams) -> Self {
        let clock = Clock::new();
        let start = |database: &crate::settings::DatabaseSettings| {
            let share = (seams.connection_share)(database);
            let zone = &settings.node.zone;
            let home = DatabaseHome::start(database, &settings.limits, zone, share, clock);
            (database.name.clone(), home)
        };
        let databases: HashMap<DatabaseName, Arc<DatabaseHome>> =
            settings.databases.iter().map(start).collect();
        let shared = Arc::new(HomeShared {
            clock,
            limits: settings.limits.clone(),
            databases,
            seams,
            counters: Arc::new(HomeCounters::default()),
            in_flight: InFlight::new(),
            retry_budget: Mutex::new(RetryBudget::new(RETRY_BUDGET, clock.now())),
        });
        for database in shared.databases.values() {
            maintenance::start(&shared, database);
        }
        Home { shared }
    }

    /// Takes in what another source, such as the platform's list, says of a server's leaving.
    pub fn set_leaving(&self, server: &ServerName, leaving: bool) {
        for database in self.shared.databases.values() {
            database.set_leaving(server, leaving);
        }
    }

    /// Refuses new units and waits until those in flight have ended, at most `limits.drain_ms`.
    ///
    /// True when all have ended.
    pub async fn drain(&self) -> bool {
        let limit = Duration::from_millis(self.shared.limits.drain_ms);
        let drained = self.shared.in_flight.drain();
        tokio::time::timeout(limit, drained).await.is_ok()
    }

    /// Counts of all units.
    pub fn counters(&self) -> &HomeCounters {
        &self.shared.counters
    }

    /// The state of all groups and pools.
    pub fn snapshot(&self) -> HomeSnapshot {
        HomeSnapshot::of(&self.shared)
    }
}

impl UnitRunner for Home {
    fn open(&self, request: UnitRequest, first: Batch) -> UnitHandle {
        let (input, unit_input) = mpsc::channel(UNIT_CHANNEL_CAPACITY);
        let (unit_output, output) = mpsc::channel(UNIT_CHANNEL_CAPACITY);
        let home = Arc::clone(&self.shared);
        tokio::spawn(unit::run(home, request, first, unit_input, unit_output));
        UnitHandle { input, output }
    }
}
