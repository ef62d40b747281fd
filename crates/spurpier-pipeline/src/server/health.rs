//! What the exchanges with a server have shown.

use std::time::Duration;

use spurpier_core::leader::ObservedPosition;
use spurpier_core::time::Timestamp;

/// The weight of the newest answer's time, in sixteenths.
const NEWEST_WEIGHT: u32 = 2;
/// The answer time that is taken before the first answer.
const INITIAL_ANSWER_TIME: Duration = Duration::from_millis(20);
/// For how long a silent or full server is passed over.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(250);

/// Messages in a row without an answer from which on a server counts as silent.
const SILENT_THRESHOLD: u32 = 2;

/// What the exchanges with a server have shown.
#[derive(Debug, Clone)]
pub struct Health {
    /// The smoothed time of its answers.
    pub answer_time: Duration,
    /// Requests that run on it or wait for a connection to it.
    pub in_flight: usize,
    /// What it was last seen to show of the group's log.
    pub shown: Option<ObservedPosition>,
    /// Until when it is passed over.
    pub avoided_until: Timestamp,
    /// When the newest message left that it has answered.
    pub answered_at: Option<Timestamp>,
    /// Since when all messages to it have gone unanswered; none while it answers.
    pub silent_since: Option<Timestamp>,
    /// How many messages in a row have gone unanswered.
    pub unanswered_count: u32,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            answer_time: INITIAL_ANSWER_TIME,
            in_flight: 0,
            shown: None,
            avoided_until: Timestamp::ZERO,
            answered_at: None,
            silent_since: None,
            unanswered_count: 0,
        }
    }
}

impl Health {
    /// Takes in an answer to a message that left at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Timestamp) {
        self.answered_at = self.answered_at.max(Some(sent_at));
        self.silent_since = None;
        self.unanswered_count = 0;
    }

    /// Whether it has left several messages in a row unanswered.
    pub fn is_silent(&self) -> bool {
        self.unanswered_count >= SILENT_THRESHOLD
    }

    /// Takes in how long a statement took that was run.
    pub fn record_run_time(&mut self, taken: Duration) {
        let kept = self.answer_time * (16 - NEWEST_WEIGHT) / 16;
        self.answer_time = kept + taken * NEWEST_WEIGHT / 16;
    }

    /// Takes in that a message went unanswered or could not be sent.
    pub fn record_unanswered(&mut self, now: Timestamp) {
        self.silent_since.get_or_insert(now);
        self.unanswered_count += 1;
        self.avoid(now);
    }

    /// Passes the server over for a while.
    pub fn avoid(&mut self, now: Timestamp) {
        self.avoided_until = now + AVOIDANCE_PERIOD;
    }
}
