//! State machine that drives one write to a definite outcome across failovers.
//!
//! The caller executes the [`CommitAction`] returned for each event and reports the result as the
//! next [`CommitEvent`]. Three invariants hold under all faults:
//!
//! - `Done` is returned only after the write is confirmed, so that every later primary has it.
//! - `NotRun` is returned only if no copy of the write started by this machine can take effect.
//! - An unkeyed write is never attempted again after its first byte was sent, unless the back end
//!   itself reported that it did not execute the write.
//!
//! A keyed write inserts its request key first and sends its COMMIT only after that insert was
//! answered. A later attempt therefore conflicts with the key of an earlier one: on the same
//! primary it waits for the key's lock or finds the key's row; otherwise it runs on a log that
//! does not contain the earlier attempt.

mod event;
mod machine;
mod term_starts;

pub use event::{CommitAction, CommitEvent, CommitOutcome, WriteKind};
pub use machine::CommitMachine;
pub use term_starts::TermStarts;
