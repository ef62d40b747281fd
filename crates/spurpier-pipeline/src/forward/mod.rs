//! Forwards units of work to other nodes: to a home of the group, a node that holds the group's
//! server connections.
//!
//! [`run_single`] and [`RoutedTransaction`] run a session's statements on this node or on a home of
//! the group. [`serve`] runs the statements that other nodes forward to this one. One connection to
//! a node multiplexes many calls. The same connections carry updates of the store's tables, the
//! nodes to follow for them, and requests for quota permits.
//!
//! The guarantees are those of a server connection: a write is never sent again once its call may
//! have been sent, and a transaction exists only on the connection that opened it.

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
