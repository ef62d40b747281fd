//! A model of the platform: the published document, its history of changes, faults, and a count
//! of the requests.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use spurpier_core::distribution::{
    Delta, Document, EntryChange, FetchedChanges, Snapshot, difference,
};
use spurpier_core::time::Timestamp;

/// The version of the document with which every node starts.
pub(super) const FIRST_VERSION: u64 = 1_000;
/// Deltas given in one answer; above this the whole document is given.
const MOST_DELTAS: u64 = 64;
/// Bytes of the policy program's text.
const PROGRAM_BYTES: usize = 2_048;
/// Every so many changes replace the program; all others place one database anew.
const PROGRAM_EVERY: u64 = 100;

/// How the platform fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlatformHealth {
    /// It answers.
    Healthy,
    /// It answers late.
    Slow(Duration),
    /// It answers 503.
    Down,
}

/// The platform's service as the nodes use it.
#[derive(Debug)]
pub(super) struct Platform {
    document: Document,
    deltas: Vec<Delta>,
    published_at: Vec<Timestamp>,
    databases: usize,
    pub(super) health: PlatformHealth,
    requests_by_second: Vec<u64>,
    random: SmallRng,
}

impl Platform {
    /// A platform with a first document that places all databases on the old side.
    pub(super) fn new(databases: usize, random: SmallRng) -> Self {
        let mut document = Document::default();
        let entries = first_entries(databases);
        let delta = difference(&document, FIRST_VERSION, &entries);
        let digest = delta.digest;
        let snapshot = Snapshot {
            version: FIRST_VERSION,
            digest,
            entries: delta.changes,
        };
        // The digest was computed from the same entries, so it agrees.
        let _ = document.replace(&snapshot);
        Platform {
            document,
            deltas: Vec::new(),
            published_at: Vec::new(),
            databases,
            health: PlatformHealth::Healthy,
            requests_by_second: Vec::new(),
            random,
        }
    }

    /// The published document.
    pub(super) fn document(&self) -> &Document {
        &self.document
    }

    /// The newest version.
    pub(super) fn head(&self) -> u64 {
        self.document.version()
    }

    /// When a version was published; none for the first.
    pub(super) fn published_at(&self, version: u64) -> Option<Timestamp> {
        let index = version.checked_sub(FIRST_VERSION + 1)?;
        self.published_at.get(index as usize).copied()
    }

    /// Publishes a change; a platform that is down takes none.
    pub(super) fn publish(&mut self, now: Timestamp) -> bool {
        if self.health == PlatformHealth::Down {
            return false;
        }
        let version = self.head() + 1;
        let (key, value) = self.next_change(version);
        let change = EntryChange {
            key: key.into(),
            value: Some(value.into()),
            changed_in: version,
        };
        let delta = self.document.delta_with(version, vec![change]);
        if self.document.apply(&delta, usize::MAX).is_err() {
            return false;
        }
        self.deltas.push(delta);
        self.published_at.push(now);
        true
    }

    /// Counts a request.
    pub(super) fn count_request(&mut self, now: Timestamp) {
        let second = (now.as_micros() / 1_000_000) as usize;
        if self.requests_by_second.len() <= second {
            self.requests_by_second.resize(second + 1, 0);
        }
        self.requests_by_second[second] += 1;
    }

    /// Requests in each second from `from` on, up to `to`.
    pub(super) fn requests(&self, from: Timestamp, to: Timestamp) -> Vec<u64> {
        let first = (from.as_micros() / 1_000_000) as usize;
        let last = (to.as_micros() / 1_000_000) as usize;
        (first..last)
            .map(|second| self.requests_by_second.get(second).copied().unwrap_or(0))
            .collect()
    }

    /// The changes after a version, as a watcher reads them.
    pub(super) fn changes_since(&self, since: u64) -> FetchedChanges {
        let missing = self.head().saturating_sub(since);
        if since < FIRST_VERSION || missing > MOST_DELTAS {
            let entries = self
                .document
                .iter()
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect();
            return FetchedChanges::FullDocument {
                version: self.head(),
                entries,
            };
        }
        let first = (since - FIRST_VERSION) as usize;
        FetchedChanges::Deltas(self.deltas[first..].to_vec())
    }

    fn next_change(&mut self, version: u64) -> (String, String) {
        if version.is_multiple_of(PROGRAM_EVERY) {
            return ("program".to_owned(), program_text(version));
        }
        let database = self.random.random_range(0..self.databases);
        let side = if version.is_multiple_of(2) {
            "old"
        } else {
            "new"
        };
        (placement_key(database), placement_value(side, version))
    }
}

/// The name of a database by number.
pub(super) fn database_name(number: usize) -> String {
    format!("database-{number:05}")
}

fn placement_key(database: usize) -> String {
    format!("placement/{}", database_name(database))
}

fn placement_value(side: &str, epoch: u64) -> String {
    format!("{{\"side\":\"{side}\",\"epoch\":{epoch}}}")
}

fn program_text(version: u64) -> String {
    let mut text = format!("// version {version}\n");
    while text.len() < PROGRAM_BYTES {
        text.push_str("fn route(request) { #{ freshness: \"session\", replica: true } }\n");
    }
    text.truncate(PROGRAM_BYTES);
    text
}

fn first_entries(databases: usize) -> Vec<(Arc<str>, Arc<str>)> {
    let program = ("program".into(), program_text(FIRST_VERSION).into());
    let placements = (0..databases).map(|database| {
        let key = placement_key(database).into();
        let value = placement_value("old", FIRST_VERSION).into();
        (key, value)
    });
    std::iter::once(program).chain(placements).collect()
}
