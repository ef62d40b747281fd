//! What is known of a database group, and what follows from it.
//!
//! The group's election rule is given: a new primary's log holds whatever a majority of the
//! servers had received, and a server that has voted in a newer term takes no more records of an
//! older one. Three facts follow and carry the session guarantees:
//!
//! 1. A write at position `p` is confirmed once a majority report a received term equal to
//!    `p.term` and a received offset of at least `p.offset`.
//! 2. The read index, the greatest received position over any majority probed after a request
//!    arrived, is at or past every confirmed write.
//! 3. A server whose applied position is at or past a floor shows every confirmed write up to it.

use std::time::Duration;

use crate::identity::{ServerName, ZoneName};
use crate::position::Position;
use crate::time::Timestamp;

/// For how long a server's status allows new work to be sent to it.
pub const STATUS_VALIDITY: Duration = Duration::from_millis(2_000);

/// The role that a server reports of itself; a deposed primary may still claim to be one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServerRole {
    /// It takes writes, or believes so.
    Primary,
    /// It follows a primary.
    Replica,
}

/// What one server reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus {
    /// The newest term in which it has voted.
    pub vote_term: u64,
    /// The position of the last record in its log.
    pub received: Position,
    /// The last record before the first one of the received term (PostgreSQL's timeline history);
    /// zero if there is none or the server does not tell.
    pub term_parent: Position,
    /// The position up to which its tables show the log.
    pub applied: Position,
    /// The position of the other side's log up to which its tables show it; zero without one.
    pub upstream_applied: Position,
    /// Its role.
    pub role: ServerRole,
    /// Whether it is about to stop and takes no new work.
    pub leaving: bool,
}

/// A server's status and the moment at which the probe for it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedStatus {
    /// When the probe left; the status is at least as new as this.
    pub requested_at: Timestamp,
    /// What the server answered.
    pub status: ServerStatus,
}

/// One server of a group as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerView {
    /// Its name.
    pub name: ServerName,
    /// Its zone.
    pub zone: ZoneName,
    /// The newest status seen; none before the first answer.
    pub observed: Option<ObservedStatus>,
    /// Whether the last probe got an answer.
    pub reachable: bool,
    /// Whether another source (the platform's list, a peer) says that it is leaving.
    pub leaving_hint: bool,
}

impl ServerView {
    /// Whether any source says that the server is leaving.
    pub fn is_leaving(&self) -> bool {
        let reported = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.status.leaving);
        reported || self.leaving_hint
    }

    /// Whether new work may be sent to the server at `now`.
    ///
    /// A status older than [`STATUS_VALIDITY`] allows nothing: a node that was paused must look
    /// again before it sends work to a server that may have begun to leave meanwhile.
    pub fn accepts_work(&self, now: Timestamp) -> bool {
        let current = self
            .observed
            .as_ref()
            .is_some_and(|observed| now.since(observed.requested_at) < STATUS_VALIDITY);
        self.reachable && current && !self.is_leaving()
    }
}

/// A group as this node sees it: an immutable snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupView {
    /// All servers of the group, in the order of the settings.
    pub servers: Vec<ServerView>,
}

impl GroupView {
    /// How many servers make a majority.
    pub fn majority(&self) -> usize {
        self.servers.len() / 2 + 1
    }

    /// The statuses whose probes left at or after `since`.
    fn statuses_requested_since(&self, since: Timestamp) -> impl Iterator<Item = &ServerStatus> {
        self.servers
            .iter()
            .filter_map(|server| server.observed.as_ref())
            .filter(move |observed| observed.requested_at >= since)
            .map(|observed| &observed.status)
    }

    /// Whether a write at `position` is confirmed: no later primary can lack it (fact 1).
    pub fn is_confirmed(&self, position: Position) -> bool {
        let holders = self
            .statuses_requested_since(Timestamp::ZERO)
            .filter(|status| status.received.term == position.term)
            .filter(|status| status.received.offset >= position.offset)
            .count();
        holders >= self.majority() || self.is_confirmed_by_newer_term(position)
    }

    /// Whether a confirmed newer term began behind `position`.
    ///
    /// A planned hand-over may follow a commit so soon that no majority is ever seen in the old
    /// term. A record of the newer term that a majority holds confirms all before it, and its
    /// parent tells up to where that is the old term's log.
    fn is_confirmed_by_newer_term(&self, position: Position) -> bool {
        self.statuses_requested_since(Timestamp::ZERO)
            .filter(|status| status.received.term > position.term)
            .filter(|status| status.term_parent.term == position.term)
            .filter(|status| status.term_parent.offset >= position.offset)
            .any(|status| self.servers_in_term(status.received.term) >= self.majority())
    }

    /// How many servers' logs end in this term; a majority of them has confirmed its start.
    fn servers_in_term(&self, term: u64) -> usize {
        self.statuses_requested_since(Timestamp::ZERO)
            .filter(|status| status.received.term == term)
            .count()
    }

    /// Whether everything that a server with this status shows is confirmed.
    ///
    /// A server shows its log up to the applied position. If its log has records of a newer term
    /// than the applied position, that position lies before the newer term's start, and one
    /// confirmed record of the newer term confirms all before it. A server that fails this may
    /// show writes that will be lost with a replaced primary.
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
    /// None until a majority has answered probes sent at or after `since`.
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

    /// The newest term that any server has voted in or holds a record of.
    pub fn newest_term(&self) -> u64 {
        self.statuses_requested_since(Timestamp::ZERO)
            .map(|status| status.vote_term.max(status.received.term))
            .max()
            .unwrap_or(0)
    }

    /// The index of the server that takes writes: the reachable primary of the newest term.
    ///
    /// None while the group elects one, or while a newer term is known than any primary's.
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
