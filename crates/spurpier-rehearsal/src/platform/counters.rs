//! Counts of the calls that reach the stand-in.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// What was counted since the start.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CounterReport {
    /// Calls, those refused included and those under `/control` not.
    pub total: u64,
    /// Calls answered with status 429.
    pub rate_limited: u64,
    /// Calls answered with status 503.
    pub unavailable: u64,
    /// Writes that took effect and were not answered.
    pub unanswered: u64,
    /// The most calls in one second, counted in whole seconds from the start.
    pub peak_per_second: u64,
    /// Calls by their method and the first part of their path, as in `GET /table`.
    pub by_call: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct CounterState {
    report: CounterReport,
    second: u64,
    in_second: u64,
}

/// Counts calls.
#[derive(Debug)]
pub(super) struct Counters {
    started: Instant,
    state: Mutex<CounterState>,
}

impl Counters {
    pub fn new(started: Instant) -> Self {
        Counters {
            started,
            state: Mutex::default(),
        }
    }

    fn update(&self, change: impl FnOnce(&mut CounterState)) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state);
    }

    pub fn count_call(&self, call: String) {
        let second = self.started.elapsed().as_secs();
        self.update(|state| {
            if state.second != second {
                state.second = second;
                state.in_second = 0;
            }
            state.in_second += 1;
            let report = &mut state.report;
            report.peak_per_second = report.peak_per_second.max(state.in_second);
            report.total += 1;
            *report.by_call.entry(call).or_default() += 1;
        });
    }

    pub fn count_rate_limited(&self) {
        self.update(|state| state.report.rate_limited += 1);
    }

    pub fn count_unavailable(&self) {
        self.update(|state| state.report.unavailable += 1);
    }

    pub fn count_unanswered(&self) {
        self.update(|state| state.report.unanswered += 1);
    }

    pub fn report(&self) -> CounterReport {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.report.clone()
    }
}
