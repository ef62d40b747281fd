//! What a recorder notes down of a run.
//!
//! All times are microseconds on one clock of the recorder (virtual or monotonic). An event that
//! is recorded before another must not carry a later time; equal times count as concurrent.
//!
//! Rows are append-only: a write adds one row, whose value no other request of the history writes
//! (a retry with the same request key writes the same values), and a read lists the values under
//! a row key. Rows that were there from the start are recorded as the writes of a unit that was
//! done before the others. So a lost, doubled or resurrected write shows without any model of the product.

use serde::{Deserialize, Serialize};

/// How a unit of work ended, as the client was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, and its effects last.
    Done,
    /// It did not run, and never will.
    NotRun,
    /// It cannot be told, or the client never got an answer.
    Unknown,
}

/// How fresh a read was asked to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadFreshness {
    /// The session's own writes, and never back in time.
    Session,
    /// Every write acknowledged to anyone before the read was asked.
    Fresh,
    /// Every write acknowledged to anyone this long before the read was asked.
    Bounded {
        /// The greatest staleness, in microseconds.
        micros: u64,
    },
}

/// One row that a unit adds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// The row key under which reads find it.
    pub row_key: String,
    /// The value, unique in the history but for retries of the same request.
    pub value: String,
}

/// One read, and what it saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadOfRow {
    /// The row key that was read.
    pub row_key: String,
    /// How fresh it was asked to be.
    pub freshness: ReadFreshness,
    /// All values found under the key, in any order.
    pub values: Vec<String>,
}

/// The answer to one statement, against what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The tag that the statement asked the back end to repeat; unique in the history.
    pub asked: String,
    /// How many rows a whole answer has.
    pub rows_expected: u32,
    /// The tag in each row that arrived, in order.
    pub rows_received: Vec<String>,
    /// Whether the end of the answer arrived.
    pub complete: bool,
}

/// A session setting as a statement saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingObserved {
    /// The setting's name.
    pub name: String,
    /// What the session had set it to (or the default).
    pub expected: String,
    /// What the back end said.
    pub observed: String,
}

/// One unit of work as its client saw it: an autocommit batch or a whole transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    /// The unit's number, unique in the history; a retry by the client is a new unit.
    pub unit: u64,
    /// The client session, which may roam.
    pub session: String,
    /// The proxy it was sent to.
    pub proxy: String,
    /// The database.
    pub database: String,
    /// The client's request key.
    pub request_key: Option<String>,
    /// When the client sent it.
    pub invoked_at: u64,
    /// When the client learnt the outcome; none if it never did (then `outcome` is `Unknown`).
    pub answered_at: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
    /// How many of its statements had been answered whole before the end.
    pub statements_answered: u32,
    /// The rows it adds, if it runs.
    pub writes: Vec<Write>,
    /// Its reads that were answered, each asked before the unit's own writes.
    pub reads: Vec<ReadOfRow>,
    /// The tagged answers.
    pub answers: Vec<Answer>,
    /// The settings that it looked at.
    pub settings: Vec<SettingObserved>,
}

/// What a database server noted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackEndEvent {
    /// A statement of a client's unit ran.
    StatementRan {
        /// When.
        at: u64,
        /// The server.
        server: String,
        /// The connection's number, unique per server.
        connection: u64,
        /// The transaction's number, unique per server.
        transaction: u64,
        /// The client's unit, as its statement text told.
        unit: u64,
    },
    /// The server became ready to take work again after leaving.
    Returned {
        /// When.
        at: u64,
        /// The server.
        server: String,
    },
    /// The server said for the first time that it is leaving.
    Leaving {
        /// When.
        at: u64,
        /// The server.
        server: String,
    },
    /// The server accepted new work: the first statement of a transaction or a lone one.
    WorkStarted {
        /// When.
        at: u64,
        /// The server.
        server: String,
    },
}

/// What a planned stop stops.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopTarget {
    /// A proxy.
    Proxy(String),
    /// A database server.
    Server(String),
}

/// A planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// What was stopped.
    pub target: StopTarget,
    /// When it was asked to stop.
    pub began_at: u64,
    /// When it had stopped; none if it had not by the end of the history.
    pub ended_at: Option<u64>,
}

/// What a fault touches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultScope {
    /// One proxy: killed, paused or cut off.
    Proxy(String),
    /// One database server.
    Server(String),
    /// The platform.
    Platform,
    /// Anything else, such as a cut between zones.
    Everything,
}

/// An unplanned fault that truly struck.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind, as in reports.
    pub kind: String,
    /// What it touched.
    pub scope: FaultScope,
    /// When it began.
    pub began_at: u64,
    /// When it was over; none if it lasted to the end.
    pub ended_at: Option<u64>,
}

/// A policy version that the platform accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyAccepted {
    /// When the platform accepted it, at the latest.
    pub at: u64,
    /// Its version.
    pub version: u64,
    /// The databases whose write side differs from the version before.
    pub moved_databases: Vec<String>,
}

/// A policy version by which a proxy was seen to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyObserved {
    /// When the proxy was asked.
    pub at: u64,
    /// The proxy's name, the same over restarts.
    pub proxy: String,
    /// The version it serves by.
    pub version: u64,
}

/// A row that a group holds at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivingRow {
    /// The row key.
    pub row_key: String,
    /// The value.
    pub value: String,
    /// The side on which it was committed (`old` or `new`) and when, where that is known.
    pub committed: Option<Commit>,
}

/// Where and when a row was committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The side.
    pub side: String,
    /// When, on the recorder's clock.
    pub at: u64,
}

/// The contents of a database's write side once all faults are healed and all work has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivingGroup {
    /// The database.
    pub database: String,
    /// All rows, with repetitions.
    pub rows: Vec<SurvivingRow>,
}

/// A whole run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The clients' units, in any order.
    pub units: Vec<Unit>,
    /// The database servers' notes, in any order.
    pub back_end: Vec<BackEndEvent>,
    /// Planned stops.
    pub planned_stops: Vec<PlannedStop>,
    /// Unplanned faults.
    pub faults: Vec<Fault>,
    /// Policies accepted, in any order.
    pub policies_accepted: Vec<PolicyAccepted>,
    /// Policies seen at proxies, in the order of observation at each proxy.
    pub policies_observed: Vec<PolicyObserved>,
    /// What was there at the end; a database without an entry has its lasting effects unchecked.
    pub survivors: Vec<SurvivingGroup>,
}
