//! Measures how long writes cannot be accepted after the loss of a primary.

use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::kind::RequestKind;
use super::session::{ClientSession, SessionEnvironment};
use crate::oracle::Outcome;

/// How many sessions write at the same time while the gap is measured.
const WRITERS: usize = 8;
/// The time between the first requests of two writers.
const WRITER_STAGGER: Duration = Duration::from_millis(5);

/// The moment at which the first write was accepted of those sent from now on; none if none was
/// accepted within `patience`.
///
/// The caller takes the moment of the loss just before. The writes enter the history.
pub async fn first_accepted_write(
    environment: &SessionEnvironment,
    database: &str,
    name: &str,
    patience: Duration,
) -> Option<Instant> {
    let deadline = Instant::now() + patience;
    let mut writers: FuturesUnordered<_> = (0..WRITERS)
        .map(|number| {
            let session_name = format!("{name}-{number}");
            write_until_accepted(environment, database, session_name, number, deadline)
        })
        .collect();
    let mut first: Option<Instant> = None;
    // Every writer runs to its end, so that no request of the history is cut by the harness.
    while let Some(accepted) = writers.next().await {
        first = match (first, accepted) {
            (Some(first), Some(accepted)) => Some(first.min(accepted)),
            (first, accepted) => first.or(accepted),
        };
    }
    first
}

async fn write_until_accepted(
    environment: &SessionEnvironment,
    database: &str,
    session_name: String,
    number: usize,
    deadline: Instant,
) -> Option<Instant> {
    let proxy = number % environment.proxies.len();
    let seed = number as u64;
    let mut session = ClientSession::new(session_name, database.to_owned(), proxy, seed);
    tokio::time::sleep(WRITER_STAGGER * number as u32).await;
    while Instant::now() < deadline {
        let result = session
            .perform(environment, RequestKind::KeyedWrite, Instant::now())
            .await;
        if result.outcome == Outcome::Done {
            return Some(Instant::now());
        }
    }
    None
}
