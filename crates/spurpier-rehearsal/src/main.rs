//! The program `spurpier-rehearsal`.

use std::fmt::Debug;
use std::process::ExitCode;

use spurpier_rehearsal::command_line::{self, Command, EXIT_DONE, EXIT_FAILED};
use spurpier_rehearsal::commands::{self, CommandResult};
use spurpier_rehearsal::database::command as database;
use spurpier_rehearsal::hollow;
use spurpier_rehearsal::shares;

#[tokio::main]
async fn main() -> ExitCode {
    match command_line::parse() {
        Ok(command) => execute(command).await,
        Err(code) => code,
    }
}

async fn execute(command: Command) -> ExitCode {
    match command {
        Command::Run(options) => verdict(commands::run(&options).await),
        Command::Up(options) => verdict(commands::up(&options).await),
        Command::Torture(options) => verdict(commands::torture(&options).await),
        Command::Bench(options) => verdict(commands::bench(&options).await),
        Command::Hollow(options) => hollow::print_report(&options),
        Command::Shares(options) => shares::print_comparison(&options),
        Command::Database(options) => exit_code(database::run(options).await),
        Command::Platform(options) => exit_code(options.run().await),
    }
}

fn verdict(result: CommandResult) -> ExitCode {
    match result {
        Ok(true) => ExitCode::from(EXIT_DONE),
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(report) => failed(&report),
    }
}

fn exit_code<E: Debug>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::from(EXIT_DONE),
        Err(error) => failed(&error),
    }
}

fn failed(error: &impl Debug) -> ExitCode {
    eprintln!("{error:?}");
    ExitCode::from(EXIT_FAILED)
}
