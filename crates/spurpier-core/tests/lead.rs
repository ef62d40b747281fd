//! Evidence of lead, the choice of servers, and who decides on a new primary.

use std::time::Duration;

use spurpier_core::homes::subject_digest;
use spurpier_core::lead::{
    Candidate, Distance, DutyRow, DutyStep, HolderRecord, LeadCandidate, LeadEvidence, Missing,
    OwnCommit, Proof, RankedNode, SPLIT_PATIENCE, ServerLoad, Shown, Sight, Verdict, choose_lead,
    choose_read_server, choose_successor, homes_per_zone, judge, next_step, rank_homes, read_floor,
};
use spurpier_core::membership::NodeKey;
use spurpier_core::position::Position;
use spurpier_core::store_version::{StoreEra, StoreVersion};
use spurpier_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn proof(sent_ms: u64, term: u64, offset: u64) -> Proof {
    Proof {
        sent_at: at(sent_ms),
        position: Position::new(term, offset),
    }
}

fn evidence(proofs: &[Proof]) -> LeadEvidence {
    let mut evidence = LeadEvidence::default();
    for proof in proofs {
        evidence.record(*proof);
    }
    evidence
}

#[test]
fn a_read_takes_the_oldest_proof_that_is_new_enough() {
    let evidence = evidence(&[proof(100, 1, 5), proof(200, 1, 8), proof(300, 1, 9)]);
    let floor = |since| read_floor(&evidence, at(since), None);
    assert_eq!(floor(50), Some(Position::new(1, 5)));
    assert_eq!(floor(150), Some(Position::new(1, 8)));
    assert_eq!(floor(300), Some(Position::new(1, 9)));
    assert_eq!(floor(301), None, "no proof was sent late enough");
}

#[test]
fn a_late_answer_to_an_early_message_is_no_newer_proof() {
    let mut evidence = evidence(&[proof(200, 1, 8)]);
    evidence.record(proof(100, 1, 9));
    assert_eq!(read_floor(&evidence, at(201), None), None);
    assert_eq!(
        read_floor(&evidence, at(100), None),
        Some(Position::new(1, 8))
    );
}

#[test]
fn proofs_that_stand_close_together_keep_the_first_and_the_last() {
    let close: Vec<Proof> = (0..20)
        .map(|step| proof(100 + step, 1, 10 + step))
        .collect();
    let evidence = evidence(&close);
    assert_eq!(evidence.newest(), Some(proof(119, 1, 29)));
    assert_eq!(evidence.covering(at(90)), Some(proof(100, 1, 10)));
    assert_eq!(evidence.covering(at(119)), Some(proof(119, 1, 29)));
}

#[test]
fn many_proofs_do_not_grow_without_bound() {
    let mut evidence = LeadEvidence::default();
    for step in 0..10_000 {
        evidence.record(proof(step * 50, 1, step));
    }
    let oldest = evidence.covering(Timestamp::ZERO).expect("some are kept");
    assert!(oldest.sent_at > at(400_000), "old proofs are dropped");
}

#[test]
fn a_session_finds_its_own_commit() {
    let evidence = evidence(&[proof(100, 1, 5)]);
    let own = |offset, acknowledged_ms| {
        Some(OwnCommit {
            position: Position::new(1, offset),
            acknowledged_at: at(acknowledged_ms),
        })
    };
    let floor = |own| read_floor(&evidence, at(50), own);
    assert_eq!(floor(own(7, 150)), Some(Position::new(1, 7)));
    assert_eq!(floor(own(3, 150)), Some(Position::new(1, 5)));
    assert_eq!(
        floor(own(7, 90)),
        Some(Position::new(1, 5)),
        "a later proof stands for the commit, also if the commit was dropped since"
    );
}

#[test]
fn a_proof_of_a_newer_term_stands_for_commits_of_older_ones() {
    let evidence = evidence(&[proof(100, 2, 5)]);
    let own = Some(OwnCommit {
        position: Position::new(1, 9),
        acknowledged_at: at(150),
    });
    let floor = read_floor(&evidence, at(50), own);
    assert_eq!(floor, Some(Position::new(2, 5)));
}

fn load(distance: Distance) -> ServerLoad {
    ServerLoad {
        distance,
        answer_time: Duration::from_millis(20),
        in_flight: 0,
        slots: 3,
        shown: None,
        avoided_until: Timestamp::ZERO,
        takes_reads: true,
        leads: false,
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
fn reads_leave_a_slow_or_crowded_server() {
    let mut slow = load(Distance::Zone);
    slow.answer_time = Duration::from_millis(200);
    assert_eq!(chosen(&[slow, load(Distance::Remote)], &[]), Some(1));
    let mut crowded = load(Distance::Zone);
    crowded.in_flight = 18;
    assert_eq!(chosen(&[crowded, load(Distance::Remote)], &[]), Some(1));
}

#[test]
fn reads_pass_over_a_leaving_a_silent_and_a_lagging_server() {
    let mut leaving = load(Distance::Zone);
    leaving.takes_reads = false;
    assert_eq!(chosen(&[leaving, load(Distance::Remote)], &[]), Some(1));
    let mut silent = load(Distance::Zone);
    silent.avoided_until = at(1_100);
    assert_eq!(chosen(&[silent, load(Distance::Remote)], &[]), Some(1));
    assert_eq!(chosen(&[silent], &[]), Some(0), "there is no other");
    let mut lagging = load(Distance::Zone);
    let shown = |at_ms, lag_ms| {
        Some(Shown {
            position: Position::new(1, 9),
            at: at(at_ms),
            lag: Duration::from_millis(lag_ms),
        })
    };
    lagging.shown = shown(990, 0);
    assert_eq!(chosen(&[lagging, load(Distance::Remote)], &[]), Some(1));
    lagging.shown = shown(500, 60);
    assert_eq!(
        chosen(&[lagging, load(Distance::Remote)], &[]),
        Some(0),
        "it may have caught up since"
    );
    lagging.shown = shown(500, 8_000);
    assert_eq!(
        chosen(&[lagging, load(Distance::Remote)], &[]),
        Some(1),
        "it was far behind"
    );
}

#[test]
fn a_replicas_lag_is_the_time_for_which_the_lead_has_held_more() {
    let mut evidence = LeadEvidence::default();
    let now = at(9_000);
    assert_eq!(
        evidence.lag_behind(Position::new(1, 5), now),
        Duration::ZERO
    );
    evidence.record(proof(1_000, 1, 5));
    evidence.record(proof(4_000, 1, 8));
    evidence.record(proof(6_000, 1, 8));
    evidence.record(proof(8_500, 1, 12));
    let lag = |offset| {
        evidence
            .lag_behind(Position::new(1, offset), now)
            .as_millis()
    };
    assert_eq!([lag(4), lag(5), lag(8), lag(12)], [8_000, 5_000, 500, 0]);
}

const PATIENCE: Duration = Duration::from_millis(450);

fn sight(proven_ago_ms: Option<u64>) -> Sight {
    Sight {
        proven_ago: proven_ago_ms.map(Duration::from_millis),
    }
}

fn missing(peers: Vec<Sight>) -> Missing {
    Missing {
        missing_for: PATIENCE,
        asked: 6,
        peers,
        listed: true,
        reaches_all: true,
    }
}

#[test]
fn one_nodes_silence_replaces_no_primary() {
    let seen_by_all = missing(vec![sight(Some(100)); 6]);
    assert_eq!(judge(&seen_by_all, PATIENCE), Verdict::Keep);
    let seen_by_half = missing(vec![sight(Some(100)), sight(Some(50)), sight(None)]);
    assert_eq!(judge(&seen_by_half, PATIENCE), Verdict::Keep);
    let seen_by_few = missing(vec![sight(Some(100)), sight(Some(2_000)), sight(None)]);
    assert_eq!(judge(&seen_by_few, PATIENCE), Verdict::Replace);
}

#[test]
fn a_primary_is_given_its_time_to_answer() {
    let mut early = missing(vec![sight(None); 6]);
    early.missing_for = PATIENCE - Duration::from_millis(1);
    assert_eq!(judge(&early, PATIENCE), Verdict::Keep);
}

#[test]
fn a_node_that_hears_from_nobody_waits_for_the_directory() {
    let mut alone = missing(Vec::new());
    assert_eq!(judge(&alone, PATIENCE), Verdict::Keep);
    alone.listed = false;
    assert_eq!(judge(&alone, PATIENCE), Verdict::Replace);
    let mut only_node = missing(Vec::new());
    only_node.asked = 0;
    assert_eq!(judge(&only_node, PATIENCE), Verdict::Replace);
}

/// In a cut that leaves the primary with some nodes, those go on with it under their leases.
#[test]
fn a_primary_that_others_may_use_is_given_longer() {
    let mut cut_off = missing(vec![sight(None)]);
    cut_off.listed = false;
    cut_off.reaches_all = false;
    assert_eq!(judge(&cut_off, PATIENCE), Verdict::Keep);
    cut_off.missing_for = SPLIT_PATIENCE;
    assert_eq!(judge(&cut_off, PATIENCE), Verdict::Replace);
}

fn candidate(offset: Option<u64>, staying: bool) -> Candidate {
    Candidate {
        received: offset.map(|offset| Position::new(1, offset)),
        staying,
        fit: 0,
    }
}

#[test]
fn among_replicas_that_received_as_much_the_one_that_fits_best_takes_over() {
    let fitting = |offset, fit| Candidate {
        fit,
        ..candidate(Some(offset), true)
    };
    let equal = [fitting(5, 1), fitting(5, 9), fitting(5, 2)];
    assert_eq!(choose_successor(&equal, 0), Some(1));
    let ahead = [fitting(5, 9), fitting(6, 0)];
    assert_eq!(choose_successor(&ahead, 0), Some(1), "nothing is lost");
}

#[test]
fn the_replica_that_received_most_takes_over() {
    let candidates = [
        candidate(Some(5), true),
        candidate(Some(9), false),
        candidate(Some(7), true),
        candidate(None, true),
    ];
    assert_eq!(choose_successor(&candidates, 0), Some(2));
    assert_eq!(choose_successor(&[candidate(Some(5), false)], 0), None);
}

#[test]
fn with_synchronous_replicas_no_acknowledged_commit_may_be_missed() {
    let all_told = [candidate(Some(5), true), candidate(Some(7), true)];
    assert_eq!(choose_successor(&all_told, 1), Some(1));
    let one_silent = [candidate(Some(5), true), candidate(None, true)];
    assert_eq!(choose_successor(&one_silent, 1), None);
    assert_eq!(choose_successor(&one_silent, 2), Some(0));
    let leaving_has_more = [candidate(Some(5), true), candidate(Some(7), false)];
    assert_eq!(choose_successor(&leaving_has_more, 1), None);
}

fn row_of(holder: &str) -> DutyRow {
    DutyRow {
        holder: holder.to_owned(),
        token: 4,
    }
}

#[test]
fn a_node_decides_without_a_holder_or_as_the_holder() {
    let record = HolderRecord::new(at(1_000));
    let row = row_of("a");
    let step = |row: Option<&DutyRow>, own: &str| next_step(row, own, &record, at(1_000));
    assert_eq!(step(None, "b"), DutyStep::Decide);
    assert_eq!(step(Some(&row), "a"), DutyStep::Decide);
    assert_eq!(step(Some(&row), "b"), DutyStep::AskHolder);
}

#[test]
fn the_duty_is_taken_over_from_a_holder_that_leaves_questions_unanswered() {
    let row = row_of("a");
    let mut record = HolderRecord::new(at(1_000));
    record.note_question(at(1_000), false);
    let step = |record: &HolderRecord, now| next_step(Some(&row), "b", record, at(now));
    assert_eq!(step(&record, 1_500), DutyStep::AskHolder);
    record.note_question(at(1_500), false);
    assert_eq!(step(&record, 1_950), DutyStep::Decide);
}

/// Found on a day with a crashed primary: the node had been answered and had then been busy asking
/// the other nodes for longer than the holder's patience.
#[test]
fn time_without_a_question_does_not_count_against_a_holder() {
    let row = row_of("a");
    let mut record = HolderRecord::new(at(1_000));
    record.note_question(at(1_000), true);
    let step = |record: &HolderRecord, now| next_step(Some(&row), "b", record, at(now));
    assert_eq!(step(&record, 2_500), DutyStep::AskHolder);
    record.note_question(at(2_500), false);
    record.note_question(at(2_900), true);
    assert_eq!(step(&record, 3_700), DutyStep::AskHolder);
}

#[test]
fn a_holder_that_answers_and_does_nothing_loses_the_duty_in_the_end() {
    let row = row_of("a");
    let mut record = HolderRecord::new(at(1_000));
    record.note_question(at(13_900), true);
    assert_eq!(
        next_step(Some(&row), "b", &record, at(13_900)),
        DutyStep::AskHolder
    );
    assert_eq!(
        next_step(Some(&row), "b", &record, at(14_100)),
        DutyStep::Decide
    );
}

#[test]
fn a_token_of_a_later_era_is_above_those_that_the_store_has_lost() {
    let era = |number| StoreEra::new(number).expect("a small number");
    let mut lost = DutyRow::next(None, "a", era(1));
    for _ in 0..1_000 {
        lost = DutyRow::next(Some(&lost), "a", era(1));
    }
    let without_row = DutyRow::next(None, "b", era(2));
    assert!(without_row.token > lost.token);
    let second = DutyRow::next(Some(&without_row), "b", era(2));
    assert!(second.token > without_row.token);
    assert!(DutyRow::next(Some(&second), "b", era(3)).token > second.token);
}

#[test]
fn each_decision_has_a_higher_token() {
    let first = DutyRow::next(None, "a", StoreEra::UNREPORTED);
    let second = DutyRow::next(Some(&first), "a", StoreEra::UNREPORTED);
    let third = DutyRow::next(Some(&second), "b", StoreEra::UNREPORTED);
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
fn a_node_that_goes_moves_only_the_groups_that_it_leads() {
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
fn a_node_of_more_weight_is_home_of_more_groups() {
    let all = nodes(10, |index| if index == 0 { 4.0 } else { 1.0 });
    let mut first_of = [0_u32; 10];
    for group in 0..1_300 {
        first_of[rank_homes(&format!("group-{group}"), &all)[0]] += 1;
    }
    // 4 of 13 parts are 400 groups, 1 of 13 is 100; the standard deviation is 17 and 10.
    assert!((330..=470).contains(&first_of[0]), "{first_of:?}");
    assert!(first_of[1..].iter().all(|count| (60..=140).contains(count)));
}

#[test]
fn every_node_is_a_home_where_connections_go_round() {
    assert_eq!(homes_per_zone(32, 7, 3), 7, "at most all of a zone");
    assert_eq!(homes_per_zone(32, 10, 3), 10);
    assert_eq!(homes_per_zone(36, 73, 6), 1);
    assert_eq!(homes_per_zone(100, 73, 6), 2);
    assert_eq!(homes_per_zone(1, 73, 6), 1, "at least one");
    assert_eq!(
        homes_per_zone(771, 295, 6),
        2,
        "no more than the work needs"
    );
    assert_eq!(
        homes_per_zone(771, 23, 6),
        2,
        "also where connections go round"
    );
}

fn lead_candidate(proved: bool, claims: bool, silent: bool, version: u64) -> LeadCandidate {
    LeadCandidate {
        proved,
        claims,
        silent,
        version: StoreVersion::from_bits(version),
    }
}

#[test]
fn the_lead_that_proved_itself_is_asked_first_while_it_answers() {
    let proved = lead_candidate(true, false, false, 1);
    let claiming = lead_candidate(false, true, false, 9);
    assert_eq!(choose_lead(&[claiming, proved]), Some(1));
    assert_eq!(choose_lead(&[]), None);
}

#[test]
fn a_silent_lead_keeps_nobody_from_asking_the_others() {
    let silent = lead_candidate(true, true, true, 9);
    let replica = lead_candidate(false, false, false, 1);
    let claiming = lead_candidate(false, true, false, 2);
    assert_eq!(choose_lead(&[silent, replica, claiming]), Some(2));
    assert_eq!(choose_lead(&[silent, replica]), Some(1));
    let others_silent = lead_candidate(false, true, true, 2);
    assert_eq!(choose_lead(&[others_silent, silent]), Some(1));
}
