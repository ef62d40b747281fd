//! The times by which connections between nodes are made, watched and closed.

use std::time::Duration;

/// The times by which connections between nodes are made, watched and closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardingTiming {
    /// The longest time for a connection and its handshake.
    pub connect: Duration,
    /// The time between two pings while units are open.
    pub ping: Duration,
    /// The silence of a peer with open units after which the connection counts as lost.
    pub silence: Duration,
    /// How long a connection without units is kept.
    pub idle: Duration,
    /// The longest pause before a peer is called again that could not be reached.
    pub pause: Duration,
}

impl Default for ForwardingTiming {
    fn default() -> Self {
        ForwardingTiming {
            connect: Duration::from_secs(1),
            ping: Duration::from_secs(1),
            silence: Duration::from_secs(4),
            idle: Duration::from_secs(60),
            pause: Duration::from_secs(2),
        }
    }
}
