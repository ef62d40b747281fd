//! Conversion from the store's clock to this node's clock.

use std::time::Duration;

use spurpier_core::time::Timestamp;

/// Maximum drift by which the store's clock runs faster than this node's, in thousandths.
const MAX_DRIFT_PER_MILLE: u32 = 1;

/// Estimates the earliest time at which the store gave an answer.
///
/// An answer may be read long after it was given, and a wait for changes may end at any time. The
/// store's clock shows how much later an answer was given than a previous one.
#[derive(Debug, Default)]
pub struct StoreClock {
    /// A time on this node's clock, and the store's clock at that time or later.
    known: Option<(Timestamp, Duration)>,
}

impl StoreClock {
    /// Whether a reading of the store's clock is known. The faster the call that returned it was
    /// answered, the more precise the reading.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Returns the earliest time, on this node's clock, at which the store can have answered a call
    /// that was sent at `asked_at` and whose answer is read at `now`. `store_now` is the reading of
    /// the store's clock in the answer.
    pub fn earliest_answer_time(
        &mut self,
        store_now: Option<Duration>,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> Timestamp {
        let Some(store_now) = store_now else {
            return asked_at;
        };
        let by_clock = self.known.and_then(|(moment, store_then)| {
            // An answer that is older than the known reading gives no bound.
            let passed = store_now.checked_sub(store_then)?;
            Some(moment + passed.saturating_sub(passed * MAX_DRIFT_PER_MILLE / 1_000))
        });
        let moment = asked_at.max(by_clock.unwrap_or(asked_at)).min(now);
        self.known = Some((moment, store_now));
        moment
    }
}
