//! Links between zones: delays, message order within a connection, and partitions.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const ZONES: usize = 3;
pub const MILLISECOND: u64 = 1_000;
/// The maximum extra delay of a late message.
const MAX_LATE_DELAY: u64 = 400 * MILLISECOND;

#[derive(Debug)]
pub struct Network {
    pub random: StdRng,
    /// Whether messages are lost, by source zone and destination zone.
    pub cut: [[bool; ZONES]; ZONES],
    /// Whether one message in five has an extra delay.
    pub late: bool,
    /// When the last message arrives, by connection and direction (`true` towards the server).
    arrivals: BTreeMap<(u64, bool), u64>,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Network {
            random: StdRng::seed_from_u64(seed),
            cut: [[false; ZONES]; ZONES],
            late: false,
            arrivals: BTreeMap::new(),
        }
    }

    pub fn can_send(&self, from: usize, to: usize) -> bool {
        !self.cut[from][to]
    }

    pub fn can_exchange(&self, one: usize, other: usize) -> bool {
        self.can_send(one, other) && self.can_send(other, one)
    }

    pub fn random_one_in(&mut self, one_in: u32) -> bool {
        self.random.random_range(0..one_in) == 0
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random.random_range(0..bound)
    }

    pub fn delay(&mut self) -> u64 {
        let usual = self.random.random_range(200..2_000);
        if self.late && self.random_one_in(5) {
            return usual + self.random_below(MAX_LATE_DELAY);
        }
        usual
    }

    /// When a message sent now arrives; messages of a connection and direction arrive in order.
    pub fn arrival_time(&mut self, now: u64, connection: u64, towards_server: bool) -> u64 {
        let delay = self.delay();
        let last = self
            .arrivals
            .entry((connection, towards_server))
            .or_default();
        *last = (now + delay).max(*last + 1);
        *last
    }
}
