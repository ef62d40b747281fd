//! Who waits for connections, and how many are being opened for them.

use std::collections::HashMap;

/// The units of one caller that wait, and the connections that are being opened for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct CallerDemand {
    waiting: usize,
    opening: usize,
}

/// The units that wait for connections, by the name that a connection must have been opened with.
#[derive(Debug, Default)]
pub struct Demand {
    callers: HashMap<String, CallerDemand>,
    waiting: usize,
}

impl Demand {
    /// How many units wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Counts a unit that waits.
    pub fn start_waiting(&mut self, caller: &str) {
        self.waiting += 1;
        self.change(caller, |demand| demand.waiting += 1);
    }

    /// Takes back a unit that waits no more.
    pub fn stop_waiting(&mut self, caller: &str) {
        self.waiting -= 1;
        self.change(caller, |demand| demand.waiting -= 1);
    }

    /// Counts a connection that is being opened for a caller.
    pub fn start_opening(&mut self, caller: &str) {
        self.change(caller, |demand| demand.opening += 1);
    }

    /// Takes back a connection that is opened, or could not be.
    pub fn stop_opening(&mut self, caller: &str) {
        self.change(caller, |demand| demand.opening -= 1);
    }

    /// Whether more units of a caller wait than connections are being opened for it.
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
