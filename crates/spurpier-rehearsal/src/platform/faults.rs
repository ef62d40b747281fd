//! Faults that an operator of a rehearsal brings about.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// The seed by which calls are chosen for a fault; fixed, so that a rehearsal can be repeated.
const SEED: u64 = 0x5350_4154;

/// What befalls a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing.
    #[default]
    None,
    /// It is answered with status 503 and has no effect.
    Down,
    /// It is answered after the delay.
    Slow,
    /// If it writes, it takes effect, and the connection breaks after the delay, without an answer.
    EffectWithoutAnswer,
}

/// Which calls fail, and how.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FaultSettings {
    /// What befalls them.
    pub kind: FaultKind,
    /// The delay of slow and unanswered calls, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// The share of the calls that it befalls, from 0 to 1.
    #[serde(default = "FaultSettings::default_share")]
    pub share: f64,
}

impl FaultSettings {
    fn default_share() -> f64 {
        1.0
    }

    /// All calls are well.
    pub fn none() -> Self {
        FaultSettings::of(FaultKind::None, 0)
    }

    /// A fault of all calls.
    pub fn of(kind: FaultKind, delay_ms: u64) -> Self {
        FaultSettings {
            kind,
            delay_ms,
            share: FaultSettings::default_share(),
        }
    }
}

/// What befalls one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFault {
    None,
    Down,
    Slow(Duration),
    EffectWithoutAnswer(Duration),
}

#[derive(Debug)]
struct FaultState {
    settings: FaultSettings,
    random: StdRng,
}

/// Chooses the fault of each call.
#[derive(Debug)]
pub(super) struct Faults {
    state: Mutex<FaultState>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            state: Mutex::new(FaultState {
                settings: FaultSettings::none(),
                random: StdRng::seed_from_u64(SEED),
            }),
        }
    }
}

impl Faults {
    pub fn set(&self, settings: FaultSettings) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.settings = settings;
    }

    pub fn next_call(&self) -> CallFault {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let settings = state.settings;
        let drawn: f64 = state.random.random();
        if drawn >= settings.share {
            return CallFault::None;
        }
        let delay = Duration::from_millis(settings.delay_ms);
        match settings.kind {
            FaultKind::None => CallFault::None,
            FaultKind::Down => CallFault::Down,
            FaultKind::Slow => CallFault::Slow(delay),
            FaultKind::EffectWithoutAnswer => CallFault::EffectWithoutAnswer(delay),
        }
    }
}
