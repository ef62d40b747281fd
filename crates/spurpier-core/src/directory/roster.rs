//! Which servers the directory's rows name, and what each new row changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::Incarnation;
use crate::store_version::StoreVersion;

/// Where a life of a server serves. It does not change during that life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// The life.
    pub incarnation: Incarnation,
    /// The group that it serves.
    pub group: String,
    /// Its address, which another server may have later.
    pub address: SocketAddr,
}

/// What a row says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowContent {
    /// A server that can be used.
    Server(ServerEndpoint),
    /// Nothing that can be used, whatever the row said before.
    Unusable,
    /// The row was removed.
    Removed,
}

/// A row of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterRow {
    /// Its key: the server's name.
    pub key: String,
    /// The version of its last change.
    pub version: StoreVersion,
    /// What it says.
    pub content: RowContent,
}

/// What is to be done after a row was taken in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// Nothing: the row is older than what is known, or tells nothing new.
    Nothing,
    /// A server is to be used from now on.
    Join(ServerEndpoint),
    /// The server that is known tells more of itself.
    Update(ServerEndpoint),
    /// A server has started again, or stands elsewhere: nothing of the former life holds any more.
    Restart {
        /// The life that is over.
        former: ServerEndpoint,
        /// The one that has begun.
        present: ServerEndpoint,
    },
    /// The row of a server is gone; it may run on for a while, or come back.
    Leave(ServerEndpoint),
    /// The row of a server cannot be used any more.
    Invalidate(ServerEndpoint),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownRow {
    version: StoreVersion,
    content: RowContent,
}

/// The servers that the directory names, by their rows.
///
/// Each row is judged alone. Rows may come late, twice or out of order: a row counts only if it is
/// newer than what is known of its key, also if that was a removal. Of two lives of a server the
/// one in the newer row holds; the moments of their starts are not compared, since clocks step.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    rows: BTreeMap<String, KnownRow>,
}

impl Roster {
    /// Takes in one row that has changed.
    pub fn apply(&mut self, row: RosterRow) -> RosterChange {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version > row.version) {
            return RosterChange::Nothing;
        }
        let former = known.map(|known| known.content.clone());
        let change = change_between(former, row.content.clone());
        let known = KnownRow {
            version: row.version,
            content: row.content,
        };
        self.rows.insert(row.key, known);
        change
    }

    /// Takes in the whole table as of a version: what is known and not among the rows is gone, unless
    /// it is newer.
    pub fn replace(&mut self, rows: Vec<RosterRow>, version: StoreVersion) -> Vec<RosterChange> {
        let listed: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let is_missing =
            |key: &str, known: &KnownRow| !listed.contains(key) && known.version <= version;
        let missing: Vec<String> = self
            .rows
            .iter()
            .filter(|(key, known)| is_missing(key, known))
            .map(|(key, _)| key.clone())
            .collect();
        let mut changes = Vec::new();
        for key in missing {
            // A removal that a whole table confirms needs no memory of its own.
            if let Some(KnownRow {
                content: RowContent::Server(endpoint),
                ..
            }) = self.rows.remove(&key)
            {
                changes.push(RosterChange::Leave(endpoint));
            }
        }
        changes.extend(rows.into_iter().map(|row| self.apply(row)));
        changes
    }

    /// The server that is to be used under a key; none if there is none.
    pub fn endpoint(&self, key: &str) -> Option<&ServerEndpoint> {
        match &self.rows.get(key)?.content {
            RowContent::Server(endpoint) => Some(endpoint),
            RowContent::Unusable | RowContent::Removed => None,
        }
    }

    /// The version of the newest row that is known under a key; before all others if there is
    /// none.
    pub fn version(&self, key: &str) -> StoreVersion {
        let known = self.rows.get(key);
        known.map_or(StoreVersion::NONE, |known| known.version)
    }

    /// How many servers that can be used tell when they started, and how many do not.
    pub fn count_start_times(&self) -> (usize, usize) {
        let endpoints = self.rows.values().filter_map(|known| match &known.content {
            RowContent::Server(endpoint) => Some(endpoint),
            RowContent::Unusable | RowContent::Removed => None,
        });
        let (with_start, without_start): (Vec<&ServerEndpoint>, Vec<&ServerEndpoint>) =
            endpoints.partition(|endpoint| endpoint.incarnation.started_ms().is_some());
        (with_start.len(), without_start.len())
    }
}

fn change_between(former: Option<RowContent>, present: RowContent) -> RosterChange {
    match (former, present) {
        (Some(RowContent::Server(former)), RowContent::Server(present)) if former == present => {
            RosterChange::Update(present)
        }
        (Some(RowContent::Server(former)), RowContent::Server(present)) => {
            RosterChange::Restart { former, present }
        }
        (_, RowContent::Server(present)) => RosterChange::Join(present),
        (Some(RowContent::Server(former)), RowContent::Removed) => RosterChange::Leave(former),
        (Some(RowContent::Server(former)), RowContent::Unusable) => {
            RosterChange::Invalidate(former)
        }
        (_, RowContent::Removed | RowContent::Unusable) => RosterChange::Nothing,
    }
}
