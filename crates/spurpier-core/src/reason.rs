//! The numbered reasons for which spurpier itself refuses or fails a request.
//!
//! A test compares this catalogue with the table in `docs/EVENTS.md`.

use nanoserde::{DeBin, SerBin};

use crate::wire::{decode_text, encode_text};

/// The known outcome of a request that spurpier answers with an error of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OutcomeClass {
    /// The request ran and is confirmed; only its answer is missing.
    Done,
    /// The request had no effect and never will have.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

macro_rules! reasons {
    ($($(#[$documentation:meta])* $variant:ident = $code:literal, $sqlstate:literal, $class:ident, $text:literal;)+) => {
        /// Why spurpier refused or failed a request.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Reason {
            $($(#[$documentation])* $variant,)+
        }

        impl Reason {
            /// All reasons, in the order of their codes.
            pub const ALL: &'static [Reason] = &[$(Reason::$variant),+];

            /// The code in the error's DETAIL and in the catalogue, such as `SP1001`.
            pub const fn code(self) -> &'static str {
                match self { $(Reason::$variant => $code,)+ }
            }

            /// The five-character SQLSTATE of the error.
            pub const fn sqlstate(self) -> &'static str {
                match self { $(Reason::$variant => $sqlstate,)+ }
            }

            /// The outcome that the caller may conclude from the error.
            pub const fn class(self) -> OutcomeClass {
                match self { $(Reason::$variant => OutcomeClass::$class,)+ }
            }

            /// The error's message.
            pub const fn text(self) -> &'static str {
                match self { $(Reason::$variant => $text,)+ }
            }
        }
    };
}

reasons! {
    /// The database's queue is full, or the wait would exceed the request's timeout.
    Overloaded = "SP1001", "53300", NotRun, "the database has no free slot in time";
    /// The group had no primary until the request timed out.
    NoPrimary = "SP1002", "57P03", NotRun, "the database group has no primary now";
    /// No server reached the lowest position that the session may read before the timeout.
    NoServerCaughtUp = "SP1003", "57P03", NotRun, "no server shows the session's writes yet";
    /// Too few servers answer to determine what is confirmed.
    NoMajority = "SP1004", "57P03", NotRun, "a majority of the database group cannot be reached";
    /// The policy refuses the request.
    RefusedByPolicy = "SP1005", "42501", NotRun, "the policy in force refuses the request";
    /// The node has not received a policy yet.
    NoPolicy = "SP1006", "57P03", NotRun, "this node does not know the policy in force yet";
    /// The group's fence rejected the epoch: the database has moved or is moving to its other side.
    Fenced = "SP1007", "57P03", NotRun, "the database is moving to its other side";
    /// The node or the database is stopping.
    Draining = "SP1008", "57P01", NotRun, "this node is stopping";
    /// The database is not configured in the settings.
    UnknownDatabase = "SP1009", "3D000", NotRun, "the database is not configured";
    /// The connection to the server could not be opened, or broke before anything was sent.
    BackEndUnreachable = "SP1010", "08001", NotRun, "the database server cannot be reached";
    /// The retry budget is exhausted.
    RetryBudgetSpent = "SP1011", "53300", NotRun, "too many requests are being retried";
    /// No node that holds connections for the database can be reached.
    HomeUnreachable = "SP1012", "08001", NotRun, "no home node of the database can be reached";
    /// The node has reached its limit of client connections.
    TooManyClients = "SP1013", "53300", NotRun, "the node has no room for another connection";
    /// The connection of an open transaction broke; the transaction was not committed.
    TransactionLost = "SP1014", "40001", NotRun, "the transaction's connection was lost before its commit";
    /// A read was interrupted; it had no effect and can be retried.
    ReadInterrupted = "SP1015", "40001", NotRun, "the read was interrupted";
    /// The primary that ran the write was replaced, and the write is not in the surviving log.
    LostWithDeposedPrimary = "SP1016", "40001", NotRun, "the write was lost with a replaced primary";
    /// The client cancelled the statement before it was sent.
    Cancelled = "SP1017", "57014", NotRun, "the statement was cancelled before it was sent";
    /// The proxy does not support COPY, replication and similar statements.
    Unsupported = "SP1018", "0A000", NotRun, "the statement is not supported through the proxy";
    /// The statement or message exceeds the size limit.
    TooLarge = "SP1019", "54000", NotRun, "the statement is larger than the limit";
    /// The received bytes are not a valid protocol message.
    ProtocolViolation = "SP1020", "08P01", NotRun, "the message violates the protocol";
    /// The request key was used before with another statement.
    KeyReused = "SP1021", "22023", NotRun, "the request key was used with another statement";
    /// The outcome of a commit could not be determined.
    CommitUnknown = "SP2001", "08007", Unknown, "it is not known whether the transaction committed";
    /// A connection broke while a write without a request key was outstanding.
    ConnectionLost = "SP2002", "08007", Unknown, "the connection broke with the write outstanding";
    /// An earlier copy of the transaction, with the same request key, has already been committed.
    AlreadyDone = "SP3001", "SP001", Done, "the request key has already been committed";
    /// The write was done, but its answer was too large to be recorded and repeated.
    AnswerNotRecorded = "SP3002", "SP002", Done, "the request was done, its answer was not kept";
}

impl SerBin for Reason {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        encode_text(self.code(), output);
    }
}

impl DeBin for Reason {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, nanoserde::DeBinErr> {
        let start = *offset;
        let code = decode_text(offset, bytes)?;
        let found = Reason::ALL
            .iter()
            .copied()
            .find(|reason| reason.code() == code);
        found.ok_or_else(|| nanoserde::DeBinErr::new(start, code.len(), bytes.len()))
    }
}
