//! The rehearsal kit of spurpier: stand-ins, network, faults, load, oracle and reports.

pub mod bench;
pub mod command_line;
pub mod commands;
pub mod database;
pub mod deployment;
pub mod faults;
pub mod hollow;
pub mod load;
pub mod network;
pub mod oracle;
pub mod platform;
pub mod rehearsal;
pub mod report;
pub mod shares;
pub mod torture;
