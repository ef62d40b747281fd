//! Policies decide for each request its side, freshness and maximum wait, or refuse it.
//!
//! A [`PolicyProgram`] is the compiled script that an operator wrote. A [`PolicyDocument`] is the
//! published form: a version, the script and the placements. [`PolicyInForce`] is a compiled
//! document that decides requests. [`Publish`] is the state machine that publishes a program as
//! the next accepted policy.

mod cache;
mod check;
mod document;
mod entries;
mod finding;
mod in_force;
mod program;
mod publish;
mod publish_messages;
mod start_gate;

use serde::{Deserialize, Serialize};

use crate::identity::{DatabaseName, Side};

pub use check::check;
pub use document::{
    HEAD_KEY, HISTORY_PREFIX, InvalidDocument, PolicyDocument, PolicyHead, history_key,
    next_placements, object_name,
};
pub use entries::{MAX_ENTRY_BYTES, policy_entries, policy_from_entries};
pub use finding::Finding;
pub use in_force::{INITIAL_PROGRAM, PolicyInForce};
pub use program::{MAX_PROGRAM_BYTES, PolicyProgram};
pub use publish::Publish;
pub use publish_messages::{
    HeadRow, PlatformFailure, PublishAction, PublishConflict, PublishEvent, PublishOutcome,
    PublishRequest, TransactAnswer,
};
pub use start_gate::StartGate;

impl Placement {
    /// Whether a fence at `fence_epoch` shows that a newer policy has moved the database.
    ///
    /// A read that covers the read index also reads the fence. This prevents a node that has not
    /// yet received the newer policy from serving reads on the former side.
    pub fn is_superseded_by(&self, fence_epoch: u64) -> bool {
        fence_epoch > self.epoch
    }
}

/// Whether a request's statements read or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StatementKind {
    /// Reads only.
    Read,
    /// At least one write.
    Write,
}

impl StatementKind {
    /// The name of the kind in policy programs.
    pub const fn as_str(self) -> &'static str {
        match self {
            StatementKind::Read => "read",
            StatementKind::Write => "write",
        }
    }
}

/// The attributes of a request that a policy program can use.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestAttributes {
    /// The database.
    pub database: DatabaseName,
    /// The database user of the client connection.
    pub user: String,
    /// Whether the request reads or writes.
    pub statement: StatementKind,
    /// The zone of the node that accepted the client connection.
    pub zone: String,
    /// The class that the client set for the request, or empty.
    pub class: String,
}

/// The freshness that a policy requires for the reads of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FreshnessDemand {
    /// Reads include the session's own writes and never go back in time.
    Session,
    /// Reads include everything up to the read index at the arrival of the request.
    Fresh,
    /// Reads are at most this many milliseconds behind the primary.
    Bounded(u32),
}

/// The decision of a policy on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The side on which the request runs; writes always run on the write side.
    pub side: Side,
    /// The freshness required for its reads.
    pub freshness: FreshnessDemand,
    /// Whether a replica may serve the request.
    pub replica_allowed: bool,
    /// The maximum time that the request waits before anything of it is sent to a server, in
    /// milliseconds.
    pub max_wait_ms: u32,
    /// The reason for refusing the request, or `None` if it is admitted.
    pub refusal: Option<String>,
}

/// The side that accepts the writes of a database under a policy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The database.
    pub database: DatabaseName,
    /// The side that accepts its writes.
    pub side: Side,
    /// The version of the policy that last changed the side; 0 if it never changed.
    pub epoch: u64,
}
