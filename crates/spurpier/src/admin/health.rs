//! Whether a node listens and whether it is stopping.

use std::sync::atomic::{AtomicBool, Ordering};

/// The node's own state as the admin endpoint gives it.
#[derive(Debug, Default)]
pub struct Health {
    listening: AtomicBool,
    draining: AtomicBool,
}

impl Health {
    /// Notes that the client listener is up.
    pub fn set_listening(&self) {
        self.listening.store(true, Ordering::Release);
    }

    /// Notes that the node is stopping; there is no way back.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the client listener is up.
    pub fn is_listening(&self) -> bool {
        self.listening.load(Ordering::Acquire)
    }

    /// Whether the node is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
