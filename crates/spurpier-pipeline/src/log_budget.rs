//! Rate limit for log lines about individual requests, so that an overload does not flood the log.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::time::Timestamp;
use spurpier_events::Event;

/// Maximum lines of one event that are written per [`PERIOD`].
const MAX_LINES_PER_PERIOD: u32 = 50;
/// Length of the window in which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Lines written in the current window, and lines suppressed since the last one written.
#[derive(Debug, Clone, Copy)]
struct EventUsage {
    since: Timestamp,
    lines: u32,
    suppressed: u32,
}

/// Line counts of each event, by event number.
#[derive(Debug, Default)]
pub struct LogBudget(Mutex<HashMap<u16, EventUsage>>);

impl LogBudget {
    /// Returns `None` if a line of the event must not be written at `now`; otherwise the number of
    /// lines suppressed since the last one that was written.
    pub fn take(&self, event: Event, now: Timestamp) -> Option<u32> {
        let mut events = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let usage = events.entry(event.number).or_insert(EventUsage {
            since: now,
            lines: 0,
            suppressed: 0,
        });
        if now.since(usage.since) >= PERIOD {
            usage.since = now;
            usage.lines = 0;
        }
        if usage.lines >= MAX_LINES_PER_PERIOD {
            usage.suppressed += 1;
            return None;
        }
        usage.lines += 1;
        Some(std::mem::take(&mut usage.suppressed))
    }
}
