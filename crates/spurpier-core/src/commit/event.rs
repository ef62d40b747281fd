//! Inputs, actions and outcomes of the commit state machine.

use crate::group::GroupView;
use crate::position::Position;
use crate::reason::Reason;

/// How a write is sent, which determines how it recovers from a lost connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteKind {
    /// One batch without a request key: at most one attempt.
    Unkeyed,
    /// One batch with a request key: retried until its outcome is known or the deadline passes.
    Keyed,
    /// A transaction driven by the client, without a request key.
    Transaction,
    /// A transaction driven by the client, with a request key. It cannot be rerun, but its outcome
    /// can be looked up by the key.
    KeyedTransaction,
}

impl WriteKind {
    /// Whether the proxy has the whole write and can rerun it without the client.
    pub(super) const fn can_rerun(self) -> bool {
        matches!(self, WriteKind::Unkeyed | WriteKind::Keyed)
    }

    /// Whether the write carries a request key.
    pub(super) const fn is_keyed(self) -> bool {
        matches!(self, WriteKind::Keyed | WriteKind::KeyedTransaction)
    }
}

/// An input of the commit state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitEvent<'a> {
    /// The first byte of the current attempt was sent.
    Started,
    /// The COMMIT of the current attempt was sent.
    CommitSent,
    /// The back end committed the attempt at this position.
    Committed {
        /// The transaction's position in the log of the server that executed it.
        position: Position,
    },
    /// The attempt succeeded on the primary without writing a log record.
    CommittedWithoutWrite {
        /// The server's received position, queried after the commit.
        position: Position,
    },
    /// A statement of the attempt failed, and the attempt was rolled back.
    RolledBack {
        /// The server's received position, queried after the rollback; `None` if not queried.
        position: Option<Position>,
    },
    /// The back end reported that it did not execute the attempt, because it is a replica or is
    /// shutting down.
    Rejected {
        /// The reason to return if no other server accepts the write before the deadline.
        reason: Reason,
    },
    /// The fence rejected the attempt's epoch, so the attempt did not run.
    Fenced,
    /// The connection was lost or could not be opened.
    ConnectionLost,
    /// The server has a committed row for the request key.
    RecordFound {
        /// The server's received position, queried after the row was read and in the same term.
        position: Position,
        /// Whether the row was written by the same statement.
        same_statement: bool,
    },
    /// [`CommitAction::Settle`] could insert the key, so no earlier copy committed in this log.
    KeyAbsent {
        /// The position of the transaction that inserted and deleted the key.
        position: Position,
    },
    /// A newer view of the group.
    View(&'a GroupView),
    /// The deadline may have passed.
    Tick,
}

/// The next step that the caller must execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitAction {
    /// Run the write from its start on the current primary; wait for a primary if there is none.
    Attempt,
    /// Determine on the current primary whether the request key was committed, by inserting and
    /// deleting the key in one transaction. Error 23505 (unique violation) means that it was.
    Settle,
    /// Probe the group now and report the views that follow.
    Probe,
    /// Wait for the next event; report `Tick` at [`super::CommitMachine::deadline`].
    Wait,
    /// Stop: the outcome is final.
    Finish(CommitOutcome),
}

/// The final outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The write is committed and confirmed; the attempt's own answer may be returned.
    Done {
        /// The write's position, or a later confirmed position.
        position: Position,
    },
    /// An earlier copy is committed and confirmed; its recorded answer may be returned.
    Recorded {
        /// A confirmed position at or past the earlier copy.
        position: Position,
    },
    /// A statement of the write failed and the write has no effect; the back end's error may be
    /// returned.
    RolledBack,
    /// The write has no effect and never will have one.
    NotRun(Reason),
    /// It cannot be determined whether the write took effect.
    Unknown(Reason),
}
