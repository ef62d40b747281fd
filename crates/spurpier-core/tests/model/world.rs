//! The simulated world: virtual time, the event queue, and the dispatch of events.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use spurpier_core::distribution::DistributionEvent;
use spurpier_core::group::ServerStatus;
use spurpier_core::identity::Side;
use spurpier_rehearsal::oracle::{Fault, FaultScope, History};

use super::Breakage;
use super::client::{Client, ToClient, UnitSpec};
use super::network::{MILLISECOND, Network, ZONES};
use super::node::Node;
use super::platform::{Platform, ToOperator};
use super::server::{Record, Reply, Request, Server, Statement, Step};

pub const TICK: u64 = 10 * MILLISECOND;
/// How long it takes to detect a connection that was lost without a notification.
pub const SILENT_LOSS_TIMEOUT: u64 = 200 * MILLISECOND;
pub const DATABASE: &str = "d";
pub const CLIENTS: usize = 6;

/// The indexes of a side's servers.
pub fn servers_of(side: Side) -> std::ops::Range<usize> {
    match side {
        Side::Old => 0..ZONES,
        Side::New => ZONES..2 * ZONES,
    }
}

#[derive(Debug)]
pub enum ToNode {
    Open(Box<UnitSpec>),
    /// The client's next statement in an open transaction; `commit` ends the transaction.
    Next {
        unit: u64,
        commit: bool,
    },
    Abandon {
        unit: u64,
    },
    Answer {
        connection: u64,
        replies: Vec<Reply>,
    },
    ConnectionLost {
        connection: u64,
    },
    Probe {
        server: usize,
        requested_at: u64,
        status: Box<ServerStatus>,
    },
    /// A peer announced its policy version.
    PeerVersion {
        peer: usize,
        version: u64,
    },
    Distribution(Box<DistributionEvent>),
}

#[derive(Debug)]
pub enum Event {
    Tick,
    ServerRequest {
        server: usize,
        node: usize,
        incarnation: u64,
        connection: u64,
        request: Request,
    },
    ServerProbe {
        server: usize,
        node: usize,
        incarnation: u64,
        requested_at: u64,
    },
    ServerStep {
        server: usize,
        connection: u64,
    },
    ServerDrop {
        server: usize,
        connection: u64,
    },
    Replicate {
        from: usize,
        to: usize,
        term: u64,
        log: Rc<Vec<Record>>,
    },
    Node {
        node: usize,
        incarnation: u64,
        body: ToNode,
    },
    Client {
        client: usize,
        body: ToClient,
    },
    /// The client's timeout for a unit.
    ClientTimer {
        client: usize,
        unit: u64,
    },
    Operator {
        operator: usize,
        body: ToOperator,
    },
}

#[derive(Debug)]
pub struct World {
    pub now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Event>,
    pub network: Network,
    pub servers: Vec<Server>,
    pub nodes: Vec<Node>,
    pub clients: Vec<Client>,
    pub platform: Platform,
    pub history: History,
    pub breakage: Breakage,
    next_number: u64,
    pub steps: u64,
}

impl World {
    pub fn new(seed: u64, breakage: Breakage) -> Self {
        let server = |index: usize| {
            let side = if index < ZONES { Side::Old } else { Side::New };
            Server::new(format!("{side}-{}", index % ZONES), index % ZONES, side)
        };
        let mut world = World {
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            network: Network::new(seed),
            servers: (0..2 * ZONES).map(server).collect(),
            nodes: (0..ZONES).map(Node::new).collect(),
            clients: (0..CLIENTS).map(Client::new).collect(),
            platform: Platform::default(),
            history: History::default(),
            breakage,
            next_number: 0,
            steps: 0,
        };
        for node in &mut world.nodes {
            node.gate_disabled = breakage == Breakage::StartNotGated;
        }
        world.schedule_after(0, Event::Tick);
        world.publish(Side::Old, 0);
        world.run_for(2_000 * MILLISECOND);
        world
    }

    /// Returns a number that is unique in this world.
    pub fn unique_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub fn schedule_after(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), event);
    }

    pub fn run_for(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some(entry) = self.queue.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            let event = entry.remove();
            self.now = time;
            self.steps += 1;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::ServerRequest {
                server,
                node,
                incarnation,
                connection,
                request,
            } => {
                self.server_request(server, (node, incarnation), connection, request);
            }
            Event::ServerProbe {
                server,
                node,
                incarnation,
                requested_at,
            } => {
                self.server_probe(server, node, incarnation, requested_at);
            }
            Event::ServerStep { server, connection } => self.server_step(server, connection),
            Event::ServerDrop { server, connection } => {
                self.servers[server].connections.remove(&connection);
                self.wake_server(server);
            }
            Event::Replicate {
                from,
                to,
                term,
                log,
            } => self.replicated(from, to, term, &log),
            Event::Node {
                node,
                incarnation,
                body,
            } => self.node_event(node, incarnation, body),
            Event::Client { client, body } => self.client_event(client, body),
            Event::ClientTimer { client, unit } => self.client_timer(client, unit),
            Event::Operator { operator, body } => self.operator_event(operator, body),
        }
    }

    fn tick(&mut self) {
        self.schedule_after(TICK, Event::Tick);
        for side in [Side::Old, Side::New] {
            self.group_tick(side);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].up && !self.nodes[node].frozen {
                self.node_tick(node);
            }
        }
        self.platform_tick();
    }

    fn node_event(&mut self, node: usize, incarnation: u64, body: ToNode) {
        let state = &mut self.nodes[node];
        if !state.up || state.incarnation != incarnation {
            if let ToNode::Open(spec) = body {
                self.refuse_connection(&spec);
            }
            return;
        }
        if state.frozen {
            state.deferred.push_back(body);
            return;
        }
        self.handle_node_message(node, body);
    }

    /// Thaws a frozen node, which then handles the messages that arrived meanwhile, in order.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        let deferred = std::mem::take(&mut self.nodes[node].deferred);
        for body in deferred {
            self.handle_node_message(node, body);
        }
    }

    /// Sends statements on a node's connection.
    pub fn send_request(
        &mut self,
        node: usize,
        server: usize,
        connection: u64,
        statements: VecDeque<Statement>,
    ) {
        let incarnation = self.nodes[node].incarnation;
        let request = Request {
            statements,
            replies: Vec::new(),
        };
        let time = self.network.arrival_time(self.now, connection, true);
        self.schedule_at(
            time,
            Event::ServerRequest {
                server,
                node,
                incarnation,
                connection,
                request,
            },
        );
    }

    pub fn close_connection(&mut self, server: usize, connection: u64) {
        let time = self.network.arrival_time(self.now, connection, true);
        self.schedule_at(time, Event::ServerDrop { server, connection });
    }

    pub fn send_probe(&mut self, node: usize, server: usize) {
        let delay = self.network.delay();
        let incarnation = self.nodes[node].incarnation;
        self.schedule_after(
            delay,
            Event::ServerProbe {
                server,
                node,
                incarnation,
                requested_at: self.now,
            },
        );
    }

    fn notify_connection_lost(
        &mut self,
        (node, incarnation): (usize, u64),
        connection: u64,
        delay: u64,
    ) {
        let body = ToNode::ConnectionLost { connection };
        self.schedule_after(
            delay,
            Event::Node {
                node,
                incarnation,
                body,
            },
        );
    }

    fn server_request(
        &mut self,
        server: usize,
        owner: (usize, u64),
        connection: u64,
        request: Request,
    ) {
        let (node, incarnation) = owner;
        if !self
            .network
            .can_send(self.nodes[node].zone, self.servers[server].zone)
        {
            self.notify_connection_lost(owner, connection, SILENT_LOSS_TIMEOUT);
            self.schedule_after(
                SILENT_LOSS_TIMEOUT,
                Event::ServerDrop { server, connection },
            );
            return;
        }
        let state = &mut self.servers[server];
        let is_open = state.connections.contains_key(&connection);
        // The first request opens the connection; a leaving server accepts no new ones.
        let opens = request
            .statements
            .front()
            .is_some_and(|first| matches!(first, Statement::Set { .. }));
        if state.up && state.leaving && !is_open && opens {
            self.refuse_open(owner, connection);
            return;
        }
        if !state.up || (!is_open && (state.leaving || !opens)) {
            self.notify_connection_lost(owner, connection, MILLISECOND);
            return;
        }
        let state = state.connections.entry(connection).or_default();
        (state.node, state.incarnation) = (node, incarnation);
        state.requests.push_back(request);
        self.schedule_step(server, connection);
    }

    /// Refuses a connection to a leaving server before any statement is sent on it.
    fn refuse_open(&mut self, (node, incarnation): (usize, u64), connection: u64) {
        let replies = vec![Reply::Rejected];
        let time = self.network.arrival_time(self.now, connection, false);
        for body in [
            ToNode::Answer {
                connection,
                replies,
            },
            ToNode::ConnectionLost { connection },
        ] {
            self.schedule_at(
                time,
                Event::Node {
                    node,
                    incarnation,
                    body,
                },
            );
        }
    }

    fn schedule_step(&mut self, server: usize, connection: u64) {
        let delay = 20 + self.network.random_below(200);
        self.schedule_after(delay, Event::ServerStep { server, connection });
    }

    /// Lets every connection of a server retry the statement that waits for a lock.
    pub fn wake_server(&mut self, server: usize) {
        let connections: Vec<u64> = self.servers[server].connections.keys().copied().collect();
        for connection in connections {
            self.schedule_step(server, connection);
        }
    }

    fn server_step(&mut self, server: usize, connection: u64) {
        let state = &mut self.servers[server];
        let Some((node, incarnation)) = state
            .connections
            .get(&connection)
            .map(|each| (each.node, each.incarnation))
        else {
            return;
        };
        let had_transaction = state.connections[&connection].transaction.is_some();
        match state.step(connection, self.now, &mut self.history.back_end) {
            Step::Idle | Step::Blocked => {}
            Step::Progress => {
                self.schedule_step(server, connection);
                let open = &self.servers[server].connections[&connection].transaction;
                if had_transaction && open.is_none() {
                    self.wake_server(server);
                }
            }
            Step::Answered { replies } => {
                self.schedule_step(server, connection);
                if !self
                    .network
                    .can_send(self.servers[server].zone, self.nodes[node].zone)
                {
                    self.notify_connection_lost(
                        (node, incarnation),
                        connection,
                        SILENT_LOSS_TIMEOUT,
                    );
                    self.schedule_after(
                        SILENT_LOSS_TIMEOUT,
                        Event::ServerDrop { server, connection },
                    );
                    return;
                }
                let body = ToNode::Answer {
                    connection,
                    replies,
                };
                let time = self.network.arrival_time(self.now, connection, false);
                self.schedule_at(
                    time,
                    Event::Node {
                        node,
                        incarnation,
                        body,
                    },
                );
            }
        }
    }

    fn server_probe(&mut self, server: usize, node: usize, incarnation: u64, requested_at: u64) {
        let (server_zone, node_zone) = (self.servers[server].zone, self.nodes[node].zone);
        if !self.servers[server].up || !self.network.can_exchange(server_zone, node_zone) {
            return;
        }
        let status = Box::new(self.servers[server].status());
        let delay = self.network.delay();
        let body = ToNode::Probe {
            server,
            requested_at,
            status,
        };
        self.schedule_after(
            delay,
            Event::Node {
                node,
                incarnation,
                body,
            },
        );
    }

    /// Drops a server's connections and notifies the nodes.
    pub fn drop_server_connections(&mut self, server: usize) {
        for (connection, node, incarnation) in self.servers[server].drop_connections() {
            // The end of a connection arrives after the answers on it.
            let delay = self.network.arrival_time(self.now, connection, false) - self.now;
            self.notify_connection_lost((node, incarnation), connection, delay);
        }
    }

    pub fn record_fault(&mut self, kind: &str, scope: FaultScope) {
        let kind = kind.to_owned();
        self.history.faults.push(Fault {
            kind,
            scope,
            began_at: self.now,
            ended_at: None,
        });
    }

    pub fn end_faults(&mut self, ends: impl Fn(&Fault) -> bool) {
        for fault in &mut self.history.faults {
            if fault.ended_at.is_none() && ends(fault) {
                fault.ended_at = Some(self.now);
            }
        }
    }
}
