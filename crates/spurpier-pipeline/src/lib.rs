//! The request path on top of typed ports: sessions, units of work, servers and group leaders.
//!
//! A client's statement passes through `session` (state of the client connection), `unit` (one
//! statement or one transaction), `group` (the leader, and the position that a read must reflect)
//! and `server` (connections and message exchanges). `directory` and `configuration` follow the
//! platform's store. Dialects, store and promotion service are traits in `ports`; decisions are
//! made by the pure functions of `spurpier_core`.

pub mod clock;
mod configuration;
mod context;
mod directory;
mod era;
pub mod events;
mod follow;
mod forward;
mod group;
pub mod homes;
pub mod known_tables;
mod locality;
pub mod log_budget;
mod membership;
mod metrics;
mod node;
pub mod node_entry;
pub mod ports;
pub mod progress;
mod promotion;
mod quota;
mod readiness;
mod replica_sets;
mod server;
pub mod server_rows;
mod session;
pub mod settings;
mod tenant;
mod unit;

pub use node::{Listeners, Node, NodeError, NodeParts, Stop};
