//! Units that run on another node: at a home of their group, which holds the connections.
//!
//! [`run_single`] and [`RoutedTransaction`] run a session's statements where the group's
//! connections are, on this node or another one. [`serve`] runs those of other nodes. One
//! connection to a node carries many calls. The same connections tell of the store's tables.
//!
//! What must hold is what holds for servers: a write whose call may have left is never sent again,
//! and a transaction lives on the connection that opened it.

mod caller;
mod link;
mod links;
mod messages;
mod server;
mod stream;
mod transaction;

pub use caller::run_single;
pub use link::{CallOutcome, Link};
pub use links::{Links, LostNodes};
pub use messages::{
    Call, NodeEndpoint, Reply, WatcherAssignment, WireAnswer, WireFreshness, duration, millis,
};
pub use server::serve;
pub use transaction::RoutedTransaction;
