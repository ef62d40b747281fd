//! Timeouts for responses that arrive in pieces, extended while bytes keep arriving.
//!
//! A fixed timeout that starts with the request abandons a large response on a slow link while it
//! is still arriving. Each retry sends the same bytes again over that link, which fills up with
//! abandoned responses: with a table of half a megabyte, 35 of 71 nodes each received over 10 MB
//! in 20 s without completing a single transfer.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Time without a new byte after which a started response counts as stalled. Equal to the time that
/// a node may be silent before it is skipped.
pub const STALLED_AFTER: Duration = Duration::from_millis(400);
/// Maximum extension of a response's timeout while its bytes keep arriving. The store's largest
/// message, 1 MiB in base64, takes 1.1 s on a link of 10 Mbit/s; four at once take 4.5 s.
pub const TRANSFER_LIMIT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Received {
    bytes: AtomicU64,
    last_at: Mutex<Option<Instant>>,
}

impl Received {
    fn last_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts the bytes received of incomplete responses; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<Received>);

impl Progress {
    /// Creates a progress without any received bytes.
    pub fn new() -> Self {
        Progress::default()
    }

    /// Records that `bytes` more bytes have just arrived.
    pub fn note(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
        *self.0.last_at() = Some(Instant::now());
    }

    /// Number of bytes received so far.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Ordering::Relaxed)
    }

    /// The time at which the response counts as stalled; `None` if no byte has arrived.
    fn progressing_until(&self) -> Option<Instant> {
        let last_at = *self.0.last_at();
        last_at.map(|last_at| last_at + STALLED_AFTER)
    }
}

/// Awaits `answer` until `end`, extended by up to [`TRANSFER_LIMIT`] while bytes keep arriving;
/// `None` on timeout.
pub async fn while_moving<T>(
    answer: impl Future<Output = T>,
    progress: &Progress,
    end: Instant,
) -> Option<T> {
    let last = end + TRANSFER_LIMIT;
    let mut limit = end;
    tokio::pin!(answer);
    loop {
        tokio::select! {
            biased;
            answer = &mut answer => return Some(answer),
            () = sleep_until(limit) => {
                let progressing_until = progress.progressing_until()?.min(last);
                if progressing_until <= Instant::now() {
                    return None;
                }
                limit = progressing_until;
            }
        }
    }
}
