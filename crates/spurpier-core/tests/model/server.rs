//! A simulated database server: log, tables, transactions, locks and connections.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use spurpier_core::group::{ServerRole, ServerStatus};
use spurpier_core::identity::Side;
use spurpier_core::position::Position;
use spurpier_rehearsal::oracle::{BackEndEvent, Write};

/// A request key and the digest of its statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestKey {
    pub name: String,
    pub digest: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    TermStart,
    Rows {
        writes: Vec<Write>,
        key: Option<RequestKey>,
    },
    Fence {
        epoch: u64,
        open: bool,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    pub term: u64,
    pub effect: Effect,
    pub committed_at: u64,
    pub side: Side,
    /// The position in the other side's log that this record was copied from.
    pub upstream: Option<Position>,
}

#[derive(Debug, Clone, Default)]
pub struct Tables {
    pub rows: BTreeMap<String, Vec<String>>,
    pub keys: BTreeMap<String, u64>,
    pub epoch: u64,
    pub closed: bool,
    pub upstream: Position,
}

impl Tables {
    fn apply(&mut self, record: &Record) {
        if let Some(position) = record.upstream {
            self.upstream = position;
        }
        match &record.effect {
            Effect::TermStart => {}
            Effect::Rows { writes, key } => {
                for write in writes {
                    let row = self.rows.entry(write.row_key.clone()).or_default();
                    row.push(write.value.clone());
                }
                if let Some(key) = key {
                    self.keys.insert(key.name.clone(), key.digest);
                }
            }
            Effect::Fence { epoch, open } => {
                self.epoch = *epoch;
                self.closed = !open;
            }
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// BEGIN, the fence check if `epoch` is given, and the insert of the request key.
    Begin {
        epoch: Option<u64>,
        key: Option<RequestKey>,
    },
    Insert {
        unit: u64,
        writes: Vec<Write>,
    },
    /// COMMIT and the query for its position.
    Commit,
    /// Inserts and deletes the request key in one transaction.
    Settle {
        key: RequestKey,
    },
    Set {
        value: u64,
    },
    Read {
        unit: u64,
        row_key: String,
        tag: String,
    },
    Status,
    RaiseFence {
        epoch: u64,
    },
    OpenFence {
        epoch: u64,
    },
    ReadFence,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Ok,
    Rows {
        tag: String,
        values: Vec<String>,
        setting: u64,
    },
    Status(ServerStatus),
    Committed {
        position: Position,
    },
    RecordFound {
        position: Position,
        same_statement: bool,
    },
    KeyAbsent {
        position: Position,
    },
    Fenced,
    Rejected,
    FenceRefused,
    Fence {
        epoch: u64,
        open: bool,
    },
    /// Not executed, because an earlier statement failed or no transaction is open.
    Skipped,
}

impl Reply {
    fn is_error(&self) -> bool {
        use Reply::{FenceRefused, Fenced, RecordFound, Rejected, Skipped};
        matches!(
            self,
            RecordFound { .. } | Fenced | Rejected | FenceRefused | Skipped
        )
    }
}

#[derive(Debug)]
pub struct Transaction {
    number: u64,
    pub key: Option<RequestKey>,
    checked_fence: bool,
    writes: Vec<Write>,
}

#[derive(Debug)]
pub struct Request {
    pub statements: VecDeque<Statement>,
    pub replies: Vec<Reply>,
}

#[derive(Debug, Default)]
pub struct Connection {
    pub node: usize,
    pub incarnation: u64,
    pub transaction: Option<Transaction>,
    pub requests: VecDeque<Request>,
    setting: u64,
}

/// The result of one step of a connection.
pub enum Step {
    Idle,
    Blocked,
    Progress,
    Answered { replies: Vec<Reply> },
}

#[derive(Debug)]
pub struct Server {
    pub name: String,
    pub zone: usize,
    pub side: Side,
    pub up: bool,
    pub applying: bool,
    pub vote_term: u64,
    pub log: Rc<Vec<Record>>,
    pub applied: usize,
    pub tables: Tables,
    pub role: ServerRole,
    pub leaving: bool,
    pub leaving_since: u64,
    pub primary_heard_at: u64,
    pub connections: BTreeMap<u64, Connection>,
    pub next_transaction: u64,
}

impl Server {
    pub fn new(name: String, zone: usize, side: Side) -> Self {
        Server {
            name,
            zone,
            side,
            up: true,
            applying: true,
            vote_term: 0,
            log: Rc::default(),
            applied: 0,
            tables: Tables::default(),
            role: ServerRole::Replica,
            leaving: false,
            leaving_since: 0,
            primary_heard_at: 0,
            connections: BTreeMap::new(),
            next_transaction: 0,
        }
    }

    fn position_at(&self, offset: usize) -> Position {
        let term = offset
            .checked_sub(1)
            .map_or(0, |index| self.log[index].term);
        Position::new(term, offset as u64)
    }

    pub fn received(&self) -> Position {
        self.position_at(self.log.len())
    }

    /// The number of records before the last record's term.
    fn term_start(&self) -> usize {
        let term = self.received().term;
        self.log.partition_point(|record| record.term < term)
    }

    pub fn status(&self) -> ServerStatus {
        ServerStatus {
            vote_term: self.vote_term,
            received: self.received(),
            term_parent: self.position_at(self.term_start()),
            applied: self.position_at(self.applied),
            upstream_applied: self.tables.upstream,
            role: self.role,
            leaving: self.leaving,
        }
    }

    pub fn append(
        &mut self,
        effect: Effect,
        now: u64,
        upstream: Option<(Position, Side)>,
    ) -> Position {
        let record = Record {
            term: self.vote_term,
            effect,
            committed_at: now,
            side: upstream.map_or(self.side, |(_, side)| side),
            upstream: upstream.map(|(position, _)| position),
        };
        self.apply_all();
        Rc::make_mut(&mut self.log).push(record);
        self.apply_all();
        self.received()
    }

    pub fn apply_all(&mut self) {
        for record in &self.log[self.applied..] {
            self.tables.apply(record);
        }
        self.applied = self.log.len();
    }

    /// Replaces the log by a primary's log and truncates the records that differ from it.
    pub fn replace_log(&mut self, log: &Rc<Vec<Record>>) {
        let common = self
            .log
            .iter()
            .zip(log.iter())
            .take_while(|(own, new)| own.term == new.term);
        let common = common.count();
        self.log = Rc::clone(log);
        if common < self.applied {
            self.tables = Tables::default();
            self.applied = 0;
            for record in &self.log[..common] {
                self.tables.apply(record);
            }
            self.applied = common;
        }
    }

    /// Starts a term as its primary, which first applies all records that it has received.
    pub fn become_primary(&mut self, term: u64, now: u64) {
        self.vote_term = term;
        self.role = ServerRole::Primary;
        self.append(Effect::TermStart, now, None);
    }

    /// Drops every connection and rolls back its transaction. Returns each connection with the node
    /// and incarnation that own it.
    pub fn drop_connections(&mut self) -> Vec<(u64, usize, u64)> {
        let dropped = std::mem::take(&mut self.connections);
        let owner = |(number, connection): (u64, Connection)| {
            (number, connection.node, connection.incarnation)
        };
        dropped.into_iter().map(owner).collect()
    }

    pub fn has_open_transactions(&self) -> bool {
        self.connections
            .values()
            .any(|each| each.transaction.is_some())
    }

    fn key_locked_by_other(&self, connection: u64, key: &RequestKey) -> bool {
        self.connections.iter().any(|(number, each)| {
            let held = each.transaction.as_ref().and_then(|open| open.key.as_ref());
            *number != connection && held.is_some_and(|held| held.name == key.name)
        })
    }

    fn fence_locked(&self) -> bool {
        let mut open = self
            .connections
            .values()
            .filter_map(|each| each.transaction.as_ref());
        open.any(|transaction| transaction.checked_fence)
    }

    /// Runs the next statement of a connection.
    pub fn step(&mut self, number: u64, now: u64, events: &mut Vec<BackEndEvent>) -> Step {
        let Some(connection) = self.connections.get_mut(&number) else {
            return Step::Idle;
        };
        let Some(request) = connection.requests.front_mut() else {
            return Step::Idle;
        };
        let failed = request.replies.last().is_some_and(Reply::is_error);
        let Some(statement) = request.statements.front().cloned() else {
            let request = connection.requests.pop_front().expect("there is one");
            return Step::Answered {
                replies: request.replies,
            };
        };
        let reply = if failed {
            Some(Reply::Skipped)
        } else {
            self.run(number, &statement, now, events)
        };
        let Some(reply) = reply else {
            return Step::Blocked;
        };
        let connection = self
            .connections
            .get_mut(&number)
            .expect("it is still there");
        if reply.is_error() {
            connection.transaction = None;
        }
        let request = connection.requests.front_mut().expect("it is still there");
        request.statements.pop_front();
        request.replies.push(reply);
        Step::Progress
    }

    /// Runs one statement; `None` if it must wait for a lock.
    fn run(
        &mut self,
        number: u64,
        statement: &Statement,
        now: u64,
        events: &mut Vec<BackEndEvent>,
    ) -> Option<Reply> {
        let primary = self.role == ServerRole::Primary;
        let reply = match statement {
            Statement::Begin { epoch, key } => {
                if !primary {
                    return Some(Reply::Rejected);
                }
                if epoch.is_some_and(|epoch| self.tables.closed || self.tables.epoch != epoch) {
                    return Some(Reply::Fenced);
                }
                if let Some(key) = key {
                    if self.key_locked_by_other(number, key) {
                        return None;
                    }
                    if let Some(found) = self.find_record(key) {
                        return Some(found);
                    }
                }
                self.begin(number, epoch.is_some(), key.clone());
                events.push(BackEndEvent::WorkStarted {
                    at: now,
                    server: self.name.clone(),
                });
                Reply::Ok
            }
            Statement::Insert { unit, writes } => {
                let open = self.connections.get_mut(&number)?.transaction.as_mut();
                let Some(open) = open else {
                    return Some(Reply::Skipped);
                };
                open.writes.extend(writes.iter().cloned());
                let transaction = open.number;
                events.push(self.statement_ran(number, transaction, *unit, now));
                Reply::Ok
            }
            Statement::Commit => {
                let Some(open) = self.connections.get_mut(&number)?.transaction.take() else {
                    return Some(Reply::Skipped);
                };
                let effect = Effect::Rows {
                    writes: open.writes,
                    key: open.key,
                };
                Reply::Committed {
                    position: self.append(effect, now, None),
                }
            }
            Statement::Settle { key } => {
                if !primary {
                    return Some(Reply::Rejected);
                }
                if self.key_locked_by_other(number, key) {
                    return None;
                }
                if let Some(found) = self.find_record(key) {
                    return Some(found);
                }
                let effect = Effect::Rows {
                    writes: Vec::new(),
                    key: None,
                };
                Reply::KeyAbsent {
                    position: self.append(effect, now, None),
                }
            }
            Statement::Set { value } => {
                self.connections.get_mut(&number)?.setting = *value;
                Reply::Ok
            }
            Statement::Read { unit, row_key, tag } => {
                let connection = &self.connections[&number];
                let setting = connection.setting;
                let open = connection.transaction.as_ref().map(|open| open.number);
                let transaction = open.unwrap_or_else(|| self.new_transaction());
                events.push(self.statement_ran(number, transaction, *unit, now));
                events.push(BackEndEvent::WorkStarted {
                    at: now,
                    server: self.name.clone(),
                });
                let values = self.tables.rows.get(row_key).cloned().unwrap_or_default();
                Reply::Rows {
                    tag: tag.clone(),
                    values,
                    setting,
                }
            }
            Statement::Status => Reply::Status(self.status()),
            Statement::ReadFence => Reply::Fence {
                epoch: self.tables.epoch,
                open: !self.tables.closed,
            },
            Statement::RaiseFence { epoch } => {
                if !primary {
                    return Some(Reply::Rejected);
                }
                if self.fence_locked() {
                    return None;
                }
                let repeated = self.tables.epoch == *epoch && self.tables.closed;
                if self.tables.epoch >= *epoch && !repeated {
                    return Some(Reply::FenceRefused);
                }
                let effect = Effect::Fence {
                    epoch: *epoch,
                    open: false,
                };
                Reply::Committed {
                    position: self.append(effect, now, None),
                }
            }
            Statement::OpenFence { epoch } => {
                if !primary {
                    return Some(Reply::Rejected);
                }
                if self.tables.epoch > *epoch {
                    return Some(Reply::FenceRefused);
                }
                let effect = Effect::Fence {
                    epoch: *epoch,
                    open: true,
                };
                Reply::Committed {
                    position: self.append(effect, now, None),
                }
            }
        };
        Some(reply)
    }

    fn find_record(&self, key: &RequestKey) -> Option<Reply> {
        let digest = self.tables.keys.get(&key.name)?;
        Some(Reply::RecordFound {
            position: self.received(),
            same_statement: *digest == key.digest,
        })
    }

    fn new_transaction(&mut self) -> u64 {
        self.next_transaction += 1;
        self.next_transaction
    }

    fn begin(&mut self, number: u64, checked_fence: bool, key: Option<RequestKey>) {
        let transaction = Transaction {
            number: self.new_transaction(),
            key,
            checked_fence,
            writes: Vec::new(),
        };
        let connection = self
            .connections
            .get_mut(&number)
            .expect("it runs a statement");
        // As in PostgreSQL, BEGIN within a transaction continues that transaction.
        connection.transaction.get_or_insert(transaction);
    }

    fn statement_ran(
        &self,
        connection: u64,
        transaction: u64,
        unit: u64,
        now: u64,
    ) -> BackEndEvent {
        let server = self.name.clone();
        BackEndEvent::StatementRan {
            at: now,
            server,
            connection,
            transaction,
            unit,
        }
    }
}
