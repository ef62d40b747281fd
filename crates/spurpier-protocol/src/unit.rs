//! Units of work: what an ingress node asks of a database's home node.
//!
//! A unit is one autocommit batch or one whole transaction, from its first batch to its end. The
//! ingress node knows the session and the policy; the home node knows the group, holds the
//! back-end connections and confirms commits. Both sides speak through these types whether the
//! home is the same process or another node.

use nanoserde::{DeBin, SerBin};
use spurpier_core::identity::{DatabaseName, RequestKey, SessionId, Side};
use spurpier_core::position::Position;
use spurpier_core::reason::Reason;

/// What kind of work a unit holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum UnitKind {
    /// One batch of reads outside a transaction block.
    Read,
    /// One batch with at least one write, outside a transaction block; the home wraps it in one.
    Write,
    /// A transaction block that the client declared read-only.
    ReadTransaction,
    /// A transaction block that may write.
    WriteTransaction,
}

/// How fresh a unit's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum Freshness {
    /// At or past the session's floor: its own writes, and never back in time.
    Session,
    /// At or past the read index of the moment at which the unit arrived.
    Fresh,
    /// At most `milliseconds` behind the primary, and at or past the session's floor.
    Bounded {
        /// The greatest staleness, in milliseconds.
        milliseconds: u32,
    },
}

/// A setting that belongs to the client's session, such as `search_path`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSetting {
    /// The setting's name in lower case.
    pub name: String,
    /// The value as SQL text, quoted as `SET name = value` needs it.
    pub value: String,
}

/// What a home node must know to run a unit.
#[derive(Debug, Clone, PartialEq)]
pub struct UnitRequest {
    /// The client session.
    pub session: SessionId,
    /// The number of the unit within the session at this ingress node, from 1.
    pub number: u64,
    /// The database.
    pub database: DatabaseName,
    /// The side that the policy chose.
    pub side: Side,
    /// The policy epoch of the database's write side; the fence must agree with it.
    pub epoch: u64,
    /// What kind of work it is.
    pub kind: UnitKind,
    /// How fresh the reads must be.
    pub freshness: Freshness,
    /// Whether a replica may serve it.
    pub replica_allowed: bool,
    /// The session's floor in this group; none when unknown, and then the read index is taken.
    pub floor: Option<Position>,
    /// The session's floor in the other side's group, for reads there before the move; none
    /// when the database has one side or the session holds no such floor.
    pub upstream_floor: Option<Position>,
    /// How long the unit may wait before anything of it is sent, in milliseconds.
    pub max_wait_ms: u32,
    /// The client's request key.
    pub request_key: Option<RequestKey>,
    /// The digest of the keyed statement's text and parameters; zero without a key.
    pub statement_digest: u64,
    /// The settings of the session, in the order in which they were set.
    pub settings: Vec<SessionSetting>,
}

/// A prepared statement that a batch uses and that the back-end connection must know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedStatement {
    /// The name on the back-end connection, made from the digest of text and types.
    pub name: String,
    /// The statement's text.
    pub text: String,
    /// The parameter types that the client gave, as OIDs; may be shorter than the parameters.
    pub parameter_types: Vec<u32>,
}

/// What a batch does to the transaction block that it stands in.
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
    /// What the batch does.
    pub effect: BatchEffect,
    /// Prepared statements that the messages refer to.
    pub prepared: Vec<PreparedStatement>,
    /// The encoded front-end messages: one Query, or extended messages that end with Sync.
    pub messages: Vec<u8>,
}

/// What the ingress node sends within an open unit.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum UnitInput {
    /// The next batch; the previous one has been answered whole.
    Batch(Batch),
    /// The client asks to cancel the running batch.
    Cancel,
    /// The client has vanished: roll back and end the unit.
    Abandon,
}

/// The state of the transaction block after a batch, as in ReadyForQuery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum TransactionStatus {
    /// No transaction block is open.
    Idle,
    /// A transaction block is open.
    Open,
    /// The transaction block has failed and only a rollback is taken.
    Failed,
}

/// Which kind of server ran a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum ServedBy {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
}

/// How a unit ended.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum UnitResult {
    /// It ran to its end and every answer has been sent; a commit in it is confirmed. The back
    /// end's own errors (a failed statement, a rolled back transaction) end this way too.
    Completed {
        /// The session's new floor in the group.
        floor: Position,
        /// Which kind of server ran it.
        served_by: ServedBy,
        /// Whether the answer is the recorded one of an earlier copy of a keyed request.
        repeated: bool,
    },
    /// It had no effect, and never will have; an error must be given to the client.
    NotRun {
        /// Why.
        reason: Reason,
        /// When the client should come back, in milliseconds.
        retry_after_ms: u32,
    },
    /// It ran, but its answer cannot be given; an error must be given to the client.
    Done {
        /// Why.
        reason: Reason,
    },
    /// Whether it ran cannot be told; an error must be given to the client.
    Unknown {
        /// Why.
        reason: Reason,
    },
}

/// What the home node sends within an open unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnitOutput {
    /// Encoded back-end messages for the client, never a ReadyForQuery.
    Answer(Vec<u8>),
    /// The batch has been answered whole; the ingress node makes the ReadyForQuery of it.
    BatchEnd(TransactionStatus),
    /// The unit has ended; nothing follows.
    Finished(UnitResult),
}
