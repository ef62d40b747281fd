//! The node's steady clock as the decision code sees it, and pauses of the whole process.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::time::Timestamp;
use tokio::time::Instant;

/// How often the clock looks whether the process runs.
const TICK: Duration = Duration::from_millis(100);
/// A gap between two ticks from which on the process counts as having stood still.
const STALL: Duration = Duration::from_millis(250);
/// For how long after a stall messages may still be read that came during it.
const STALL_READ_WINDOW: Duration = Duration::from_millis(100);
/// What lies before the origin, so that moments before the start can be told.
const ORIGIN_OFFSET: Duration = Duration::from_secs(3_600);

#[derive(Debug, Clone, Copy)]
struct Ticks {
    last: Timestamp,
    stall: Option<(Timestamp, Timestamp)>,
}

/// Counts time from an hour before the moment at which it was made.
#[derive(Debug, Clone)]
pub struct Clock {
    origin: Instant,
    ticks: Arc<Mutex<Ticks>>,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let last = Timestamp::ZERO + ORIGIN_OFFSET;
        Clock {
            origin: Instant::now(),
            ticks: Arc::new(Mutex::new(Ticks { last, stall: None })),
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + ORIGIN_OFFSET + self.origin.elapsed()
    }

    /// When the clock was made.
    pub fn started_at(&self) -> Timestamp {
        Timestamp::ZERO + ORIGIN_OFFSET
    }

    /// How long the clock has run.
    pub fn runs_for(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The point of the runtime's clock that `moment` stands for.
    pub fn instant(&self, moment: Timestamp) -> Instant {
        self.origin + moment.since(Timestamp::ZERO + ORIGIN_OFFSET)
    }

    /// The earliest moment at which a message that is read now may have come.
    ///
    /// A process that stood still, frozen or without its processor, finds messages that have
    /// waited since.
    pub fn earliest_arrival(&self) -> Timestamp {
        let now = self.now();
        let ticks = *self.ticks.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(ticks.last) >= STALL {
            return ticks.last;
        }
        match ticks.stall {
            Some((from, to)) if now.since(to) < STALL_READ_WINDOW => from,
            _ => now,
        }
    }

    /// Notes that the process runs, again and again; never returns.
    pub async fn watch_for_stalls(self) {
        loop {
            tokio::time::sleep(TICK).await;
            let now = self.now();
            let mut ticks = self.ticks.lock().unwrap_or_else(PoisonError::into_inner);
            if now.since(ticks.last) >= STALL {
                ticks.stall = Some((ticks.last, now));
            }
            ticks.last = now;
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
