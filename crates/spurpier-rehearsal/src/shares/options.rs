//! The command line of `spurpier-rehearsal shares`.

use bpaf::{OptionParser, Parser, construct, long};
use serde::Serialize;

/// A way to share connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SharingScheme {
    /// Each home holds the same fixed share.
    Equal,
    /// Reservations are passed from home to home.
    Escrow,
    /// A ledger at the first-ranked home grants allowances under leases.
    Ledger,
}

impl SharingScheme {
    /// All ways.
    pub const ALL: [SharingScheme; 3] = [
        SharingScheme::Equal,
        SharingScheme::Escrow,
        SharingScheme::Ledger,
    ];
}

/// What is compared.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareOptions {
    /// Connections that the server takes.
    pub limit: u32,
    /// Homes.
    pub homes: usize,
    /// Virtual seconds.
    pub seconds: u64,
    /// Requests a second at all homes together.
    pub requests_per_second: f64,
    /// The part of the requests at the home in the centre of the load, in percent.
    pub hot_percent: u32,
    /// Homes that freeze for 90 seconds from second 40 on, and are replaced meanwhile.
    pub frozen: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the report is JSON.
    pub json: bool,
}

/// The parser of the options.
pub fn share_options() -> OptionParser<ShareOptions> {
    let limit = long("limit")
        .help("Connections that the server takes")
        .argument("N")
        .fallback(40);
    let homes = long("homes").help("Homes").argument("N").fallback(12);
    let seconds = long("seconds")
        .help("Virtual seconds")
        .argument("N")
        .fallback(240);
    let requests_per_second = long("requests")
        .help("Requests a second at all homes together")
        .argument("N")
        .fallback(2_000.0);
    let hot_percent = long("hot")
        .help("Percent of the requests at the busiest home")
        .argument("N")
        .fallback(70);
    let frozen = long("frozen")
        .help("Homes that freeze and are replaced meanwhile")
        .argument("N")
        .fallback(0);
    let seed = long("seed")
        .help("Seed of all random choices")
        .argument("N")
        .fallback(1);
    let json = long("json").help("Report as JSON").switch();
    construct!(ShareOptions {
        limit,
        homes,
        seconds,
        requests_per_second,
        hot_percent,
        frozen,
        seed,
        json,
    })
    .to_options()
    .descr("Compares ways to share a database's connections among its homes")
}
