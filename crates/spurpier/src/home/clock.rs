//! The node's monotonic clock as the decision code sees it.

use std::time::{Duration, Instant};

use spurpier_core::time::Timestamp;

/// Counts time from the moment at which it was made.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The point of the runtime's clock that `moment` stands for.
    pub fn instant(&self, moment: Timestamp) -> tokio::time::Instant {
        let origin = tokio::time::Instant::from_std(self.origin);
        origin + Duration::from_micros(moment.as_micros())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
