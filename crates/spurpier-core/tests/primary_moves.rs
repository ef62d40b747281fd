//! Moves of a primary towards its demand, checked against plain counts of the units that each
//! region allows. They guard against primaries that move too often, or for demand that does not
//! justify the interruption.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use spurpier_core::locality::{
    AllowedRegions, DecayingDemand, DemandCounts, MAX_REGION_SETS, MIN_MOVE_INTERVAL,
    PrimaryMovePlanner, RegionDemand,
};
use spurpier_core::time::Timestamp;

const REGIONS: [&str; 3] = ["east", "north", "south"];
/// Interval between demand reports, and between decisions.
const STEP: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn demand(names: &[&str], units: u32) -> RegionDemand {
    let regions = set(names);
    RegionDemand { regions, units }
}

/// A group whose primary moves at once to each target region.
struct Group {
    recent_demand: DecayingDemand,
    planner: PrimaryMovePlanner,
    current: String,
    now: Timestamp,
    moves: Vec<(Timestamp, String)>,
}

impl Group {
    fn in_region(current: &str) -> Self {
        Group {
            recent_demand: DecayingDemand::default(),
            planner: PrimaryMovePlanner::default(),
            current: current.to_owned(),
            now: Timestamp::from_millis(100_000),
            moves: Vec::new(),
        }
    }

    fn step(&mut self, reported: &[RegionDemand]) {
        self.now = self.now + STEP;
        self.recent_demand.record(reported, self.now);
        let candidates = set(&REGIONS);
        let (recent_demand, current) = (&self.recent_demand, self.current.as_str());
        let wanted = self
            .planner
            .decide(recent_demand, current, &candidates, self.now);
        if let Some(region) = wanted {
            assert_ne!(
                region, self.current,
                "the primary is already in this region"
            );
            self.moves.push((self.now, region.clone()));
            self.current = region;
        }
    }

    fn steps(&mut self, count: usize, reported: &[RegionDemand]) {
        for _ in 0..count {
            self.step(reported);
        }
    }
}

#[test]
fn a_primary_moves_once_to_the_region_that_allows_all_restricted_work() {
    let mut group = Group::in_region("north");
    group.steps(120, &[demand(&["south"], 5)]);
    assert_eq!(group.moves.len(), 1, "{:?}", group.moves);
    assert_eq!(group.current, "south");
}

#[test]
fn the_region_with_the_most_demand_over_all_sets_is_chosen() {
    let mut group = Group::in_region("north");
    let reported = [
        demand(&["east"], 4),
        demand(&["east", "south"], 4),
        demand(&["south"], 1),
    ];
    group.steps(60, &reported);
    assert_eq!(group.current, "east");
}

#[test]
fn evenly_divided_demand_moves_nothing() {
    for (north, south) in [(5, 5), (40, 60), (6, 4)] {
        let mut group = Group::in_region("north");
        let reported = [demand(&["north"], north), demand(&["south"], south)];
        group.steps(300, &reported);
        assert_eq!(group.moves, [], "{north} against {south}");
    }
}

#[test]
fn a_short_burst_and_single_units_move_nothing() {
    let mut group = Group::in_region("north");
    group.steps(30, &[demand(&["north"], 20)]);
    group.steps(2, &[demand(&["south"], 60)]);
    group.steps(60, &[demand(&["north"], 20)]);
    assert_eq!(group.moves, []);
    let mut quiet = Group::in_region("north");
    quiet.step(&[demand(&["south"], 1)]);
    quiet.steps(60, &[]);
    assert_eq!(quiet.moves, []);
}

#[test]
fn a_move_that_does_not_happen_is_abandoned_and_retried_later() {
    let mut recent_demand = DecayingDemand::default();
    let mut planner = PrimaryMovePlanner::default();
    let (mut now, candidates) = (Timestamp::ZERO, set(&REGIONS));
    let mut tried = Vec::new();
    for second in 0..90_u64 {
        recent_demand.record(&[demand(&["south"], 5)], now);
        if planner
            .decide(&recent_demand, "north", &candidates, now)
            .is_some()
        {
            tried.push(second);
        }
        now = now + STEP;
    }
    assert_eq!(
        tried,
        [3, 4, 5, 6, 7, 33, 34, 35, 36, 37, 63, 64, 65, 66, 67]
    );
}

#[test]
fn a_region_without_a_candidate_server_is_not_chosen() {
    let mut recent_demand = DecayingDemand::default();
    let mut planner = PrimaryMovePlanner::default();
    let mut now = Timestamp::ZERO;
    for _ in 0..30 {
        now = now + STEP;
        recent_demand.record(&[demand(&["south"], 5)], now);
        let wanted = planner.decide(&recent_demand, "north", &set(&["east", "north"]), now);
        assert_eq!(wanted, None);
    }
}

#[test]
fn region_sets_are_limited_and_unrestricted_work_is_not_counted() {
    let mut counts = DemandCounts::default();
    for number in 0..100 {
        counts.count(&AllowedRegions::only([format!("r{number}")]));
    }
    counts.count(&AllowedRegions::ANYWHERE);
    counts.count(&AllowedRegions::only([]));
    counts.count(&AllowedRegions::only(["r0".to_owned()]));
    let taken = counts.take();
    assert_eq!(taken.len(), MAX_REGION_SETS);
    assert_eq!(taken[0], demand(&["r0"], 2));
    assert_eq!(counts.take(), []);
}

fn any_set() -> impl Strategy<Value = BTreeSet<String>> {
    proptest::sample::subsequence(REGIONS.to_vec(), 1..=REGIONS.len()).prop_map(|names| set(&names))
}

fn any_report() -> impl Strategy<Value = Vec<RegionDemand>> {
    let one = (any_set(), 0..2_000_u32);
    let one = one.prop_map(|(regions, units)| RegionDemand { regions, units });
    vec(one, 0..4)
}

proptest! {
    #[test]
    fn a_primary_moves_at_most_twice_a_minute_under_any_demand(
        reported in vec(any_report(), 1..400),
    ) {
        let mut group = Group::in_region("north");
        for reported in &reported {
            group.step(reported);
        }
        for (index, (started, _)) in group.moves.iter().enumerate() {
            let within = group.moves[index..].iter();
            let within = within.filter(|(at, _)| at.since(*started) < MINUTE);
            prop_assert!(within.count() <= 2, "{:?}", group.moves);
        }
        let pairs = group.moves.windows(2);
        let pauses: Vec<Duration> = pairs.map(|pair| pair[1].0.since(pair[0].0)).collect();
        prop_assert!(pauses.iter().all(|pause| *pause >= MIN_MOVE_INTERVAL), "{pauses:?}");
    }

    /// The oracle counts the units that each region allows, without decay: the shares of steady
    /// demand do not change as it decays.
    #[test]
    fn steady_demand_moves_a_primary_once_and_only_for_a_quarter_more(
        reported in any_report(),
    ) {
        let allowed = |region: &str| -> u64 {
            let sets = reported.iter().filter(|set| set.regions.contains(region));
            sets.map(|set| u64::from(set.units)).sum()
        };
        let total: u64 = reported.iter().map(|set| u64::from(set.units)).sum();
        let best = REGIONS.iter().map(|region| allowed(region)).max().unwrap_or(0);
        let mut group = Group::in_region("north");
        group.steps(200, &reported);
        let gain = best - allowed("north");
        if gain * 4 < total || gain == 0 {
            prop_assert_eq!(&group.moves, &[]);
        } else if gain * 4 > total + 1 {
            prop_assert_eq!(group.moves.len(), 1);
            prop_assert_eq!(allowed(&group.current), best);
        }
    }
}
