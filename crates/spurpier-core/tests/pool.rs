//! Connection counts of the pool: they never exceed the limit and always add up.

use proptest::prelude::*;
use spurpier_core::pool::{AcquireDecision, PoolState};
use spurpier_core::time::Timestamp;

#[derive(Debug, Clone)]
enum Step {
    Acquire,
    Preopen(usize),
    OpenFinished { succeeded: bool },
    Release,
    Close,
    CloseIdle,
    SetLimit(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Acquire),
        1 => (0_usize..10).prop_map(Step::Preopen),
        4 => any::<bool>().prop_map(|succeeded| Step::OpenFinished { succeeded }),
        3 => Just(Step::Release),
        1 => Just(Step::Close),
        1 => Just(Step::CloseIdle),
        1 => (1_usize..10).prop_map(Step::SetLimit),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #[test]
    fn connections_never_exceed_the_limit(limit in 1_usize..10, steps in steps()) {
        let mut pool = PoolState::new(limit);
        let mut highest_limit = limit;
        let mut in_use = 0_usize;
        // Whether each connection that is being opened is for a unit.
        let mut opening: Vec<bool> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now = Timestamp::from_millis(number as u64 * 50);
            let total = pool.total();
            match step {
                Step::Acquire => match pool.acquire(now) {
                    AcquireDecision::ReuseIdle => in_use += 1,
                    AcquireDecision::Open => opening.push(true),
                    AcquireDecision::Exhausted => prop_assert!(!pool.can_acquire(now)),
                },
                Step::Preopen(wanted) => {
                    let missing = pool.preopen(wanted, now);
                    opening.extend(std::iter::repeat_n(false, missing));
                }
                Step::OpenFinished { succeeded } => match (opening.pop(), succeeded) {
                    (Some(true), true) => {
                        pool.opened_in_use();
                        in_use += 1;
                    }
                    (Some(false), true) => pool.opened_idle(),
                    (Some(_), false) => pool.open_failed(now),
                    (None, _) => {}
                },
                Step::Release if in_use > 0 => {
                    in_use -= 1;
                    let kept = pool.release();
                    prop_assert_eq!(kept, total <= pool.limit());
                }
                Step::Close if in_use > 0 => {
                    in_use -= 1;
                    pool.closed_in_use();
                }
                Step::CloseIdle => pool.closed_idle(pool.idle()),
                Step::SetLimit(limit) => {
                    pool.set_limit(limit);
                    highest_limit = highest_limit.max(limit);
                }
                Step::Release | Step::Close => {}
            }
            prop_assert!(pool.total() <= highest_limit);
            // No connection is added above a lowered limit.
            prop_assert!(pool.total() <= total.max(pool.limit()));
            prop_assert_eq!(pool.in_use(), in_use);
            prop_assert_eq!(pool.total(), in_use + opening.len() + pool.idle());
        }
    }
}
