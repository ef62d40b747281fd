//! The servers of a group that may hold acknowledged commits, as recorded in the platform's store.
//!
//! With synchronous replicas, a successor is safe by counting: an acknowledged commit is stored on
//! the primary and on that many replicas, so a successor that has received as much as every server
//! that reports is certain to hold it if few enough servers did not report. The count is valid only
//! over *all* servers that may hold the commit. The directory does not list them all: an entry
//! disappears while its server is partitioned from the store, and a process that has just started
//! has never seen it. The recorded set outlives both.
//!
//! A server is added as soon as it is listed. It is removed only once it has ended and the
//! remaining replicas hold everything that it may have acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::directory::Incarnation;
use crate::position::Position;
use crate::time::Timestamp;
use crate::wire::{List, decode_address, decode_text, encode_address, encode_text};

/// How long a recorded server must have been missing from the directory before it counts as ended
/// if its address refuses connections. A server that restarts has listed itself again by then.
pub const REPLICA_END_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a decision waits for a recorded server that is not listed, and for how long one that is
/// silent is kept: it may be partitioned from this node and not from its primary. Beyond that, a
/// server that is lost for good would leave its group without a primary.
pub const REPLICA_RETURN_TIMEOUT: Duration = Duration::from_secs(30);

/// Where a recorded server is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaLocation {
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// The servers of a group that may hold acknowledged commits, including the primary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    members: BTreeMap<Incarnation, ReplicaLocation>,
}

impl ReplicaSet {
    /// The members, ordered by incarnation.
    pub fn members(&self) -> impl Iterator<Item = (&Incarnation, &ReplicaLocation)> {
        self.members.iter()
    }

    /// Whether a server is a member.
    pub fn contains(&self, server: &Incarnation) -> bool {
        self.members.contains_key(server)
    }

    /// The set with these servers added.
    pub fn with(&self, listed: impl IntoIterator<Item = (Incarnation, ReplicaLocation)>) -> Self {
        let mut members = self.members.clone();
        members.extend(listed);
        ReplicaSet { members }
    }

    /// The set without these servers.
    pub fn without(&self, ended: &BTreeSet<Incarnation>) -> Self {
        let members = self.members.iter();
        let members = members.filter(|(server, _)| !ended.contains(*server));
        ReplicaSet {
            members: members
                .map(|(server, location)| (server.clone(), location.clone()))
                .collect(),
        }
    }
}

impl SerBin for ReplicaSet {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        let members = self.members.iter();
        let members = members.map(|(server, location)| Member(server.clone(), location.clone()));
        List(members.collect()).ser_bin(output);
    }
}

impl DeBin for ReplicaSet {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let members: List<Member> = List::de_bin(offset, bytes)?;
        let members = members.0.into_iter();
        Ok(ReplicaSet {
            members: members
                .map(|Member(server, location)| (server, location))
                .collect(),
        })
    }
}

/// An encoded member.
struct Member(Incarnation, ReplicaLocation);

impl SerBin for Member {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        let Member(server, location) = self;
        encode_text(server.name(), output);
        server.started_ms().ser_bin(output);
        encode_address(location.address, output);
        encode_text(&location.zone, output);
    }
}

impl DeBin for Member {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let name = decode_text(offset, bytes)?;
        let server = Incarnation::new(name, Option::de_bin(offset, bytes)?);
        let address = decode_address(offset, bytes)?;
        let zone = decode_text(offset, bytes)?.to_owned();
        Ok(Member(server, ReplicaLocation { address, zone }))
    }
}

/// How a server that is missing from the directory answers a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It answers.
    Answers,
    /// Its address refuses connections: nothing runs there.
    Refuses,
    /// Nothing answers.
    Silent,
}

/// How long the members of a replica set have been missing from the directory, as observed by one
/// process.
#[derive(Debug, Clone, Default)]
pub struct MissingReplicas {
    since: BTreeMap<Incarnation, Timestamp>,
}

impl MissingReplicas {
    /// Updates which members of the set are not among the listed servers.
    pub fn update(&mut self, set: &ReplicaSet, listed: &BTreeSet<Incarnation>, now: Timestamp) {
        let is_missing = |server: &Incarnation| set.contains(server) && !listed.contains(server);
        self.since.retain(|server, _| is_missing(server));
        for (server, _) in set.members() {
            if is_missing(server) {
                self.since.entry(server.clone()).or_insert(now);
            }
        }
    }

    /// Records that a member is listed.
    pub fn record_listed(&mut self, server: &Incarnation) {
        self.since.remove(server);
    }

    fn may_return(&self, server: &Incarnation, now: Timestamp) -> bool {
        let since = self.since.get(server);
        since.is_none_or(|since| now.since(*since) < REPLICA_RETURN_TIMEOUT)
    }

    /// The members that have been missing for so long that they may have ended.
    pub fn may_have_ended(&self, now: Timestamp) -> impl Iterator<Item = &Incarnation> {
        let missing = self.since.keys();
        missing.filter(move |server| self.has_ended(server, Reachability::Refuses, now))
    }

    /// Whether a member has ended, given how it answers now.
    pub fn has_ended(&self, server: &Incarnation, answer: Reachability, now: Timestamp) -> bool {
        let required = match answer {
            Reachability::Answers => return false,
            Reachability::Refuses => REPLICA_END_TIMEOUT,
            Reachability::Silent => REPLICA_RETURN_TIMEOUT,
        };
        let since = self.since.get(server);
        since.is_some_and(|since| now.since(*since) >= required)
    }

    /// Whether no member is missing.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }
}

/// The servers that a decision counts: those that are listed, and the recorded ones that may still
/// return. `former` is the primary that is replaced, if it is known; it is not counted.
pub fn counted_servers(
    set: &ReplicaSet,
    missing: &MissingReplicas,
    listed: &BTreeSet<Incarnation>,
    former: Option<&Incarnation>,
    now: Timestamp,
) -> BTreeSet<Incarnation> {
    let recorded = set.members().map(|(server, _)| server);
    let recorded = recorded.filter(|server| missing.may_return(server, now));
    let counted = listed.iter().chain(recorded);
    let counted = counted.filter(|server| Some(*server) != former);
    counted.cloned().collect()
}

/// Whether servers that have ended may be removed from the set: enough of the remaining replicas
/// have received the position that the primary reported after these servers had ended.
///
/// `received` has what the remaining replicas, without the primary, have received; `None` for a
/// replica that did not report.
pub fn may_remove_ended(
    primary: Position,
    received: &[Option<Position>],
    synchronous_replicas: usize,
) -> bool {
    let hold_all = received
        .iter()
        .flatten()
        .filter(|received| **received >= primary);
    hold_all.count() >= synchronous_replicas
}
