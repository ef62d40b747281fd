//! The operator's command line.
//!
//! Every command ends with one of three exit codes: 0 done, 1 failed, 2 bad usage.

mod arguments;
mod explain;
mod gateway;
mod logs;
mod losses;
mod policy;
mod proxy;
mod settings;
mod status;

use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

pub use arguments::{
    Command, ExplainArguments, GatewayArguments, LossesArguments, PlatformSource, PolicyCommand,
    ProxyArguments, SettingsCommand, StatusArguments, command_line,
};

/// The command did what was asked.
pub const EXIT_DONE: u8 = 0;
/// The command was understood and failed.
pub const EXIT_FAILED: u8 = 1;
/// The command line was not understood.
pub const EXIT_USAGE: u8 = 2;

/// The width at which help is wrapped.
const HELP_WIDTH: usize = 100;

/// Parses the arguments and runs the command; gives the program's exit code.
pub fn run(arguments: Args<'_>) -> ExitCode {
    let command = match command_line().run_inner(arguments) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(failure),
    };
    let code = match command {
        Command::Proxy(arguments) => proxy::run(&arguments),
        Command::Gateway(arguments) => gateway::run(&arguments),
        Command::Settings(command) => settings::run(&command),
        Command::Policy(command) => policy::run(&command),
        Command::Status(arguments) => status::run(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Losses(arguments) => losses::run(&arguments),
    };
    ExitCode::from(code)
}

/// Prints help and versions to standard output, bad usage to standard error.
fn print_parse_failure(failure: ParseFailure) -> ExitCode {
    let is_usage_error = matches!(failure, ParseFailure::Stderr(_));
    failure.print_message(HELP_WIDTH);
    ExitCode::from(if is_usage_error {
        EXIT_USAGE
    } else {
        EXIT_DONE
    })
}

/// Prints to standard output; a reader that has gone away is no failure of the command.
fn print(text: &str) -> u8 {
    let mut output = std::io::stdout().lock();
    let written = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    match written {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => fail(&error),
        _ => EXIT_DONE,
    }
}

/// Prints a failure to standard error and gives the exit code for it.
fn fail(failure: &dyn Display) -> u8 {
    eprintln!("spurpier: {failure}");
    EXIT_FAILED
}
