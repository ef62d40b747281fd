//! The spurpier node: a database proxy with session consistency.

pub mod admin;
pub mod cli;
pub mod cluster;
pub mod events;
pub mod explain;
pub mod home;
pub mod ingress;
pub mod logging;
pub mod node;
pub mod platform;
pub mod policy;
pub mod settings;
pub mod unit_runner;

pub use spurpier_events::{declare_events, log_event};
