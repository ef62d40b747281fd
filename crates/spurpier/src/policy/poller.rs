//! Reading the policy head from the platform at a steady rate.

use std::time::Duration;

use spurpier_core::retry::jittered;
use tokio::sync::watch;

use super::holder::PolicyHandle;
use super::store::PolicyStore;
use crate::events::policy::POLICY_HEAD_UNREADABLE;
use crate::log_event;

/// How many failures in a row are logged as one: the first, and then each of this number.
const FAILURES_PER_LOG: u64 = 60;

/// Reads the head each `period`, while `watching` and until a policy is known.
///
/// Ends with the holder, or when `watching` is dropped and a policy is known.
pub(super) async fn poll_head(
    store: PolicyStore,
    period: Duration,
    mut watching: watch::Receiver<bool>,
    handle: PolicyHandle,
) {
    let mut failures = 0;
    while handle.is_alive() {
        let knows_policy = handle.published().is_some();
        if knows_policy && watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        match store.read_head().await {
            Ok(row) => {
                failures = 0;
                if let Some(head) = row.head {
                    handle.announce(head).await;
                }
            }
            Err(report) => {
                if failures % FAILURES_PER_LOG == 0 {
                    log_event!(
                        POLICY_HEAD_UNREADABLE,
                        error = report.current_context(),
                        failures = failures
                    );
                }
                failures += 1;
            }
        }
        tokio::time::sleep(jittered(period, rand::random())).await;
    }
}
