//! Leadership proofs, read routing, failover decisions, the promotion lease and the ranking of
//! homes.

use std::time::Duration;

use spurpier_core::homes::subject_digest;
use spurpier_core::leader::{
    Distance, FailoverDecision, FormerPrimary, HolderStatus, LeaderCandidate, LeadershipProof,
    LeadershipProofs, MissingPrimary, ObservedPosition, PARTITION_TIMEOUT, PrimaryObservation,
    PromotionLeaseRow, PromotionStep, RankedNode, ServerLoad, SessionCommit, SessionCommits,
    SuccessorCandidate, choose_leader_candidate, choose_read_server, choose_successor,
    decide_failover, homes_per_zone, next_promotion_step, rank_homes, read_floor,
};
use spurpier_core::membership::NodeKey;
use spurpier_core::position::Position;
use spurpier_core::store_version::{StoreEra, StoreVersion};
use spurpier_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn proof(sent_ms: u64, term: u64, offset: u64) -> LeadershipProof {
    LeadershipProof {
        sent_at: at(sent_ms),
        position: Position::new(term, offset),
    }
}

fn recorded(proofs: &[LeadershipProof]) -> LeadershipProofs {
    let mut recorded = LeadershipProofs::default();
    for proof in proofs {
        recorded.record(*proof);
    }
    recorded
}

#[test]
fn a_read_takes_the_oldest_proof_that_is_new_enough() {
    let proofs = recorded(&[proof(100, 1, 5), proof(200, 1, 8), proof(300, 1, 9)]);
    let floor = |since| read_floor(&proofs, at(since), None);
    assert_eq!(floor(50), Some(Position::new(1, 5)));
    assert_eq!(floor(150), Some(Position::new(1, 8)));
    assert_eq!(floor(300), Some(Position::new(1, 9)));
    assert_eq!(floor(301), None, "no proof was sent late enough");
}

#[test]
fn a_late_answer_to_an_early_message_is_not_a_newer_proof() {
    let mut proofs = recorded(&[proof(200, 1, 8)]);
    proofs.record(proof(100, 1, 9));
    assert_eq!(read_floor(&proofs, at(201), None), None);
    assert_eq!(
        read_floor(&proofs, at(100), None),
        Some(Position::new(1, 8))
    );
}

#[test]
fn proofs_sent_close_together_keep_the_first_and_the_last() {
    let close: Vec<LeadershipProof> = (0..20)
        .map(|step| proof(100 + step, 1, 10 + step))
        .collect();
    let proofs = recorded(&close);
    assert_eq!(proofs.newest(), Some(proof(119, 1, 29)));
    assert_eq!(proofs.oldest_covering(at(90)), Some(proof(100, 1, 10)));
    assert_eq!(proofs.oldest_covering(at(119)), Some(proof(119, 1, 29)));
}

#[test]
fn many_proofs_do_not_grow_without_bound() {
    let mut proofs = LeadershipProofs::default();
    for step in 0..10_000 {
        proofs.record(proof(step * 50, 1, step));
    }
    let oldest = proofs
        .oldest_covering(Timestamp::ZERO)
        .expect("some are kept");
    assert!(oldest.sent_at > at(400_000), "old proofs are dropped");
}

#[test]
fn a_session_reads_its_own_commit() {
    let proofs = recorded(&[proof(100, 1, 5)]);
    let own = |offset, acknowledged_ms| {
        Some(SessionCommit {
            position: Position::new(1, offset),
            acknowledged_at: at(acknowledged_ms),
        })
    };
    let floor = |own| read_floor(&proofs, at(50), own);
    assert_eq!(floor(own(7, 150)), Some(Position::new(1, 7)));
    assert_eq!(floor(own(3, 150)), Some(Position::new(1, 5)));
    assert_eq!(
        floor(own(7, 90)),
        Some(Position::new(1, 5)),
        "a later proof covers the commit, also if the commit was dropped since"
    );
}

#[test]
fn a_session_keeps_its_last_commit_in_each_group() {
    let commit = |offset, acknowledged_ms| SessionCommit {
        position: Position::new(1, offset),
        acknowledged_at: at(acknowledged_ms),
    };
    let mut commits = SessionCommits::default();
    commits.record("one", commit(7, 100));
    commits.record("two", commit(2, 200));
    commits.record("one", commit(8, 300));
    assert_eq!(commits.last_in("one"), Some(commit(8, 300)));
    assert_eq!(commits.last_in("two"), Some(commit(2, 200)));
    assert_eq!(commits.last_in("three"), None);
}

#[test]
fn a_proof_of_a_newer_term_covers_commits_of_older_terms() {
    let proofs = recorded(&[proof(100, 2, 5)]);
    let own = Some(SessionCommit {
        position: Position::new(1, 9),
        acknowledged_at: at(150),
    });
    let floor = read_floor(&proofs, at(50), own);
    assert_eq!(floor, Some(Position::new(2, 5)));
}

fn load(distance: Distance) -> ServerLoad {
    ServerLoad {
        distance,
        answer_time: Duration::from_millis(20),
        in_flight: 0,
        slots: 3,
        observed: None,
        avoided_until: Timestamp::ZERO,
        accepts_reads: true,
        is_leader: false,
    }
}

const FLOOR: Position = Position::new(1, 10);

fn chosen(loads: &[ServerLoad], excluded: &[usize]) -> Option<usize> {
    choose_read_server(loads, excluded, FLOOR, at(1_000))
}

#[test]
fn reads_go_to_the_nearest_server() {
    let loads = [
        load(Distance::Remote),
        load(Distance::Zone),
        load(Distance::Region),
    ];
    assert_eq!(chosen(&loads, &[]), Some(1));
    assert_eq!(chosen(&loads, &[1]), Some(2));
    assert_eq!(chosen(&loads, &[0, 1, 2]), None);
}

#[test]
fn reads_avoid_a_slow_or_overloaded_server() {
    let mut slow = load(Distance::Zone);
    slow.answer_time = Duration::from_millis(200);
    assert_eq!(chosen(&[slow, load(Distance::Remote)], &[]), Some(1));
    let mut overloaded = load(Distance::Zone);
    overloaded.in_flight = 18;
    assert_eq!(chosen(&[overloaded, load(Distance::Remote)], &[]), Some(1));
}

#[test]
fn reads_avoid_leaving_unresponsive_and_lagging_servers() {
    let mut leaving = load(Distance::Zone);
    leaving.accepts_reads = false;
    assert_eq!(chosen(&[leaving, load(Distance::Remote)], &[]), Some(1));
    let mut unresponsive = load(Distance::Zone);
    unresponsive.avoided_until = at(1_100);
    assert_eq!(
        chosen(&[unresponsive, load(Distance::Remote)], &[]),
        Some(1)
    );
    assert_eq!(chosen(&[unresponsive], &[]), Some(0), "there is no other");
    let mut lagging = load(Distance::Zone);
    let observed = |at_ms, lag_ms| {
        Some(ObservedPosition {
            position: Position::new(1, 9),
            observed_at: at(at_ms),
            lag: Duration::from_millis(lag_ms),
        })
    };
    lagging.observed = observed(990, 0);
    assert_eq!(chosen(&[lagging, load(Distance::Remote)], &[]), Some(1));
    lagging.observed = observed(500, 60);
    assert_eq!(
        chosen(&[lagging, load(Distance::Remote)], &[]),
        Some(0),
        "it may have caught up since"
    );
    lagging.observed = observed(500, 8_000);
    assert_eq!(
        chosen(&[lagging, load(Distance::Remote)], &[]),
        Some(1),
        "it was far behind"
    );
}

#[test]
fn replication_lag_is_the_time_for_which_the_leader_has_been_ahead() {
    let mut proofs = LeadershipProofs::default();
    let now = at(9_000);
    assert_eq!(
        proofs.replication_lag(Position::new(1, 5), now),
        Duration::ZERO
    );
    proofs.record(proof(1_000, 1, 5));
    proofs.record(proof(4_000, 1, 8));
    proofs.record(proof(6_000, 1, 8));
    proofs.record(proof(8_500, 1, 12));
    let lag = |offset| {
        proofs
            .replication_lag(Position::new(1, offset), now)
            .as_millis()
    };
    assert_eq!([lag(4), lag(5), lag(8), lag(12)], [8_000, 5_000, 500, 0]);
}

const FAILURE_TIMEOUT: Duration = Duration::from_millis(450);

fn observation(last_proof_age_ms: Option<u64>) -> PrimaryObservation {
    PrimaryObservation {
        last_proof_age: last_proof_age_ms.map(Duration::from_millis),
    }
}

fn missing(peer_observations: Vec<PrimaryObservation>) -> MissingPrimary {
    MissingPrimary {
        missing_for: FAILURE_TIMEOUT,
        peers_asked: 6,
        peer_observations,
        primary_listed: true,
        all_holders_reachable: true,
    }
}

#[test]
fn a_primary_is_replaced_only_if_more_nodes_miss_it_than_observe_it() {
    let observed_by_all = missing(vec![observation(Some(100)); 6]);
    assert_eq!(
        decide_failover(&observed_by_all, FAILURE_TIMEOUT),
        FailoverDecision::Keep
    );
    let observed_by_half = missing(vec![
        observation(Some(100)),
        observation(Some(50)),
        observation(None),
    ]);
    assert_eq!(
        decide_failover(&observed_by_half, FAILURE_TIMEOUT),
        FailoverDecision::Keep
    );
    let observed_by_few = missing(vec![
        observation(Some(100)),
        observation(Some(2_000)),
        observation(None),
    ]);
    assert_eq!(
        decide_failover(&observed_by_few, FAILURE_TIMEOUT),
        FailoverDecision::Replace
    );
}

#[test]
fn a_primary_is_kept_until_the_failure_timeout() {
    let mut early = missing(vec![observation(None); 6]);
    early.missing_for = FAILURE_TIMEOUT - Duration::from_millis(1);
    assert_eq!(
        decide_failover(&early, FAILURE_TIMEOUT),
        FailoverDecision::Keep
    );
}

#[test]
fn an_isolated_node_waits_until_the_directory_drops_the_primary() {
    let mut alone = missing(Vec::new());
    assert_eq!(
        decide_failover(&alone, FAILURE_TIMEOUT),
        FailoverDecision::Keep
    );
    alone.primary_listed = false;
    assert_eq!(
        decide_failover(&alone, FAILURE_TIMEOUT),
        FailoverDecision::Replace
    );
    let mut only_node = missing(Vec::new());
    only_node.peers_asked = 0;
    assert_eq!(
        decide_failover(&only_node, FAILURE_TIMEOUT),
        FailoverDecision::Replace
    );
}

/// In a partition that leaves the primary with some nodes, those go on using it under their leases.
#[test]
fn a_primary_that_unreachable_nodes_may_use_is_kept_longer() {
    let mut partitioned = missing(vec![observation(None)]);
    partitioned.primary_listed = false;
    partitioned.all_holders_reachable = false;
    assert_eq!(
        decide_failover(&partitioned, FAILURE_TIMEOUT),
        FailoverDecision::Keep
    );
    partitioned.missing_for = PARTITION_TIMEOUT;
    assert_eq!(
        decide_failover(&partitioned, FAILURE_TIMEOUT),
        FailoverDecision::Replace
    );
}

fn candidate(offset: Option<u64>, eligible: bool) -> SuccessorCandidate {
    SuccessorCandidate {
        received: offset.map(|offset| Position::new(1, offset)),
        eligible,
        placement_score: 0,
    }
}

#[test]
fn the_best_placed_of_equally_advanced_replicas_takes_over() {
    let placed = |offset, placement_score| SuccessorCandidate {
        placement_score,
        ..candidate(Some(offset), true)
    };
    let equal = [placed(5, 1), placed(5, 9), placed(5, 2)];
    assert_eq!(
        choose_successor(&equal, 0, FormerPrimary::Excluded),
        Some(1)
    );
    let ahead = [placed(5, 9), placed(6, 0)];
    assert_eq!(
        choose_successor(&ahead, 0, FormerPrimary::Excluded),
        Some(1),
        "the most advanced replica takes over whatever its score, so that nothing is lost"
    );
}

#[test]
fn the_replica_that_received_most_takes_over() {
    let candidates = [
        candidate(Some(5), true),
        candidate(Some(9), false),
        candidate(Some(7), true),
        candidate(None, true),
    ];
    assert_eq!(
        choose_successor(&candidates, 0, FormerPrimary::Excluded),
        Some(2)
    );
    assert_eq!(
        choose_successor(&[candidate(Some(5), false)], 0, FormerPrimary::Excluded),
        None
    );
}

#[test]
fn with_synchronous_replicas_the_successor_holds_every_acknowledged_commit() {
    let all_reported = [candidate(Some(5), true), candidate(Some(7), true)];
    assert_eq!(
        choose_successor(&all_reported, 1, FormerPrimary::Excluded),
        Some(1)
    );
    let one_unreported = [candidate(Some(5), true), candidate(None, true)];
    assert_eq!(
        choose_successor(&one_unreported, 1, FormerPrimary::Excluded),
        None
    );
    assert_eq!(
        choose_successor(&one_unreported, 2, FormerPrimary::Excluded),
        Some(0)
    );
    let leaving_has_more = [candidate(Some(5), true), candidate(Some(7), false)];
    assert_eq!(
        choose_successor(&leaving_has_more, 1, FormerPrimary::Excluded),
        None
    );
}

fn row_of(holder: &str) -> PromotionLeaseRow {
    PromotionLeaseRow {
        holder: holder.to_owned(),
        token: 4,
    }
}

#[test]
fn a_node_decides_without_a_holder_or_as_the_holder() {
    let holder_status = HolderStatus::new(at(1_000));
    let row = row_of("a");
    let step = |row: Option<&PromotionLeaseRow>, own: &str| {
        next_promotion_step(row, own, &holder_status, at(1_000))
    };
    assert_eq!(step(None, "b"), PromotionStep::Decide);
    assert_eq!(step(Some(&row), "a"), PromotionStep::Decide);
    assert_eq!(step(Some(&row), "b"), PromotionStep::AskHolder);
}

#[test]
fn the_promotion_lease_is_taken_over_from_an_unresponsive_holder() {
    let row = row_of("a");
    let mut holder_status = HolderStatus::new(at(1_000));
    holder_status.record_request(at(1_000), false);
    let step = |holder_status: &HolderStatus, now| {
        next_promotion_step(Some(&row), "b", holder_status, at(now))
    };
    assert_eq!(step(&holder_status, 1_500), PromotionStep::AskHolder);
    holder_status.record_request(at(1_500), false);
    assert_eq!(step(&holder_status, 1_950), PromotionStep::Decide);
}

/// Guards against a takeover of the lease from a holder that answers. After a primary had crashed,
/// a node was answered by the holder and then spent longer than the holder's response timeout
/// asking the other nodes.
#[test]
fn time_without_a_request_does_not_count_against_the_holder() {
    let row = row_of("a");
    let mut holder_status = HolderStatus::new(at(1_000));
    holder_status.record_request(at(1_000), true);
    let step = |holder_status: &HolderStatus, now| {
        next_promotion_step(Some(&row), "b", holder_status, at(now))
    };
    assert_eq!(step(&holder_status, 2_500), PromotionStep::AskHolder);
    holder_status.record_request(at(2_500), false);
    holder_status.record_request(at(2_900), true);
    assert_eq!(step(&holder_status, 3_700), PromotionStep::AskHolder);
}

#[test]
fn a_holder_that_answers_without_deciding_loses_the_promotion_lease() {
    let row = row_of("a");
    let mut holder_status = HolderStatus::new(at(1_000));
    holder_status.record_request(at(13_900), true);
    assert_eq!(
        next_promotion_step(Some(&row), "b", &holder_status, at(13_900)),
        PromotionStep::AskHolder
    );
    assert_eq!(
        next_promotion_step(Some(&row), "b", &holder_status, at(14_100)),
        PromotionStep::Decide
    );
}

#[test]
fn tokens_of_a_later_era_exceed_those_that_the_store_has_lost() {
    let era = |number| StoreEra::new(number).expect("a small number");
    let mut lost = PromotionLeaseRow::next(None, "a", era(1));
    for _ in 0..1_000 {
        lost = PromotionLeaseRow::next(Some(&lost), "a", era(1));
    }
    let without_row = PromotionLeaseRow::next(None, "b", era(2));
    assert!(without_row.token > lost.token);
    let second = PromotionLeaseRow::next(Some(&without_row), "b", era(2));
    assert!(second.token > without_row.token);
    assert!(PromotionLeaseRow::next(Some(&second), "b", era(3)).token > second.token);
}

#[test]
fn each_decision_has_a_higher_token() {
    let first = PromotionLeaseRow::next(None, "a", StoreEra::UNREPORTED);
    let second = PromotionLeaseRow::next(Some(&first), "a", StoreEra::UNREPORTED);
    let third = PromotionLeaseRow::next(Some(&second), "b", StoreEra::UNREPORTED);
    assert_eq!((first.token, second.token, third.token), (1, 2, 3));
    assert_eq!(third.holder, "b");
}

fn nodes(count: u64, weight: impl Fn(u64) -> f64) -> Vec<RankedNode> {
    (0..count)
        .map(|index| RankedNode {
            key: NodeKey(subject_digest(&format!("node-{index}"))),
            weight: weight(index),
        })
        .collect()
}

#[test]
fn a_removed_node_does_not_change_the_order_of_the_others() {
    let all = nodes(12, |_| 1.0);
    let fewer = &all[..11];
    for group in 0..200 {
        let group = format!("group-{group}");
        let before = rank_homes(&group, &all);
        let after = rank_homes(&group, fewer);
        let kept: Vec<usize> = before.into_iter().filter(|index| *index != 11).collect();
        assert_eq!(after, kept, "{group}");
    }
}

#[test]
fn a_node_with_more_weight_is_home_of_more_groups() {
    let all = nodes(10, |index| if index == 0 { 4.0 } else { 1.0 });
    let mut first_of = [0_u32; 10];
    for group in 0..1_300 {
        first_of[rank_homes(&format!("group-{group}"), &all)[0]] += 1;
    }
    // The expected counts are 400 (4 of 13 shares) and 100 (1 of 13); the standard deviations are
    // 17 and 10.
    assert!((330..=470).contains(&first_of[0]), "{first_of:?}");
    assert!(first_of[1..].iter().all(|count| (60..=140).contains(count)));
}

#[test]
fn every_node_is_a_home_if_connections_suffice() {
    assert_eq!(homes_per_zone(32, 7, 3), 7, "all nodes of a zone");
    assert_eq!(homes_per_zone(32, 10, 3), 10);
    assert_eq!(homes_per_zone(36, 73, 6), 1);
    assert_eq!(homes_per_zone(100, 73, 6), 2);
    assert_eq!(homes_per_zone(1, 73, 6), 1, "at least one");
    assert_eq!(homes_per_zone(771, 295, 6), 2, "no more than the maximum");
    assert_eq!(
        homes_per_zone(771, 23, 6),
        2,
        "also if connections suffice for every node"
    );
}

fn leader_candidate(
    proved: bool,
    claims_leadership: bool,
    unresponsive: bool,
    version: u64,
) -> LeaderCandidate {
    LeaderCandidate {
        proved,
        claims_leadership,
        unresponsive,
        version: StoreVersion::from_bits(version),
    }
}

#[test]
fn the_proven_leader_is_asked_first_while_it_answers() {
    let proved = leader_candidate(true, false, false, 1);
    let claiming = leader_candidate(false, true, false, 9);
    assert_eq!(choose_leader_candidate(&[claiming, proved]), Some(1));
    assert_eq!(choose_leader_candidate(&[]), None);
}

#[test]
fn responsive_servers_are_asked_before_an_unresponsive_leader() {
    let unresponsive = leader_candidate(true, true, true, 9);
    let replica = leader_candidate(false, false, false, 1);
    let claiming = leader_candidate(false, true, false, 2);
    assert_eq!(
        choose_leader_candidate(&[unresponsive, replica, claiming]),
        Some(2)
    );
    assert_eq!(choose_leader_candidate(&[unresponsive, replica]), Some(1));
    let unresponsive_claimant = leader_candidate(false, true, true, 2);
    assert_eq!(
        choose_leader_candidate(&[unresponsive_claimant, unresponsive]),
        Some(1)
    );
}
