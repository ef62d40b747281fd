//! A bound on the log lines of single requests, so that an overload does not drown in its own log.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::time::Timestamp;
use spurpier_events::Event;

/// Lines of one event that may be written in one period.
const LINES: u32 = 50;
/// The period.
const PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Spent {
    since: Timestamp,
    lines: u32,
    suppressed: u32,
}

/// What each event has written in its present period.
#[derive(Debug, Default)]
pub struct LogBudget(Mutex<HashMap<u16, Spent>>);

impl LogBudget {
    /// Whether a line of the event may be written at `now`; tells how many lines were suppressed
    /// since the last one that was written.
    pub fn take(&self, event: Event, now: Timestamp) -> Option<u32> {
        let mut events = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let spent = events.entry(event.number).or_insert(Spent {
            since: now,
            lines: 0,
            suppressed: 0,
        });
        if now.since(spent.since) >= PERIOD {
            spent.since = now;
            spent.lines = 0;
        }
        if spent.lines >= LINES {
            spent.suppressed += 1;
            return None;
        }
        spent.lines += 1;
        Some(std::mem::take(&mut spent.suppressed))
    }
}
