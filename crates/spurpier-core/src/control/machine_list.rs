//! The schedule on which a node reads the platform's list of machines.
//!
//! The size of the list grows with the number of machines, and the interval between reads grows
//! with it, so that a watcher reads the same number of bytes per second at every cluster size.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::time::Timestamp;

/// The schedule of reads.
///
/// Nodes that have not joined read with growing delays while reads fail, and watchers read at a
/// slow steady rate. All other nodes postpone each read without making it.
#[derive(Debug, Clone)]
pub(super) struct MachineListSchedule {
    next: Timestamp,
    wait: Duration,
    min_interval: Duration,
    interval_per_member: Duration,
    outstanding: bool,
}

impl MachineListSchedule {
    /// Creates the schedule. The first read is due after a random part of `max_initial_delay`, so
    /// that a node usually joins through its seeds before.
    pub(super) fn new(
        now: Timestamp,
        max_initial_delay: Duration,
        min_interval: Duration,
        interval_per_member: Duration,
        random: &mut SmallRng,
    ) -> Self {
        let jitter = random.random_range(0..=max_initial_delay.as_micros() as u64);
        MachineListSchedule {
            next: now + Duration::from_micros(jitter),
            wait: max_initial_delay,
            min_interval,
            interval_per_member,
            outstanding: false,
        }
    }

    /// Returns when the next read is due; `None` while a read is in progress.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        (!self.outstanding).then_some(self.next)
    }

    /// Starts a read if one is due, and returns whether it did; the caller then reads the list.
    pub(super) fn start_if_due(&mut self, now: Timestamp) -> bool {
        let due = !self.outstanding && self.next <= now;
        self.outstanding |= due;
        due
    }

    /// Postpones the next read by one interval.
    pub(super) fn postpone(&mut self, now: Timestamp, members: usize, random: &mut SmallRng) {
        self.next = now + jitter(random, self.interval(members));
    }

    /// Records the end of a read and schedules the next one.
    pub(super) fn record_result(
        &mut self,
        now: Timestamp,
        succeeded: bool,
        members: usize,
        random: &mut SmallRng,
    ) {
        /// The longest delay after failures, as a multiple of the minimum interval.
        const MAX_WAIT_FACTOR: u32 = 4;
        self.outstanding = false;
        self.wait = match succeeded {
            true => self.interval(members),
            false => (self.wait * 2).min(self.min_interval * MAX_WAIT_FACTOR),
        };
        self.next = now + jitter(random, self.wait);
    }

    fn interval(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        self.min_interval
            .max(self.interval_per_member.saturating_mul(members))
    }
}

/// Returns half of the wait plus a random part of the other half.
fn jitter(random: &mut SmallRng, wait: Duration) -> Duration {
    let half = wait.as_micros() as u64 / 2;
    Duration::from_micros(half + random.random_range(0..=half))
}
