//! Following of one table, either from the store or from another node.
//!
//! Every call to the store has a cost, and the store limits the calls per second of all nodes
//! together. So only a few nodes, the watchers, follow the store. The others follow a watcher, the
//! nearest first, as long as its updates are as fresh as those of the store would be. A watcher
//! that gets no answer from the store follows another watcher, and a node that no watcher serves
//! follows the store.

mod peer;
mod store_clock;
mod timeouts;

use std::collections::HashMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use rand::RngExt;
use spurpier_core::retry::Backoff;
use spurpier_core::store_version::{Continuity, StoreVersion, continuity};
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::time::Instant;

use crate::context::{Context, STORE_SOURCE};
use crate::events;
use crate::homes::PeerNode;
use crate::known_tables::{Compared, TableUpdates};
use crate::membership::is_node_row;
use crate::ports::{ReadRows, Row, StoreError, Table};
use crate::progress::{Progress, while_moving};

use self::store_clock::StoreClock;
use self::timeouts::{CHANGES_SLACK, FollowTimeouts};

/// Timeout for a read of the whole table until its answer starts to arrive.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delays before retries of failed calls to the store.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// How long a node is not asked again after a failed request.
const PEER_EXCLUSION: Duration = Duration::from_secs(3);
/// Delay after which a watcher that lost the store calls it again.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Delay before the next call after a change of the nodes, so that nodes which start together are
/// reported in one call, and after any change that follows another one within twice this time. A
/// call to the store returns all changes since the last one.
const CHANGES_BATCH_DELAY: Duration = Duration::from_millis(250);
/// How long nodes wait for each other to be listed at the first start of the whole system: the
/// store accepts 200 writes per second, and 295 nodes write one entry each.
const FLEET_REGISTRATION_TIME: Duration = Duration::from_millis(2_000);
/// How long a starting node waits for the list of nodes before it reads the other tables itself.
const NODE_LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// As [`NODE_LIST_TIMEOUT`], at the first start of the whole system: the seeds read the list first,
/// then the watchers, then all other nodes.
const FLEET_NODE_LIST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Receives the rows of a followed table.
pub trait RowSink: Send {
    /// Replaces all rows by those as of a version of the store; rows not among them are gone.
    fn replace(&mut self, rows: &[Row], version: StoreVersion);

    /// Applies rows that have changed or are gone, in the order of their changes.
    fn change(&mut self, rows: &[Row]);

    /// Converts rows of the store to the form that nodes exchange, with the same keys and versions.
    fn peer_rows(&self, rows: Vec<Row>) -> Vec<Row> {
        rows
    }

    /// Returns the whole table in the rows that nodes exchange, after an answer of the store with
    /// all of its rows if `is_whole`, else with the changed ones. None if nothing changed, or if
    /// nodes exchange the rows of the store themselves.
    fn peer_table(&self, _stored: &[Row], _is_whole: bool) -> Option<Vec<Row>> {
        None
    }

    /// Selects the rows to keep after all rows were reported: the reported ones, unless the store
    /// was restored from a copy that is older than the known rows.
    fn newest(&self, reported: Vec<Row>) -> Vec<Row> {
        reported
    }

    /// Whether nodes derive the rows that they exchange from those of the store, so that two nodes
    /// may give the same row different versions.
    ///
    /// A node that skipped versions of the store's row does not know what was added and removed
    /// again in between, and does not report the removal. A node that knows the added row would
    /// then keep it: one of 59 nodes ran statements for a dropped database seven seconds later.
    /// Digests of such tables are compared to prevent this.
    fn derives_rows(&self) -> bool {
        false
    }
}

/// Follows a table and passes its rows to `sink`; never returns.
pub async fn follow(context: Arc<Context>, table: Table, sink: impl RowSink) {
    let first_start = context.settings.node.first_start;
    let mut follower = Follower {
        timeouts: FollowTimeouts::of(table, &context.settings.bounds),
        context,
        table,
        sink,
        backoff: Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY),
        is_store_lost: false,
        store_retry_at: Timestamp::ZERO,
        version: None,
        knows_rows: false,
        reported_at: Timestamp::ZERO,
        store_clock: StoreClock::default(),
        excluded_peers: HashMap::new(),
        changed_at: None,
        is_new: true,
        reads_changes_from_start: table == Table::Cluster && first_start,
    };
    follower.wait_for_node_list().await;
    loop {
        follower.step().await;
    }
}

/// Sets the version of each row of a whole table: `version` if the row is new or changed, else its
/// known version. `known` is sorted by key.
pub fn assign_row_versions(rows: &mut [Row], known: &[Row], version: StoreVersion) {
    for row in rows {
        let same = known.binary_search_by(|known| known.key.cmp(&row.key));
        let same = same.ok().map(|index| &known[index]);
        let same = same.filter(|known| known.value == row.value);
        row.version = same.map_or(version, |known| known.version);
    }
}

/// Result of applying updates of another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateOutcome {
    /// The updates were applied.
    Applied,
    /// The other node's version is older than this node's, so the updates were ignored.
    Behind,
    /// The updates would give this node a different table than the other node has, so the whole
    /// table must be requested.
    Diverged,
}

struct Follower<S> {
    context: Arc<Context>,
    table: Table,
    timeouts: FollowTimeouts,
    sink: S,
    backoff: Backoff,
    /// Whether the last call to the store failed.
    is_store_lost: bool,
    store_retry_at: Timestamp,
    /// Version of the store up to which all changes are known; none if the whole table must be
    /// read.
    version: Option<StoreVersion>,
    /// Whether the table was ever read from the store or another node.
    knows_rows: bool,
    /// When the store last reported the table, to this node or to the node that it follows.
    reported_at: Timestamp,
    store_clock: StoreClock,
    excluded_peers: HashMap<String, Timestamp>,
    /// When the store last reported changes.
    changed_at: Option<Timestamp>,
    /// Whether no call has been made yet.
    is_new: bool,
    /// Whether the store may still have all changes of the table since the first start of the whole
    /// system: one call for changes then returns the rows of all shards.
    reads_changes_from_start: bool,
}

impl<S: RowSink> Follower<S> {
    /// Waits before the first call. A starting node reads the list of nodes from the store, and
    /// then asks these nodes for the other tables.
    async fn wait_for_node_list(&self) {
        let first_start = self.context.settings.node.first_start;
        let (registration_time, limit) = if first_start {
            (FLEET_REGISTRATION_TIME, FLEET_NODE_LIST_TIMEOUT)
        } else {
            (Duration::ZERO, NODE_LIST_TIMEOUT)
        };
        if self.table == Table::Cluster {
            tokio::time::sleep(registration_time).await;
        } else {
            let limit = Instant::now() + registration_time + limit;
            self.context.homes.wait_for_list(limit).await;
        }
    }

    /// Requests the table or its changes once: from other nodes, else from the store.
    async fn step(&mut self) {
        let is_new = std::mem::take(&mut self.is_new);
        let mut peers = self.peers();
        if is_new && self.table == Table::Cluster {
            peers = self.initial_watchers().await;
        }
        for peer in peers {
            if self.ask_peer(&peer).await {
                return;
            }
            let until = self.context.clock.now() + PEER_EXCLUSION;
            self.excluded_peers.insert(peer.name, until);
        }
        match self.version {
            Some(version) => self.ask_changes(version).await,
            None if self.reads_changes_from_start => self.ask_changes(StoreVersion::NONE).await,
            None => self.read().await,
        }
    }

    /// Returns the nodes to ask before the store; empty if the store is to be asked directly.
    fn peers(&mut self) -> Vec<PeerNode> {
        let now = self.context.clock.now();
        if !self.knows_rows && self.table == Table::Cluster {
            // The list of other nodes has to be read from the store first.
            return Vec::new();
        }
        let watchers = self.context.homes.watchers();
        let is_back = self
            .version
            .is_some_and(|version| version.era() < self.context.era());
        let may_ask = !self.is_store_lost || is_back || now >= self.store_retry_at;
        let follows_store = watchers.is_own && may_ask;
        if follows_store {
            return Vec::new();
        }
        self.excluded_peers.retain(|_, until| *until > now);
        let others = watchers.others.iter();
        others
            .filter(|peer| !self.excluded_peers.contains_key(&peer.name))
            .cloned()
            .collect()
    }

    /// Applies updates of another node unless its version is older than this node's. This also
    /// holds while this node rereads the table: rows that it knows to be gone would otherwise come
    /// back permanently.
    fn apply_updates(
        &mut self,
        updates: TableUpdates,
        reported_at: Timestamp,
        source: &str,
    ) -> UpdateOutcome {
        let known = &self.context.known_tables;
        let is_present = self.context.record_store_era(updates.version.era(), source);
        if !is_present || updates.version < known.version(self.table) {
            return UpdateOutcome::Behind;
        }
        let mut rows: Vec<Row> = updates.rows.0.into_iter().map(|row| row.0).collect();
        if updates.whole {
            if self.sink.derives_rows() {
                assign_row_versions(&mut rows, &known.rows(self.table), updates.version);
            }
            self.replace_all(rows, updates.version, reported_at, source);
            return UpdateOutcome::Applied;
        }
        if self.sink.derives_rows() && known.digest_after(self.table, &rows) != updates.digest {
            self.version = None;
            return UpdateOutcome::Diverged;
        }
        self.apply_changes(&rows, updates.version, reported_at);
        UpdateOutcome::Applied
    }

    fn replace_all(
        &mut self,
        rows: Vec<Row>,
        version: StoreVersion,
        reported_at: Timestamp,
        source: &str,
    ) {
        self.record_store_outage(reported_at);
        self.log_era_change(version, source);
        let rows = self.sink.newest(rows);
        let known = &self.context.known_tables;
        let outdated = known.replace(self.table, &rows, version, reported_at, self.compared());
        self.record_outdated_rows(outdated, version);
        self.sink.replace(&rows, version);
        self.knows_rows = true;
        self.record_applied(version, reported_at);
    }

    fn apply_changes(&mut self, rows: &[Row], version: StoreVersion, reported_at: Timestamp) {
        self.record_store_outage(reported_at);
        self.knows_rows = true;
        let known = &self.context.known_tables;
        let outdated = known.change(self.table, rows, version, reported_at);
        self.record_outdated_rows(outdated, version);
        if !rows.is_empty() {
            self.sink.change(rows);
        }
        self.record_applied(version, reported_at);
    }

    fn compared(&self) -> Compared {
        if self.sink.derives_rows() {
            Compared::ByDigest
        } else {
            Compared::ByVersion
        }
    }

    /// Counts and logs rows of an update that were ignored because newer ones are known.
    fn record_outdated_rows(&self, rows: usize, version: StoreVersion) {
        if rows == 0 {
            return;
        }
        let context = &self.context;
        context.metrics.count_outdated_rows(self.table, rows);
        let now = context.clock.now();
        if let Some(suppressed) = context.log_budget.take(events::ROWS_OUTDATED, now) {
            log_event!(
                events::ROWS_OUTDATED,
                table = format!("{:?}", self.table),
                rows = rows,
                version = version,
                known_version = context.known_tables.version(self.table),
                suppressed = suppressed
            );
        }
    }

    /// Logs that the store was restored, if the table is now reported in another era.
    fn log_era_change(&self, version: StoreVersion, source: &str) {
        let known = &self.context.known_tables;
        let former = known.version(self.table);
        if !self.knows_rows || former.era() == version.era() {
            return;
        }
        log_event!(
            events::STORE_ERA_CHANGED,
            table = format!("{:?}", self.table),
            former = former,
            present = version,
            rows_above = known.count_numbers_above(self.table, version),
            told_by = source
        );
    }

    /// Records that all rows up to a version have been applied.
    fn record_applied(&mut self, version: StoreVersion, reported_at: Timestamp) {
        if self.table == Table::Servers {
            self.context.cold.record_entries_known_to(version);
        }
        self.record_progress(version, reported_at);
    }

    /// Records that the store was unavailable, if there is a gap between its updates.
    fn record_store_outage(&mut self, reported_at: Timestamp) {
        if self.knows_rows && reported_at.since(self.reported_at) > self.timeouts.outage_threshold()
        {
            let regained_at = &self.context.store_regained_at;
            let mut regained_at = regained_at.lock().unwrap_or_else(PoisonError::into_inner);
            *regained_at = Some(self.context.clock.now());
        }
    }

    fn record_progress(&mut self, version: StoreVersion, reported_at: Timestamp) {
        self.version = self.version.max(Some(version));
        self.reported_at = self.reported_at.max(reported_at);
    }

    /// Reads the whole table from the store, or from a seed if the store does not answer and no
    /// rows are known.
    async fn read(&mut self) {
        let asked_at = self.context.clock.now();
        let progress = Progress::new();
        let call = self.context.store.read(self.table, &progress);
        let end = Instant::now() + READ_TIMEOUT;
        let error = match while_moving(call, &progress, end).await {
            Some(Ok(read)) => {
                self.record_success();
                if !self
                    .context
                    .record_store_era(read.version.era(), STORE_SOURCE)
                {
                    return self.retry_after_failure(StoreError::EraChanged).await;
                }
                let reported_at = self.earliest_answer_time(&read, asked_at);
                let rows = self.sink.peer_rows(read.rows);
                let rows = self.sink.peer_table(&rows, true).unwrap_or(rows);
                self.replace_all(rows, read.version, reported_at, STORE_SOURCE);
                return;
            }
            Some(Err(error)) => error,
            None => StoreError::Unknown,
        };
        self.retry_after_failure(error).await;
        if !self.knows_rows {
            self.ask_seeds().await;
        }
    }

    /// Waits for changes after a version and applies them.
    async fn ask_changes(&mut self, after: StoreVersion) {
        // Without a wait, the return of a lost store is noticed at once, and the first reading of
        // the store's clock is precise.
        let wait = if self.is_store_lost || !self.store_clock.is_known() {
            Duration::ZERO
        } else {
            self.timeouts.wait
        };
        let asked_at = self.context.clock.now();
        let progress = Progress::new();
        let store = &self.context.store;
        let call = store.changes(self.table, after, wait, &progress);
        let end = Instant::now() + wait + CHANGES_SLACK;
        let mut era = self.context.store_era.subscribe();
        let answered = tokio::select! {
            answered = while_moving(call, &progress, end) => answered,
            // The sender is never dropped before the context.
            _ = era.wait_for(|era| after != StoreVersion::NONE && *era > after.era()) => {
                self.version = None;
                return;
            }
        };
        match answered {
            Some(Ok(changes)) => {
                self.record_success();
                let reported = changes.version;
                self.context.record_store_era(reported.era(), STORE_SOURCE);
                match continuity(after, reported, self.context.era()) {
                    Continuity::Complete => {}
                    Continuity::EraChanged => {
                        self.version = None;
                        return;
                    }
                    Continuity::StaleEra => {
                        return self.retry_after_failure(StoreError::EraChanged).await;
                    }
                }
                let reported_at = self.earliest_answer_time(&changes, asked_at);
                let rows = self.sink.peer_rows(changes.rows);
                match self.sink.peer_table(&rows, false) {
                    Some(rows) => {
                        self.replace_all(rows, changes.version, reported_at, STORE_SOURCE)
                    }
                    None => self.apply_changes(&rows, changes.version, reported_at),
                }
                if self.should_delay(&rows) {
                    tokio::time::sleep(CHANGES_BATCH_DELAY).await;
                }
            }
            Some(Err(StoreError::HistoryGone)) => {
                self.version = None;
                self.reads_changes_from_start = false;
            }
            Some(Err(error)) => self.retry_after_failure(error).await,
            None => self.retry_after_failure(StoreError::Unknown).await,
        }
    }

    /// Whether to delay the next call because more changes are expected soon.
    fn should_delay(&mut self, rows: &[Row]) -> bool {
        if rows.is_empty() {
            return false;
        }
        let now = self.context.clock.now();
        let changed_at = self.changed_at.replace(now);
        let is_burst = changed_at.is_some_and(|before| now.since(before) < CHANGES_BATCH_DELAY * 2);
        let changes_nodes = self.table == Table::Cluster && rows.iter().any(is_node_row);
        is_burst || changes_nodes
    }

    /// Returns the earliest time, on this node's clock, at which the store gave an answer.
    fn earliest_answer_time(&mut self, read: &ReadRows, asked_at: Timestamp) -> Timestamp {
        let now = self.context.clock.now();
        self.store_clock
            .earliest_answer_time(read.now, asked_at, now)
    }

    fn record_success(&mut self) {
        self.context.metrics.count_store_call(true);
        self.context.record_store_answer();
        self.backoff.reset();
        if std::mem::take(&mut self.is_store_lost) {
            log_event!(events::STORE_RECOVERED, table = format!("{:?}", self.table));
        }
    }

    async fn retry_after_failure(&mut self, error: StoreError) {
        self.context.metrics.count_store_call(false);
        self.context.record_store_failure();
        self.store_retry_at = self.context.clock.now() + STORE_RETRY_DELAY;
        if !std::mem::replace(&mut self.is_store_lost, true) {
            log_event!(
                events::STORE_LOST,
                table = format!("{:?}", self.table),
                error = error
            );
        }
        let delay = self.backoff.next_delay(rand::rng().random());
        tokio::time::sleep(delay).await;
    }
}
