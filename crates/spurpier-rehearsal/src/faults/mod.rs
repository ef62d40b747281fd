//! Faults: kinds, schedules, and how they strike a deployment.

mod injector;
mod kind;
mod schedule;
mod tally;

pub use injector::Injector;
pub use kind::FaultKind;
pub use schedule::{FaultSchedule, InvalidSchedule, ScheduledFault};
pub use tally::FaultTally;
