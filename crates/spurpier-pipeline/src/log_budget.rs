//! A bound on the log lines of single requests, so that an overload does not drown in its own log.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::time::Timestamp;
use spurpier_events::Event;

/// Lines of one event that may be written in one period.
const MAX_LINES_PER_PERIOD: u32 = 50;
/// The period.
const PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct EventUsage {
    since: Timestamp,
    lines: u32,
    suppressed: u32,
}

/// What each event has written in its present period.
#[derive(Debug, Default)]
pub struct LogBudget(Mutex<HashMap<u16, EventUsage>>);

impl LogBudget {
    /// Whether a line of the event may be written at `now`; tells how many lines were suppressed
    /// since the last one that was written.
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
