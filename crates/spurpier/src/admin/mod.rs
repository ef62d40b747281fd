//! The admin endpoint: liveness, readiness, metrics and status over HTTP.

pub mod client;
pub mod health;
pub mod metrics;
pub mod server;
pub mod status;
