//! Hollow nodes: the control state of thousands of nodes in one process, on virtual time.
//!
//! Each hollow node is a real [`spurpier_core::control::ControlNode`]. Its messages are encoded
//! by the real codec, counted, and carried by a simulated network. Processor time is measured
//! around every call; all other figures follow from the seed alone.

mod checks;
mod cluster;
mod delivery;
mod faults;
mod figures;
mod group_probing;
mod measurements;
mod network;
mod node;
mod options;
mod platform;
mod queue;
mod report;
mod scenario;
mod simulation;
mod store;

pub(crate) use queue::EventQueue;

pub use options::{HollowOptions, hollow_options};
pub use report::{ByteRates, HollowReport, SpreadTimes};
pub use scenario::{
    FaultKind, GroupProbingRates, Latencies, PlannedFault, Scenario, ScenarioError,
};
pub use simulation::{Simulation, run};

use std::process::ExitCode;

/// Runs hollow nodes, prints the report, and fails if anything that must hold was breached.
pub fn print_report(options: &HollowOptions) -> ExitCode {
    let report = match run(options) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{error:?}");
            return ExitCode::FAILURE;
        }
    };
    match options.json {
        true => println!("{}", report.json()),
        false => print!("{}", report.text()),
    }
    match report.violations {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
