//! Where policies lie on the platform: the head row, the history rows and the documents.

use std::fmt;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use spurpier_core::policy::{
    HEAD_KEY, HISTORY_PREFIX, HeadRow, PolicyDocument, PolicyHead, history_key, object_name,
};

use crate::platform::wire::{Condition, Transaction, Write};
use crate::platform::{PlatformClient, PlatformError, TransactOutcome};

/// Why a policy could not be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyStoreError {
    /// The call to the platform failed.
    Platform(PlatformError),
    /// A row or object is not of the agreed form, or not what its digest says.
    Damaged,
    /// A document that a head names is missing.
    DocumentMissing,
}

impl fmt::Display for PolicyStoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PolicyStoreError::Platform(error) => error.fmt(formatter),
            PolicyStoreError::Damaged => {
                formatter.write_str("a policy on the platform is not of the agreed form")
            }
            PolicyStoreError::DocumentMissing => {
                formatter.write_str("the policy document is missing on the platform")
            }
        }
    }
}

impl std::error::Error for PolicyStoreError {}

type StoreResult<T> = Result<T, Report<PolicyStoreError>>;

/// Reads and writes policies on the platform.
#[derive(Debug, Clone)]
pub struct PolicyStore {
    client: PlatformClient,
}

impl PolicyStore {
    /// The policies on this platform.
    pub fn new(client: PlatformClient) -> Self {
        PolicyStore { client }
    }

    /// Reads the head row.
    ///
    /// # Errors
    ///
    /// See [`PolicyStoreError`].
    pub async fn read_head(&self) -> StoreResult<HeadRow> {
        let row = self.client.read_row(HEAD_KEY).await.map_err(in_store)?;
        let Some(row) = row else {
            return Ok(HeadRow::default());
        };
        Ok(HeadRow {
            row_version: row.version,
            head: Some(parse_head(&row.value)?),
        })
    }

    /// Reads the head of an accepted version; none when the version was not accepted.
    ///
    /// # Errors
    ///
    /// See [`PolicyStoreError`].
    pub async fn read_history(&self, version: u64) -> StoreResult<Option<PolicyHead>> {
        let key = history_key(version);
        let row = self.client.read_row(&key).await.map_err(in_store)?;
        row.map(|row| parse_head(&row.value)).transpose()
    }

    /// Reads the heads of all accepted versions, oldest first.
    ///
    /// # Errors
    ///
    /// See [`PolicyStoreError`].
    pub async fn list_history(&self) -> StoreResult<Vec<PolicyHead>> {
        let rows = self
            .client
            .list_rows(HISTORY_PREFIX)
            .await
            .map_err(in_store)?;
        rows.iter().map(|row| parse_head(&row.value)).collect()
    }

    /// Reads a document and holds it against its digest.
    ///
    /// # Errors
    ///
    /// See [`PolicyStoreError`].
    pub async fn read_document(&self, digest: &str) -> StoreResult<PolicyDocument> {
        let name = object_name(digest);
        let bytes = self.client.get_object(&name).await.map_err(in_store)?;
        let bytes = bytes.ok_or_else(|| Report::new(PolicyStoreError::DocumentMissing))?;
        PolicyDocument::decode(&bytes, digest).change_context(PolicyStoreError::Damaged)
    }

    /// Stores a document under its digest; may be repeated.
    ///
    /// # Errors
    ///
    /// See [`PolicyStoreError`].
    pub async fn store_document(&self, document: &PolicyDocument, digest: &str) -> StoreResult<()> {
        let bytes = Bytes::from(document.encode());
        let name = object_name(digest);
        self.client.put_object(&name, bytes).await.map_err(in_store)
    }

    /// Sends the transaction that accepts a head, once.
    ///
    /// # Errors
    ///
    /// See [`PolicyStoreError`]; [`PlatformError::effect_is_unknown`] says whether the head may
    /// have been accepted.
    pub async fn accept(
        &self,
        head_row_version: u64,
        head: &PolicyHead,
    ) -> StoreResult<TransactOutcome> {
        let history = history_key(head.version);
        let text = head.to_text();
        let transaction = Transaction {
            conditions: vec![
                condition(HEAD_KEY, head_row_version),
                condition(&history, 0),
            ],
            writes: vec![write(HEAD_KEY, &text), write(&history, &text)],
        };
        self.client.transact(transaction).await.map_err(in_store)
    }
}

fn condition(key: &str, version: u64) -> Condition {
    Condition {
        key: key.to_owned(),
        version,
    }
}

fn write(key: &str, value: &str) -> Write {
    Write {
        key: key.to_owned(),
        value: Some(value.to_owned()),
    }
}

fn parse_head(text: &str) -> StoreResult<PolicyHead> {
    PolicyHead::from_text(text).change_context(PolicyStoreError::Damaged)
}

/// Keeps the kind of the platform's failure visible to callers.
fn in_store(report: Report<PlatformError>) -> Report<PolicyStoreError> {
    let kind = *report.current_context();
    report.change_context(PolicyStoreError::Platform(kind))
}
