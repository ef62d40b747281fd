//! Retry budgets and backoff delays.

use std::time::Duration;

use proptest::prelude::*;
use spurpier_core::retry::{Backoff, RetryBudget, RetryBudgetSettings, jittered};
use spurpier_core::time::Timestamp;

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    percent: 10,
    per_second: 2,
    burst: 5,
};

#[test]
fn an_exhausted_budget_refuses_until_it_refills() {
    let mut budget = RetryBudget::new(SETTINGS, Timestamp::ZERO);
    for _ in 0..SETTINGS.burst {
        assert!(budget.try_retry(Timestamp::ZERO));
    }
    assert!(!budget.try_retry(Timestamp::ZERO));
    for _ in 0..9 {
        budget.record_attempt();
    }
    assert!(!budget.try_retry(Timestamp::ZERO));
    budget.record_attempt();
    assert!(budget.try_retry(Timestamp::ZERO));
    assert!(!budget.try_retry(Timestamp::from_millis(499)));
    assert!(budget.try_retry(Timestamp::from_millis(510)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_stay_within_the_budget(steps in prop::collection::vec((any::<bool>(), 0..20_u64), 1..500)) {
        let mut budget = RetryBudget::new(SETTINGS, Timestamp::ZERO);
        let (mut now, mut attempts, mut retries) = (0, 0_u64, 0_u64);
        for (is_retry, elapsed_ms) in steps {
            now += elapsed_ms;
            if is_retry {
                retries += u64::from(budget.try_retry(Timestamp::from_millis(now)));
            } else {
                attempts += 1;
                budget.record_attempt();
            }
            let earned = attempts * 10 + now * 2 / 10;
            prop_assert!(retries * 100 <= 500 + earned);
        }
    }

    #[test]
    fn delays_grow_to_the_maximum(randoms in prop::collection::vec(any::<u32>(), 1..80)) {
        let maximum = Duration::from_secs(2);
        let mut backoff = Backoff::new(Duration::from_millis(20), maximum);
        for (failures, random) in randoms.iter().enumerate() {
            let delay = backoff.next_delay(*random);
            let upper_bound = Duration::from_millis(20).saturating_mul(1 << failures.min(20)).min(maximum);
            prop_assert!(delay >= upper_bound / 2 && delay <= upper_bound);
        }
        backoff.reset();
        prop_assert!(backoff.next_delay(u32::MAX) <= Duration::from_millis(20));
        prop_assert_eq!(jittered(maximum, u32::MAX), maximum);
    }
}
