//! All that a stand-in knows.

use std::sync::Mutex;
use std::time::Instant;

use super::PlatformOptions;
use super::counters::Counters;
use super::faults::Faults;
use super::machines::Machines;
use super::objects::Objects;
use super::rate_limit::RateLimit;
use super::table::Table;

/// All that a stand-in knows; shared between its calls.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub table: Mutex<Table>,
    pub objects: Mutex<Objects>,
    pub machines: Mutex<Machines>,
    pub rate_limit: Mutex<RateLimit>,
    pub faults: Faults,
    pub counters: Counters,
}

impl PlatformState {
    pub fn new(options: &PlatformOptions) -> Self {
        let started = Instant::now();
        PlatformState {
            table: Mutex::default(),
            objects: Mutex::default(),
            machines: Mutex::new(Machines::new(options.list_lag)),
            rate_limit: Mutex::new(RateLimit::new(options.rate, started)),
            faults: Faults::default(),
            counters: Counters::new(started),
        }
    }
}
