//! Transactions that hold only within one era of the store.

use std::sync::Arc;

use crate::context::{Context, STORE_SOURCE};
use crate::ports::{StoreError, TransactOutcome, Transaction};

/// Makes a transaction whose conditions were seen in one era of the store.
///
/// # Errors
///
/// Those of the call; [`StoreError::EraChanged`] if it was made in another era, in which a condition
/// may have held of other contents: what has become of it is not known.
pub async fn transact_in_era(
    context: &Context,
    transaction: Transaction,
) -> Result<TransactOutcome, StoreError> {
    let expected = transaction.conditions.first();
    let expected = expected.map(|condition| condition.version.era());
    let outcome = Arc::clone(&context.store).transact(transaction).await?;
    if let TransactOutcome::Made(version) = &outcome {
        context.record_store_era(version.era(), STORE_SOURCE);
        if expected.is_some_and(|expected| expected != version.era()) {
            return Err(StoreError::EraChanged);
        }
    }
    Ok(outcome)
}
