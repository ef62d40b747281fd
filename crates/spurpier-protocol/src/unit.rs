//! Units of work, which an ingress node sends to a database's home node.
//!
//! A unit is one autocommit batch or one whole transaction, from its first batch to its end. The
//! ingress node knows the session and the policy; the home node knows the group, holds the
//! back-end connections and confirms commits. Both sides use these types, whether the home is in
//! the same process or on another node.

use nanoserde::{DeBin, SerBin};
use spurpier_core::identity::{DatabaseName, RequestKey, SessionId, Side};
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;

/// The kind of work in a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum UnitKind {
    /// One batch of reads outside a transaction block.
    Read,
    /// One batch with at least one write, outside a transaction block; the home wraps it in a
    /// transaction block.
    Write,
    /// A transaction block that the client declared read-only.
    ReadTransaction,
    /// A transaction block that may write.
    WriteTransaction,
}

/// The required freshness of a unit's reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum Freshness {
    /// At or past the session's floor: the session reads its own writes, and its reads are
    /// monotonic.
    Session,
    /// At or past the read index obtained when the unit arrived.
    Fresh,
    /// At most `milliseconds` behind the primary, and at or past the session's floor.
    Bounded {
        /// The maximum staleness, in milliseconds.
        milliseconds: u32,
    },
}

/// A setting that belongs to the client's session, such as `search_path`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSetting {
    /// The setting's name in lower case.
    pub name: String,
    /// The value as SQL text, quoted as required in `SET name = value`.
    pub value: String,
}

/// The parameters with which a home node runs a unit.
#[derive(Debug, Clone, PartialEq)]
pub struct UnitRequest {
    /// The client session.
    pub session: SessionId,
    /// The sequence number of the unit within the session at this ingress node, starting at 1.
    pub number: u64,
    /// The database.
    pub database: DatabaseName,
    /// The side of the database that the policy selected.
    pub side: Side,
    /// The policy epoch of the database's write side; it must match the fence's epoch.
    pub epoch: u64,
    /// The kind of work in the unit.
    pub kind: UnitKind,
    /// The required freshness of the reads.
    pub freshness: Freshness,
    /// Whether a replica may serve the unit.
    pub replica_allowed: bool,
    /// The session's floor in this group, the minimum log position for its reads; if `None`, the
    /// floor is unknown and the read index is used instead.
    pub floor: Option<Position>,
    /// The session's floor in the other side's group, for reads there before the move; `None`
    /// if the database has only one side or the session has no such floor.
    pub upstream_floor: Option<Position>,
    /// The maximum time to wait before any part of the unit is sent to a server, in milliseconds.
    pub max_wait_ms: u32,
    /// The client's request key, which makes a retried request run at most once.
    pub request_key: Option<RequestKey>,
    /// The digest of the keyed statement's text and parameters; zero without a request key.
    pub statement_digest: u64,
    /// The settings of the session, in the order in which they were set.
    pub settings: Vec<SessionSetting>,
}

/// A prepared statement that a batch uses and that must exist on the back-end connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedStatement {
    /// The name on the back-end connection, derived from a digest of text and parameter types.
    pub name: String,
    /// The statement's text.
    pub text: String,
    /// The parameter types that the client specified, as OIDs; may be fewer than the parameters.
    pub parameter_types: Vec<u32>,
}

/// The effect of a batch on its transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum BatchEffect {
    /// Reads only.
    Read,
    /// At least one write.
    Write,
    /// Opens a transaction block.
    Begin,
    /// Commits the transaction block.
    Commit,
    /// Rolls the transaction block back.
    Rollback,
}

/// Client messages that are sent to the back end together and answered by one ReadyForQuery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The effect on the transaction.
    pub effect: BatchEffect,
    /// Prepared statements that the messages refer to.
    pub prepared: Vec<PreparedStatement>,
    /// The encoded front-end messages: one Query, or extended messages that end with Sync.
    pub messages: Vec<u8>,
}

/// A message from the ingress node within an open unit.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum UnitInput {
    /// The next batch, sent after the previous one has been answered completely.
    Batch(Batch),
    /// The client requests cancellation of the running batch.
    Cancel,
    /// The client has disconnected: roll back and end the unit.
    Abandon,
}

/// The state of the transaction block after a batch, as in ReadyForQuery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum TransactionStatus {
    /// No transaction block is open.
    Idle,
    /// A transaction block is open.
    Open,
    /// The transaction block has failed; only a rollback is accepted.
    Failed,
}

/// The role of the server that ran a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum ServedBy {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
}

/// The outcome of a unit.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum UnitResult {
    /// The unit ran to its end, all answers have been sent, and any commit in it is confirmed.
    /// Errors from the back end (a failed statement, a rolled back transaction) also count as
    /// completed.
    Completed {
        /// The session's new floor in the group.
        floor: Position,
        /// The role of the server that ran the unit.
        served_by: ServedBy,
        /// Whether the answer was recorded by an earlier attempt of the same keyed request.
        repeated: bool,
    },
    /// The unit had no effect and never will; an error must be returned to the client.
    NotRun {
        /// The reason, which the error reports to the client.
        reason: Reason,
        /// The delay after which the client should retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// The unit ran, but its answer is not available; an error must be returned to the client.
    Done {
        /// The reason, which the error reports to the client.
        reason: Reason,
    },
    /// It is unknown whether the unit ran; an error must be returned to the client.
    Unknown {
        /// The reason, which the error reports to the client.
        reason: Reason,
    },
}

/// A message from the home node within an open unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnitOutput {
    /// Encoded back-end messages for the client, never a ReadyForQuery.
    Answer(Vec<u8>),
    /// The batch has been answered completely; the ingress node builds the ReadyForQuery from
    /// this status.
    BatchEnd(TransactionStatus),
    /// The unit has ended; nothing follows.
    Finished(UnitResult),
}
