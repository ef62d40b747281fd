//! Following one table of the store, for ever: at the store itself, or at a node that knows it.
//!
//! Every call to the store has its price, and it takes so many a second from all nodes together.
//! A few nodes, the watchers, follow it; the others follow a watcher, the nearest first, as long as
//! what it tells is as fresh as the store's own news would be. A watcher that the store does not
//! answer follows another one, and a node that no watcher serves follows the store.

mod patience;
mod peer;
mod store_clock;

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

use self::patience::{CHANGES_SLACK, Patience};
use self::store_clock::StoreClock;

/// How long a whole read may take until its answer begins to come.
const READ_LIMIT: Duration = Duration::from_millis(1_000);
/// The pauses after failed calls.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// For how long a node that told nothing of use is passed over.
const PASS_OVER: Duration = Duration::from_secs(3);
/// How often a watcher that follows another one asks the store again.
const STORE_AGAIN: Duration = Duration::from_secs(2);
/// The pause after a change of the nodes, so that nodes which start together are told at once, and
/// after a change of any table that follows another one within twice this time: a call to the store
/// tells of all changes since the last one, however many there are.
const CHANGES_PAUSE: Duration = Duration::from_millis(250);
/// How long the nodes wait for each other to be listed at the first start of the whole system: the
/// store takes 200 writes a second, and 295 nodes write one each.
const FLEET_LISTED: Duration = Duration::from_millis(2_000);
/// How long a starting node waits for the list of nodes before it reads the other tables itself.
const LIST_LIMIT: Duration = Duration::from_millis(800);
/// As [`LIST_LIMIT`], at the first start of the whole system: a seed reads the list, then the watchers,
/// then all others.
const FLEET_LIST_LIMIT: Duration = Duration::from_millis(2_500);

/// What is done with the rows of a table.
pub trait RowSink: Send {
    /// Takes in all rows as of a version of the store; those that are not among them are gone.
    fn replace(&mut self, rows: &[Row], version: StoreVersion);

    /// Takes in rows that have changed or are gone, in the order of their changes.
    fn change(&mut self, rows: &[Row]);

    /// The store's rows as nodes tell them to each other: with the same keys and versions.
    fn told_form(&self, rows: Vec<Row>) -> Vec<Row> {
        rows
    }

    /// All rows under which nodes tell each other of the table, after the store has `told` of its
    /// rows: of all of them if `is_whole`, else of those that have changed. None if nothing has, or if
    /// the store's rows are those of the nodes.
    fn whole_table(&self, _told: &[Row], _is_whole: bool) -> Option<Vec<Row>> {
        None
    }

    /// The rows to go on with, after all of them were told: those, unless the store came back from a
    /// copy that is older than what is known.
    fn newest(&self, told: Vec<Row>) -> Vec<Row> {
        told
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
        patience: Patience::of(table, &context.settings.bounds),
        context,
        table,
        sink,
        backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE),
        lost: false,
        store_again_at: Timestamp::ZERO,
        version: None,
        knows_rows: false,
        told_at: Timestamp::ZERO,
        store_clock: StoreClock::default(),
        passed_over: HashMap::new(),
        changed_at: None,
        is_new: true,
        is_told_from_start: table == Table::Cluster && first_start,
    };
    follower.await_others().await;
    loop {
        follower.step().await;
    }
}

/// Gives the rows of a whole table that are news the version from which on they are; the others
/// keep that from which on they are known. `known` is in the order of its keys.
pub fn note_news(rows: &mut [Row], known: &[Row], version: StoreVersion) {
    for row in rows {
        let same = known.binary_search_by(|known| known.key.cmp(&row.key));
        let same = same.ok().map(|index| &known[index]);
        let same = same.filter(|known| known.value == row.value);
        row.version = same.map_or(version, |known| known.version);
    }
}

/// What became of another node's news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TakenNews {
    /// They are known now.
    Taken,
    /// That node knows less than this one.
    Behind,
    /// With them this node would know another table than that one: all of it must be asked for.
    Diverged,
}

struct Follower<S> {
    context: Arc<Context>,
    table: Table,
    patience: Patience,
    sink: S,
    backoff: Backoff,
    /// Whether the store left the last call without an answer.
    lost: bool,
    store_again_at: Timestamp,
    /// The store's version up to which all changes are known; none if all must be read anew.
    version: Option<StoreVersion>,
    /// Whether the table was ever read, or told by another node.
    knows_rows: bool,
    /// When the store last told of the table, to this node or to the one that it follows.
    told_at: Timestamp,
    store_clock: StoreClock,
    passed_over: HashMap<String, Timestamp>,
    /// When the store last told of changes.
    changed_at: Option<Timestamp>,
    /// Whether nothing has been asked for yet.
    is_new: bool,
    /// Whether the store may remember all changes of the table since the whole system has started:
    /// one call then tells of all shards.
    is_told_from_start: bool,
}

impl<S: RowSink> Follower<S> {
    /// Before the first call: a starting node reads from the store which nodes there are, and asks
    /// these for the rest.
    async fn await_others(&self) {
        let first_start = self.context.settings.node.first_start;
        let (listed_in, limit) = if first_start {
            (FLEET_LISTED, FLEET_LIST_LIMIT)
        } else {
            (Duration::ZERO, LIST_LIMIT)
        };
        if self.table == Table::Cluster {
            tokio::time::sleep(listed_in).await;
        } else {
            let limit = Instant::now() + listed_in + limit;
            self.context.homes.await_list(limit).await;
        }
    }

    /// One call, at the node or the store that is followed.
    async fn step(&mut self) {
        let is_new = std::mem::take(&mut self.is_new);
        let mut peers = self.peers();
        if is_new && self.table == Table::Cluster {
            peers = self.watchers_at_start().await;
        }
        for peer in peers {
            if self.ask_peer(&peer).await {
                return;
            }
            let until = self.context.clock.now() + PASS_OVER;
            self.passed_over.insert(peer.name, until);
        }
        match self.version {
            Some(version) => self.ask_changes(version).await,
            None if self.is_told_from_start => self.ask_changes(StoreVersion::NONE).await,
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
        let may_ask = !self.lost || is_back || now >= self.store_again_at;
        let follows_store = watchers.is_own && may_ask;
        if follows_store {
            return Vec::new();
        }
        self.passed_over.retain(|_, until| *until > now);
        let others = watchers.others.iter();
        others
            .filter(|peer| !self.passed_over.contains_key(&peer.name))
            .cloned()
            .collect()
    }

    /// Takes in what another node tells, unless it knows less than this node. That holds also while
    /// this node reads the table anew: rows that it knows to be gone would come back for good.
    fn take_news(&mut self, news: News, told_at: Timestamp, told_by: &str) -> TakenNews {
        let known = &self.context.known_tables;
        let is_present = self.context.note_store_era(news.version.era(), told_by);
        if !is_present || news.version < known.version(self.table) {
            return TakenNews::Behind;
        }
        let mut rows: Vec<Row> = news.rows.0.into_iter().map(|row| row.0).collect();
        if news.whole {
            if self.sink.derives_rows() {
                note_news(&mut rows, &known.rows(self.table), news.version);
            }
            self.take_all(rows, news.version, told_at, told_by);
            return TakenNews::Taken;
        }
        if self.sink.derives_rows() && known.digest_after(self.table, &rows) != news.digest {
            self.version = None;
            return TakenNews::Diverged;
        }
        self.take_changes(&rows, news.version, told_at);
        TakenNews::Taken
    }

    fn take_all(
        &mut self,
        rows: Vec<Row>,
        version: StoreVersion,
        told_at: Timestamp,
        told_by: &str,
    ) {
        self.note_absence(told_at);
        self.note_era(version, told_by);
        let rows = self.sink.newest(rows);
        let known = &self.context.known_tables;
        let outdated = known.replace(self.table, &rows, version, told_at, self.compared());
        self.note_outdated(outdated, version);
        self.sink.replace(&rows, version);
        self.knows_rows = true;
        self.note_taken_in(version, told_at);
    }

    fn take_changes(&mut self, rows: &[Row], version: StoreVersion, told_at: Timestamp) {
        self.note_absence(told_at);
        self.knows_rows = true;
        let known = &self.context.known_tables;
        let outdated = known.change(self.table, rows, version, told_at);
        self.note_outdated(outdated, version);
        if !rows.is_empty() {
            self.sink.change(rows);
        }
        self.note_taken_in(version, told_at);
    }

    fn compared(&self) -> Compared {
        if self.sink.derives_rows() {
            Compared::ByDigest
        } else {
            Compared::ByVersion
        }
    }

    /// Tells of rows as of a version that were passed over.
    fn note_outdated(&self, rows: usize, version: StoreVersion) {
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
    fn note_era(&self, version: StoreVersion, told_by: &str) {
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
            told_by = told_by
        );
    }

    /// Takes in that all rows up to a version have been taken in.
    fn note_taken_in(&mut self, version: StoreVersion, told_at: Timestamp) {
        if self.table == Table::Servers {
            self.context.cold.record_entries_known_to(version);
        }
        self.note_told(version, told_at);
    }

    /// Takes in that the store was away, if its news make a leap.
    fn note_absence(&mut self, told_at: Timestamp) {
        if self.knows_rows && told_at.since(self.told_at) > self.patience.away() {
            let regained_at = &self.context.store_regained_at;
            let mut regained_at = regained_at.lock().unwrap_or_else(PoisonError::into_inner);
            *regained_at = Some(self.context.clock.now());
        }
    }

    fn note_told(&mut self, version: StoreVersion, told_at: Timestamp) {
        self.version = self.version.max(Some(version));
        self.told_at = self.told_at.max(told_at);
    }

    /// Reads the whole table; if the store does not answer, another node's will do.
    async fn read(&mut self) {
        let asked_at = self.context.clock.now();
        let progress = Progress::new();
        let call = self.context.store.read(self.table, &progress);
        let end = Instant::now() + READ_LIMIT;
        let error = match while_moving(call, &progress, end).await {
            Some(Ok(read)) => {
                self.note_answer();
                if !self
                    .context
                    .note_store_era(read.version.era(), TOLD_BY_STORE)
                {
                    return self.note_failure(StoreError::EraChanged).await;
                }
                let told_at = self.moment_of(&read, asked_at);
                let rows = self.sink.told_form(read.rows);
                let rows = self.sink.whole_table(&rows, true).unwrap_or(rows);
                self.take_all(rows, read.version, told_at, TOLD_BY_STORE);
                return;
            }
            Some(Err(error)) => error,
            None => StoreError::Unknown,
        };
        self.note_failure(error).await;
        if !self.knows_rows {
            self.ask_seeds().await;
        }
    }

    /// Waits for changes after a version and takes them in.
    async fn ask_changes(&mut self, after: StoreVersion) {
        // A store that was just lost is asked without a wait, so that its return is seen, and one
        // that was not asked before, so that its clock is known well.
        let wait = if self.lost || !self.store_clock.is_known() {
            Duration::ZERO
        } else {
            self.patience.wait
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
                self.note_answer();
                let told = changes.version;
                self.context.note_store_era(told.era(), TOLD_BY_STORE);
                match continuity(after, told, self.context.era()) {
                    Continuity::Complete => {}
                    Continuity::EraChanged => {
                        self.version = None;
                        return;
                    }
                    Continuity::StaleEra => {
                        return self.note_failure(StoreError::EraChanged).await;
                    }
                }
                let told_at = self.moment_of(&changes, asked_at);
                let rows = self.sink.told_form(changes.rows);
                match self.sink.whole_table(&rows, false) {
                    Some(rows) => self.take_all(rows, changes.version, told_at, TOLD_BY_STORE),
                    None => self.take_changes(&rows, changes.version, told_at),
                }
                if self.is_due_to_pause(&rows) {
                    tokio::time::sleep(CHANGES_PAUSE).await;
                }
            }
            Some(Err(StoreError::HistoryGone)) => {
                self.version = None;
                self.is_told_from_start = false;
            }
            Some(Err(error)) => self.note_failure(error).await,
            None => self.note_failure(StoreError::Unknown).await,
        }
    }

    /// Whether more changes are to be expected at once, after these have come.
    fn is_due_to_pause(&mut self, rows: &[Row]) -> bool {
        if rows.is_empty() {
            return false;
        }
        let now = self.context.clock.now();
        let changed_at = self.changed_at.replace(now);
        let is_burst = changed_at.is_some_and(|before| now.since(before) < CHANGES_PAUSE * 2);
        let tells_nodes = self.table == Table::Cluster && rows.iter().any(is_node_row);
        is_burst || tells_nodes
    }

    /// When the store has told this, at the earliest, on this node's clock.
    fn moment_of(&mut self, read: &ReadRows, asked_at: Timestamp) -> Timestamp {
        let now = self.context.clock.now();
        self.store_clock.moment_of(read.now, asked_at, now)
    }

    fn note_answer(&mut self) {
        self.context.metrics.count_store_call(true);
        self.context.note_store_answer();
        self.backoff.reset();
        if std::mem::take(&mut self.lost) {
            log_event!(events::STORE_REGAINED, table = format!("{:?}", self.table));
        }
    }

    async fn note_failure(&mut self, error: StoreError) {
        self.context.metrics.count_store_call(false);
        self.context.note_store_failure();
        self.store_again_at = self.context.clock.now() + STORE_AGAIN;
        if !std::mem::replace(&mut self.lost, true) {
            log_event!(
                events::STORE_LOST,
                table = format!("{:?}", self.table),
                error = error
            );
        }
        let pause = self.backoff.next_delay(rand::rng().random());
        tokio::time::sleep(pause).await;
    }
}
