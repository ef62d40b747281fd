//! Which records of the log the tables show, and when the others are due.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Arrival {
    offset: u64,
    received_at: Instant,
}

/// The way of records from the log into the tables.
#[derive(Debug)]
pub(crate) struct ApplyQueue {
    arrivals: VecDeque<Arrival>,
    /// Up to where the tables show the log.
    applied: u64,
    /// Up to where the tables may come to show it while a batch is under way.
    claimed: u64,
    /// Counts how often the tables had to be made anew because the log was truncated under them.
    generation: u64,
    /// The generation whose tables exist.
    created: Option<u64>,
    /// Up to where tables that are being made anew must come before they are shown.
    rebuild_until: u64,
}

impl ApplyQueue {
    /// The queue of a server that starts with `last` records and empty tables.
    pub(crate) fn new(last: u64, now: Instant) -> Self {
        let arrivals = (1..=last).map(|offset| Arrival {
            offset,
            received_at: now,
        });
        ApplyQueue {
            arrivals: arrivals.collect(),
            applied: 0,
            claimed: 0,
            generation: 0,
            created: None,
            rebuild_until: last,
        }
    }

    /// Up to where the tables show the log.
    pub(crate) fn applied(&self) -> u64 {
        self.applied
    }

    /// The generation of the tables that belongs to the log.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the tables are being made anew and must not be shown.
    pub(crate) fn is_rebuilding(&self) -> bool {
        self.created != Some(self.generation) || self.applied < self.rebuild_until
    }

    /// Notes that the tables of a generation exist.
    pub(crate) fn mark_created(&mut self, generation: u64) {
        self.created = Some(generation);
    }

    /// Notes a record that was appended to the log.
    pub(crate) fn push(&mut self, offset: u64, received_at: Instant) {
        self.arrivals.push_back(Arrival {
            offset,
            received_at,
        });
    }

    /// Notes that the tables show the log up to `offset` because it was committed in them.
    pub(crate) fn mark_committed(&mut self, offset: u64) {
        self.claimed = offset;
        self.finish(self.generation, offset);
    }

    /// Notes that the log was cut back to `offset`.
    pub(crate) fn truncate(&mut self, offset: u64) {
        while self
            .arrivals
            .back()
            .is_some_and(|arrival| arrival.offset > offset)
        {
            self.arrivals.pop_back();
        }
        if self.claimed > offset {
            self.start_again(offset);
        } else {
            self.rebuild_until = self.rebuild_until.min(offset);
        }
    }

    fn start_again(&mut self, last: u64) {
        let now = Instant::now();
        let arrivals = (1..=last).map(|offset| Arrival {
            offset,
            received_at: now,
        });
        self.arrivals = arrivals.collect();
        self.applied = 0;
        self.claimed = 0;
        self.generation += 1;
        self.rebuild_until = last;
    }

    /// When the next record is due; none without one.
    pub(crate) fn next_due(&self, delay: Duration) -> Option<Instant> {
        let arrival = self.arrivals.front()?;
        if self.is_rebuilding() {
            return Some(arrival.received_at);
        }
        Some(arrival.received_at + delay)
    }

    /// Claims up to `limit` due records and gives the offset of the last one.
    pub(crate) fn claim(&mut self, delay: Duration, now: Instant, limit: usize) -> Option<u64> {
        let delay = if self.is_rebuilding() {
            Duration::ZERO
        } else {
            delay
        };
        let due = self
            .arrivals
            .iter()
            .take(limit)
            .take_while(|arrival| arrival.received_at + delay <= now);
        let last = due.last()?.offset;
        self.claimed = self.claimed.max(last);
        Some(last)
    }

    /// Notes that the tables of `generation` show the log up to `offset`.
    ///
    /// False if the log has been truncated meanwhile and the tables are void.
    pub(crate) fn finish(&mut self, generation: u64, offset: u64) -> bool {
        if generation != self.generation {
            return false;
        }
        self.applied = offset;
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| arrival.offset <= offset)
        {
            self.arrivals.pop_front();
        }
        true
    }
}
