//! The recorded replica set of a group, and successors that are chosen by counting its members.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use spurpier_core::directory::Incarnation;
use spurpier_core::leader::{
    FormerPrimary, MissingReplicas, REPLICA_END_TIMEOUT, REPLICA_RETURN_TIMEOUT, Reachability,
    ReplicaLocation, ReplicaSet, SuccessorCandidate, choose_successor, counted_servers,
    may_remove_ended,
};
use spurpier_core::position::Position;
use spurpier_core::time::Timestamp;

const SHORTLY: Duration = Duration::from_millis(1);

fn server(name: &str) -> Incarnation {
    Incarnation::new(name, Some(7))
}

fn location(port: u16) -> ReplicaLocation {
    ReplicaLocation {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "near".to_owned(),
    }
}

fn set_of(names: &[&str]) -> ReplicaSet {
    let listed = names.iter().map(|name| (server(name), location(1)));
    ReplicaSet::default().with(listed)
}

fn reported(offset: u64) -> SuccessorCandidate {
    SuccessorCandidate {
        received: Some(Position::new(1, offset)),
        eligible: true,
        placement_score: 0,
    }
}

const UNREPORTED: SuccessorCandidate = SuccessorCandidate {
    received: None,
    eligible: true,
    placement_score: 0,
};

/// Guards against a set that nodes of one version write and cannot read.
#[test]
fn a_set_is_read_as_it_was_written() {
    let unreported_start = Incarnation::new("i-2", None);
    let set = set_of(&["i-1"]).with([(unreported_start, location(2))]);
    let read = ReplicaSet::deserialize_bin(&set.serialize_bin()).expect("it is readable");
    assert_eq!(read, set);
    let cut = &set.serialize_bin()[..5];
    assert!(ReplicaSet::deserialize_bin(cut).is_err());
}

/// Guards against a server that has moved to another address and is asked at the former one.
#[test]
fn a_server_is_recorded_at_the_address_where_it_was_listed_last() {
    let set = set_of(&["i-1"]).with([(server("i-1"), location(9))]);
    let locations: Vec<ReplicaLocation> = set.members().map(|member| member.1.clone()).collect();
    assert_eq!(locations, [location(9)]);
}

/// Guards against a server that restarts under its name and takes the place of the one that may
/// have held commits.
#[test]
fn two_incarnations_of_a_server_are_two_members() {
    let restarted = Incarnation::new("i-1", Some(8));
    let set = set_of(&["i-1"]).with([(restarted.clone(), location(1))]);
    assert_eq!(set.members().count(), 2);
    let rest = set.without(&BTreeSet::from([server("i-1")]));
    assert!(rest.contains(&restarted) && !rest.contains(&server("i-1")));
}

/// Guards against a decision of a process that does not know which server was the primary: the
/// primary is among the servers that did not report.
#[test]
fn an_unknown_primary_counts_among_the_servers_that_store_a_commit() {
    let choose = |candidates: &[SuccessorCandidate], synchronous, former| {
        choose_successor(candidates, synchronous, former)
    };
    let one_missing = [reported(5), reported(7), UNREPORTED];
    let two_missing = [reported(5), UNREPORTED, SuccessorCandidate::UNASKABLE];
    assert_eq!(choose(&one_missing, 1, FormerPrimary::Unknown), Some(1));
    assert_eq!(choose(&one_missing, 1, FormerPrimary::Excluded), None);
    assert_eq!(choose(&two_missing, 1, FormerPrimary::Unknown), None);
    assert_eq!(choose(&two_missing, 2, FormerPrimary::Unknown), Some(0));
    assert_eq!(choose(&two_missing, 2, FormerPrimary::Excluded), None);
}

/// Guards against a member that is lost for good and blocks every later promotion, and against one
/// that is not waited for although it may return.
#[test]
fn a_missing_member_is_counted_until_its_return_timeout() {
    let set = set_of(&["i-1", "i-2"]);
    let listed = BTreeSet::from([server("i-1"), server("i-3")]);
    let mut missing = MissingReplicas::default();
    missing.update(&set, &listed, Timestamp::ZERO);
    let expired = Timestamp::ZERO + REPLICA_RETURN_TIMEOUT;
    missing.update(&set, &listed, expired);
    let counted = |now| counted_servers(&set, &missing, &listed, None, now);
    let all = BTreeSet::from(["i-1", "i-2", "i-3"].map(server));
    assert_eq!(
        counted(Timestamp::ZERO + (REPLICA_RETURN_TIMEOUT - SHORTLY)),
        all
    );
    assert_eq!(counted(expired), listed);
}

/// Guards against a former primary that is counted twice: as known and among those unreported.
#[test]
fn a_known_former_primary_is_not_counted() {
    let set = set_of(&["i-1", "i-2"]);
    let listed = BTreeSet::from([server("i-1")]);
    let mut missing = MissingReplicas::default();
    missing.update(&set, &listed, Timestamp::ZERO);
    let former = server("i-2");
    let counted = counted_servers(&set, &missing, &listed, Some(&former), Timestamp::ZERO);
    assert_eq!(counted, listed);
}

/// Guards against a member that returned and left again, and whose former absence still counts.
#[test]
fn a_member_that_returned_is_counted_anew() {
    let set = set_of(&["i-1"]);
    let none = BTreeSet::new();
    let mut missing = MissingReplicas::default();
    missing.update(&set, &none, Timestamp::ZERO);
    missing.record_listed(&server("i-1"));
    assert!(missing.is_empty());
    let expired = Timestamp::ZERO + REPLICA_RETURN_TIMEOUT;
    missing.update(&set, &none, expired);
    let counted = counted_servers(&set, &missing, &none, None, expired + SHORTLY);
    assert_eq!(counted, BTreeSet::from([server("i-1")]));
}

/// Guards against a server that is taken for ended while it is only partitioned from this node, and
/// its primary still counts what it receives.
#[test]
fn a_missing_member_has_ended_if_it_refuses_connections_or_is_silent_for_long() {
    let mut missing = MissingReplicas::default();
    missing.update(&set_of(&["i-1"]), &BTreeSet::new(), Timestamp::ZERO);
    let has_ended = |answer, after: Duration| {
        missing.has_ended(&server("i-1"), answer, Timestamp::ZERO + after)
    };
    assert!(!has_ended(
        Reachability::Refuses,
        REPLICA_END_TIMEOUT - SHORTLY
    ));
    assert!(has_ended(Reachability::Refuses, REPLICA_END_TIMEOUT));
    assert!(!has_ended(
        Reachability::Silent,
        REPLICA_RETURN_TIMEOUT - SHORTLY
    ));
    assert!(has_ended(Reachability::Silent, REPLICA_RETURN_TIMEOUT));
    assert!(!has_ended(
        Reachability::Answers,
        2 * REPLICA_RETURN_TIMEOUT
    ));
    let candidates = missing.may_have_ended(Timestamp::ZERO + REPLICA_END_TIMEOUT);
    assert_eq!(candidates.count(), 1);
}

/// Guards against the removal of a server that alone holds a commit beside the primary.
#[test]
fn ended_servers_are_removed_once_enough_others_hold_what_the_primary_holds() {
    let primary = Position::new(2, 9);
    let holds = Some(primary);
    let lacks = Some(Position::new(2, 8));
    let of_former_term = Some(Position::new(1, 12));
    assert!(may_remove_ended(primary, &[holds, lacks], 1));
    assert!(!may_remove_ended(
        primary,
        &[lacks, of_former_term, None],
        1
    ));
    assert!(!may_remove_ended(primary, &[holds, lacks], 2));
    assert!(may_remove_ended(primary, &[holds, holds], 2));
}
