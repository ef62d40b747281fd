//! The inputs and outputs of the state machine [`Publish`](super::Publish).

use super::{Finding, PolicyDocument, PolicyHead};
use crate::identity::DatabaseName;

/// An operator's request to publish a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishRequest {
    /// The unique identifier of this publication.
    pub publish_id: String,
    /// The text of the program.
    pub program: String,
    /// The accepted version that the operator expects; 0 if no policy was accepted yet.
    pub expect_version: u64,
    /// The databases that the policy must place.
    pub databases: Vec<DatabaseName>,
}

/// The head row read from the table service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeadRow {
    /// The version of the row; 0 if the row does not exist.
    pub row_version: u64,
    /// The head that the row holds, or `None` if the row does not exist.
    pub head: Option<PolicyHead>,
}

/// A read or an idempotent write that failed after all retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformFailure {
    /// The cause, reported to the operator.
    pub why: String,
}

/// The outcome of the transaction that accepts a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactAnswer {
    /// It was applied.
    Accepted,
    /// A condition did not hold, so nothing was applied.
    Conflict,
    /// It was definitely not applied and can be retried.
    NotApplied,
    /// It may have been applied, or may still be applied later.
    Unknown,
}

/// The next operation that the caller performs; each results in one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the head row; results in [`PublishEvent::Head`].
    ReadHead,
    /// Read the history row of a version; results in [`PublishEvent::History`].
    ReadHistory {
        /// The version.
        version: u64,
    },
    /// Read a document by its digest; results in [`PublishEvent::Document`].
    ReadDocument {
        /// The digest.
        digest: String,
    },
    /// Store a document under its digest; results in [`PublishEvent::Stored`].
    StoreDocument {
        /// The document.
        document: PolicyDocument,
        /// Its digest.
        digest: String,
    },
    /// In one transaction, replace the head row if it has this row version and create the
    /// history row if it does not exist; results in [`PublishEvent::Transacted`].
    Accept {
        /// The version that the head row must have; 0 requires that the row does not exist.
        head_row_version: u64,
        /// The new head.
        head: PolicyHead,
    },
    /// The publication has ended with this outcome.
    Finish(PublishOutcome),
}

/// The result of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishEvent {
    /// The head row was read.
    Head(Result<HeadRow, PlatformFailure>),
    /// The history row was read; `None` if it does not exist.
    History(Result<Option<PolicyHead>, PlatformFailure>),
    /// The document was read.
    Document(Result<PolicyDocument, PlatformFailure>),
    /// The document was stored.
    Stored(Result<(), PlatformFailure>),
    /// The transaction ended or its answer was lost.
    Transacted(TransactAnswer),
}

/// The outcome of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The program was accepted as the version after the expected one.
    Accepted {
        /// The head of the version.
        head: PolicyHead,
        /// The document of the version.
        document: PolicyDocument,
        /// Whether it was accepted by an earlier publication of the same program.
        repeated: bool,
    },
    /// Nothing was published: the expected version is not the accepted one.
    Lost(PublishConflict),
    /// Nothing was published: the program is invalid.
    Invalid(Vec<Finding>),
    /// Nothing was published, because the platform failed.
    NotAccepted {
        /// The cause.
        why: String,
    },
    /// It is unknown whether the policy was accepted.
    ///
    /// Publishing the same program again with the same expected version resolves this.
    Unknown {
        /// The cause.
        why: String,
    },
}

/// Why the expected version is not the accepted one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishConflict {
    /// Another publication was accepted as the version after the expected one.
    Winner(PolicyHead),
    /// The accepted version is older than the expected one.
    NotReached {
        /// The accepted version; 0 if there is none.
        current: u64,
    },
}
