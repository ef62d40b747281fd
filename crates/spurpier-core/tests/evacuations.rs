//! Evacuated zones: a state machine against an oracle that knows when each row was written.

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

/// A node that was told at 10 s that nothing is evacuated, and then that `a` is.
fn told_of_a() -> Evacuations {
    let mut known = Evacuations::new(BOUND);
    known.apply(&zones(&[]), StoreVersion::from_bits(1), None);
    let changes = known.apply(&zones(&["a"]), StoreVersion::from_bits(2), Some(at(10_000)));
    assert_eq!(changes.evacuated, ["a"]);
    known
}

#[test]
fn an_evacuated_zone_is_left_first_and_closed_before_the_bound() {
    let known = told_of_a();
    assert_eq!(known.phase("a", at(13_499)), ZonePhase::Evacuating);
    assert_eq!(known.phase("a", at(13_500)), ZonePhase::Closed);
    assert_eq!(known.phase("b", at(13_500)), ZonePhase::Open);
}

#[test]
fn a_node_that_starts_later_closes_at_once() {
    let mut known = Evacuations::new(BOUND);
    known.apply(&zones(&["a"]), StoreVersion::from_bits(7), None);
    assert_eq!(known.phase("a", at(1)), ZonePhase::Closed);
}

#[test]
fn a_row_that_is_told_again_does_not_put_the_closing_off() {
    let mut known = told_of_a();
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
fn a_zone_that_is_taken_back_is_open_and_keeps_the_version() {
    let mut known = told_of_a();
    assert_eq!(
        known.reopened_at("a"),
        Some(StoreVersion::from_bits(1)),
        "it may have been before"
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

/// What happens next.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes; a long one is a node that stands still.
    Wait(u64),
    /// The operator writes or removes a row.
    Write { zone: &'static str, is_there: bool },
    /// The store tells, as it was so many milliseconds ago, and the answer takes so many more.
    Tell { held_back: u64, way: u64 },
    /// An answer arrives again.
    TellAgain(usize),
    /// The process starts anew.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let held_back = u64::try_from(MAX_STORE_LAG.as_millis()).expect("short");
    let step = prop_oneof![
        4 => (1_u64..1_500).prop_map(Step::Wait),
        1 => (1_500_u64..20_000).prop_map(Step::Wait),
        3 => (select(ZONES.to_vec()), any::<bool>())
            .prop_map(|(zone, is_there)| Step::Write { zone, is_there }),
        6 => (0..held_back, 0_u64..2_000)
            .prop_map(|(held_back, way)| Step::Tell { held_back, way }),
        1 => (0_usize..8).prop_map(Step::TellAgain),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 1..60)
}

/// A state of the rows, and since when the store has it.
#[derive(Debug, Clone)]
struct Written {
    at: u64,
    zones: BTreeSet<String>,
}

/// What the store told: its version, when it told that, and when it arrives.
#[derive(Debug, Clone, Copy)]
struct Told {
    version: usize,
    told_at: u64,
    arrives_at: u64,
}

/// The store's rows over time, and a node that is told of them.
struct World {
    now: u64,
    history: Vec<Written>,
    under_way: Vec<Told>,
    arrived: Vec<Told>,
    node: Evacuations,
    /// The version that the node knows, and up to when the store had told of it.
    known: Option<(usize, u64)>,
}

impl World {
    fn new() -> Self {
        World {
            now: 100_000,
            history: vec![Written {
                at: 0,
                zones: BTreeSet::new(),
            }],
            under_way: Vec::new(),
            arrived: Vec::new(),
            node: Evacuations::new(BOUND),
            known: None,
        }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Wait(millis) => self.wait(*millis),
            Step::Write { zone, is_there } => self.write(zone, *is_there),
            Step::Tell { held_back, way } => self.tell(*held_back, *way),
            Step::TellAgain(index) => {
                if let Some(told) = self.arrived.get(*index).copied() {
                    self.take(told);
                }
            }
            Step::Restart => {
                self.node = Evacuations::new(BOUND);
                self.known = None;
                self.under_way.clear();
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
        self.history.push(Written { at, zones });
    }

    fn tell(&mut self, held_back: u64, way: u64) {
        let as_of = self.now - held_back;
        let version = self.history.iter().rposition(|written| written.at <= as_of);
        self.under_way.push(Told {
            version: version.expect("the first one is old"),
            told_at: self.now,
            arrives_at: self.now + way,
        });
    }

    /// Time passes in small parts, in each of which the node may send.
    fn wait(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 50);
            let (due, later) = self
                .under_way
                .drain(..)
                .partition(|told| told.arrives_at <= self.now);
            self.under_way = later;
            let due: Vec<Told> = due;
            for told in due {
                self.arrived.push(told);
                self.take(told);
            }
            self.check();
        }
    }

    /// As a follower does: what is older than the known version is passed over.
    fn take(&mut self, told: Told) {
        if self
            .known
            .is_some_and(|(version, _)| told.version < version)
        {
            return;
        }
        let before = self.known.map(|(_, told_at)| at(told_at));
        let zones = &self.history[told.version].zones;
        self.node
            .apply(zones, StoreVersion::from_bits(told.version as u64), before);
        let told_at = self.known.map_or(0, |(_, known)| known).max(told.told_at);
        self.known = Some((told.version, told_at));
    }

    /// The rule: what a node sends that knows of a row arrives no later than the bound after it.
    fn check(&self) {
        let Some((known, _)) = self.known else {
            return;
        };
        for zone in ZONES {
            let Some(written_at) = self.evacuated_since(zone, known) else {
                assert_eq!(self.node.phase(zone, at(self.now)), ZonePhase::Open);
                continue;
            };
            let way = u64::try_from(DELIVERY_MARGIN.as_millis()).expect("short");
            let arrives_at = self.now + way;
            let bound = u64::try_from(BOUND.as_millis()).expect("short");
            if arrives_at > written_at + bound {
                assert_eq!(
                    self.node.phase(zone, at(self.now)),
                    ZonePhase::Closed,
                    "{zone} was evacuated at {written_at}, and what leaves at {} arrives late",
                    self.now
                );
            }
            assert_ne!(self.node.phase(zone, at(self.now)), ZonePhase::Open);
        }
    }

    /// When the zone's row was written that stands in a version; none if it does not.
    fn evacuated_since(&self, zone: &str, version: usize) -> Option<u64> {
        let states = self.history[..=version].iter().rev();
        let states = states.take_while(|written| written.zones.contains(zone));
        states.last().map(|written| written.at)
    }
}

proptest! {
    #[test]
    fn nothing_that_is_sent_arrives_later_than_the_bound(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.play(step);
        }
    }
}

/// The zones that count as evacuated, of which `known` did before and the store tells `told`.
fn counted(
    held: &mut RetainedZones,
    known: &[&str],
    told: &[&str],
    era: u64,
    now: Timestamp,
) -> String {
    let era = StoreEra::new(era).expect("a small number");
    let known = known.iter().map(|zone| (*zone).to_owned());
    let counted = held.with_retained(known, &zones(told), era, now);
    counted.into_iter().collect::<Vec<_>>().join(" ")
}

#[test]
fn a_zone_whose_row_the_store_has_lost_stays_evacuated_until_it_is_written_again() {
    let mut held = RetainedZones::default();
    assert_eq!(counted(&mut held, &[], &["a", "b"], 1, at(0)), "a b");
    assert_eq!(counted(&mut held, &["a", "b"], &["b"], 1, at(1_000)), "b");
    let returned = at(2_000);
    assert_eq!(counted(&mut held, &["b"], &["a"], 2, returned), "a b");
    assert_eq!(held.retained_until(), Some(returned + REWRITE_GRACE_PERIOD));
    // Written again, and then taken away.
    assert_eq!(counted(&mut held, &["a", "b"], &["b"], 2, at(3_000)), "b");
    assert_eq!(held.retained_until(), None);
    assert_eq!(counted(&mut held, &["b"], &[], 2, at(4_000)), "");
}

#[test]
fn a_zone_whose_row_is_not_written_again_is_taken_back_in_the_end() {
    let mut held = RetainedZones::default();
    assert_eq!(counted(&mut held, &[], &["a"], 1, at(0)), "a");
    assert_eq!(counted(&mut held, &["a"], &[], 2, at(1_000)), "a");
    let end = at(1_000) + REWRITE_GRACE_PERIOD;
    let last = Timestamp::from_micros(end.as_micros() - 1);
    assert_eq!(counted(&mut held, &["a"], &[], 2, last), "a");
    assert_eq!(counted(&mut held, &["a"], &[], 2, end), "");
    assert_eq!(held.retained_until(), None);
}
