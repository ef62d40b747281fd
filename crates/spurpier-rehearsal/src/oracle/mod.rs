//! The oracle: checks a recorded history against the guarantees.
//!
//! It knows only what clients, database servers and operators saw, and shares no decision logic
//! with the product. The deterministic proofs and the real-process runs record the same history.

mod answers;
mod drain;
mod history;
mod policy;
mod reads;
mod violations;
mod writes;

pub use history::{
    Answer, BackEndEvent, Commit, Fault, FaultScope, History, Outcome, PlannedStop, PolicyAccepted,
    PolicyObserved, ReadFreshness, ReadOfRow, SettingObserved, StopTarget, SurvivingGroup,
    SurvivingRow, Unit, Write,
};
pub use violations::{Guarantee, Violations};

/// Checks a whole history; an empty result means that no guarantee was seen broken.
///
/// `Violations::checked` tells how many single obligations each guarantee's check met, so that a
/// history that proves nothing can be told from one that proves much.
pub fn check(history: &History) -> Violations {
    let mut violations = Violations::default();
    reads::check(history, &mut violations);
    writes::check(history, &mut violations);
    answers::check(history, &mut violations);
    drain::check(history, &mut violations);
    policy::check(history, &mut violations);
    violations
}
