//! What nodes say to each other about forwarded units, over TCP.
//!
//! The node that opens the connection is the caller: it numbers its calls and its transactions.
//! The other one runs them and replies, in any order. Times are told as lengths, never as moments,
//! since nodes share no clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::position::Position;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::wire::{
    List, LongText, decode_address, decode_bytes, decode_text, encode_address, encode_bytes,
    encode_text,
};

use crate::known_tables::News;
use crate::ports::{
    Answer, Completion, Effect, ErrorClass, FreshnessKind, KeyDigest, ServerError, TransactionState,
};
use crate::quota::{LeaveAnswer, LeaveQuestion};
use crate::server::Values;
use crate::tenant::Caller;
use crate::unit::{PreparedUse, Work};

/// The version of the messages; nodes of different versions do not forward to each other.
pub const VERSION: u16 = 8;

/// A message between a caller and the node that runs its calls.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum LinkMessage {
    /// Caller: the first message, with its [`VERSION`].
    Hello(u16),
    /// Caller: runs a statement.
    Call {
        /// The call's number.
        number: u64,
        /// What is run.
        call: Call,
    },
    /// Caller: nobody awaits the call any more.
    Cancel(u64),
    /// Caller: much news of a table, the reply to this call, have come whole.
    UpdatesReceived(u64),
    /// Caller: drops a transaction; there is no reply.
    EndTransaction(u64),
    /// Runner: how a call ended.
    Reply {
        /// The call's number.
        number: u64,
        /// How it ended.
        reply: Reply,
    },
    /// Caller: asks for a `Pong`.
    Ping,
    /// Runner: answers a `Ping`.
    Pong,
}

/// A statement to run.
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
    /// Keeps a transaction.
    Commit {
        /// The transaction.
        transaction: u64,
        /// The session's state.
        session: WireSession,
        /// The statement.
        work: WireWork,
    },
    /// Asks for leave to start operations of tenants.
    Permits(LeaveQuestion),
    /// Asks a node whose address the settings name which nodes to follow.
    Watchers {
        /// The caller's name.
        name: LongText,
        /// The caller's zone.
        zone: LongText,
        /// For how long the runner waits until it knows, in milliseconds.
        wait_ms: u32,
    },
    /// Asks what the runner knows of a table of the store.
    Follow {
        /// The table's number.
        table: u8,
        /// The store's version up to which the caller knows the table; none if it knows nothing.
        version: Option<StoreVersion>,
        /// For how long the runner waits for news, in milliseconds.
        wait_ms: u32,
    },
}

/// Where and how a unit runs: what its runner must know of the route.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct CallHead {
    /// The database that the client named.
    pub database: String,
    /// The group.
    pub group: String,
    /// How fresh its reads must be.
    pub freshness: WireFreshness,
    /// How long a statement may take, in milliseconds.
    pub timeout_ms: u32,
    /// Within what an operation should be answered, in milliseconds.
    pub target_ms: u32,
    /// Whom it is run for.
    pub caller: WireCaller,
    /// Where it may run; none if anywhere.
    pub allowed_regions: Option<List<LongText>>,
    /// The version of the configuration that has the route and the caller's key.
    pub configuration: u64,
    /// The position of the session's last commit in the group.
    pub own_commit: Option<Position>,
    /// The session's state.
    pub session: WireSession,
    /// Whether the unit was handed on by a home that has no way to the lead; it is not handed on
    /// again.
    pub relayed: bool,
}

/// [`Caller`] as a message carries it.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireCaller {
    tenant: Option<String>,
    key: Option<KeyDigest>,
}

impl WireCaller {
    /// Whether it is not told apart from others.
    pub fn is_unnamed(&self) -> bool {
        self.tenant.is_none()
    }
}

impl From<&Caller> for WireCaller {
    fn from(caller: &Caller) -> Self {
        WireCaller {
            tenant: caller.tenant.as_deref().map(str::to_owned),
            key: caller.key,
        }
    }
}

impl From<WireCaller> for Caller {
    fn from(caller: WireCaller) -> Self {
        Caller {
            tenant: caller.tenant.map(Arc::from),
            key: caller.key,
        }
    }
}

/// What a runner must know of the session.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireSession {
    /// How long the statement has waited at the caller, in milliseconds.
    pub waited_ms: u32,
    /// The session's values: names and values in turn.
    pub values: List<String>,
}

/// [`FreshnessKind`] as a message carries it; staleness in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum WireFreshness {
    /// `Latest`.
    Latest,
    /// `Bounded`.
    Bounded(u32),
    /// `OwnWrites`.
    OwnWrites(u32),
}

/// [`Work`] as a message carries it.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireWork {
    id: LongText,
    text: LongText,
    prepared: Option<WirePrepared>,
}

#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
struct WirePrepared {
    effect: Effect,
    shape: LongText,
    arguments: LongText,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum Reply {
    /// The runner has not started it.
    NotStarted,
    /// Its answer.
    Answered(WireAnswer),
    /// What is known of a table, and what of it is new.
    TableUpdates(News),
    /// How many operations may start.
    Permits(LeaveAnswer),
    /// Which nodes to follow.
    Watchers(WatcherAssignment),
}

/// The nodes that a starting node is to follow.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WatcherAssignment {
    /// Whether it is to follow the store itself.
    pub is_watcher: bool,
    /// Some of the others, those to ask first before.
    pub nodes: List<NodeEndpoint>,
}

/// A node as a message names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeEndpoint {
    /// Its name.
    pub name: String,
    /// Where it is reached.
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

/// [`Answer`] as a message carries it, and what it commits.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct WireAnswer {
    rows: List<Blob>,
    /// The signature of a success.
    signature: Option<Blob>,
    /// Set if it failed.
    error: Option<ErrorClass>,
    error_text: LongText,
    state: TransactionState,
    position: Option<Position>,
    committed: Option<Position>,
}

/// Bytes of any length.
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

/// A length of time in whole milliseconds, as messages carry it.
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A length of time that a message carries.
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
    /// The state of a session whose statement has waited for so long.
    pub fn new(waited: Duration, values: &Values) -> Self {
        let texts = values.iter().flat_map(|(name, value)| [name, value]);
        WireSession {
            waited_ms: millis(waited),
            values: List(texts.cloned().collect()),
        }
    }

    /// The session's values.
    pub fn session_values(&self) -> Values {
        let pairs = self.values.0.chunks_exact(2);
        pairs
            .map(|pair| (pair[0].clone(), pair[1].clone()))
            .collect()
    }
}

impl From<&Work> for WireWork {
    fn from(work: &Work) -> Self {
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

impl From<WireWork> for Work {
    fn from(work: WireWork) -> Self {
        let (id, text) = (work.id.0, work.text.0);
        match work.prepared {
            None => Work::plain(id, text),
            Some(prepared) => Work::execution(
                id,
                text,
                PreparedUse {
                    effect: prepared.effect,
                    shape: prepared.shape.0,
                    arguments: prepared.arguments.0,
                },
            ),
        }
    }
}

impl WireAnswer {
    /// An answer, and the position of the commit that it acknowledges.
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

    /// The answer, and the position of the commit that it acknowledges.
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
