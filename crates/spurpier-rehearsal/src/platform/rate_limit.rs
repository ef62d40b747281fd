//! A limit on calls a second.

use std::time::{Duration, Instant};

/// A token bucket that holds the calls of one second.
#[derive(Debug)]
pub(super) struct RateLimit {
    /// Calls a second; 0 is no limit.
    rate: u32,
    tokens: f64,
    counted_until: Instant,
}

impl RateLimit {
    pub fn new(rate: u32, now: Instant) -> Self {
        RateLimit {
            rate,
            tokens: f64::from(rate),
            counted_until: now,
        }
    }

    /// Takes one call; otherwise gives the time after which the next one will be taken.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        if self.rate == 0 {
            return Ok(());
        }
        let rate = f64::from(self.rate);
        let elapsed = now.saturating_duration_since(self.counted_until);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(rate);
        self.counted_until = now;
        if self.tokens < 1.0 {
            let missing = 1.0 - self.tokens;
            return Err(Duration::from_secs_f64(missing / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
