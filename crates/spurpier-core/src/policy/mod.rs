//! Policies: which side, which freshness, which patience, or a refusal, for each request.
//!
//! A [`PolicyProgram`] is the compiled text that an operator wrote. A [`PolicyDocument`] is what
//! is published: a version, the text and the placements. [`PolicyInForce`] is a document made
//! ready to decide. [`Publish`] is the way by which a program becomes the accepted policy.

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
    /// Whether a fence at this epoch shows that a newer policy has moved the database.
    ///
    /// The fence, read with a read that covers the read index, keeps a node that has not heard
    /// of the move from serving reads on the side that was left.
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
    /// The kind's name in policy programs.
    pub const fn as_str(self) -> &'static str {
        match self {
            StatementKind::Read => "read",
            StatementKind::Write => "write",
        }
    }
}

/// What a policy may know of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestAttributes {
    /// The database.
    pub database: DatabaseName,
    /// The user of the client connection.
    pub user: String,
    /// Whether it reads or writes.
    pub statement: StatementKind,
    /// The zone of the ingress node.
    pub zone: String,
    /// The class that the client gave, empty without one.
    pub class: String,
}

/// How fresh the policy wants a request's reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FreshnessDemand {
    /// The session's own writes, never back in time.
    Session,
    /// At or past the read index at the request's arrival.
    Fresh,
    /// At most so many milliseconds behind the primary.
    Bounded(u32),
}

/// What the policy decides of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The side on which it runs; writes always run on the write side.
    pub side: Side,
    /// How fresh its reads must be.
    pub freshness: FreshnessDemand,
    /// Whether a replica may serve it.
    pub replica_allowed: bool,
    /// How long it may wait before anything of it is sent, in milliseconds.
    pub max_wait_ms: u32,
    /// The reason for refusing it; none admits it.
    pub refusal: Option<String>,
}

/// Where a database's writes go under a policy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The database.
    pub database: DatabaseName,
    /// The side that takes its writes.
    pub side: Side,
    /// The version of the policy that last changed the side; 0 before any change.
    pub epoch: u64,
}
