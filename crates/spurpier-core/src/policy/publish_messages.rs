//! What the machine of a publication takes in and gives out.

use super::{Finding, PolicyDocument, PolicyHead};
use crate::identity::DatabaseName;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishRequest {
    /// Names this publication; unique among all.
    pub publish_id: String,
    /// The program's text.
    pub program: String,
    /// The version that the operator takes to be in force; 0 before the first.
    pub expect_version: u64,
    /// The databases that the policy places.
    pub databases: Vec<DatabaseName>,
}

/// The head row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeadRow {
    /// The version of the row; 0 when there is none.
    pub row_version: u64,
    /// What it holds; none when there is no row.
    pub head: Option<PolicyHead>,
}

/// A read or an idempotent write failed for good, retries included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformFailure {
    /// Why, for the operator.
    pub why: String,
}

/// What the platform answered to the acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactAnswer {
    /// It was made.
    Accepted,
    /// A condition did not hold; nothing was made.
    Conflict,
    /// It was certainly not made and may be tried again.
    NotApplied,
    /// It may have been made, and may yet be.
    Unknown,
}

/// What the caller does next; each action is answered by one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the head row; answered by [`PublishEvent::Head`].
    ReadHead,
    /// Read the history row of a version; answered by [`PublishEvent::History`].
    ReadHistory {
        /// The version.
        version: u64,
    },
    /// Read a document by its digest; answered by [`PublishEvent::Document`].
    ReadDocument {
        /// The digest.
        digest: String,
    },
    /// Store a document under its digest; answered by [`PublishEvent::Stored`].
    StoreDocument {
        /// The document.
        document: PolicyDocument,
        /// Its digest.
        digest: String,
    },
    /// In one transaction, replace the head row if it has this row version and create the
    /// history row if it is absent; answered by [`PublishEvent::Transacted`].
    Accept {
        /// The row version that the head must have; 0 means absent.
        head_row_version: u64,
        /// The new head.
        head: PolicyHead,
    },
    /// Stop: the publication has ended.
    Finish(PublishOutcome),
}

/// What an action led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishEvent {
    /// The head row was read.
    Head(Result<HeadRow, PlatformFailure>),
    /// A history row was read; none when it is absent.
    History(Result<Option<PolicyHead>, PlatformFailure>),
    /// A document was read.
    Document(Result<PolicyDocument, PlatformFailure>),
    /// The document was stored.
    Stored(Result<(), PlatformFailure>),
    /// The acceptance was answered.
    Transacted(TransactAnswer),
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The program is the accepted policy of this version.
    Accepted {
        /// The head of the version.
        head: PolicyHead,
        /// The document of the version.
        document: PolicyDocument,
        /// Whether an earlier publication of the same program did it.
        repeated: bool,
    },
    /// Nothing was published: another publication holds the version.
    Lost(PublishConflict),
    /// Nothing was published: the program has faults.
    Invalid(Vec<Finding>),
    /// Nothing was published, for a reason of the platform.
    NotAccepted {
        /// Why.
        why: String,
    },
    /// It is not known whether the policy was accepted; publishing again with the same program
    /// and expectation finds out.
    Unknown {
        /// Why.
        why: String,
    },
}

/// Why the expected version was not the one in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishConflict {
    /// Another publication won the version after the expected one.
    Winner(PolicyHead),
    /// The expected version has not been reached.
    NotReached {
        /// The version in force.
        current: u64,
    },
}
