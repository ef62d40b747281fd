//! Health of a server, derived from the exchanges with it.

use std::time::Duration;

use spurpier_core::leader::ObservedPosition;
use spurpier_core::time::Timestamp;

/// Weight of the newest sample in the moving average of answer times, in sixteenths.
const NEWEST_WEIGHT: u32 = 2;
/// Assumed answer time before the first answer.
const INITIAL_ANSWER_TIME: Duration = Duration::from_millis(20);
/// How long a silent or full server is avoided.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(250);

/// Number of consecutive unanswered messages at which a server counts as unresponsive.
const UNRESPONSIVE_THRESHOLD: u32 = 2;

/// The health of a server as observed in exchanges with it.
#[derive(Debug, Clone)]
pub struct Health {
    /// Exponential moving average of its answer times.
    pub answer_time: Duration,
    /// Number of requests that run on it or wait for a connection to it.
    pub in_flight: usize,
    /// The position of the group's log that was last observed on it.
    pub observed: Option<ObservedPosition>,
    /// The time until which other servers are preferred.
    pub avoided_until: Timestamp,
    /// Send time of the newest message that it has answered.
    pub answered_at: Option<Timestamp>,
    /// Start of the current series of unanswered messages; `None` while it answers.
    pub unanswered_since: Option<Timestamp>,
    /// Number of consecutive unanswered messages.
    pub unanswered_count: u32,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            answer_time: INITIAL_ANSWER_TIME,
            in_flight: 0,
            observed: None,
            avoided_until: Timestamp::ZERO,
            answered_at: None,
            unanswered_since: None,
            unanswered_count: 0,
        }
    }
}

impl Health {
    /// Records an answer to a message that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Timestamp) {
        self.answered_at = self.answered_at.max(Some(sent_at));
        self.unanswered_since = None;
        self.unanswered_count = 0;
    }

    /// Whether several consecutive messages have gone unanswered.
    pub fn is_unresponsive(&self) -> bool {
        self.unanswered_count >= UNRESPONSIVE_THRESHOLD
    }

    /// Records the duration of a statement that was run.
    pub fn record_run_time(&mut self, taken: Duration) {
        let kept = self.answer_time * (16 - NEWEST_WEIGHT) / 16;
        self.answer_time = kept + taken * NEWEST_WEIGHT / 16;
    }

    /// Records that a message went unanswered or could not be sent.
    pub fn record_unanswered(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
        self.unanswered_count += 1;
        self.avoid(now);
    }

    /// Avoids the server for `AVOIDANCE_PERIOD`.
    pub fn avoid(&mut self, now: Timestamp) {
        self.avoided_until = now + AVOIDANCE_PERIOD;
    }
}
