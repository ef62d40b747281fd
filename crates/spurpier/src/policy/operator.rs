//! What operators do with policies: check, publish, show and list them.
//!
//! Each function returns its whole result; the command line prints it. The exit code is 0 when
//! the thing was done and 1 when it was not, or when that is not known.

use std::fmt;

use error_stack::Report;
use spurpier_core::identity::DatabaseName;
use spurpier_core::policy::{
    Finding, PolicyDocument, PolicyHead, PublishConflict, PublishOutcome, PublishRequest,
};

use super::publication;
use super::store::{PolicyStore, PolicyStoreError};
use crate::platform::PlatformClient;

/// A policy that was published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishReport {
    /// Its head.
    pub head: PolicyHead,
    /// Its document, with the placements that follow from the program.
    pub document: PolicyDocument,
    /// Whether an earlier publication of the same program and expectation had done it already.
    pub repeated: bool,
}

/// Why a publication cannot be called done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishError {
    /// The program has faults; nothing was published.
    Invalid(Vec<Finding>),
    /// Another policy won the version; nothing was published.
    Lost {
        /// The head of the policy that won.
        winner: PolicyHead,
    },
    /// The expected version has not been reached; nothing was published.
    NotReached {
        /// The version that was expected.
        expected: u64,
        /// The version in force.
        current: u64,
    },
    /// The platform did not take it; nothing was published.
    NotAccepted {
        /// Why.
        why: String,
    },
    /// It is not known whether it was published; publish again with the same program and
    /// expectation to find out.
    Unknown {
        /// Why.
        why: String,
    },
}

impl fmt::Display for PublishError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Invalid(findings) => {
                write!(
                    formatter,
                    "not published: the program has {} faults",
                    findings.len()
                )?;
                findings
                    .iter()
                    .try_for_each(|finding| write!(formatter, "\n  {finding}"))
            }
            PublishError::Lost { winner } => write!(
                formatter,
                "not published: version {} was won by publication {} (digest {})",
                winner.version, winner.publish_id, winner.digest
            ),
            PublishError::NotReached { expected, current } => write!(
                formatter,
                "not published: version {expected} was expected, but version {current} is in force"
            ),
            PublishError::NotAccepted { why } => write!(formatter, "not published: {why}"),
            PublishError::Unknown { why } => write!(
                formatter,
                "not known whether it was published ({why}); publish the same program with the \
                 same expected version again to find out"
            ),
        }
    }
}

impl std::error::Error for PublishError {}

/// A policy as it lies on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShownPolicy {
    /// Its head.
    pub head: PolicyHead,
    /// Its document.
    pub document: PolicyDocument,
}

/// Checks a program without publishing it; gives all faults found, none for a sound program.
pub fn check(program_text: &str, databases: &[DatabaseName]) -> Vec<Finding> {
    spurpier_core::policy::check(program_text, databases)
}

/// Publishes a program as the version after `expect_version`.
///
/// A publication whose answer was lost may be repeated with the same arguments: it is then
/// reported as done and `repeated`, and not published twice.
///
/// # Errors
///
/// See [`PublishError`]; only [`PublishError::Unknown`] leaves open whether it was published.
pub async fn publish(
    client: &PlatformClient,
    program_text: &str,
    expect_version: u64,
    databases: &[DatabaseName],
) -> Result<PublishReport, Report<PublishError>> {
    let request = PublishRequest {
        publish_id: format!("{:032x}", rand::random::<u128>()),
        program: program_text.to_owned(),
        expect_version,
        databases: databases.to_vec(),
    };
    let store = PolicyStore::new(client.clone());
    let error = match publication::run(&store, request).await {
        PublishOutcome::Accepted {
            head,
            document,
            repeated,
        } => {
            return Ok(PublishReport {
                head,
                document,
                repeated,
            });
        }
        PublishOutcome::Lost(PublishConflict::Winner(winner)) => PublishError::Lost { winner },
        PublishOutcome::Lost(PublishConflict::NotReached { current }) => PublishError::NotReached {
            expected: expect_version,
            current,
        },
        PublishOutcome::Invalid(findings) => PublishError::Invalid(findings),
        PublishOutcome::NotAccepted { why } => PublishError::NotAccepted { why },
        PublishOutcome::Unknown { why } => PublishError::Unknown { why },
    };
    Err(Report::new(error))
}

/// Reads an accepted policy, the one in force if no version is given; none when there is none.
///
/// # Errors
///
/// See [`PolicyStoreError`].
pub async fn show(
    client: &PlatformClient,
    version: Option<u64>,
) -> Result<Option<ShownPolicy>, Report<PolicyStoreError>> {
    let store = PolicyStore::new(client.clone());
    let head = match version {
        Some(version) => store.read_history(version).await?,
        None => store.read_head().await?.head,
    };
    let Some(head) = head else {
        return Ok(None);
    };
    let document = store.read_document(&head.digest).await?;
    Ok(Some(ShownPolicy { head, document }))
}

/// Reads the heads of all accepted policies, oldest first.
///
/// # Errors
///
/// See [`PolicyStoreError`].
pub async fn history(client: &PlatformClient) -> Result<Vec<PolicyHead>, Report<PolicyStoreError>> {
    PolicyStore::new(client.clone()).list_history().await
}
