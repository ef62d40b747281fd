//! Store transactions whose conditions are valid only within one era of the store.

use std::sync::Arc;

use crate::context::{Context, STORE_SOURCE};
use crate::ports::{StoreError, TransactOutcome, Transaction};

/// Commits a transaction whose conditions were read in one era of the store.
///
/// # Errors
///
/// Those of the store call; [`StoreError::EraChanged`] if the transaction was committed in another
/// era. The same version may name other contents there, so a condition may have matched by
/// accident and the outcome is unknown.
pub async fn transact_in_era(
    context: &Context,
    transaction: Transaction,
) -> Result<TransactOutcome, StoreError> {
    let expected = transaction.conditions.first();
    let expected = expected.map(|condition| condition.version.era());
    let outcome = Arc::clone(&context.store).transact(transaction).await?;
    if let TransactOutcome::Committed(version) = &outcome {
        context.record_store_era(version.era(), STORE_SOURCE);
        if expected.is_some_and(|expected| expected != version.era()) {
            return Err(StoreError::EraChanged);
        }
    }
    Ok(outcome)
}
