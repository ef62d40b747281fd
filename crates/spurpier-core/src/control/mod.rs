//! The control state of one node: cluster membership, the document in force, and whether the
//! node is a watcher, which reads the platform on behalf of its zone.
//!
//! [`ControlNode`] combines the state machines of [`crate::membership`] and [`crate::distribution`]
//! behind one interface. The caller passes in events, carries out the returned actions, and sends
//! a tick by the next deadline.

mod machine_list;
mod message;
mod node;

pub use message::{GossipBody, GossipMessage};
pub use node::{ControlAction, ControlConfig, ControlEvent, ControlNode};
