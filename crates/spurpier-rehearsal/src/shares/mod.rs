//! A comparison of ways to share a database's connections among its homes, on virtual time.
//!
//! One server with a connection limit serves a dozen homes under an uneven load whose centre
//! moves. Homes freeze, are replaced while frozen, and come back. Compared are equal shares by
//! the settings, the ledger of [`spurpier_core::shares`], and reservations passed from home to
//! home (escrow without a ledger).

mod counting;
mod course;
mod escrow;
mod home;
mod options;
mod report;
mod scheme;
mod simulation;

use std::process::ExitCode;

pub use options::{ShareOptions, SharingScheme, share_options};
pub use report::ShareFigures;
pub use simulation::compare;

/// Runs all schemes and prints their figures; fails if the ledger passed the limit.
pub fn print_comparison(options: &ShareOptions) -> ExitCode {
    let figures: Vec<ShareFigures> = SharingScheme::ALL
        .iter()
        .map(|scheme| compare(*scheme, options))
        .collect();
    match options.json {
        true => println!("{}", report::json(&figures)),
        false => print!("{}", report::text(&figures)),
    }
    let kept = figures
        .iter()
        .filter(|figures| figures.scheme == SharingScheme::Ledger)
        .all(|figures| figures.most_open <= options.limit);
    match kept {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
