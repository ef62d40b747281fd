//! When a watcher reads the platform.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::settings::DistributionConfig;
use crate::time::Timestamp;

/// The reading schedule of one node; idle unless the node is a watcher of its zone.
#[derive(Debug, Clone)]
pub(super) struct Watcher {
    active: bool,
    next_poll: Timestamp,
    poll_outstanding: bool,
    failures: u32,
    /// A newer head was read; its changes are fetched at this time unless gossip brings them.
    fetch_at: Option<Timestamp>,
    fetch_outstanding: bool,
    /// The newest version that the platform has told of.
    pub(super) head: u64,
}

impl Watcher {
    /// An idle schedule.
    pub(super) fn new() -> Self {
        Watcher {
            active: false,
            next_poll: Timestamp::ZERO,
            poll_outstanding: false,
            failures: 0,
            fetch_at: None,
            fetch_outstanding: false,
            head: 0,
        }
    }

    /// Makes the node a watcher, or none; a new watcher reads at a random moment of an interval.
    pub(super) fn set_active(
        &mut self,
        now: Timestamp,
        active: bool,
        config: &DistributionConfig,
        random: &mut SmallRng,
    ) {
        if active && !self.active {
            let delay = random_up_to(random, config.poll_interval);
            self.next_poll = self.next_poll.max(now + delay);
        }
        self.active = active;
    }

    /// When something is due.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        let poll = (self.active && !self.poll_outstanding).then_some(self.next_poll);
        let fetch = match self.fetch_outstanding {
            true => None,
            false => self.fetch_at,
        };
        [poll, fetch].into_iter().flatten().min()
    }

    /// Whether the head is to be read now; the caller then reads it.
    pub(super) fn start_due_poll(&mut self, now: Timestamp) -> bool {
        let due = self.active && !self.poll_outstanding && self.next_poll <= now;
        self.poll_outstanding |= due;
        due
    }

    /// Whether changes are to be fetched now for a node of this version.
    pub(super) fn start_due_fetch(&mut self, now: Timestamp, version: u64) -> bool {
        if version >= self.head {
            self.fetch_at = None;
        }
        let due = !self.fetch_outstanding && self.fetch_at.is_some_and(|at| at <= now);
        if due {
            self.fetch_at = None;
            self.fetch_outstanding = true;
        }
        due
    }

    /// Notes an answer with the head's version.
    pub(super) fn record_head_read(
        &mut self,
        now: Timestamp,
        head: u64,
        version: u64,
        config: &DistributionConfig,
        random: &mut SmallRng,
    ) {
        self.poll_outstanding = false;
        self.failures = 0;
        self.head = self.head.max(head);
        self.next_poll = now + with_jitter(random, config.poll_interval);
        if self.head > version && self.fetch_at.is_none() {
            self.fetch_at = Some(now + random_up_to(random, config.fetch_delay));
        }
    }

    /// Notes that a read of the head failed: the next one waits longer.
    pub(super) fn record_read_failure(
        &mut self,
        now: Timestamp,
        retry_after: Option<Duration>,
        config: &DistributionConfig,
        random: &mut SmallRng,
    ) {
        self.poll_outstanding = false;
        let delay = self.next_backoff(retry_after, config, random);
        self.next_poll = now + delay;
    }

    /// Notes the end of a fetch; a failed one is tried again after a wait.
    pub(super) fn record_fetch(
        &mut self,
        now: Timestamp,
        failure: Option<Option<Duration>>,
        config: &DistributionConfig,
        random: &mut SmallRng,
    ) {
        self.fetch_outstanding = false;
        if let Some(retry_after) = failure {
            let delay = self.next_backoff(retry_after, config, random);
            self.fetch_at = Some(now + delay);
        }
    }

    /// A wait that doubles with each failure, at least half of it kept and the rest random.
    fn next_backoff(
        &mut self,
        retry_after: Option<Duration>,
        config: &DistributionConfig,
        random: &mut SmallRng,
    ) -> Duration {
        /// Doublings after which the wait is at its bound in any case.
        const MAX_DOUBLINGS: u32 = 10;
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let doubled = config.poll_interval * 2u32.pow(self.failures);
        let max = doubled.min(config.poll_backoff_max);
        let delay = max / 2 + random_up_to(random, max / 2);
        delay.max(retry_after.unwrap_or_default())
    }
}

fn random_up_to(random: &mut SmallRng, max: Duration) -> Duration {
    Duration::from_micros(random.random_range(0..=max.as_micros() as u64))
}

/// An interval with a tenth of jitter.
fn with_jitter(random: &mut SmallRng, interval: Duration) -> Duration {
    interval * 9 / 10 + random_up_to(random, interval / 5)
}
