//! Counts of units of work that wait for connections and of connections being opened.

use std::collections::HashMap;

/// Number of waiting units and of connections being opened for one caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct CallerDemand {
    waiting: usize,
    opening: usize,
}

/// Waiting units and connections being opened, by the caller that connections are opened for.
#[derive(Debug, Default)]
pub struct Demand {
    callers: HashMap<String, CallerDemand>,
    waiting: usize,
}

impl Demand {
    /// Number of waiting units of all callers.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Records that a unit starts to wait.
    pub fn start_waiting(&mut self, caller: &str) {
        self.waiting += 1;
        self.change(caller, |demand| demand.waiting += 1);
    }

    /// Records that a unit stops waiting.
    pub fn stop_waiting(&mut self, caller: &str) {
        self.waiting -= 1;
        self.change(caller, |demand| demand.waiting -= 1);
    }

    /// Records that a connection is being opened for a caller.
    pub fn start_opening(&mut self, caller: &str) {
        self.change(caller, |demand| demand.opening += 1);
    }

    /// Records that an opening has completed or failed.
    pub fn stop_opening(&mut self, caller: &str) {
        self.change(caller, |demand| demand.opening -= 1);
    }

    /// Whether a caller has more waiting units than connections being opened for it.
    pub fn wants_opening(&self, caller: &str) -> bool {
        let demand = self.callers.get(caller);
        demand.is_some_and(|demand| demand.opening < demand.waiting)
    }

    fn change(&mut self, caller: &str, change: impl FnOnce(&mut CallerDemand)) {
        let demand = self.callers.entry(caller.to_owned()).or_default();
        change(demand);
        if *demand == CallerDemand::default() {
            self.callers.remove(caller);
        }
    }
}
