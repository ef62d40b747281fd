//! What happens to a write, what to do about it, and how it ends.

use crate::group::GroupView;
use crate::position::Position;
use crate::reason::Reason;

/// How a write is sent, which decides how a lost connection can be resolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteKind {
    /// One batch without a request key: at most one attempt.
    Unkeyed,
    /// One batch with a request key: attempted again until its outcome is known.
    Keyed,
    /// A transaction that the client drives, without a request key.
    Transaction,
    /// A transaction that the client drives, with a request key; its outcome can be settled.
    KeyedTransaction,
}

impl WriteKind {
    /// Whether the home itself can run the whole write again.
    pub(super) const fn can_rerun(self) -> bool {
        matches!(self, WriteKind::Unkeyed | WriteKind::Keyed)
    }

    /// Whether the write carries a request key.
    pub(super) const fn is_keyed(self) -> bool {
        matches!(self, WriteKind::Keyed | WriteKind::KeyedTransaction)
    }
}

/// What has happened to a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitEvent<'a> {
    /// The first byte of the present attempt has left.
    Started,
    /// The COMMIT of the present attempt has left.
    CommitSent,
    /// The back end committed the attempt at this position.
    Committed {
        /// Where the transaction stands in the log of the server that ran it.
        position: Position,
    },
    /// The attempt succeeded on the primary without writing a record.
    CommittedWithoutWrite {
        /// The server's received position, asked behind the commit.
        position: Position,
    },
    /// The attempt failed by a statement of its own and was rolled back.
    RolledBack {
        /// The server's received position, asked behind the rollback; none when not asked.
        position: Option<Position>,
    },
    /// The back end said that it did not run the attempt: a replica, or a server that stops.
    Rejected {
        /// What to tell the caller if no other server takes it in time.
        reason: Reason,
    },
    /// The fence refused the epoch, so the attempt did not run.
    Fenced,
    /// The connection broke, or could not be opened.
    ConnectionLost,
    /// The request key has a committed row on the server of the attempt.
    RecordFound {
        /// The server's received position, asked behind the row in the same term.
        position: Position,
        /// Whether the row was written by the same statement.
        same_statement: bool,
    },
    /// [`CommitAction::Settle`] inserted the key itself: no earlier copy committed in this log.
    KeyAbsent {
        /// The position of the settling transaction.
        position: Position,
    },
    /// A newer view of the group.
    View(&'a GroupView),
    /// Time has passed.
    Tick,
}

/// What the caller must do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitAction {
    /// Run the write from its start on the present primary; wait for one if there is none.
    Attempt,
    /// Find out on the present primary whether the request key was committed, by inserting and
    /// deleting it in one transaction; an error 23505 means that it was.
    Settle,
    /// Probe the group now and report the views that follow.
    Probe,
    /// Nothing until the next event; report `Tick` at [`super::CommitMachine::deadline`].
    Wait,
    /// The end.
    Finish(CommitOutcome),
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It is committed and confirmed, and the attempt's own answer may be given.
    Done {
        /// Where it stands, or a later confirmed position.
        position: Position,
    },
    /// An earlier copy is committed and confirmed; its recorded answer may be given.
    Recorded {
        /// A confirmed position at or past the earlier copy.
        position: Position,
    },
    /// A statement of its own failed and the back end's error may be given; it has no effect.
    RolledBack,
    /// It has no effect and never will have.
    NotRun(Reason),
    /// Whether it has taken effect cannot be told.
    Unknown(Reason),
}
