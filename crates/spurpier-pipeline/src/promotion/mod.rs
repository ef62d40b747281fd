//! Replacing a primary that is lost, leaves, stands in an evacuated zone or where much of its work
//! may not run: seeing it, agreeing on it, and ordering it.

mod demand;
mod evacuation;
mod hand_over;
mod lease;
mod messages;
mod peers;
mod round;
mod successor;
mod watch;

pub use self::demand::report_demand_and_decide_moves;
pub use self::lease::restore_succession;
pub use self::peers::Peers;
pub use self::round::report_release_by_store;
pub use self::watch::watch_groups;
