//! Forwarding units of work to the home nodes of their databases.
//!
//! [`ForwardingRunner`] is the ingress side: it opens a unit on this node or on a home node, and
//! tries the next home as long as nothing of the unit has left for the first. [`ForwardingServer`]
//! is the home side: it runs the units of other nodes on any [`crate::unit_runner::UnitRunner`].
//! One connection to a peer carries many units.

mod connection;
mod counters;
mod handshake;
mod open_state;
mod peer;
mod peers;
mod remote_unit;
mod runner;
mod served_unit;
mod server;
mod timing;
mod writer;

pub use counters::{ForwardingCounters, ForwardingCounts};
pub use handshake::{HandshakeError, NodeLife};
pub use peers::Peers;
pub use runner::ForwardingRunner;
pub use server::{ControlMessage, ForwardingServer};
pub use timing::ForwardingTiming;
