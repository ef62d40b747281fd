//! The spurpier program; see [`spurpier::cli`] for its commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    spurpier::cli::run(bpaf::Args::current_args())
}
