//! Timestamps of the decision logic.

use std::ops::Add;
use std::time::Duration;

/// A point in time, in microseconds since an origin that the caller chooses.
///
/// A real node counts from its start on the monotonic clock; a simulation counts virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// The point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// The point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The point `duration` earlier, but not before the origin.
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }

    /// The time elapsed since `earlier`; zero if `earlier` is later than this point.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}
