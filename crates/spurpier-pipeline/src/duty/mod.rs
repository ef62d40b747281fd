//! Replacing a primary that is lost or leaves: seeing it, agreeing on it, and ordering it.

mod demand;
mod holder;
mod messages;
mod peers;
mod round;
mod successor;
mod watch;

pub use self::demand::follow_demand;
pub use self::peers::Peers;
pub use self::round::yield_by_store;
pub use self::watch::watch_groups;
