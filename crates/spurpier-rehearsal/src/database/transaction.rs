//! The state of a session's transaction.

use pgwire::messages::response::TransactionStatus;
use tokio::sync::OwnedMutexGuard;

use super::record::LoggedStatement;

/// The transaction block that a session is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Block {
    /// None.
    #[default]
    None,
    /// The block around a message or the messages up to a Sync.
    Implicit,
    /// A block opened by the client.
    Explicit,
    /// A block opened by the client in which a statement has failed.
    Failed,
}

/// What a transaction that may write holds.
#[derive(Debug)]
pub(crate) struct WriteTransaction {
    /// The right to write, held until the transaction ends.
    pub _writer: OwnedMutexGuard<()>,
    /// The term in which the transaction began; it can only commit in it.
    pub term: u64,
    /// The write statements so far.
    pub statements: Vec<LoggedStatement>,
}

/// The transaction of a session.
#[derive(Debug, Default)]
pub(crate) struct Transaction {
    /// The block.
    pub block: Block,
    /// Whether the transaction takes no writes.
    pub read_only: bool,
    /// Whether a transaction is open on the tables.
    pub open: bool,
    /// What it holds if it may write.
    pub write: Option<WriteTransaction>,
}

impl Transaction {
    /// The state as told to the client.
    pub(crate) fn status(&self) -> TransactionStatus {
        match self.block {
            Block::None | Block::Implicit => TransactionStatus::Idle,
            Block::Explicit => TransactionStatus::Transaction,
            Block::Failed => TransactionStatus::Error,
        }
    }

    /// Whether the session is between transactions.
    pub(crate) fn is_idle(&self) -> bool {
        self.block == Block::None
    }
}
