//! Which servers the rows of the directory list, and what each new row changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::Incarnation;
use crate::store_version::StoreVersion;

/// Where an incarnation of a server is reached. It does not change while the incarnation runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// The incarnation of the server.
    pub incarnation: Incarnation,
    /// The name of the group that it serves.
    pub group: String,
    /// Its address, which another server may have later.
    pub address: SocketAddr,
}

/// What a row contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowContent {
    /// A server that can be used.
    Server(ServerEndpoint),
    /// No server that can be used, whatever the row contained before.
    Unusable,
    /// The row was removed.
    Removed,
}

/// A row of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterRow {
    /// The server's name.
    pub key: String,
    /// The version of its last change.
    pub version: StoreVersion,
    /// What it contains.
    pub content: RowContent,
}

/// What a row changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// Nothing: the row is older than the known one, or neither contains a usable server.
    Nothing,
    /// A server can be used from now on.
    Join(ServerEndpoint),
    /// The entry of a known server may have changed; its endpoint has not.
    Update(ServerEndpoint),
    /// A server has restarted or has moved to another address or group. What was known of the
    /// former incarnation no longer applies.
    Restart {
        /// The endpoint that has ended.
        former: ServerEndpoint,
        /// The endpoint that replaces it.
        present: ServerEndpoint,
    },
    /// The row of a server was removed. The server may run on for a while, or its row may come
    /// back.
    Leave(ServerEndpoint),
    /// The row of a server can no longer be used.
    Invalidate(ServerEndpoint),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownRow {
    version: StoreVersion,
    content: RowContent,
}

/// The servers that the directory lists, by the keys of their rows.
///
/// Each row is evaluated on its own. Rows may arrive late, twice or out of order: a row counts only
/// if it is at least as new as the known row of its key, also if that was a removal. Of two
/// incarnations of a server, the one in the newer row is used. Their start times are not compared,
/// since clocks may step.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    rows: BTreeMap<String, KnownRow>,
}

impl Roster {
    /// Applies one row that has changed.
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

    /// Applies the whole table as of a version. Known rows that are not among `rows` were removed,
    /// unless they are newer than `version`.
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
            // The whole table confirms the removal, so its version need not be remembered.
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

    /// The endpoint of the server listed under a key; `None` if no server can be used.
    pub fn endpoint(&self, key: &str) -> Option<&ServerEndpoint> {
        match &self.rows.get(key)?.content {
            RowContent::Server(endpoint) => Some(endpoint),
            RowContent::Unusable | RowContent::Removed => None,
        }
    }

    /// The version of the newest known row of a key; [`StoreVersion::NONE`] if there is none.
    pub fn version(&self, key: &str) -> StoreVersion {
        let known = self.rows.get(key);
        known.map_or(StoreVersion::NONE, |known| known.version)
    }

    /// How many usable servers report when they started, and how many do not.
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
