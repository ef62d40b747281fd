//! Replacing a primary that is lost, leaves, stands in an evacuated zone or where much of its work
//! may not run: seeing it, agreeing on it, and ordering it.

mod demand;
mod evacuation;
mod hand_over;
mod holder;
mod messages;
mod peers;
mod round;
mod successor;
mod watch;

pub use self::demand::follow_demand;
pub use self::holder::restore_succession;
pub use self::peers::Peers;
pub use self::round::yield_by_store;
pub use self::watch::watch_groups;
