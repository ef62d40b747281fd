//! The row of the duty in the store: reading it, and taking a new token.

use std::time::Duration;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use spurpier_core::lead::DutyRow;
use spurpier_events::log_event;
use tokio::time::timeout;

use crate::context::Context;
use crate::events;
use crate::ports::{FencingToken, Table, TransactOutcome, Transaction, Write};

/// The key of the row.
const KEY: &str = "promotion";
/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// The row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownDuty {
    /// The row; none if there is none.
    pub row: Option<DutyRow>,
    /// Its version; 0 if there is none.
    pub version: u64,
}

/// Reads the row; none if the store does not answer.
pub async fn read_duty(context: &Context) -> Option<KnownDuty> {
    let read = timeout(CALL_LIMIT, context.store.read(Table::Duty)).await;
    let Ok(Ok(read)) = read else {
        context.note_store_failure();
        return None;
    };
    context.note_store_answer();
    let Some(row) = read.rows.into_iter().find(|row| row.key == KEY) else {
        return Some(KnownDuty::default());
    };
    Some(KnownDuty {
        row: DutyRow::deserialize_bin(&row.value).ok(),
        version: row.version,
    })
}

/// Takes the next token, if the row has not changed since it was read.
///
/// None if it has, or if the store does not tell; the row is then to be read again, since a call
/// without an answer may be carried out later.
pub async fn take_token(context: &Context, known: &KnownDuty) -> Option<FencingToken> {
    let next = DutyRow::next(known.row.as_ref(), &context.settings.node.name);
    let call = context.store.transact(Transaction {
        table: Table::Duty,
        conditions: vec![(KEY.to_owned(), known.version)],
        writes: vec![Write::Put {
            key: KEY.to_owned(),
            value: Bytes::from(next.serialize_bin()),
        }],
    });
    match timeout(CALL_LIMIT, call).await {
        Ok(Ok(TransactOutcome::Made(_))) => {
            log_event!(events::DUTY_TAKEN, token = next.token);
            Some(FencingToken(next.token))
        }
        _ => {
            log_event!(events::DUTY_REFUSED, token = next.token);
            None
        }
    }
}
