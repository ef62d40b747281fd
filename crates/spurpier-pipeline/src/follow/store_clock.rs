//! The store's clock on this node's clock.

use std::time::Duration;

use spurpier_core::time::Timestamp;

/// How much faster than this node's clock the store's may run at most, in thousandths.
const MAX_DRIFT_PER_MILLE: u32 = 1;

/// Tells when the store gave an answer, at the earliest.
///
/// An answer may be read long after it was given, and a wait for changes may end at any moment: the
/// store's own clock tells how much later than another answer it was given.
#[derive(Debug, Default)]
pub struct StoreClock {
    /// A moment of this node's clock, and the store's clock at that moment or later.
    known: Option<(Timestamp, Duration)>,
}

impl StoreClock {
    /// Whether the store's clock has been seen: as precisely as that question was answered fast.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// The earliest moment at which the store can have answered a question that left at `asked_at`
    /// and whose answer is read `now`; `store_now` is what its clock showed then.
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
            // An answer that was given before the known one tells nothing by its clock.
            let passed = store_now.checked_sub(store_then)?;
            Some(moment + passed.saturating_sub(passed * MAX_DRIFT_PER_MILLE / 1_000))
        });
        let moment = asked_at.max(by_clock.unwrap_or(asked_at)).min(now);
        self.known = Some((moment, store_now));
        moment
    }
}
