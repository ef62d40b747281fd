//! The path of a request over typed ports: sessions, units of work, servers, and who leads.
//!
//! A client's statement goes through `session` (what is known of the client), `unit` (one
//! statement or one transaction), `group` (which server leads, what a read must show) and
//! `server` (connections and exchanges). `directory` and `configuration` follow the platform's
//! store. Dialects, store and promotion service are met through `ports`; the decisions are
//! `spurpier_core`'s.

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
mod server;
pub mod server_rows;
mod session;
pub mod settings;
mod tenant;
mod unit;

pub use node::{Listeners, Node, NodeError, NodeParts, Stop};
