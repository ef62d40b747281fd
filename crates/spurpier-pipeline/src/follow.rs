//! Following one table of the store: a whole read, then its changes, for ever.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spurpier_core::retry::Backoff;
use spurpier_events::log_event;
use tokio::time::timeout;

use crate::context::Context;
use crate::events;
use crate::handed_on::ask_seeds;
use crate::ports::{ReadRows, Row, StoreError, Table};

/// How long a whole read may take.
const READ_LIMIT: Duration = Duration::from_millis(1_000);
/// How long one wait for changes lasts at most. A connection whose answers are lost stays silent,
/// so that wait and slack together bound how late a change is taken in.
const CHANGES_WAIT: Duration = Duration::from_millis(1_800);
/// How much longer than its wait a call for changes may take.
const CHANGES_SLACK: Duration = Duration::from_millis(600);
/// The pauses after failed calls.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// What is done with the rows of a table.
pub trait RowSink: Send {
    /// Takes in all rows; those that are not among them are gone.
    fn replace(&mut self, rows: &[Row], version: u64);

    /// Takes in one row that has changed or is gone.
    fn change(&mut self, row: &Row);
}

/// Follows a table; never returns.
pub async fn follow(context: Arc<Context>, table: Table, mut sink: impl RowSink) {
    let mut follower = Follower::new(context, table);
    let mut known = None;
    loop {
        let version = match known {
            Some(version) => version,
            None => {
                let read = follower.read(&mut sink).await;
                follower.take_all(&mut sink, &read.rows, read.version);
                read.version
            }
        };
        known = follower.next_changes(version, &mut sink).await;
    }
}

struct Follower {
    context: Arc<Context>,
    table: Table,
    backoff: Backoff,
    lost: bool,
    /// Whether the table was read, or taken from another node.
    knows_rows: bool,
}

impl Follower {
    fn new(context: Arc<Context>, table: Table) -> Self {
        Follower {
            context,
            table,
            backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE),
            lost: false,
            knows_rows: false,
        }
    }

    fn take_all(&self, sink: &mut impl RowSink, rows: &[Row], version: u64) {
        self.context.known_rows.replace(self.table, rows);
        sink.replace(rows, version);
    }

    /// Takes the table from another node, if none was ever read.
    async fn take_from_seeds(&mut self, sink: &mut impl RowSink) {
        if self.knows_rows {
            return;
        }
        let Some(rows) = ask_seeds(&self.context, self.table).await else {
            return;
        };
        log_event!(
            events::TABLE_HANDED_ON,
            table = format!("{:?}", self.table),
            rows = rows.len()
        );
        self.take_all(sink, &rows, 0);
        self.knows_rows = true;
    }

    /// Reads the whole table, as often as it takes; until then another node's will do.
    async fn read(&mut self, sink: &mut impl RowSink) -> ReadRows {
        loop {
            let call = self.context.store.read(self.table);
            match timeout(READ_LIMIT, call).await {
                Ok(Ok(read)) => {
                    self.note_answer();
                    self.knows_rows = true;
                    return read;
                }
                Ok(Err(error)) => self.note_failure(error).await,
                Err(_) => self.note_failure(StoreError::Unknown).await,
            }
            self.take_from_seeds(sink).await;
        }
    }

    /// Waits for changes after a version and takes them in; none if all must be read anew.
    async fn next_changes(&mut self, version: u64, sink: &mut impl RowSink) -> Option<u64> {
        // A store that was just lost is asked with a short wait, so that its return is seen.
        let wait = if self.lost {
            Duration::ZERO
        } else {
            CHANGES_WAIT
        };
        let call = self.context.store.changes(self.table, version, wait);
        match timeout(wait + CHANGES_SLACK, call).await {
            Ok(Ok(changes)) => {
                self.note_answer();
                for row in &changes.rows {
                    self.context.known_rows.change(self.table, row);
                    sink.change(row);
                }
                Some(changes.version.max(version))
            }
            Ok(Err(StoreError::HistoryGone)) => None,
            Ok(Err(error)) => {
                self.note_failure(error).await;
                Some(version)
            }
            Err(_) => {
                self.note_failure(StoreError::Unknown).await;
                Some(version)
            }
        }
    }

    fn note_answer(&mut self) {
        self.context.note_store_answer();
        self.backoff.reset();
        if std::mem::take(&mut self.lost) {
            log_event!(events::STORE_REGAINED, table = format!("{:?}", self.table));
        }
    }

    async fn note_failure(&mut self, error: StoreError) {
        if !std::mem::replace(&mut self.lost, true) {
            log_event!(
                events::STORE_LOST,
                table = format!("{:?}", self.table),
                error = error
            );
        }
        let pause = self.backoff.next_pause(rand::rng().random());
        tokio::time::sleep(pause).await;
    }
}
