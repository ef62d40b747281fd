//! Messages between spurpier nodes, and their framing.
//!
//! All messages use nanoserde's binary encoding. [`mod@unit`] defines the units of work that an
//! ingress node forwards to a database's home node, [`frame`] the framing on the connection, and
//! [`gossip`] the encoding of the control messages through which nodes maintain the cluster
//! membership and distribute the document in force.

pub mod frame;
pub mod gossip;
pub mod unit;
mod unit_encoding;
