//! Groups that are promoted from outside: who leads, how fresh a read is, and which server runs it.
//!
//! Such a group holds no elections, and a deposed primary goes on answering reads. Neither leases
//! nor wall clocks are used against that. A server refuses a transaction that may write from the
//! moment at which it lost the lead, so that each accepted one proves the lead at a moment no
//! earlier than the sending of its opening statement.

mod candidate;
mod choice;
mod duty;
mod evidence;
mod failover;
mod homes;

pub use candidate::{LeadCandidate, choose_lead};
pub use choice::{Distance, ServerLoad, choose_read_server};
pub use duty::{DutyRow, DutyStep, HolderRecord, next_step};
pub use evidence::{LeadEvidence, OwnCommit, Proof, read_floor};
pub use failover::{Candidate, Missing, Sight, Verdict, choose_successor, judge};
pub use homes::{RankedNode, homes_per_zone, rank_homes};
