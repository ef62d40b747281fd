//! Client sessions: they move between proxies, time out, retry keyed requests, and record what
//! they observed in the history.

use spurpier_core::identity::{DatabaseName, GroupId, Side};
use spurpier_core::position::Position;
use spurpier_core::session::{PositionToken, ReadFloors};
use spurpier_rehearsal::oracle::{
    Answer, Outcome, ReadFreshness, ReadOfRow, SettingObserved, Unit, Write,
};

use super::network::MILLISECOND;
use super::server::RequestKey;
use super::world::{DATABASE, Event, ToNode, World};

const MAX_RETRIES: u32 = 3;
const RETRY_DELAY: u64 = 40 * MILLISECOND;

/// A request of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    Read { row: u8, fresh: bool },
    Write { row: u8, keyed: bool },
    Transaction { row: u8, keyed: bool },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitKind {
    Read(ReadFreshness),
    Write,
    Transaction,
}

/// A unit as the client sends it.
#[derive(Debug, Clone)]
pub struct UnitSpec {
    pub unit: u64,
    pub client: usize,
    pub kind: UnitKind,
    pub row_key: String,
    pub key: Option<RequestKey>,
    pub writes: Vec<Write>,
    pub floors: ReadFloors,
    pub setting: u64,
}

/// The result of a read.
#[derive(Debug, Clone)]
pub struct ReadAnswer {
    pub tag: String,
    pub values: Vec<String>,
    pub setting: u64,
}

#[derive(Debug)]
pub enum ToClient {
    StatementDone {
        unit: u64,
    },
    Finished {
        unit: u64,
        outcome: Outcome,
        floor: Option<(Side, Position)>,
        read: Option<ReadAnswer>,
    },
    ConnectionLost {
        unit: u64,
    },
    Retry {
        node: usize,
    },
}

#[derive(Debug)]
struct Running {
    spec: UnitSpec,
    node: usize,
    invoked_at: u64,
    statements_answered: u32,
    retries_left: u32,
}

#[derive(Debug)]
pub struct Client {
    index: usize,
    /// Whether the client passes its position token to the next proxy.
    keeps_token: bool,
    floors: ReadFloors,
    /// The node and its incarnation.
    connected_to: Option<(usize, u64)>,
    running: Option<Running>,
    pending_retry: Option<Running>,
}

pub fn group(side: Side) -> GroupId {
    GroupId {
        database: DatabaseName::from(DATABASE),
        side,
    }
}

pub fn tag_of(unit: u64) -> String {
    format!("tag-{unit}")
}

impl Client {
    pub fn new(index: usize) -> Self {
        Client {
            index,
            keeps_token: index.is_multiple_of(2),
            floors: ReadFloors::new(),
            connected_to: None,
            running: None,
            pending_retry: None,
        }
    }

    /// Sets the minimum positions that the proxy knows after the client connected: none on a new
    /// connection, except those in the position token.
    fn connect(&mut self, node: usize, incarnation: u64) {
        let connected_to = Some((node, incarnation));
        if self.connected_to != connected_to {
            let token = self.floors.token().to_string();
            self.floors = ReadFloors::new();
            if self.keeps_token {
                let token: PositionToken = token.parse().expect("a token parses back");
                self.floors.raise_to(&token);
            }
        }
        self.connected_to = connected_to;
    }
}

impl World {
    /// Starts a unit, unless the client still runs one or is about to retry one.
    pub fn client_request(&mut self, client: usize, node: usize, work: Work) {
        let state = &self.clients[client];
        if state.running.is_some() || state.pending_retry.is_some() {
            return;
        }
        let number = self.unique_number();
        let write = |index: u32, row: u8| Write {
            row_key: format!("row-{row}"),
            value: format!("v{number}.{index}"),
        };
        let (kind, row, keyed, writes) = match work {
            Work::Read { row, fresh } => {
                let freshness = if fresh {
                    ReadFreshness::Fresh
                } else {
                    ReadFreshness::Session
                };
                (UnitKind::Read(freshness), row, false, Vec::new())
            }
            Work::Write { row, keyed } => (UnitKind::Write, row, keyed, vec![write(0, row)]),
            Work::Transaction { row, keyed } => (
                UnitKind::Transaction,
                row,
                keyed,
                vec![write(0, row), write(1, row + 1)],
            ),
        };
        let spec = UnitSpec {
            unit: number,
            client,
            kind,
            row_key: format!("row-{row}"),
            key: keyed.then(|| RequestKey {
                name: format!("key-{number}"),
                digest: number,
            }),
            writes,
            floors: ReadFloors::new(),
            setting: client as u64 + 1,
        };
        self.client_send(client, node, spec, MAX_RETRIES);
    }

    fn client_send(&mut self, client: usize, node: usize, mut spec: UnitSpec, retries_left: u32) {
        let incarnation = self.nodes[node].incarnation;
        let state = &mut self.clients[client];
        state.connect(node, incarnation);
        spec.floors = state.floors.clone();
        let unit = spec.unit;
        state.running = Some(Running {
            spec: spec.clone(),
            node,
            invoked_at: self.now,
            statements_answered: 0,
            retries_left,
        });
        if !self.nodes[node].up {
            // The connection was refused, so nothing was sent.
            let outcome = Outcome::NotRun;
            self.send_to_client(
                client,
                ToClient::Finished {
                    unit,
                    outcome,
                    floor: None,
                    read: None,
                },
            );
            return;
        }
        self.send_to_node(client, node, ToNode::Open(Box::new(spec)));
        let timeout = if self.network.random_one_in(4) {
            250
        } else {
            3_000
        };
        self.schedule_after(timeout * MILLISECOND, Event::ClientTimer { client, unit });
    }

    fn send_to_node(&mut self, client: usize, node: usize, body: ToNode) {
        let incarnation = self.nodes[node].incarnation;
        let delay = self
            .network
            .arrival_time(self.now, u64::MAX - client as u64, true)
            - self.now;
        self.schedule_after(
            delay,
            Event::Node {
                node,
                incarnation,
                body,
            },
        );
    }

    pub fn send_to_client(&mut self, client: usize, body: ToClient) {
        let delay = self
            .network
            .arrival_time(self.now, u64::MAX - client as u64, false)
            - self.now;
        self.schedule_after(delay, Event::Client { client, body });
    }

    /// Reports to the client that its connection was lost, because the proxy is not running.
    pub fn refuse_connection(&mut self, spec: &UnitSpec) {
        self.send_to_client(spec.client, ToClient::ConnectionLost { unit: spec.unit });
    }

    pub fn client_event(&mut self, client: usize, body: ToClient) {
        match body {
            ToClient::StatementDone { unit } => self.client_statement_done(client, unit),
            ToClient::Finished {
                unit,
                outcome,
                floor,
                read,
            } => {
                if self.is_running(client, unit) {
                    if let Some((side, position)) = floor {
                        self.clients[client].floors.raise(&group(side), position);
                    }
                    self.client_finish(client, outcome, Some(self.now), read);
                }
            }
            ToClient::ConnectionLost { unit } => {
                if self.is_running(client, unit) {
                    self.client_finish(client, Outcome::Unknown, Some(self.now), None);
                }
            }
            ToClient::Retry { node } => {
                if let Some(running) = self.clients[client].pending_retry.take() {
                    let mut spec = running.spec;
                    spec.unit = self.unique_number();
                    self.client_send(client, node, spec, running.retries_left - 1);
                }
            }
        }
    }

    fn is_running(&self, client: usize, unit: u64) -> bool {
        let running = self.clients[client].running.as_ref();
        running.is_some_and(|running| running.spec.unit == unit)
    }

    fn client_statement_done(&mut self, client: usize, unit: u64) {
        if !self.is_running(client, unit) {
            return;
        }
        let running = self.clients[client].running.as_mut().expect("it runs");
        running.statements_answered += 1;
        let commit = running.statements_answered as usize == running.spec.writes.len();
        let node = running.node;
        let think_time = self.network.random_below(60 * MILLISECOND);
        let incarnation = self.nodes[node].incarnation;
        self.schedule_after(
            think_time,
            Event::Node {
                node,
                incarnation,
                body: ToNode::Next { unit, commit },
            },
        );
    }

    pub fn client_timer(&mut self, client: usize, unit: u64) {
        if !self.is_running(client, unit) {
            return;
        }
        let node = self.clients[client].running.as_ref().expect("it runs").node;
        self.send_to_node(client, node, ToNode::Abandon { unit });
        self.clients[client].connected_to = None;
        self.client_finish(client, Outcome::Unknown, Some(self.now), None);
    }

    fn client_finish(
        &mut self,
        client: usize,
        outcome: Outcome,
        answered_at: Option<u64>,
        read: Option<ReadAnswer>,
    ) {
        let Some(running) = self.clients[client].running.take() else {
            return;
        };
        self.record_unit(&running, outcome, answered_at, read);
        let should_retry =
            running.spec.key.is_some() && outcome != Outcome::Done && running.retries_left > 0;
        if should_retry {
            self.clients[client].pending_retry = Some(running);
            let node = self.network.random_below(self.nodes.len() as u64) as usize;
            self.schedule_after(
                RETRY_DELAY,
                Event::Client {
                    client,
                    body: ToClient::Retry { node },
                },
            );
        }
    }

    fn record_unit(
        &mut self,
        running: &Running,
        outcome: Outcome,
        answered_at: Option<u64>,
        read: Option<ReadAnswer>,
    ) {
        let spec = &running.spec;
        let mut unit = Unit {
            unit: spec.unit,
            session: format!("client-{}", self.clients[spec.client].index),
            proxy: self.nodes[running.node].name(),
            database: DATABASE.to_owned(),
            request_key: spec.key.as_ref().map(|key| key.name.clone()),
            invoked_at: running.invoked_at,
            answered_at,
            outcome,
            statements_answered: running.statements_answered,
            writes: spec.writes.clone(),
            reads: Vec::new(),
            answers: Vec::new(),
            settings: Vec::new(),
        };
        if let (UnitKind::Read(freshness), Some(read)) = (spec.kind, read) {
            unit.answers.push(Answer {
                asked: tag_of(spec.unit),
                rows_expected: 1,
                rows_received: vec![read.tag],
                complete: true,
            });
            unit.settings.push(SettingObserved {
                name: "search_path".to_owned(),
                expected: spec.setting.to_string(),
                observed: read.setting.to_string(),
            });
            unit.reads.push(ReadOfRow {
                row_key: spec.row_key.clone(),
                freshness,
                values: read.values,
            });
        }
        self.history.units.push(unit);
    }

    /// Records the units that were never answered, at the end of a case.
    pub fn record_unanswered(&mut self) {
        for client in 0..self.clients.len() {
            if let Some(running) = self.clients[client].running.take() {
                self.record_unit(&running, Outcome::Unknown, None, None);
            }
        }
    }
}
