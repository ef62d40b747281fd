//! A proxy node, which executes the decisions of the state machines of `spurpier-core`.

mod connections;
mod handover;
mod reads;
mod units;
mod writes;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use spurpier_core::commit::{CommitAction, CommitEvent, CommitMachine, CommitOutcome, WriteKind};
use spurpier_core::distribution::{Distribution, DistributionEvent, OwnedDocument};
use spurpier_core::group::{GroupView, ObservedStatus, ServerStatus, ServerView};
use spurpier_core::group_history::GroupHistory;
use spurpier_core::handover::{Handover, HandoverAction, HandoverEvent, HandoverStep};
use spurpier_core::identity::{ServerName, Side, ZoneName};
use spurpier_core::membership::NodeKey;
use spurpier_core::policy::{Placement, StartGate};
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;
use spurpier_core::routing::{ReadDemand, Route, ServerLoad, route_read, route_write};
use spurpier_core::time::Timestamp;
use spurpier_rehearsal::oracle::{Outcome, PolicyObserved, ReadFreshness, StopTarget};

use crate::model::Breakage;
use crate::model::client::{ReadAnswer, ToClient, UnitKind, UnitSpec, group, tag_of};
use crate::model::network::{MILLISECOND, ZONES};
use crate::model::server::{Reply, Statement};
use crate::model::world::{ToNode, World, servers_of};

use writes::write_kind;

const UNIT_TIMEOUT: Duration = Duration::from_millis(1_200);
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);
const HANDOVER_INTERVAL: u64 = 100 * MILLISECOND;
/// The minimum time that a stopping node keeps running. Clients may still send requests until they
/// learn of the stop, and the node must answer these.
const MIN_DRAIN: u64 = 100 * MILLISECOND;
const PROBE_INTERVAL: u64 = 50 * MILLISECOND;
const UNREACHABLE_TIMEOUT: u64 = 120 * MILLISECOND;
/// The unit number of the handover among the outstanding answers of a connection.
const HANDOVER_UNIT: u64 = 0;
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(30);

/// A node's view of a group and the group's history.
#[derive(Debug)]
struct Watch {
    view: GroupView,
    history: GroupHistory,
}

/// The progress of a unit.
#[derive(Debug, Clone)]
enum Stage {
    /// A read waits for a read index that is at least as recent as its arrival.
    AwaitIndex { upstream: bool },
    /// A unit waits for a server that may run it.
    AwaitServer,
    /// A keyed transaction waits for a primary on which its outcome can be looked up.
    AwaitSettle,
    /// Statements were sent to the back end, or the commit state machine waits for views.
    Running,
    /// An open transaction waits for its client.
    AwaitClient,
    /// A read's answer is held back until everything that it reflects is confirmed.
    AwaitConfirmation {
        answer: ReadAnswer,
        status: ServerStatus,
    },
}

#[derive(Debug)]
struct Running {
    spec: UnitSpec,
    side: Side,
    placement: Placement,
    arrived: Timestamp,
    stage: Stage,
    demand: ReadDemand,
    machine: Option<CommitMachine>,
    connection: Option<u64>,
    inserted: usize,
    /// The received term of the server before a read was sent to it.
    term_before: u64,
}

#[derive(Debug)]
struct NodeConnection {
    server: usize,
    setting: u64,
    /// The units whose answers are outstanding, in order; the back end answers in this order.
    outstanding: VecDeque<u64>,
    idle: bool,
}

#[derive(Debug)]
pub struct Node {
    pub zone: usize,
    pub up: bool,
    pub incarnation: u64,
    pub frozen: bool,
    pub draining: bool,
    pub draining_since: u64,
    pub deferred: VecDeque<ToNode>,
    pub distribution: Distribution<OwnedDocument>,
    gate: StartGate,
    /// Whether `gate` is ignored, for a breakage test.
    pub gate_disabled: bool,
    /// The version that a peer announced last, used without checks for a breakage test.
    pub unchecked_policy: Option<u64>,
    watches: [Watch; 2],
    handover: Option<Handover>,
    handover_sent_at: u64,
    units: BTreeMap<u64, Running>,
    connections: BTreeMap<u64, NodeConnection>,
    probed_at: u64,
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::from(format!("zone-{zone}"))
}

fn watch() -> Watch {
    let server = |zone: usize| ServerView {
        name: ServerName::from(format!("server-{zone}")),
        zone: zone_name(zone),
        observed: None,
        reachable: false,
        leaving_hint: false,
    };
    let servers = (0..ZONES).map(server).collect();
    Watch {
        view: GroupView { servers },
        history: GroupHistory::default(),
    }
}

impl Node {
    pub fn new(zone: usize) -> Self {
        Node {
            zone,
            up: true,
            incarnation: 1,
            frozen: false,
            draining: false,
            draining_since: 0,
            deferred: VecDeque::new(),
            distribution: Distribution::new(OwnedDocument::default(), Arc::default(), zone as u64),
            gate: StartGate::default(),
            gate_disabled: false,
            unchecked_policy: None,
            watches: [watch(), watch()],
            handover: None,
            handover_sent_at: 0,
            units: BTreeMap::new(),
            connections: BTreeMap::new(),
            probed_at: 0,
        }
    }

    pub fn name(&self) -> String {
        format!("proxy-{}", self.zone)
    }

    fn watch(&self, side: Side) -> &Watch {
        &self.watches[side as usize]
    }

    pub fn view(&self, side: Side) -> &GroupView {
        &self.watch(side).view
    }

    /// Resets the node to the state of a newly started process.
    pub fn restart(&mut self) {
        let gate_disabled = self.gate_disabled;
        *self = Node {
            incarnation: self.incarnation + 1,
            gate_disabled,
            ..Node::new(self.zone)
        };
    }

    /// The current policy version; `None` while the node may not serve.
    fn policy(&self) -> Option<u64> {
        let version = self.unchecked_policy.unwrap_or(self.distribution.version());
        let has_policy = self.distribution.version() > 0;
        let serves = has_policy
            && (self.gate.may_serve(self.distribution.version()) || self.gate_disabled)
            && !self.draining;
        serves.then_some(version)
    }
}
impl World {
    pub(super) fn timestamp(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    /// Kills a node; all its connections to clients and servers are lost.
    pub fn kill_node(&mut self, node: usize) {
        let connections = std::mem::take(&mut self.nodes[node].connections);
        for (connection, state) in connections {
            self.close_connection(state.server, connection);
        }
        let units = std::mem::take(&mut self.nodes[node].units);
        for (unit, running) in units {
            self.send_to_client(running.spec.client, ToClient::ConnectionLost { unit });
        }
        self.nodes[node].up = false;
    }

    pub fn handle_node_message(&mut self, node: usize, body: ToNode) {
        match body {
            ToNode::Open(spec) => self.open_unit(node, *spec),
            ToNode::Next { unit, commit } => self.next_statement(node, unit, commit),
            ToNode::Abandon { unit } => self.abandon(node, unit),
            ToNode::Answer {
                connection,
                replies,
            } => self.handle_answer(node, connection, replies),
            ToNode::ConnectionLost { connection } => self.handle_connection_lost(node, connection),
            ToNode::Probe {
                server,
                requested_at,
                status,
            } => self.handle_probe_reply(node, server, requested_at, *status),
            ToNode::PeerVersion { peer, version } => {
                let peer = NodeKey(peer as u64);
                self.handle_distribution_event(
                    node,
                    DistributionEvent::PeerVersion { peer, version },
                );
            }
            ToNode::Distribution(event) => {
                if let DistributionEvent::HeadRead(Ok(version)) = *event {
                    self.nodes[node].gate.record_head(version);
                }
                self.handle_distribution_event(node, *event);
            }
        }
    }

    pub fn node_tick(&mut self, node: usize) {
        if self.nodes[node].probed_at + PROBE_INTERVAL <= self.now {
            self.probe_all(node);
        }
        self.update_reachability(node);
        self.handle_distribution_event(node, DistributionEvent::Watching(true));
        self.drive_handover(node);
        let now = self.timestamp();
        let units: Vec<u64> = self.nodes[node].units.keys().copied().collect();
        for unit in units {
            self.step_machine(node, unit, &CommitEvent::Tick);
            self.progress(node, unit);
            self.time_out_read(node, unit, now);
        }
        let min_drain_elapsed = self.nodes[node].draining_since + MIN_DRAIN < self.now;
        if self.nodes[node].draining && min_drain_elapsed && self.nodes[node].units.is_empty() {
            self.stop_node(node);
        }
    }

    pub fn stop_node(&mut self, node: usize) {
        let name = self.nodes[node].name();
        for stop in &mut self.history.planned_stops {
            if stop.target == StopTarget::Proxy(name.clone()) {
                stop.ended_at.get_or_insert(self.now);
            }
        }
        self.kill_node(node);
    }

    pub(super) fn probe_all(&mut self, node: usize) {
        self.nodes[node].probed_at = self.now;
        for server in 0..self.servers.len() {
            self.send_probe(node, server);
        }
    }

    pub(super) fn update_reachability(&mut self, node: usize) {
        let now = self.now;
        let watches = self.nodes[node].watches.iter_mut();
        for server in watches.flat_map(|watch| &mut watch.view.servers) {
            let requested_at = server
                .observed
                .as_ref()
                .map(|observed| observed.requested_at);
            server.reachable = requested_at
                .is_some_and(|requested_at| requested_at.as_micros() + UNREACHABLE_TIMEOUT > now);
        }
    }

    pub(super) fn handle_probe_reply(
        &mut self,
        node: usize,
        server: usize,
        requested_at: u64,
        mut status: ServerStatus,
    ) {
        if self.breakage == Breakage::TermParentIgnored {
            status.term_parent = Position::ZERO;
        }
        if self.breakage == Breakage::LeavingIgnored {
            status.leaving = false;
        }
        let side = self.servers[server].side;
        let watch = &mut self.nodes[node].watches[side as usize];
        let server_view = &mut watch.view.servers[server % ZONES];
        let requested_at = Timestamp::from_micros(requested_at);
        if server_view
            .observed
            .as_ref()
            .is_some_and(|observed| observed.requested_at > requested_at)
        {
            return;
        }
        server_view.observed = Some(ObservedStatus {
            requested_at,
            status,
        });
        server_view.reachable = true;
        watch.history.observe(&watch.view);
        let units: Vec<u64> = self.nodes[node].units.keys().copied().collect();
        for unit in units {
            if self.nodes[node]
                .units
                .get(&unit)
                .is_some_and(|running| running.side == side)
            {
                let view = self.nodes[node].view(side).clone();
                self.step_machine(node, unit, &CommitEvent::View(&view));
                self.progress(node, unit);
            }
        }
    }
}
