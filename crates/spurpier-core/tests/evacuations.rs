//! Evacuated zones: random sequences of writes, store reports and restarts are checked against an
//! oracle that knows when each row was written. They guard against statements that reach a server
//! of an evacuated zone after the operator's bound, and against zones that reopen too early after
//! the store has lost their rows.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::sample::select;
use spurpier_core::locality::{
    DELIVERY_MARGIN, Evacuations, MAX_STORE_LAG, REWRITE_GRACE_PERIOD, RetainedZones, ZonePhase,
};
use spurpier_core::store_version::{StoreEra, StoreVersion};
use spurpier_core::time::Timestamp;

const BOUND: Duration = Duration::from_millis(5_000);
const ZONES: [&str; 3] = ["a", "b", "c"];

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A node to which the store reported no evacuated zone at 10 s, and then the evacuation of `a`.
fn notified_of_a() -> Evacuations {
    let mut known = Evacuations::new(BOUND);
    known.apply(&zones(&[]), StoreVersion::from_bits(1), None);
    let changes = known.apply(&zones(&["a"]), StoreVersion::from_bits(2), Some(at(10_000)));
    assert_eq!(changes.evacuated, ["a"]);
    known
}

#[test]
fn an_evacuated_zone_closes_before_the_bound() {
    let known = notified_of_a();
    assert_eq!(known.phase("a", at(13_499)), ZonePhase::Evacuating);
    assert_eq!(known.phase("a", at(13_500)), ZonePhase::Closed);
    assert_eq!(known.phase("b", at(13_500)), ZonePhase::Open);
}

#[test]
fn a_node_started_after_an_evacuation_closes_the_zone_at_once() {
    let mut known = Evacuations::new(BOUND);
    known.apply(&zones(&["a"]), StoreVersion::from_bits(7), None);
    assert_eq!(known.phase("a", at(1)), ZonePhase::Closed);
}

#[test]
fn a_row_reported_again_does_not_postpone_the_closing() {
    let mut known = notified_of_a();
    let changes = known.apply(
        &zones(&["a", "b"]),
        StoreVersion::from_bits(3),
        Some(at(13_000)),
    );
    assert_eq!(changes.evacuated, ["b"]);
    assert_eq!(known.phase("a", at(13_500)), ZonePhase::Closed);
    assert_eq!(known.phase("b", at(13_500)), ZonePhase::Evacuating);
}

#[test]
fn a_reopened_zone_is_open_and_keeps_its_version() {
    let mut known = notified_of_a();
    assert_eq!(
        known.reopened_at("a"),
        Some(StoreVersion::from_bits(1)),
        "the zone may have been evacuated before the node started"
    );
    let changes = known.apply(&zones(&[]), StoreVersion::from_bits(9), Some(at(20_000)));
    assert_eq!(changes.reopened, ["a"]);
    assert_eq!(known.phase("a", at(20_000)), ZonePhase::Open);
    assert_eq!(known.reopened_at("a"), Some(StoreVersion::from_bits(9)));
    known.apply(
        &zones(&["a"]),
        StoreVersion::from_bits(12),
        Some(at(30_000)),
    );
    assert_eq!(known.phase("a", at(33_499)), ZonePhase::Evacuating);
    assert_eq!(known.phase("a", at(33_500)), ZonePhase::Closed);
}

/// A step of the model.
#[derive(Debug, Clone)]
enum Step {
    /// So many milliseconds pass. A long wait is a node that receives no reports.
    Wait(u64),
    /// The operator writes or deletes a row.
    Write { zone: &'static str, is_there: bool },
    /// The store reports its rows as they were `lag` ms ago; the report takes `transit` ms to
    /// arrive.
    Report { lag: u64, transit: u64 },
    /// A delivered report arrives again.
    Redeliver(usize),
    /// The node's process restarts.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let lag = u64::try_from(MAX_STORE_LAG.as_millis()).expect("fits into 64 bits");
    let step = prop_oneof![
        4 => (1_u64..1_500).prop_map(Step::Wait),
        1 => (1_500_u64..20_000).prop_map(Step::Wait),
        3 => (select(ZONES.to_vec()), any::<bool>())
            .prop_map(|(zone, is_there)| Step::Write { zone, is_there }),
        6 => (0..lag, 0_u64..2_000)
            .prop_map(|(lag, transit)| Step::Report { lag, transit }),
        1 => (0_usize..8).prop_map(Step::Redeliver),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..60)
}

/// The evacuated zones in the store, and when this state was written, in milliseconds.
#[derive(Debug, Clone)]
struct RowState {
    at: u64,
    zones: BTreeSet<String>,
}

/// A report of the store: its version, when it was sent, and when it arrives, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Report {
    version: usize,
    reported_at: u64,
    arrives_at: u64,
}

/// The store's rows over time, and a node that receives reports of them.
struct World {
    now: u64,
    history: Vec<RowState>,
    in_transit: Vec<Report>,
    delivered: Vec<Report>,
    node: Evacuations,
    /// The version that the node knows, and when the store last reported it.
    known: Option<(usize, u64)>,
}

impl World {
    fn new() -> Self {
        World {
            now: 100_000,
            history: vec![RowState {
                at: 0,
                zones: BTreeSet::new(),
            }],
            in_transit: Vec::new(),
            delivered: Vec::new(),
            node: Evacuations::new(BOUND),
            known: None,
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Wait(millis) => self.wait(*millis),
            Step::Write { zone, is_there } => self.write(zone, *is_there),
            Step::Report { lag, transit } => self.report(*lag, *transit),
            Step::Redeliver(index) => {
                if let Some(report) = self.delivered.get(*index).copied() {
                    self.take(report);
                }
            }
            Step::Restart => {
                self.node = Evacuations::new(BOUND);
                self.known = None;
                self.in_transit.clear();
            }
        }
    }

    fn write(&mut self, zone: &str, is_there: bool) {
        let mut zones = self.history.last().expect("not empty").zones.clone();
        if is_there {
            zones.insert(zone.to_owned());
        } else {
            zones.remove(zone);
        }
        let at = self.now;
        self.history.push(RowState { at, zones });
    }

    fn report(&mut self, lag: u64, transit: u64) {
        let as_of = self.now - lag;
        let version = self.history.iter().rposition(|written| written.at <= as_of);
        self.in_transit.push(Report {
            version: version.expect("the first state is older than any report"),
            reported_at: self.now,
            arrives_at: self.now + transit,
        });
    }

    /// Advances the time in steps of up to 50 ms. The node may send in each of them.
    fn wait(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 50);
            let (due, later) = self
                .in_transit
                .drain(..)
                .partition(|report| report.arrives_at <= self.now);
            self.in_transit = later;
            let due: Vec<Report> = due;
            for report in due {
                self.delivered.push(report);
                self.take(report);
            }
            self.check();
        }
    }

    /// Handles a report as a follower of the store does: ignores versions older than the known one.
    fn take(&mut self, report: Report) {
        if self
            .known
            .is_some_and(|(version, _)| report.version < version)
        {
            return;
        }
        let before = self.known.map(|(_, reported_at)| at(reported_at));
        let zones = &self.history[report.version].zones;
        self.node.apply(
            zones,
            StoreVersion::from_bits(report.version as u64),
            before,
        );
        let reported_at = self
            .known
            .map_or(0, |(_, known)| known)
            .max(report.reported_at);
        self.known = Some((report.version, reported_at));
    }

    /// Checks that a node that knows of an evacuation sends nothing that could arrive later than
    /// the bound after the write of its row.
    fn check(&self) {
        let Some((known, _)) = self.known else {
            return;
        };
        for zone in ZONES {
            let Some(written_at) = self.evacuated_since(zone, known) else {
                assert_eq!(self.node.phase(zone, at(self.now)), ZonePhase::Open);
                continue;
            };
            let transit = u64::try_from(DELIVERY_MARGIN.as_millis()).expect("fits into 64 bits");
            let arrives_at = self.now + transit;
            let bound = u64::try_from(BOUND.as_millis()).expect("fits into 64 bits");
            if arrives_at > written_at + bound {
                assert_eq!(
                    self.node.phase(zone, at(self.now)),
                    ZonePhase::Closed,
                    "{zone} was evacuated at {written_at}; a statement sent at {} arrives late",
                    self.now
                );
            }
            assert_ne!(self.node.phase(zone, at(self.now)), ZonePhase::Open);
        }
    }

    /// When the zone's row in a version was written; `None` if the version has no row of the zone.
    fn evacuated_since(&self, zone: &str, version: usize) -> Option<u64> {
        let states = self.history[..=version].iter().rev();
        let states = states.take_while(|written| written.zones.contains(zone));
        states.last().map(|written| written.at)
    }
}

proptest! {
    #[test]
    fn no_statement_arrives_after_the_evacuation_bound(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
        }
    }
}

/// The zones that count as evacuated when the store reports `reported`; `known` counted so before.
/// Separated by spaces.
fn evacuated(
    retained: &mut RetainedZones,
    known: &[&str],
    reported: &[&str],
    era: u64,
    now: Timestamp,
) -> String {
    let era = StoreEra::new(era).expect("a valid era");
    let known = known.iter().map(|zone| (*zone).to_owned());
    let evacuated = retained.with_retained(known, &zones(reported), era, now);
    evacuated.into_iter().collect::<Vec<_>>().join(" ")
}

#[test]
fn a_zone_with_a_lost_row_stays_evacuated_until_the_row_is_written_again() {
    let mut retained = RetainedZones::default();
    assert_eq!(evacuated(&mut retained, &[], &["a", "b"], 1, at(0)), "a b");
    assert_eq!(
        evacuated(&mut retained, &["a", "b"], &["b"], 1, at(1_000)),
        "b"
    );
    let returned = at(2_000);
    assert_eq!(evacuated(&mut retained, &["b"], &["a"], 2, returned), "a b");
    assert_eq!(
        retained.retained_until(),
        Some(returned + REWRITE_GRACE_PERIOD)
    );
    // The row is written again, and then deleted.
    assert_eq!(
        evacuated(&mut retained, &["a", "b"], &["b"], 2, at(3_000)),
        "b"
    );
    assert_eq!(retained.retained_until(), None);
    assert_eq!(evacuated(&mut retained, &["b"], &[], 2, at(4_000)), "");
}

#[test]
fn a_zone_with_a_lost_row_reopens_after_the_grace_period() {
    let mut retained = RetainedZones::default();
    assert_eq!(evacuated(&mut retained, &[], &["a"], 1, at(0)), "a");
    assert_eq!(evacuated(&mut retained, &["a"], &[], 2, at(1_000)), "a");
    let end = at(1_000) + REWRITE_GRACE_PERIOD;
    let last = Timestamp::from_micros(end.as_micros() - 1);
    assert_eq!(evacuated(&mut retained, &["a"], &[], 2, last), "a");
    assert_eq!(evacuated(&mut retained, &["a"], &[], 2, end), "");
    assert_eq!(retained.retained_until(), None);
}
