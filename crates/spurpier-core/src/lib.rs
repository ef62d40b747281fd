//! The decision logic of the spurpier proxy, without I/O.
//!
//! Nothing here opens a socket, reads a clock or spawns a task: callers pass in the state, an
//! event and the current time, and carry out the returned actions. The same code therefore runs
//! in a real node, in deterministic tests and in thousands of simulated nodes within one process.

pub mod admission;
pub mod commit;
pub mod control;
pub mod directory;
pub mod distribution;
pub mod group;
pub mod group_history;
pub mod handover;
pub mod homes;
pub mod identity;
pub mod leader;
pub mod locality;
pub mod membership;
pub mod policy;
pub mod pool;
pub mod position;
pub mod quota;
pub mod ranks;
pub mod reason;
pub mod retry;
pub mod routing;
pub mod session;
pub mod shares;
pub mod statement;
pub mod store_version;
pub mod time;
pub mod wire;
