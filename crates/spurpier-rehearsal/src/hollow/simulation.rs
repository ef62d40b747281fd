//! The run of all hollow nodes on virtual time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use error_stack::Report;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use spurpier_core::control::{ControlAction, ControlConfig, ControlEvent};
use spurpier_core::membership::NodeKey;
use spurpier_core::time::Timestamp;

use super::cluster::Cluster;
use super::delivery::Delivery;
use super::group_probing::{GroupProbing, home_counts, home_table};
use super::measurements::{Measurements, Role};
use super::network::Network;
use super::node::MachineNumber;
use super::options::HollowOptions;
use super::platform::Platform;
use super::queue::EventQueue;
use super::report::HollowReport;
use super::scenario::{Scenario, ScenarioError};

/// Every so many nodes computes homes, so that their cost is measured without holding the same
/// table thousands of times.
const HOMES_EVERY: u32 = 500;

/// What happens in a run.
#[derive(Debug)]
pub(super) enum Event {
    /// A node's deadline has come.
    Tick(MachineNumber),
    /// A message arrives.
    Deliver(Box<Delivery>),
    /// The platform's answer arrives at a node.
    Answer(MachineNumber, Box<ControlEvent>),
    /// A configuration change is published.
    Publish,
    /// A node is replaced as planned.
    Replace,
    /// A machine fails.
    Fail,
    /// A leaving node stops.
    Stop(MachineNumber),
    /// A new node starts in a zone.
    Start(usize),
    /// The fault of this number begins.
    FaultBegins(usize),
    /// The fault of this number ends.
    FaultEnds(usize),
}

/// A run of hollow nodes.
pub struct Simulation {
    pub(super) options: HollowOptions,
    pub(super) scenario: Scenario,
    pub(super) cluster: Cluster,
    pub(super) network: Network,
    pub(super) platform: Platform,
    pub(super) queue: EventQueue<Event>,
    pub(super) measurements: Measurements,
    pub(super) random: SmallRng,
    pub(super) now: Timestamp,
    pub(super) window: (Timestamp, Timestamp),
    /// Until when each zone was cut off last; the far future while it is.
    pub(super) zone_disturbed_until: Vec<Timestamp>,
    /// The machines that each fault holds.
    pub(super) held: Vec<Vec<MachineNumber>>,
    pub(super) group_probing: (HashMap<NodeKey, GroupProbing>, usize),
    pub(super) started_at: Instant,
    /// Where messages are encoded.
    pub(super) buffer: Vec<u8>,
}

/// Runs hollow nodes as the options say.
///
/// # Errors
///
/// Fails when the scenario file cannot be used.
pub fn run(options: &HollowOptions) -> Result<HollowReport, Report<ScenarioError>> {
    let mut scenario = match &options.scenario {
        Some(path) => Scenario::read(path)?,
        None => Scenario::default(),
    };
    if let Some(seconds) = options.seconds {
        scenario.seconds = seconds;
    }
    Ok(Simulation::new(options.clone(), scenario).run())
}

impl Simulation {
    /// Nodes that know each other and hold the first version of the document.
    pub fn new(options: HollowOptions, scenario: Scenario) -> Self {
        let mut random = SmallRng::seed_from_u64(options.seed);
        let fork = |random: &mut SmallRng| SmallRng::seed_from_u64(random.random());
        let zones = options.zones.max(1);
        let platform = Platform::new(options.databases, fork(&mut random));
        let network = Network::new(
            zones,
            scenario.latency.clone(),
            scenario.loss_per_million,
            fork(&mut random),
        );
        let mut cluster = Cluster::new(zones, ControlConfig::default(), fork(&mut random));
        cluster.start_together(options.nodes, platform.document());
        let begin = Timestamp::from_millis(scenario.warm_up_s * 1_000);
        let end = begin + Duration::from_secs(scenario.seconds);
        Simulation {
            held: vec![Vec::new(); scenario.faults.len()],
            options,
            scenario,
            cluster,
            network,
            platform,
            queue: EventQueue::new(),
            measurements: Measurements::new(),
            random,
            now: Timestamp::ZERO,
            window: (begin, end),
            zone_disturbed_until: vec![Timestamp::ZERO; zones],
            group_probing: Default::default(),
            started_at: Instant::now(),
            buffer: Vec::new(),
        }
    }

    /// Runs to the end and gives the figures.
    pub fn run(mut self) -> HollowReport {
        self.prepare_homes();
        self.schedule_start();
        self.run_until(self.window.0);
        self.measurements.measuring = true;
        self.schedule_window();
        self.run_until(self.window.1);
        self.measurements.measuring = false;
        let figures = self.figures();
        let settled = self.window.1 + Duration::from_secs(self.scenario.settle_s);
        self.run_until(settled);
        self.verify();
        self.report(figures)
    }

    fn prepare_homes(&mut self) {
        let identities = self.cluster.identities();
        let table = home_table(self.options.databases, &identities);
        self.group_probing = home_counts(self.options.databases, &table);
        for number in self.cluster.live().to_vec() {
            let sampled = number.is_multiple_of(HOMES_EVERY);
            if let Some(node) = self.cluster.node_mut(number).filter(|_| sampled) {
                node.homes = Some(table.clone());
            }
        }
    }

    fn schedule_start(&mut self) {
        for number in self.cluster.live().to_vec() {
            self.schedule_tick(number);
        }
    }

    fn schedule_window(&mut self) {
        self.schedule_after(self.scenario.changes_per_day, Event::Publish);
        self.schedule_after(self.scenario.replacements_per_day, Event::Replace);
        self.schedule_after(self.scenario.failures_per_day, Event::Fail);
        for index in 0..self.scenario.faults.len() {
            let fault = &self.scenario.faults[index];
            let begin = self.window.0 + Duration::from_secs(fault.at_s);
            let end = begin + Duration::from_secs(fault.for_s);
            self.queue.push(begin, Event::FaultBegins(index));
            self.queue
                .push(end.min(self.window.1), Event::FaultEnds(index));
        }
    }

    /// Schedules the next of events that happen at random, so many a day, in the measured time.
    fn schedule_after(&mut self, per_day: f64, event: Event) {
        /// Seconds of a day.
        const DAY: f64 = 86_400.0;
        if per_day <= 0.0 {
            return;
        }
        let uniform: f64 = self.random.random();
        let seconds = -(1.0 - uniform).ln() * DAY / per_day;
        let at = self.now + Duration::from_secs_f64(seconds);
        if at < self.window.1 {
            self.queue.push(at, event);
        }
    }

    fn run_until(&mut self, end: Timestamp) {
        while let Some((at, event)) = self.queue.pop_before(end) {
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(number) => self.tick(number),
            Event::Deliver(delivery) => self.deliver(*delivery),
            Event::Answer(number, answer) => self.dispatch(number, *answer),
            Event::Publish => {
                self.platform.publish(self.now);
                self.schedule_after(self.scenario.changes_per_day, Event::Publish);
            }
            Event::Replace => {
                self.replace();
                self.schedule_after(self.scenario.replacements_per_day, Event::Replace);
            }
            Event::Fail => {
                self.fail();
                self.schedule_after(self.scenario.failures_per_day, Event::Fail);
            }
            Event::Stop(number) => {
                self.dispatch(number, ControlEvent::Stop);
                self.cluster.stop(self.now, number);
            }
            Event::Start(zone) => self.start(zone),
            Event::FaultBegins(index) => self.begin_fault(index),
            Event::FaultEnds(index) => self.end_fault(index),
        }
    }

    fn tick(&mut self, number: MachineNumber) {
        let now = self.now;
        let Some(node) = self.cluster.node_mut(number) else {
            return;
        };
        if node.scheduled_tick != now {
            return;
        }
        node.scheduled_tick = Timestamp::from_micros(u64::MAX);
        if !node.is_frozen() {
            self.dispatch(number, ControlEvent::Tick);
        }
    }

    /// Hands an event to a node and carries out what it asks for.
    pub(super) fn dispatch(&mut self, number: MachineNumber, event: ControlEvent) {
        let now = self.now;
        let Some(node) = self.cluster.node_mut(number) else {
            return;
        };
        if node.is_frozen() {
            node.hold(event);
            return;
        }
        let role = Role::of(&event);
        let begin = Instant::now();
        let actions = node.control.handle(now, event);
        self.measurements.add_processor(role, begin.elapsed());
        for action in actions {
            self.carry_out(number, action);
        }
        self.schedule_tick(number);
    }

    /// Schedules a node's next tick if it is earlier than the one scheduled.
    pub(super) fn schedule_tick(&mut self, number: MachineNumber) {
        let now = self.now;
        let Some(node) = self.cluster.node_mut(number) else {
            return;
        };
        let deadline = node.control.next_deadline().max(now);
        if deadline < node.scheduled_tick {
            node.scheduled_tick = deadline;
            self.queue.push(deadline, Event::Tick(number));
        }
    }

    fn carry_out(&mut self, number: MachineNumber, action: ControlAction) {
        match action {
            ControlAction::Send { to, message } => self.send(number, to, message),
            ControlAction::MemberChanged(change) => self.member_changed(number, &change),
            ControlAction::SuspicionRaised(key) => self.suspicion_raised(number, key),
            ControlAction::ReadMachineList => self.read_machine_list(number),
            ControlAction::ReadHead => self.read_head(number),
            ControlAction::FetchChanges { since, .. } => self.fetch_changes(number, since),
            ControlAction::Installed { version } => self.installed(number, version),
        }
    }
}
