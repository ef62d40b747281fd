//! The messages between nodes over TCP: forwarded units, requests for quota permits, and updates of
//! the store's tables.
//!
//! The node that opens the connection is the caller: it numbers its calls and its transactions.
//! The other node, the runner, runs them and replies in any order. Times are sent as durations,
//! never as timestamps, since nodes share no clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::position::Position;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::wire::{
    List, LongText, Text, decode_address, decode_bytes, decode_text, encode_address, encode_bytes,
    encode_text,
};

use crate::known_tables::TableUpdates;
use crate::ports::{
    Answer, Completion, Effect, ErrorClass, FreshnessKind, KeyDigest, ServerError, TransactionState,
};
use crate::quota::{PermitRequest, PermitResponse};
use crate::server::Values;
use crate::tenant::Caller;
use crate::unit::{ClientStatement, PreparedExecution};

/// The protocol version; nodes with different versions do not forward to each other.
pub const VERSION: u16 = 8;

/// A message between a caller and the node that runs its calls.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum LinkMessage {
    /// Caller: the first message, with the caller's [`VERSION`].
    Hello(u16),
    /// Caller: makes a call.
    Call {
        /// The call's number.
        number: u64,
        /// The call.
        call: Call,
    },
    /// Caller: cancels a call whose reply is no longer awaited.
    Cancel(u64),
    /// Caller: the reply to this call, a large set of table updates, has been received whole.
    UpdatesReceived(u64),
    /// Caller: drops the transaction with this number; there is no reply.
    EndTransaction(u64),
    /// Runner: replies to a call.
    Reply {
        /// The call's number.
        number: u64,
        /// The reply.
        reply: Reply,
    },
    /// Caller: asks for a `Pong`, to check that the runner is alive.
    Ping,
    /// Runner: answers a `Ping`.
    Pong,
}

/// A request from the caller to the runner.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum Call {
    /// A statement outside a transaction.
    Single {
        /// Where and how it runs.
        head: CallHead,
        /// The statement.
        work: WireWork,
        /// What it does.
        effect: Effect,
    },
    /// Opens a transaction.
    Begin {
        /// Where and how it runs.
        head: CallHead,
        /// The opening statement.
        work: WireWork,
        /// The caller's number for the transaction.
        transaction: u64,
        /// Whether it may only read.
        read_only: bool,
    },
    /// A statement in a transaction.
    InTransaction {
        /// The transaction.
        transaction: u64,
        /// The session's state.
        session: WireSession,
        /// The statement.
        work: WireWork,
        /// What it does.
        effect: Effect,
    },
    /// Commits a transaction.
    Commit {
        /// The transaction.
        transaction: u64,
        /// The session's state.
        session: WireSession,
        /// The statement.
        work: WireWork,
    },
    /// Asks for permits to start operations of tenants.
    Permits(PermitRequest),
    /// Asks a seed node, whose address the settings name, which nodes to follow for table updates.
    Watchers {
        /// The caller's name.
        name: LongText,
        /// The caller's zone.
        zone: LongText,
        /// How long the runner may wait until it has read the list of nodes, in milliseconds.
        wait_ms: u32,
    },
    /// Asks for the updates of a table of the store that the runner knows of.
    Follow {
        /// The table's number.
        table: u8,
        /// The store version up to which the caller knows the table; none if it knows nothing.
        version: Option<StoreVersion>,
        /// How long the runner waits for updates, in milliseconds.
        wait_ms: u32,
    },
}

/// Where and how a unit runs: the part of its route that the runner needs.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct CallHead {
    /// The database that the client named.
    pub database: Text,
    /// The name of the group.
    pub group: Text,
    /// How fresh the unit's reads must be.
    pub freshness: WireFreshness,
    /// How long a statement may take, in milliseconds.
    pub timeout_ms: u32,
    /// The target latency of an operation, in milliseconds.
    pub target_ms: u32,
    /// The client that it runs for.
    pub caller: WireCaller,
    /// The regions in which it may run; none if in any.
    pub allowed_regions: Option<List<LongText>>,
    /// The version of the configuration from which the route and the caller's key were taken.
    pub configuration: u64,
    /// The position of the session's last commit in the group.
    pub own_commit: Option<Position>,
    /// The session's state.
    pub session: WireSession,
    /// Whether the unit was relayed by a home, such as one that cannot reach the leader; it is not
    /// relayed again.
    pub relayed: bool,
}

/// The wire form of [`Caller`].
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireCaller {
    tenant: Option<Text>,
    key: Option<KeyDigest>,
}

impl WireCaller {
    /// Whether the client belongs to no named tenant.
    pub fn is_unnamed(&self) -> bool {
        self.tenant.is_none()
    }
}

impl From<&Caller> for WireCaller {
    fn from(caller: &Caller) -> Self {
        WireCaller {
            tenant: caller.tenant.as_deref().map(Text::from),
            key: caller.key,
        }
    }
}

impl From<WireCaller> for Caller {
    fn from(caller: WireCaller) -> Self {
        Caller {
            tenant: caller.tenant.map(|tenant| Arc::from(tenant.0)),
            key: caller.key,
        }
    }
}

/// The state of a session that the runner needs.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireSession {
    /// How long the statement has waited at the caller, in milliseconds.
    pub waited_ms: u32,
    /// The session's settings, as alternating names and values.
    pub values: List<Text>,
}

/// The wire form of [`FreshnessKind`]; staleness is in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum WireFreshness {
    /// [`FreshnessKind::Latest`].
    Latest,
    /// [`FreshnessKind::Bounded`].
    Bounded(u32),
    /// [`FreshnessKind::OwnWrites`].
    OwnWrites(u32),
}

/// The wire form of [`ClientStatement`].
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireWork {
    id: LongText,
    text: LongText,
    prepared: Option<WirePrepared>,
}

/// The wire form of [`PreparedUse`].
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
struct WirePrepared {
    effect: Effect,
    shape: LongText,
    arguments: LongText,
}

/// The runner's reply to a call.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum Reply {
    /// The runner has not started the call and will not.
    NotStarted,
    /// The answer to a statement.
    Answered(WireAnswer),
    /// What the runner knows of a table, with the rows that the caller lacks.
    TableUpdates(TableUpdates),
    /// The answer to a request for permits.
    Permits(PermitResponse),
    /// The nodes to follow.
    Watchers(WatcherAssignment),
}

/// Tells a starting node how it gets table updates: from the store itself, or from other nodes.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WatcherAssignment {
    /// Whether it is one of the watchers, which follow the store itself.
    pub is_watcher: bool,
    /// Watchers among the other nodes, in the order in which to ask them; not always all of them.
    pub nodes: List<NodeEndpoint>,
}

/// The name, the address and the zone of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeEndpoint {
    /// Its name.
    pub name: String,
    /// The address of its listener for other nodes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

impl SerBin for NodeEndpoint {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_text(&self.name, output);
        encode_address(self.address, output);
        encode_text(&self.zone, output);
    }
}

impl DeBin for NodeEndpoint {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(NodeEndpoint {
            name: decode_text(offset, bytes)?.to_owned(),
            address: decode_address(offset, bytes)?,
            zone: decode_text(offset, bytes)?.to_owned(),
        })
    }
}

/// The wire form of [`Answer`], with the position of the commit that it acknowledges.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireAnswer {
    rows: List<Blob>,
    /// The signature of a success.
    signature: Option<Blob>,
    /// The class of the error; none for a success.
    error: Option<ErrorClass>,
    error_text: LongText,
    state: TransactionState,
    position: Option<Position>,
    committed: Option<Position>,
}

/// A byte string of any length.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Blob(Bytes);

impl SerBin for Blob {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_bytes(&self.0, output);
    }
}

impl DeBin for Blob {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        decode_bytes(offset, bytes).map(|piece| Blob(Bytes::copy_from_slice(piece)))
    }
}

/// A duration in whole milliseconds, for a message; `u32::MAX` if it is longer.
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The duration of a number of milliseconds from a message.
pub fn duration(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

impl From<FreshnessKind> for WireFreshness {
    fn from(kind: FreshnessKind) -> Self {
        match kind {
            FreshnessKind::Latest => WireFreshness::Latest,
            FreshnessKind::Bounded(staleness) => WireFreshness::Bounded(millis(staleness)),
            FreshnessKind::OwnWrites(staleness) => WireFreshness::OwnWrites(millis(staleness)),
        }
    }
}

impl From<WireFreshness> for FreshnessKind {
    fn from(kind: WireFreshness) -> Self {
        match kind {
            WireFreshness::Latest => FreshnessKind::Latest,
            WireFreshness::Bounded(staleness) => FreshnessKind::Bounded(duration(staleness)),
            WireFreshness::OwnWrites(staleness) => FreshnessKind::OwnWrites(duration(staleness)),
        }
    }
}

impl WireSession {
    /// The state of a session with these settings, whose statement has waited for `waited`.
    pub fn new(waited: Duration, values: &Values) -> Self {
        let texts = values.iter().flat_map(|(name, value)| [name, value]);
        WireSession {
            waited_ms: millis(waited),
            values: List(texts.map(Text::from).collect()),
        }
    }

    /// The session's settings as pairs of name and value.
    pub fn session_values(&self) -> Values {
        let pairs = self.values.0.chunks_exact(2);
        pairs
            .map(|pair| (pair[0].0.clone(), pair[1].0.clone()))
            .collect()
    }
}

impl From<&ClientStatement> for WireWork {
    fn from(work: &ClientStatement) -> Self {
        let prepared = work.prepared.as_ref().map(|prepared| WirePrepared {
            effect: prepared.effect,
            shape: LongText(prepared.shape.clone()),
            arguments: LongText(prepared.arguments.clone()),
        });
        WireWork {
            id: LongText(work.id.clone()),
            text: LongText(work.text.clone()),
            prepared,
        }
    }
}

impl From<WireWork> for ClientStatement {
    fn from(work: WireWork) -> Self {
        let (id, text) = (work.id.0, work.text.0);
        match work.prepared {
            None => ClientStatement::plain(id, text),
            Some(prepared) => ClientStatement::execution(
                id,
                text,
                PreparedExecution {
                    effect: prepared.effect,
                    shape: prepared.shape.0,
                    arguments: prepared.arguments.0,
                },
            ),
        }
    }
}

impl WireAnswer {
    /// Builds the wire form of an answer and the position of the commit that it acknowledges.
    pub fn new(answer: Answer, committed: Option<Position>) -> Self {
        let (signature, error, error_text) = match answer.outcome {
            Ok(completion) => (completion.signature.map(Blob), None, String::new()),
            Err(error) => (None, Some(error.class), error.text),
        };
        WireAnswer {
            rows: List(answer.rows.into_iter().map(Blob).collect()),
            signature,
            error,
            error_text: LongText(error_text),
            state: answer.state,
            position: answer.position,
            committed,
        }
    }

    /// Returns the answer and the position of the commit that it acknowledges.
    pub fn into_parts(self) -> (Answer, Option<Position>) {
        let outcome = match self.error {
            Some(class) => Err(ServerError {
                class,
                text: self.error_text.0,
            }),
            None => Ok(Completion {
                signature: self.signature.map(|signature| signature.0),
            }),
        };
        let answer = Answer {
            rows: self.rows.0.into_iter().map(|row| row.0).collect(),
            outcome,
            state: self.state,
            position: self.position,
        };
        (answer, self.committed)
    }
}
