//! The platform as a node sees it: table service, object store and machine list over HTTP.

mod client;
mod error;
pub mod wire;

pub use client::{PlatformClient, TransactOutcome};
pub use error::PlatformError;
