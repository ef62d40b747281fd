//! How an answer gets on whose bytes come little by little.
//!
//! A limit in time that counts from the question gives up a large answer on a narrow link while it
//! is coming. Asking again then sends the same bytes once more over the same link, so that the link
//! carries ever more of what nobody awaits: 35 of 71 nodes were seen to receive over 10 MB each in
//! 20 s of a table of half a megabyte, and to learn nothing (counted at the machines' links).

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// After so long without a byte an answer that has begun counts as stalled: as long as a node may
/// be silent before it is passed over.
pub const STALLED_AFTER: Duration = Duration::from_millis(400);
/// How long an answer may go on coming after the time in which it should have come. The largest
/// message of the store, 1 MiB in base64, takes 1.1 s on a link of 10 Mbit/s; four at once take
/// 4.5 s.
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

/// What has come of answers that are not whole yet; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<Received>);

impl Progress {
    /// Nothing has come.
    pub fn new() -> Self {
        Progress::default()
    }

    /// Takes in that so many bytes have come now.
    pub fn note(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
        *self.0.last_at() = Some(Instant::now());
    }

    /// How many bytes have come.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Ordering::Relaxed)
    }

    /// Until when an answer counts as coming; none if nothing has come.
    fn progressing_until(&self) -> Option<Instant> {
        let last_at = *self.0.last_at();
        last_at.map(|last_at| last_at + STALLED_AFTER)
    }
}

/// Awaits an answer until `end`, and longer for as long as bytes of it come, at most for
/// [`TRANSFER_LIMIT`]; none if it has not come then.
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
