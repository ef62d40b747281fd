//! Following one table of the store, for ever: at the store itself, or at a node that knows it.
//!
//! Every call to the store has its price, and it takes so many a second from all nodes together.
//! A few nodes, the watchers, follow it; the others follow a watcher, the nearest first, as long as
//! what it tells is as fresh as the store's own news would be. A watcher that the store does not
//! answer follows another one, and a node that no watcher serves follows the store.

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

use crate::context::{Context, TOLD_BY_STORE};
use crate::events;
use crate::homes::PeerNode;
use crate::known_tables::{Compared, News};
use crate::membership::is_node_row;
use crate::ports::{ReadRows, Row, StoreError, Table};
use crate::progress::{Progress, while_moving};

use self::store_clock::StoreClock;
use self::timeouts::{CHANGES_SLACK, FollowTimeouts};

/// How long a whole read may take until its answer begins to come.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pauses after failed calls.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// For how long a node that told nothing of use is passed over.
const PEER_EXCLUSION: Duration = Duration::from_secs(3);
/// How often a watcher that follows another one asks the store again.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The pause after a change of the nodes, so that nodes which start together are told at once, and
/// after a change of any table that follows another one within twice this time: a call to the store
/// tells of all changes since the last one, however many there are.
const CHANGES_BATCH_DELAY: Duration = Duration::from_millis(250);
/// How long the nodes wait for each other to be listed at the first start of the whole system: the
/// store takes 200 writes a second, and 295 nodes write one each.
const FLEET_REGISTRATION_TIME: Duration = Duration::from_millis(2_000);
/// How long a starting node waits for the list of nodes before it reads the other tables itself.
const NODE_LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// As [`NODE_LIST_TIMEOUT`], at the first start of the whole system: a seed reads the list, then the watchers,
/// then all others.
const FLEET_NODE_LIST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What is done with the rows of a table.
pub trait RowSink: Send {
    /// Takes in all rows as of a version of the store; those that are not among them are gone.
    fn replace(&mut self, rows: &[Row], version: StoreVersion);

    /// Takes in rows that have changed or are gone, in the order of their changes.
    fn change(&mut self, rows: &[Row]);

    /// The store's rows as nodes tell them to each other: with the same keys and versions.
    fn peer_rows(&self, rows: Vec<Row>) -> Vec<Row> {
        rows
    }

    /// All rows under which nodes tell each other of the table, after the store has `reported` of its
    /// rows: of all of them if `is_whole`, else of those that have changed. None if nothing has, or if
    /// the store's rows are those of the nodes.
    fn peer_table(&self, _stored: &[Row], _is_whole: bool) -> Option<Vec<Row>> {
        None
    }

    /// The rows to go on with, after all of them were told: those, unless the store came back from a
    /// copy that is older than what is known.
    fn newest(&self, reported: Vec<Row>) -> Vec<Row> {
        reported
    }

    /// Whether the rows that nodes tell each other are not the store's own, so that two nodes may
    /// give one row different versions.
    ///
    /// A node that went from one version of the store's row to another does not know what was added
    /// and dropped again in between, and tells nothing of it. A node that knows of it would keep
    /// it: one of 59 ran statements for a dropped database seven seconds later (seen in its log).
    fn derives_rows(&self) -> bool {
        false
    }
}

/// Follows a table; never returns.
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

/// Gives the rows of a whole table that are news the version from which on they are; the others
/// keep that from which on they are known. `known` is in the order of its keys.
pub fn assign_row_versions(rows: &mut [Row], known: &[Row], version: StoreVersion) {
    for row in rows {
        let same = known.binary_search_by(|known| known.key.cmp(&row.key));
        let same = same.ok().map(|index| &known[index]);
        let same = same.filter(|known| known.value == row.value);
        row.version = same.map_or(version, |known| known.version);
    }
}

/// What became of another node's news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateOutcome {
    /// They are known now.
    Applied,
    /// That node knows less than this one.
    Behind,
    /// With them this node would know another table than that one: all of it must be asked for.
    Diverged,
}

struct Follower<S> {
    context: Arc<Context>,
    table: Table,
    timeouts: FollowTimeouts,
    sink: S,
    backoff: Backoff,
    /// Whether the store left the last call without an answer.
    is_store_lost: bool,
    store_retry_at: Timestamp,
    /// The store's version up to which all changes are known; none if all must be read anew.
    version: Option<StoreVersion>,
    /// Whether the table was ever read, or told by another node.
    knows_rows: bool,
    /// When the store last told of the table, to this node or to the one that it follows.
    reported_at: Timestamp,
    store_clock: StoreClock,
    excluded_peers: HashMap<String, Timestamp>,
    /// When the store last told of changes.
    changed_at: Option<Timestamp>,
    /// Whether nothing has been asked for yet.
    is_new: bool,
    /// Whether the store may remember all changes of the table since the whole system has started:
    /// one call then tells of all shards.
    reads_changes_from_start: bool,
}

impl<S: RowSink> Follower<S> {
    /// Before the first call: a starting node reads from the store which nodes there are, and asks
    /// these for the rest.
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
            self.context.homes.await_list(limit).await;
        }
    }

    /// One call, at the node or the store that is followed.
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

    /// The nodes to ask before the store; none if the store is to be asked.
    fn peers(&mut self) -> Vec<PeerNode> {
        let now = self.context.clock.now();
        if !self.knows_rows && self.table == Table::Cluster {
            // Which other nodes there are is read there.
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

    /// Takes in what another node tells, unless it knows less than this node. That holds also while
    /// this node reads the table anew: rows that it knows to be gone would come back for good.
    fn apply_updates(
        &mut self,
        updates: News,
        reported_at: Timestamp,
        source: &str,
    ) -> UpdateOutcome {
        let known = &self.context.known_tables;
        let is_present = self.context.note_store_era(updates.version.era(), source);
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

    /// Tells of rows as of a version that were passed over.
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

    /// Tells of the store's return, if it is a later era in which the table is told now.
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

    /// Takes in that all rows up to a version have been taken in.
    fn record_applied(&mut self, version: StoreVersion, reported_at: Timestamp) {
        if self.table == Table::Servers {
            self.context.cold.note_entries_known_to(version);
        }
        self.record_progress(version, reported_at);
    }

    /// Takes in that the store was away, if its news make a leap.
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

    /// Reads the whole table; if the store does not answer, another node's will do.
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
                    .note_store_era(read.version.era(), TOLD_BY_STORE)
                {
                    return self.retry_after_failure(StoreError::EraChanged).await;
                }
                let reported_at = self.earliest_answer_time(&read, asked_at);
                let rows = self.sink.peer_rows(read.rows);
                let rows = self.sink.peer_table(&rows, true).unwrap_or(rows);
                self.replace_all(rows, read.version, reported_at, TOLD_BY_STORE);
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

    /// Waits for changes after a version and takes them in.
    async fn ask_changes(&mut self, after: StoreVersion) {
        // A store that was just lost is asked without a wait, so that its return is seen, and one
        // that was not asked before, so that its clock is known well.
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
            // The sender lives as long as the context.
            _ = era.wait_for(|era| after != StoreVersion::NONE && *era > after.era()) => {
                self.version = None;
                return;
            }
        };
        match answered {
            Some(Ok(changes)) => {
                self.record_success();
                let reported = changes.version;
                self.context.note_store_era(reported.era(), TOLD_BY_STORE);
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
                        self.replace_all(rows, changes.version, reported_at, TOLD_BY_STORE)
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

    /// Whether more changes are to be expected at once, after these have come.
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

    /// When the store has told this, at the earliest, on this node's clock.
    fn earliest_answer_time(&mut self, read: &ReadRows, asked_at: Timestamp) -> Timestamp {
        let now = self.context.clock.now();
        self.store_clock
            .earliest_answer_time(read.now, asked_at, now)
    }

    fn record_success(&mut self) {
        self.context.metrics.count_store_call(true);
        self.context.note_store_answer();
        self.backoff.reset();
        if std::mem::take(&mut self.is_store_lost) {
            log_event!(events::STORE_REGAINED, table = format!("{:?}", self.table));
        }
    }

    async fn retry_after_failure(&mut self, error: StoreError) {
        self.context.metrics.count_store_call(false);
        self.context.note_store_failure();
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
