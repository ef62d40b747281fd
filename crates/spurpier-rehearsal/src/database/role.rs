//! What a server is in its term.

use std::collections::HashMap;

use spurpier_core::identity::ServerName;

/// What a primary knows besides its log.
#[derive(Debug)]
pub(crate) struct PrimaryState {
    /// The offset of the record that opened its term.
    pub(super) opened: u64,
    /// Whether its tables show the whole log, so that it can take writes.
    pub(super) promoted: bool,
    /// Whether it is about to hand over and takes no new write transactions.
    pub handing_over: bool,
    /// Up to where each other server's log is known to agree.
    pub(super) matched: HashMap<ServerName, u64>,
}

/// What a server is in its term.
#[derive(Debug)]
pub(super) enum Role {
    /// It follows a primary, or waits for one.
    Replica,
    /// It has voted for itself and collects votes.
    Candidate,
    /// It has won the election of its term.
    Primary(PrimaryState),
}

/// A primary that a server has taken records or heartbeats from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeardPrimary {
    /// Its name.
    pub name: ServerName,
    /// Its term.
    pub term: u64,
}

/// Why a write cannot be made here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotWritable {
    /// The server is a replica, or no longer primary in the transaction's term.
    Replica,
    /// The server hands over to another one.
    HandingOver,
}

impl PrimaryState {
    /// Up to where `peer`'s log is known to agree.
    pub(crate) fn matched(&self, peer: &ServerName) -> u64 {
        self.matched.get(peer).copied().unwrap_or(0)
    }
}
