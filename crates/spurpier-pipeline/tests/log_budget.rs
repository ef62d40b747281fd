//! Limits on the log lines written for individual requests.

use spurpier_core::time::Timestamp;
use spurpier_pipeline::events;
use spurpier_pipeline::log_budget::LogBudget;

#[test]
fn suppressed_lines_are_counted_and_reported() {
    let budget = LogBudget::default();
    let at = Timestamp::from_millis;
    let written = (0..200)
        .filter(|_| budget.take(events::REQUEST_NOT_RUN, at(10)).is_some())
        .count();
    assert_eq!(written, 50);
    assert_eq!(
        budget.take(events::REQUEST_RETRIED, at(20)),
        Some(0),
        "each event has its own"
    );
    assert_eq!(budget.take(events::REQUEST_NOT_RUN, at(1_010)), Some(150));
    assert_eq!(budget.take(events::REQUEST_NOT_RUN, at(1_020)), Some(0));
}
