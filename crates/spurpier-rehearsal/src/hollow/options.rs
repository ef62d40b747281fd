//! The command line of `spurpier-rehearsal hollow`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long};

/// What `spurpier-rehearsal hollow` is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HollowOptions {
    /// Nodes at the start.
    pub nodes: usize,
    /// Databases.
    pub databases: usize,
    /// Zones, spread evenly over two regions (one region below three zones).
    pub zones: usize,
    /// A file with faults, rates and latencies.
    pub scenario: Option<PathBuf>,
    /// Virtual seconds that are measured; the scenario's own value when not given.
    pub seconds: Option<u64>,
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the report is one JSON object.
    pub json: bool,
}

/// The parser of the options.
pub fn hollow_options() -> OptionParser<HollowOptions> {
    let nodes = long("nodes").help("Nodes at the start").argument("N");
    let databases = long("databases")
        .help("Databases")
        .argument("M")
        .fallback(96);
    let zones = long("zones")
        .help("Zones, spread over two regions")
        .argument("Z")
        .fallback(6);
    let scenario = long("scenario")
        .help("TOML file with faults, rates and latencies")
        .argument("FILE")
        .optional();
    let seconds = long("seconds")
        .help("Virtual seconds that are measured")
        .argument("N")
        .optional();
    let seed = long("seed")
        .help("Seed of all random choices")
        .argument("N")
        .fallback(1);
    let json = long("json").help("Report as one JSON object").switch();
    construct!(HollowOptions {
        nodes,
        databases,
        zones,
        scenario,
        seconds,
        seed,
        json,
    })
    .to_options()
    .descr("Runs the control state of many nodes in one process on virtual time")
}
