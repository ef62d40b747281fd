//! The schedule by which a watcher reads the platform.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::settings::DistributionConfig;
use crate::time::Timestamp;

/// The polling schedule of one node; inactive unless the node is a watcher of its zone.
#[derive(Debug, Clone)]
pub(super) struct Watcher {
    active: bool,
    next_poll: Timestamp,
    poll_outstanding: bool,
    failures: u32,
    /// When to fetch the changes of a newer head, unless gossip delivers them earlier.
    fetch_at: Option<Timestamp>,
    fetch_outstanding: bool,
    /// The newest head version that was read from the platform.
    pub(super) head: u64,
}

impl Watcher {
    /// Creates an inactive schedule.
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

    /// Starts or stops polling.
    ///
    /// The first poll comes after a random part of the interval, so that watchers that start
    /// together do not poll together.
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

    /// The time of the next poll or fetch, or `None` if neither is scheduled.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        let poll = (self.active && !self.poll_outstanding).then_some(self.next_poll);
        let fetch = match self.fetch_outstanding {
            true => None,
            false => self.fetch_at,
        };
        [poll, fetch].into_iter().flatten().min()
    }

    /// Returns whether a poll is due, and marks it as outstanding; the caller then reads the head.
    pub(super) fn start_due_poll(&mut self, now: Timestamp) -> bool {
        let due = self.active && !self.poll_outstanding && self.next_poll <= now;
        self.poll_outstanding |= due;
        due
    }

    /// Returns whether a fetch is due for a node that has installed `version`, and marks it as
    /// outstanding.
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

    /// Records the version of the head that was read and schedules the next poll.
    ///
    /// Schedules a fetch if the head is newer than `version`, the installed version.
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

    /// Records a failed read of the head and schedules the next poll with backoff.
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

    /// Records the end of a fetch and schedules a retry with backoff if it failed.
    ///
    /// `failure` is `None` after a success, and otherwise holds the delay that the platform asked
    /// for, if any.
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

    /// The delay before the next attempt: doubles with each failure, with half of it as jitter.
    ///
    /// The result is never shorter than `retry_after`.
    fn next_backoff(
        &mut self,
        retry_after: Option<Duration>,
        config: &DistributionConfig,
        random: &mut SmallRng,
    ) -> Duration {
        /// Limits the exponent, so that the multiplication cannot overflow; the delay has reached
        /// its maximum by then.
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

/// Adds a jitter of up to a tenth of the interval in both directions.
fn with_jitter(random: &mut SmallRng, interval: Duration) -> Duration {
    interval * 9 / 10 + random_up_to(random, interval / 5)
}
