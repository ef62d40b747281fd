//! Waking the control actor at the time that its state machine asks for.

use std::future::Future;
use std::time::{Duration, Instant};

use spurpier_core::time::Timestamp;
use tokio::sync::watch;

/// The clock of the control state, which starts with the node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    origin: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    pub fn now(self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    fn instant_of(self, timestamp: Timestamp) -> Option<Instant> {
        self.origin
            .checked_add(Duration::from_micros(timestamp.as_micros()))
    }
}

/// Calls `wake` at each deadline; ends when the deadlines end or `wake` gives false.
pub(super) async fn run<Wake, Woken>(
    clock: Clock,
    mut deadlines: watch::Receiver<Timestamp>,
    wake: Wake,
) where
    Wake: Fn() -> Woken,
    Woken: Future<Output = bool>,
{
    loop {
        let deadline = *deadlines.borrow_and_update();
        let changed = tokio::select! {
            changed = deadlines.changed() => changed,
            () = sleep_until(clock.instant_of(deadline)) => {
                if !wake().await {
                    return;
                }
                // Each event that is handled gives a deadline anew.
                deadlines.changed().await
            }
        };
        if changed.is_err() {
            return;
        }
    }
}

async fn sleep_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant.into()).await,
        None => std::future::pending().await,
    }
}
