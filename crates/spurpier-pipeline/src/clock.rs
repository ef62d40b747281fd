//! The node's monotonic clock, and detection of stalls of the whole process.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::time::Timestamp;
use tokio::time::Instant;

/// Interval at which the clock records that the process is running.
const TICK: Duration = Duration::from_millis(100);
/// Shortest gap between two ticks that counts as a stall of the process.
const STALL: Duration = Duration::from_millis(250);
/// Time after a stall during which messages that arrived in the stall may still be read.
const STALL_READ_WINDOW: Duration = Duration::from_millis(100);
/// Timestamp of the clock's start, above zero so that earlier moments can be represented.
const ORIGIN_OFFSET: Duration = Duration::from_secs(3_600);

/// The last tick, and the start and end of the latest stall.
#[derive(Debug, Clone, Copy)]
struct Ticks {
    last: Timestamp,
    stall: Option<(Timestamp, Timestamp)>,
}

/// A monotonic clock whose zero lies one hour before its creation. Clones share the recorded
/// stalls.
#[derive(Debug, Clone)]
pub struct Clock {
    origin: Instant,
    ticks: Arc<Mutex<Ticks>>,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        let last = Timestamp::ZERO + ORIGIN_OFFSET;
        Clock {
            origin: Instant::now(),
            ticks: Arc::new(Mutex::new(Ticks { last, stall: None })),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + ORIGIN_OFFSET + self.origin.elapsed()
    }

    /// The time at which the clock was created.
    pub fn started_at(&self) -> Timestamp {
        Timestamp::ZERO + ORIGIN_OFFSET
    }

    /// Time elapsed since the clock was created.
    pub fn runs_for(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Converts `moment` to an instant of the Tokio clock.
    pub fn instant(&self, moment: Timestamp) -> Instant {
        self.origin + moment.since(Timestamp::ZERO + ORIGIN_OFFSET)
    }

    /// The earliest time at which a message that is read now may have arrived.
    ///
    /// After a stall, when the process was frozen or not scheduled, messages that arrived during
    /// the stall are still queued; they count as having arrived when the stall began.
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

    /// Records a tick every 100 ms and any stall between two ticks; never returns.
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
