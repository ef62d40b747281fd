//! How calls to the platform fail.

use std::fmt;
use std::time::Duration;

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// The base address is no HTTP address.
    InvalidAddress,
    /// The platform refused the call with this status; it had no effect.
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The platform takes no more calls for a while; it had no effect.
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// The platform could not be reached; the call was not sent.
    NotSent,
    /// The platform says that it is down, or fails; a write may have had an effect.
    Down {
        /// The HTTP status.
        status: u16,
    },
    /// The answer did not arrive or was cut off; a write may have had an effect.
    AnswerLost,
    /// The answer is not of the agreed form or too large; a write may have had an effect.
    InvalidAnswer,
}

impl PlatformError {
    /// Whether a write that failed so may have had an effect, or may yet have one.
    pub const fn effect_is_unknown(self) -> bool {
        match self {
            PlatformError::Down { .. }
            | PlatformError::AnswerLost
            | PlatformError::InvalidAnswer => true,
            PlatformError::InvalidAddress
            | PlatformError::Refused { .. }
            | PlatformError::RateLimited { .. }
            | PlatformError::NotSent => false,
        }
    }

    /// Whether the same call may succeed later.
    pub const fn is_transient(self) -> bool {
        match self {
            PlatformError::RateLimited { .. }
            | PlatformError::NotSent
            | PlatformError::Down { .. }
            | PlatformError::AnswerLost => true,
            PlatformError::InvalidAddress
            | PlatformError::Refused { .. }
            | PlatformError::InvalidAnswer => false,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::InvalidAddress => formatter.write_str("the platform's address is wrong"),
            PlatformError::Refused { status } => {
                write!(formatter, "the platform refused the call (status {status})")
            }
            PlatformError::RateLimited { retry_after } => write!(
                formatter,
                "the platform's rate limit is reached; it takes calls again after {} ms",
                retry_after.as_millis()
            ),
            PlatformError::NotSent => formatter.write_str("the platform cannot be reached"),
            PlatformError::Down { status } => {
                write!(formatter, "the platform is down (status {status})")
            }
            PlatformError::AnswerLost => formatter.write_str("the platform's answer was lost"),
            PlatformError::InvalidAnswer => {
                formatter.write_str("the platform's answer is not of the agreed form")
            }
        }
    }
}

impl std::error::Error for PlatformError {}
