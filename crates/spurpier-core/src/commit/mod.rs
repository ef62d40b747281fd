//! The life of one write, from its first byte to a certain outcome.
//!
//! The caller carries out the [`CommitAction`] that each event returns and reports what came of
//! it. Three rules hold whatever happens:
//!
//! - `Done` is given only once the write is confirmed: no later primary can lack it.
//! - `NotRun` is given only when no copy of the write that this machine started can take effect.
//! - An unkeyed write is never attempted again once a byte of it has left, unless the back end
//!   itself said that it did not run it.
//!
//! A keyed write inserts its request key first and sends its COMMIT only after that insert has
//! been answered. A later attempt therefore meets the key of an earlier one: it waits for its
//! lock on the same primary, or finds its row, or runs in a log that lacks it.

mod event;
mod machine;
mod term_starts;

pub use event::{CommitAction, CommitEvent, CommitOutcome, WriteKind};
pub use machine::CommitMachine;
pub use term_starts::TermStarts;
