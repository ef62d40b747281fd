//! How many random cases a state machine is played with, and from which seed.

use proptest::test_runner::{Config, RngSeed};

/// The seed where `PROOF_SEED` names none, so that each run draws the same cases.
const DEFAULT_SEED: u64 = 1;

fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// The cases that `PROOF_CASES` asks for, or so many.
pub fn cases(default: u64) -> u64 {
    env_number("PROOF_CASES", default)
}

/// So many cases from the seed.
pub fn config(cases: u64) -> Config {
    Config {
        cases: u32::try_from(cases).expect("few cases"),
        rng_seed: RngSeed::Fixed(env_number("PROOF_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}
