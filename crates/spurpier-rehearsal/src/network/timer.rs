//! Waiting with a precision well below a millisecond.
//!
//! The timer of tokio counts in whole milliseconds and rounds up, which would make a latency of
//! half a millisecond two or four times as long. One thread for the process waits instead.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, LazyLock, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Waits longer than this are left to tokio but for their end.
const LONG_WAIT: Duration = Duration::from_millis(20);

/// The end of a long wait, which is waited for precisely.
const END_OF_LONG_WAIT: Duration = Duration::from_millis(5);

/// A waiting task; the greatest one is the one that is due first.
struct Waiter {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> Ordering {
        other.due.cmp(&self.due)
    }
}

#[derive(Default)]
struct Timer {
    waiters: Mutex<BinaryHeap<Waiter>>,
    changed: Condvar,
}

static TIMER: LazyLock<Arc<Timer>> = LazyLock::new(|| {
    let timer = Arc::new(Timer::default());
    let waiting = Arc::clone(&timer);
    std::thread::spawn(move || waiting.run());
    timer
});

/// Waits until `due`; returns at once when it has passed.
pub(super) async fn sleep_until(due: Instant) {
    let remaining = due.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return;
    }
    if remaining > LONG_WAIT {
        tokio::time::sleep(remaining - END_OF_LONG_WAIT).await;
    }
    let (wake, woken) = oneshot::channel();
    TIMER.add(Waiter { due, wake });
    // The thread runs as long as the process; without it the wait would only be shorter.
    let _ = woken.await;
}

impl Timer {
    fn lock(&self) -> MutexGuard<'_, BinaryHeap<Waiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, waiter: Waiter) {
        let mut waiters = self.lock();
        let is_first = waiters.peek().is_none_or(|first| waiter.due < first.due);
        waiters.push(waiter);
        if is_first {
            self.changed.notify_one();
        }
    }

    fn run(&self) {
        let mut waiters = self.lock();
        loop {
            let now = Instant::now();
            let wait = waiters
                .peek()
                .map(|first| first.due.saturating_duration_since(now));
            waiters = match wait {
                None => self
                    .changed
                    .wait(waiters)
                    .unwrap_or_else(PoisonError::into_inner),
                Some(Duration::ZERO) => {
                    if let Some(first) = waiters.pop() {
                        // The task may have been cancelled meanwhile.
                        let _ = first.wake.send(());
                    }
                    waiters
                }
                Some(wait) => {
                    let waited = self.changed.wait_timeout(waiters, wait);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
            };
        }
    }
}
