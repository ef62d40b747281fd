//! Guards against rows that are hidden or kept by mistake when the store is restored from an older
//! backup. Watchers follow the store and a follower follows the watchers; random steps are compared
//! with an oracle that holds the store's rows.

#[path = "../../spurpier-core/tests/proof/mod.rs"]
mod proof;

use std::collections::BTreeMap;

use bytes::Bytes;
use proof::{cases, config};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use spurpier_core::store_version::{Continuity, StoreEra, StoreVersion, continuity};
use spurpier_core::time::Timestamp;
use spurpier_pipeline::known_tables::{Compared, KnownTables, table_number};
use spurpier_pipeline::ports::{Row, Table};

const DEFAULT_CASES: u64 = 2_000;
const TABLE: Table = Table::Servers;
const KEYS: u8 = 4;
const WATCHERS: usize = 2;
/// Calls after which a node is up to date if nothing changes: one that finds its history gone, one
/// that finds the era changed, a whole read and one for changes.
const SETTLED_AFTER: usize = 4;

/// The store's rows by key: a value, none if the row was removed, and the version of the change.
#[derive(Debug, Clone, Default)]
struct Content {
    rows: BTreeMap<u8, (Option<u8>, u64)>,
    version: u64,
}

/// The store, and the backup from which it may be restored.
#[derive(Debug, Clone)]
struct Store {
    content: Content,
    backup: Content,
    era: u64,
    /// Changes up to this version are no longer available.
    forgotten: u64,
}

impl Store {
    fn new() -> Self {
        Store {
            content: Content::default(),
            backup: Content::default(),
            era: 1,
            forgotten: 0,
        }
    }

    fn write(&mut self, key: u8, value: Option<u8>) {
        self.content.version += 1;
        let version = self.content.version;
        self.content.rows.insert(key, (value, version));
    }

    fn restore(&mut self) {
        self.content = self.backup.clone();
        self.era += 1;
        self.forgotten = 0;
    }

    fn at(&self, number: u64) -> StoreVersion {
        let era = StoreEra::new(self.era).expect("few eras");
        StoreVersion::new(era, number).expect("few writes")
    }

    fn row(&self, key: u8, value: Option<u8>, number: u64) -> Row {
        Row {
            key: key.to_string(),
            value: value.map_or_else(Bytes::new, |value| Bytes::from(vec![value])),
            version: self.at(number),
            gone: value.is_none(),
        }
    }

    fn whole(&self) -> Answer {
        let rows = self.content.rows.iter();
        let rows = rows.filter(|(_, (value, _))| value.is_some());
        Answer::Whole {
            rows: rows
                .map(|(key, (value, number))| self.row(*key, *value, *number))
                .collect(),
            version: self.at(self.content.version),
        }
    }

    fn changes(&self, after: StoreVersion) -> Answer {
        if after.number() > self.content.version || after.number() < self.forgotten {
            return Answer::HistoryGone;
        }
        let rows = self.content.rows.iter();
        let rows = rows.filter(|(_, (_, number))| *number > after.number());
        let mut rows: Vec<Row> = rows
            .map(|(key, (value, number))| self.row(*key, *value, *number))
            .collect();
        rows.sort_by_key(|row| row.version);
        Answer::Changes {
            after,
            rows,
            version: self.at(self.content.version),
        }
    }

    /// Returns the rows that an up-to-date node knows.
    fn expected(&self) -> BTreeMap<String, Vec<u8>> {
        let rows = self.content.rows.iter();
        rows.filter_map(|(key, (value, _))| Some((key.to_string(), vec![(*value)?])))
            .collect()
    }
}

/// An answer of the store, which may arrive late.
#[derive(Debug, Clone)]
enum Answer {
    Whole {
        rows: Vec<Row>,
        version: StoreVersion,
    },
    Changes {
        after: StoreVersion,
        rows: Vec<Row>,
        version: StoreVersion,
    },
    HistoryGone,
}

/// A node that follows the table.
struct FollowingNode {
    known: KnownTables,
    position: Option<StoreVersion>,
    era: StoreEra,
    /// An answer that has not arrived yet.
    pending: Option<Answer>,
}

impl FollowingNode {
    fn new() -> Self {
        FollowingNode {
            known: KnownTables::new(),
            position: None,
            era: StoreEra::UNREPORTED,
            pending: None,
        }
    }

    fn ask(&mut self, store: &Store) {
        self.pending = Some(match self.position {
            Some(position) => store.changes(position),
            None => store.whole(),
        });
    }

    fn receive(&mut self) {
        match self.pending.take() {
            None => {}
            Some(Answer::HistoryGone) => self.position = None,
            Some(Answer::Whole { rows, version }) => {
                self.era = self.era.max(version.era());
                if version.era() == self.era {
                    self.replace_all(&rows, version);
                }
            }
            Some(Answer::Changes {
                after,
                rows,
                version,
            }) => {
                self.era = self.era.max(version.era());
                match continuity(after, version, self.era) {
                    Continuity::Complete => self.apply_changes(&rows, version),
                    Continuity::EraChanged => self.position = None,
                    Continuity::StaleEra => {}
                }
            }
        }
    }

    fn replace_all(&mut self, rows: &[Row], version: StoreVersion) {
        let compared = Compared::ByVersion;
        self.known
            .replace(TABLE, rows, version, Timestamp::ZERO, compared);
        self.position = self.position.max(Some(version));
    }

    fn apply_changes(&mut self, rows: &[Row], version: StoreVersion) {
        self.known.change(TABLE, rows, version, Timestamp::ZERO);
        self.position = self.position.max(Some(version));
    }

    /// Applies the updates of another node unless its version is older.
    fn ask_node(&mut self, other: &FollowingNode) {
        let number = table_number(TABLE).expect("it is followed");
        let now = Timestamp::ZERO;
        let Some(updates) = other.known.updates(number, self.position, now, now) else {
            return;
        };
        if updates.version < self.known.version(TABLE) {
            return;
        }
        let rows: Vec<Row> = updates.rows.0.into_iter().map(|row| row.0).collect();
        if updates.whole {
            self.replace_all(&rows, updates.version);
        } else {
            self.apply_changes(&rows, updates.version);
        }
    }

    fn rows(&self) -> BTreeMap<String, Vec<u8>> {
        let rows = self.known.rows(TABLE).into_iter();
        rows.map(|row| (row.key, row.value.to_vec())).collect()
    }
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, u8),
    Remove(u8),
    Backup,
    Restore,
    ForgetHistory,
    /// A watcher calls the store, which answers at once.
    Ask(usize),
    /// The store's answer arrives at the watcher.
    Receive(usize),
    /// The follower asks a watcher.
    Follow(usize),
}

struct Oracle;

impl ReferenceStateMachine for Oracle {
    type State = Store;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Store> {
        Just(Store::new()).boxed()
    }

    fn transitions(_store: &Store) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..KEYS, any::<u8>()).prop_map(|(key, value)| Step::Write(key, value)),
            3 => (0..KEYS).prop_map(Step::Remove),
            1 => Just(Step::Backup),
            1 => Just(Step::Restore),
            1 => Just(Step::ForgetHistory),
            4 => (0..WATCHERS).prop_map(Step::Ask),
            4 => (0..WATCHERS).prop_map(Step::Receive),
            3 => (0..WATCHERS).prop_map(Step::Follow),
        ]
        .boxed()
    }

    fn apply(mut store: Store, step: &Step) -> Store {
        match *step {
            Step::Write(key, value) => store.write(key, Some(value)),
            Step::Remove(key) => store.write(key, None),
            Step::Backup => store.backup = store.content.clone(),
            Step::Restore => store.restore(),
            Step::ForgetHistory => store.forgotten = store.content.version,
            Step::Ask(_) | Step::Receive(_) | Step::Follow(_) => {}
        }
        store
    }
}

struct Nodes {
    watchers: [FollowingNode; WATCHERS],
    follower: FollowingNode,
}

impl Nodes {
    /// Delivers all pending answers, and lets all nodes ask until they are up to date.
    fn settle(&mut self, store: &Store) {
        for watcher in &mut self.watchers {
            watcher.receive();
            for _ in 0..SETTLED_AFTER {
                watcher.ask(store);
                watcher.receive();
            }
        }
        for watcher in &self.watchers {
            self.follower.ask_node(watcher);
        }
    }
}

impl StateMachineTest for Nodes {
    type SystemUnderTest = Nodes;
    type Reference = Oracle;

    fn init_test(_store: &Store) -> Nodes {
        Nodes {
            watchers: [FollowingNode::new(), FollowingNode::new()],
            follower: FollowingNode::new(),
        }
    }

    fn apply(mut nodes: Nodes, store: &Store, step: Step) -> Nodes {
        match step {
            Step::Ask(watcher) => nodes.watchers[watcher].ask(store),
            Step::Receive(watcher) => {
                let node = &mut nodes.watchers[watcher];
                let before = node.known.version(TABLE);
                node.receive();
                assert!(
                    node.known.version(TABLE) >= before,
                    "the known version went back"
                );
            }
            Step::Follow(watcher) => nodes.follower.ask_node(&nodes.watchers[watcher]),
            Step::Write(..)
            | Step::Remove(_)
            | Step::Backup
            | Step::Restore
            | Step::ForgetHistory => {}
        }
        nodes
    }

    fn teardown(mut nodes: Nodes, store: Store) {
        nodes.settle(&store);
        let expected = store.expected();
        for watcher in &nodes.watchers {
            assert_eq!(watcher.rows(), expected, "a watcher");
        }
        assert_eq!(nodes.follower.rows(), expected, "the follower");
    }
}

prop_state_machine! {
    #![proptest_config(config(cases(DEFAULT_CASES)))]

    #[test]
    fn restored_store_hides_no_change_and_keeps_no_lost_row(
        sequential 1..60 => Nodes
    );
}

#[test]
fn node_with_an_older_era_receives_the_whole_table() {
    let mut store = Store::new();
    store.write(0, Some(1));
    store.write(1, Some(1));
    let mut watcher = FollowingNode::new();
    watcher.ask(&store);
    watcher.receive();
    let former = watcher.position;
    let number = table_number(TABLE).expect("it is followed");
    let updates = |watcher: &FollowingNode| {
        let now = Timestamp::ZERO;
        watcher
            .known
            .updates(number, former, now, now)
            .expect("known")
    };
    assert!(!updates(&watcher).whole);
    store.backup = store.content.clone();
    store.restore();
    for _ in 0..SETTLED_AFTER {
        watcher.ask(&store);
        watcher.receive();
    }
    let received = updates(&watcher);
    assert!(received.whole && received.rows.0.len() == 2, "{received:?}");
}
