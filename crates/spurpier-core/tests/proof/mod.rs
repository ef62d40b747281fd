//! Configuration of the property tests: the number of cases and the seed.

use proptest::test_runner::{Config, RngSeed};

/// The seed without `PROOF_SEED`; a fixed one, so that each run generates the same cases.
const DEFAULT_SEED: u64 = 1;

fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// The number of cases from `PROOF_CASES`, or else `default`.
pub fn cases(default: u64) -> u64 {
    env_number("PROOF_CASES", default)
}

/// A configuration of `cases` cases, with the seed from `PROOF_SEED` or else the default one.
pub fn config(cases: u64) -> Config {
    Config {
        cases: u32::try_from(cases).expect("few cases"),
        rng_seed: RngSeed::Fixed(env_number("PROOF_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}
