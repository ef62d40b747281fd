//! The control state of one node: membership, the document in force, and the watcher's duty.
//!
//! [`ControlNode`] joins the machines of [`crate::membership`] and [`crate::spread`] behind one
//! interface, so that a real node has one thing to drive: pass in events, carry out actions, and
//! tick it no later than its next deadline.

mod machine_list;
mod message;
mod node;

pub use message::{GossipBody, GossipMessage};
pub use node::{ControlAction, ControlConfig, ControlEvent, ControlNode};
