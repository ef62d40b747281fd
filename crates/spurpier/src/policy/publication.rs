//! Carries out the actions of a publication against the platform.

use std::time::Duration;

use error_stack::Report;
use spurpier_core::policy::{
    PlatformFailure, Publish, PublishAction, PublishEvent, PublishOutcome, PublishRequest,
    TransactAnswer,
};
use spurpier_core::retry::Backoff;

use super::store::{PolicyStore, PolicyStoreError};
use crate::platform::{PlatformError, TransactOutcome};

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Publishes a policy and gives the outcome; takes as long as the platform's calls do.
pub(super) async fn run(store: &PolicyStore, request: PublishRequest) -> PublishOutcome {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let (mut publish, mut action) = Publish::start(request);
    loop {
        let event = match action {
            PublishAction::Finish(outcome) => return outcome,
            PublishAction::ReadHead => PublishEvent::Head(readable(store.read_head().await)),
            PublishAction::ReadHistory { version } => {
                PublishEvent::History(readable(store.read_history(version).await))
            }
            PublishAction::ReadDocument { digest } => {
                PublishEvent::Document(readable(store.read_document(&digest).await))
            }
            PublishAction::StoreDocument { document, digest } => {
                PublishEvent::Stored(readable(store.store_document(&document, &digest).await))
            }
            PublishAction::Accept {
                head_row_version,
                head,
            } => {
                let answer = store.accept(head_row_version, &head).await;
                PublishEvent::Transacted(transact_answer(answer, &mut backoff).await)
            }
        };
        action = publish.step(event);
    }
}

fn readable<T>(answer: Result<T, Report<PolicyStoreError>>) -> Result<T, PlatformFailure> {
    answer.map_err(|report| PlatformFailure {
        why: report.current_context().to_string(),
    })
}

/// Tells what the answer means, and pauses before the next step if it is no answer.
async fn transact_answer(
    answer: Result<TransactOutcome, Report<PolicyStoreError>>,
    backoff: &mut Backoff,
) -> TransactAnswer {
    let error = match answer {
        Ok(TransactOutcome::Made(_)) => return TransactAnswer::Accepted,
        Ok(TransactOutcome::Conflict(_)) => return TransactAnswer::Conflict,
        Err(report) => *report.current_context(),
    };
    let mut pause = backoff.next_delay(rand::random());
    if let PolicyStoreError::Platform(PlatformError::RateLimited { retry_after }) = error {
        pause += retry_after;
    }
    tokio::time::sleep(pause).await;
    match error {
        PolicyStoreError::Platform(error) if !error.effect_is_unknown() => {
            TransactAnswer::NotApplied
        }
        _ => TransactAnswer::Unknown,
    }
}
