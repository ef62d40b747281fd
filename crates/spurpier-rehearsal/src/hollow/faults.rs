//! Faults, replacements and failures of a run, and the platform's answers under them.

use std::time::Duration;

use spurpier_core::control::ControlEvent;
use spurpier_core::distribution::{FetchedChanges, ReadFailure};
use spurpier_core::time::Timestamp;

use super::node::MachineNumber;
use super::platform::PlatformHealth;
use super::scenario::FaultKind;
use super::simulation::{Event, Simulation};

/// The time between a node's word that it leaves and its stop.
const DRAIN: Duration = Duration::from_secs(5);
/// The time until a failed machine is replaced.
const REPAIR: Duration = Duration::from_secs(60);
/// The lost machines of a zone start again within this time.
const RESTART_WITHIN: Duration = Duration::from_secs(20);
/// The time after which a call to an unreachable platform is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The platform's list shows the machines as they were this long ago.
const LIST_LAG: Duration = Duration::from_secs(30);
/// Bytes on the wire of a small HTTP call and its answer on an open connection.
const CALL_BYTES: u64 = 500;
/// Bytes of one change in the platform's answer.
const CHANGE_BYTES: u64 = 200;
/// Bytes of one entry in a whole document.
const ENTRY_BYTES: u64 = 75;
/// Bytes of one machine in the platform's list.
const LISTED_BYTES: u64 = 180;

impl Simulation {
    /// Replaces a random node: it says that it leaves, stops, and a new one starts in its zone.
    pub(super) fn replace(&mut self) {
        let Some(number) = self.cluster.random_live() else {
            return;
        };
        let Some(node) = self.cluster.node(number) else {
            return;
        };
        let leaving = node.control.membership().state().status.is_leaving();
        if node.is_frozen() || leaving {
            return;
        }
        let zone = node.zone;
        self.dispatch(number, ControlEvent::Leave);
        self.queue.push(self.now + DRAIN, Event::Stop(number));
        self.queue.push(self.now + DRAIN, Event::Start(zone));
    }

    /// Lets a random machine fail without a word.
    pub(super) fn fail(&mut self) {
        let Some(number) = self.cluster.random_live() else {
            return;
        };
        let Some(zone) = self.cluster.node(number).map(|node| node.zone) else {
            return;
        };
        self.cluster.stop(self.now, number);
        self.queue.push(self.now + REPAIR, Event::Start(zone));
    }

    /// Starts a new node.
    pub(super) fn start(&mut self, zone: usize) {
        let number = self.cluster.start_joining(self.now, zone);
        let head = self.platform.head();
        if let Some(node) = self.cluster.node_mut(number) {
            node.catching_up_to = Some(head);
        }
        self.measurements.started += 1;
        self.dispatch(number, ControlEvent::Tick);
    }

    /// Begins a fault.
    pub(super) fn begin_fault(&mut self, index: usize) {
        let kind = self.scenario.faults[index].kind.clone();
        match &kind {
            FaultKind::Freeze { nodes } => self.freeze(index, *nodes),
            FaultKind::RackLoss { zone, nodes } => self.lose(index, *zone, *nodes),
            FaultKind::ZoneLoss { zone } => self.lose(index, *zone, usize::MAX),
            FaultKind::PlatformDown => self.platform.health = PlatformHealth::Down,
            FaultKind::PlatformSlow { delay_ms } => {
                let delay = Duration::from_millis(*delay_ms);
                self.platform.health = PlatformHealth::Slow(delay);
            }
            cut => self.change_cuts(cut, true),
        }
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, index: usize) {
        let kind = self.scenario.faults[index].kind.clone();
        match &kind {
            FaultKind::Freeze { .. } => self.thaw(index),
            FaultKind::RackLoss { zone, .. } | FaultKind::ZoneLoss { zone } => {
                self.restart(index, *zone);
            }
            FaultKind::PlatformDown | FaultKind::PlatformSlow { .. } => {
                self.platform.health = PlatformHealth::Healthy;
            }
            cut => self.change_cuts(cut, false),
        }
    }

    fn freeze(&mut self, index: usize, nodes: usize) {
        for _ in 0..nodes {
            let Some(number) = self.cluster.random_live() else {
                return;
            };
            if let Some(node) = self
                .cluster
                .node_mut(number)
                .filter(|node| !node.is_frozen())
            {
                node.freeze();
                self.held[index].push(number);
            }
        }
    }

    fn thaw(&mut self, index: usize) {
        for number in std::mem::take(&mut self.held[index]) {
            let now = self.now;
            let Some(node) = self.cluster.node_mut(number) else {
                continue;
            };
            let backlog = node.thaw(now);
            for event in backlog {
                self.dispatch(number, event);
            }
            self.dispatch(number, ControlEvent::Tick);
        }
    }

    fn lose(&mut self, index: usize, zone: usize, nodes: usize) {
        let mut lost = self.cluster.live_in(zone);
        lost.truncate(nodes);
        for number in &lost {
            self.cluster.stop(self.now, *number);
        }
        self.held[index] = lost;
    }

    fn restart(&mut self, index: usize, zone: usize) {
        let lost = std::mem::take(&mut self.held[index]);
        let count = lost.len().max(1) as u32;
        for position in 0..lost.len() as u32 {
            let at = self.now + RESTART_WITHIN * position / count;
            self.queue.push(at, Event::Start(zone));
        }
    }

    fn change_cuts(&mut self, kind: &FaultKind, added: bool) {
        let zones = self.zone_disturbed_until.len();
        for from in 0..zones {
            for to in 0..zones {
                if cuts(kind, from, to, zones) {
                    self.network.cut(from, to, added);
                }
            }
            if cuts_platform(kind, from, zones) {
                self.network.cut_platform(from, added);
            }
        }
        self.note_disturbed_zones();
    }

    fn note_disturbed_zones(&mut self) {
        let far = Timestamp::from_micros(u64::MAX);
        for (zone, disturbed_until) in self.zone_disturbed_until.iter_mut().enumerate() {
            if self.network.is_isolated(zone) {
                *disturbed_until = far;
            } else if *disturbed_until == far {
                *disturbed_until = self.now;
            }
        }
    }

    /// Reads the head in a node's place.
    pub(super) fn read_head(&mut self, number: MachineNumber) {
        let head = self.platform.head();
        let event = ControlEvent::HeadRead(Ok(head));
        let failure = ControlEvent::HeadRead(Err(ReadFailure::default()));
        self.call(number, CALL_BYTES, event, failure);
    }

    /// Reads changes in a node's place.
    pub(super) fn fetch_changes(&mut self, number: MachineNumber, since: u64) {
        let changes = self.platform.changes_since(since);
        let bytes = match &changes {
            FetchedChanges::Deltas(deltas) => deltas.len() as u64 * (CALL_BYTES + CHANGE_BYTES),
            FetchedChanges::FullDocument { entries, .. } => entries.len() as u64 * ENTRY_BYTES,
        };
        let event = ControlEvent::ChangesFetched(Ok(changes));
        let failure = ControlEvent::ChangesFetched(Err(ReadFailure::default()));
        self.call(number, CALL_BYTES + bytes, event, failure);
    }

    /// Reads the list of machines in a node's place.
    pub(super) fn read_machine_list(&mut self, number: MachineNumber) {
        let as_of = Timestamp::ZERO + self.now.since(Timestamp::ZERO + LIST_LAG);
        let machines = self.cluster.machine_list(as_of);
        let bytes = CALL_BYTES + machines.len() as u64 * LISTED_BYTES;
        let event = ControlEvent::MachineListRead(Ok(machines));
        let failure = ControlEvent::MachineListRead(Err(ReadFailure::default()));
        self.call(number, bytes, event, failure);
    }

    /// Calls the platform; the answer or the failure arrives later.
    fn call(
        &mut self,
        number: MachineNumber,
        bytes: u64,
        answer: ControlEvent,
        failure: ControlEvent,
    ) {
        let now = self.now;
        let measuring = self.measurements.measuring;
        let latency = Duration::from_micros(self.scenario.latency.platform_us);
        let Some(node) = self.cluster.node_mut(number) else {
            return;
        };
        let reached = self.network.reaches_platform(node.zone);
        let (wait, event, bytes) = match self.platform.health {
            _ if !reached => (CALL_TIMEOUT, failure, CALL_BYTES),
            PlatformHealth::Healthy => (latency, answer, bytes),
            PlatformHealth::Slow(delay) => (latency + delay, answer, bytes),
            PlatformHealth::Down => (latency, failure, CALL_BYTES),
        };
        if measuring {
            node.wire_bytes += bytes;
        }
        if reached {
            self.platform.count_request(now);
        }
        self.queue
            .push(now + wait, Event::Answer(number, Box::new(event)));
    }
}

/// Whether a cut stops messages from one zone to another.
fn cuts(kind: &FaultKind, from: usize, to: usize, zones: usize) -> bool {
    use super::network::region_of;
    if from == to {
        return false;
    }
    match kind {
        FaultKind::ZoneCut { zone, .. } => from == *zone || to == *zone,
        FaultKind::OneWayCut {
            from: sender,
            to: receiver,
        } => from == *sender && to == *receiver,
        FaultKind::RegionCut { .. } => region_of(from, zones) != region_of(to, zones),
        _ => false,
    }
}

/// Whether a cut stops a zone's calls to the platform.
fn cuts_platform(kind: &FaultKind, zone: usize, zones: usize) -> bool {
    use super::network::region_of;
    match kind {
        FaultKind::ZoneCut {
            zone: cut,
            platform,
        } => *platform && zone == *cut,
        FaultKind::RegionCut { platform } => *platform && region_of(zone, zones) == 1,
        _ => false,
    }
}
