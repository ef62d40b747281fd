//! The pools of connections, one for each server.

mod lease;
mod opening;
mod server_pool;

pub use lease::Lease;
pub use server_pool::{AcquireError, ServerPool};
