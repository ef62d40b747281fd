//! Promotions: replaces a primary that is lost, is leaving, is in an evacuated zone, or is in a
//! region where much of its work may not run.
//!
//! A node that misses a primary compares its view with the other nodes. The holder of the promotion
//! lease then stores a decision under a new fencing token, waits until the other nodes have
//! released their leader leases, and promotes the successor.

mod demand;
mod evacuation;
mod hand_over;
mod lease;
mod messages;
mod peers;
mod requests;
mod round;
mod successor;
mod task;
mod watch;

pub use self::demand::report_demand_and_decide_moves;
pub use self::lease::restore_succession;
pub use self::peers::Peers;
pub use self::round::report_release_by_store;
pub use self::successor::{await_position, status_of};
pub use self::watch::watch_groups;
