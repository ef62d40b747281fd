//! Relays between machines, with latency and cuts.

mod delay;
mod tcp;
mod timer;
mod udp;

pub use tcp::TcpRelay;
pub use udp::UdpRelay;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// A direction through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From those who call the relay to its target.
    Forward,
    /// From the target to those who call the relay.
    Backward,
}

/// The state of a relay, which can be changed while it runs.
#[derive(Debug)]
struct RelayState {
    forward_cut: watch::Sender<bool>,
    backward_cut: watch::Sender<bool>,
    latency_micros: AtomicU64,
}

impl RelayState {
    fn new(latency: Duration) -> Self {
        let state = RelayState {
            forward_cut: watch::Sender::new(false),
            backward_cut: watch::Sender::new(false),
            latency_micros: AtomicU64::new(0),
        };
        state.set_latency(latency);
        state
    }

    fn sender(&self, direction: Direction) -> &watch::Sender<bool> {
        match direction {
            Direction::Forward => &self.forward_cut,
            Direction::Backward => &self.backward_cut,
        }
    }

    fn set_cut(&self, direction: Direction, cut: bool) {
        self.sender(direction).send_replace(cut);
    }

    fn is_cut(&self, direction: Direction) -> bool {
        *self.sender(direction).borrow()
    }

    /// Waits until the direction is open.
    async fn open(&self, direction: Direction) {
        if !self.is_cut(direction) {
            return;
        }
        let mut receiver = self.sender(direction).subscribe();
        // The sender lives as long as `self`, so the wait only ends when the direction is open.
        let _ = receiver.wait_for(|cut| !cut).await;
    }

    fn set_latency(&self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency_micros.store(micros, Ordering::Relaxed);
    }

    fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_micros.load(Ordering::Relaxed))
    }
}
