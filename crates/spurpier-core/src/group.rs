//! What a node knows of a database group, and what follows from it.
//!
//! The group's election guarantees that a new primary's log holds every record that a majority of
//! the servers had received, and that a server that has voted in a newer term accepts no more
//! records of an older one. The session guarantees rest on three facts that follow:
//!
//! 1. A write at position `p` is confirmed once a majority report a received term equal to
//!    `p.term` and a received offset of at least `p.offset`.
//! 2. The read index, the greatest received position over any majority probed after a request
//!    arrived, is at or past every write that was confirmed before.
//! 3. A server whose applied position is at or past some position exposes every confirmed write up
//!    to it.

use std::time::Duration;

use crate::identity::{ServerName, ZoneName};
use crate::position::Position;
use crate::time::Timestamp;

/// Maximum age of a status for new work to be sent to its server.
pub const STATUS_VALIDITY: Duration = Duration::from_millis(2_000);

/// The role that a server reports; a deposed primary may still report [`ServerRole::Primary`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServerRole {
    /// It accepts writes, or believes that it does.
    Primary,
    /// It replicates from a primary.
    Replica,
}

/// The status that a server reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus {
    /// The newest term in which it has voted.
    pub vote_term: u64,
    /// The position of the last record in its log.
    pub received: Position,
    /// The position of the last record before the received term (PostgreSQL's timeline history);
    /// zero if there is none or the server does not report it.
    pub term_parent: Position,
    /// The position up to which the log has been applied to its tables.
    pub applied: Position,
    /// The position up to which the other side's log has been applied to its tables; zero if it
    /// replicates from no other side.
    pub upstream_applied: Position,
    /// The role that it reports.
    pub role: ServerRole,
    /// Whether it is about to stop and accepts no new work.
    pub leaving: bool,
}

/// A server's status and the time at which it was requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedStatus {
    /// When the request was sent; the status is at least as new as this.
    pub requested_at: Timestamp,
    /// The status that the server returned.
    pub status: ServerStatus,
}

/// One server of a group as this node observes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerView {
    /// The server's name.
    pub name: ServerName,
    /// The server's zone.
    pub zone: ZoneName,
    /// The newest status; none before the first answer.
    pub observed: Option<ObservedStatus>,
    /// Whether the last probe was answered.
    pub reachable: bool,
    /// Whether another source (the platform's list, a peer) reports that it is leaving.
    pub leaving_hint: bool,
}

impl ServerView {
    /// Whether any source reports that the server is leaving.
    pub fn is_leaving(&self) -> bool {
        let reported = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.status.leaving);
        reported || self.leaving_hint
    }

    /// Whether new work may be sent to the server at `now`.
    ///
    /// A status older than [`STATUS_VALIDITY`] does not count: a node that was paused must probe
    /// again before it sends work to a server that may have started to leave in the meantime.
    pub fn accepts_work(&self, now: Timestamp) -> bool {
        let current = self
            .observed
            .as_ref()
            .is_some_and(|observed| now.since(observed.requested_at) < STATUS_VALIDITY);
        self.reachable && current && !self.is_leaving()
    }
}

/// An immutable snapshot of a group as this node observes it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupView {
    /// All servers of the group, in the order of the settings.
    pub servers: Vec<ServerView>,
}

impl GroupView {
    /// Number of servers that form a majority.
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// The statuses that were requested at or after `since`.
    fn statuses_requested_since(&self, since: Timestamp) -> impl Iterator<Item = &ServerStatus> {
        self.servers
            .iter()
            .filter_map(|server| server.observed.as_ref())
            .filter(move |observed| observed.requested_at >= since)
            .map(|observed| &observed.status)
    }

    /// Whether a write at `position` is confirmed, so that no later primary can lack it (fact 1).
    pub fn is_confirmed(&self, position: Position) -> bool {
        let holders = self
            .statuses_requested_since(Timestamp::ZERO)
            .filter(|status| status.received.term == position.term)
            .filter(|status| status.received.offset >= position.offset)
            .count();
        holders >= self.majority() || self.is_confirmed_by_newer_term(position)
    }

    /// Whether a confirmed newer term started after `position`.
    ///
    /// A planned transfer of the primary role may follow a commit so soon that no majority is ever
    /// observed in the old term. A record of the newer term that a majority holds confirms every
    /// record before it; `term_parent` is the position up to which those are the old term's.
    fn is_confirmed_by_newer_term(&self, position: Position) -> bool {
        self.statuses_requested_since(Timestamp::ZERO)
            .filter(|status| status.received.term > position.term)
            .filter(|status| status.term_parent.term == position.term)
            .filter(|status| status.term_parent.offset >= position.offset)
            .any(|status| self.servers_in_term(status.received.term) >= self.majority())
    }

    /// Number of servers whose logs end in `term`; a majority of them confirms the term's start.
    fn servers_in_term(&self, term: u64) -> usize {
        self.statuses_requested_since(Timestamp::ZERO)
            .filter(|status| status.received.term == term)
            .count()
    }

    /// Whether everything that a server with this status exposes is confirmed.
    ///
    /// A server exposes its log up to the applied position. If its log has records of a newer
    /// term than the applied position, that position precedes the newer term's start, and one
    /// confirmed record of the newer term confirms every record before it. A server that fails
    /// this check may expose writes that are lost when their primary is replaced.
    pub fn applied_is_confirmed(&self, status: &ServerStatus) -> bool {
        let mut held: Vec<u64> = self
            .statuses_requested_since(Timestamp::ZERO)
            .map(|known| known.received)
            .filter(|received| received.term == status.received.term)
            .map(|received| received.offset)
            .collect();
        held.sort_unstable_by(|one, other| other.cmp(one));
        let Some(confirmed) = held.get(self.majority() - 1) else {
            return false;
        };
        status.applied.term < status.received.term || status.applied.offset <= *confirmed
    }

    /// The read index for requests that arrived at or before `since` (fact 2).
    ///
    /// None until a majority has answered requests sent at or after `since`.
    pub fn read_index(&self, since: Timestamp) -> Option<Position> {
        let received: Vec<Position> = self
            .statuses_requested_since(since)
            .map(|status| status.received)
            .collect();
        if received.len() < self.majority() {
            return None;
        }
        received.into_iter().max()
    }

    /// The newest term in which any server has voted or of which it holds a record.
    pub fn newest_term(&self) -> u64 {
        self.statuses_requested_since(Timestamp::ZERO)
            .map(|status| status.vote_term.max(status.received.term))
            .max()
            .unwrap_or(0)
    }

    /// The index of the server that accepts writes: the reachable primary of the newest term.
    ///
    /// None during an election, or while a term is known that is newer than any primary's.
    pub fn primary(&self) -> Option<usize> {
        let newest = self.newest_term();
        self.servers.iter().position(|server| {
            server.reachable
                && server.observed.as_ref().is_some_and(|observed| {
                    observed.status.role == ServerRole::Primary
                        && observed.status.received.term == newest
                        && observed.status.vote_term == newest
                })
        })
    }
}
