//! When a node reads the platform's list of machines.
//!
//! The list's size grows with the number of machines, and so does the time between two reads: the
//! bytes that a watcher spends on it each second stay the same at every size.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::time::Timestamp;

/// The reading schedule: a node that cannot join reads with growing waits, watchers at a slow
/// steady rate, all others never.
#[derive(Debug, Clone)]
pub(super) struct MachineListSchedule {
    next: Timestamp,
    wait: Duration,
    min_interval: Duration,
    interval_per_member: Duration,
    outstanding: bool,
}

impl MachineListSchedule {
    /// The first read is due after a random part of `max_initial_delay`, so that seeds can serve before.
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

    /// When a read is due.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        (!self.outstanding).then_some(self.next)
    }

    /// Whether the list is to be read now; the caller then reads it.
    pub(super) fn start_if_due(&mut self, now: Timestamp) -> bool {
        let due = !self.outstanding && self.next <= now;
        self.outstanding |= due;
        due
    }

    /// Puts the next read off without reading.
    pub(super) fn postpone(&mut self, now: Timestamp, members: usize, random: &mut SmallRng) {
        self.next = now + jitter(random, self.interval(members));
    }

    /// Notes the end of a read.
    pub(super) fn record_result(
        &mut self,
        now: Timestamp,
        succeeded: bool,
        members: usize,
        random: &mut SmallRng,
    ) {
        /// The longest wait after failures, in steady waits.
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

/// Half of the wait and a random part of the other half.
fn jitter(random: &mut SmallRng, wait: Duration) -> Duration {
    let half = wait.as_micros() as u64 / 2;
    Duration::from_micros(half + random.random_range(0..=half))
}
