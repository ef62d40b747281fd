//! The list of machines, which shows each change only after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use spurpier::platform::wire::Machine;

#[derive(Debug)]
struct Change {
    made_at: Instant,
    name: String,
    /// The machine as it is now; none once it is gone.
    machine: Option<Machine>,
}

/// The machines as the list shows them, and the changes that it does not show yet.
#[derive(Debug)]
pub(super) struct Machines {
    lag: Duration,
    shown: BTreeMap<String, Machine>,
    unseen: VecDeque<Change>,
}

impl Machines {
    pub fn new(lag: Duration) -> Self {
        Machines {
            lag,
            shown: BTreeMap::new(),
            unseen: VecDeque::new(),
        }
    }

    pub fn change(&mut self, now: Instant, name: String, machine: Option<Machine>) {
        self.unseen.push_back(Change {
            made_at: now,
            name,
            machine,
        });
    }

    /// The list as it was one lag ago.
    pub fn list(&mut self, now: Instant) -> Vec<Machine> {
        while let Some(change) = self.unseen.front() {
            if now.saturating_duration_since(change.made_at) < self.lag {
                break;
            }
            if let Some(change) = self.unseen.pop_front() {
                self.show(change);
            }
        }
        self.shown.values().cloned().collect()
    }

    fn show(&mut self, change: Change) {
        match change.machine {
            Some(machine) => self.shown.insert(change.name, machine),
            None => self.shown.remove(&change.name),
        };
    }

    pub fn lag(&self) -> Duration {
        self.lag
    }
}
