//! The command line: subcommands, their options and the exit codes.

use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::{OptionParser, ParseFailure, Parser, construct, long};

use crate::database::command::{DatabaseOptions, database_options};
use crate::deployment::KnownDeployment;
use crate::hollow::{HollowOptions, hollow_options};
use crate::platform::{PlatformCommand, platform_command};
use crate::shares::{ShareOptions, share_options};

/// Exit code of a command that did what was asked and found no violation.
pub const EXIT_DONE: u8 = 0;
/// Exit code of a command that failed or found a violation.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command line that is not understood.
pub const EXIT_USAGE: u8 = 2;

const DEFAULT_SECONDS: u64 = 30;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_ROUNDS: u64 = 3;
const HELP_WIDTH: usize = 100;

/// One subcommand with its options.
#[derive(Debug, Clone)]
pub enum Command {
    /// Rehearse a deployment in this process and report.
    Run(RunOptions),
    /// Keep a deployment running and print its addresses.
    Up(UpOptions),
    /// Rehearse with real processes under kills, freezes and cuts, and report.
    Torture(TortureOptions),
    /// Measure the proxy beside its baselines.
    Bench(BenchOptions),
    /// Run the control state of many nodes in one process.
    Hollow(HollowOptions),
    /// Compare ways to share a database's connections.
    Shares(ShareOptions),
    /// Run one database server as a process of its own.
    Database(DatabaseOptions),
    /// Run the platform as a process of its own.
    Platform(PlatformCommand),
}

/// Where a run takes its faults from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultSource {
    /// The schedule that the kit brings along; it loses a primary.
    Default,
    /// No faults.
    None,
    /// A schedule file.
    File(PathBuf),
}

impl FromStr for FaultSource {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text {
            "none" => FaultSource::None,
            path => FaultSource::File(PathBuf::from(path)),
        })
    }
}

/// Options of `run`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunOptions {
    /// The deployment.
    pub deployment: KnownDeployment,
    /// How long the load runs, in seconds.
    pub seconds: u64,
    /// The seed of the load and the faults.
    pub seed: u64,
    /// The faults.
    pub faults: FaultSource,
    /// Whether the report is one JSON object in place of text.
    pub json: bool,
}

/// Options of `up`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpOptions {
    /// The deployment.
    pub deployment: KnownDeployment,
}

/// Options of `torture`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TortureOptions {
    /// The deployment.
    pub deployment: KnownDeployment,
    /// The seed of the load and the faults.
    pub seed: u64,
    /// How many rounds of faults.
    pub rounds: u64,
    /// Whether the report is one JSON object in place of text.
    pub json: bool,
}

/// Options of `bench`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BenchOptions {
    /// Whether the report is one JSON object in place of text.
    pub json: bool,
}

fn deployment() -> impl Parser<KnownDeployment> {
    long("deployment")
        .help("Whose deployment: puzzelbond or kusgozu")
        .argument::<KnownDeployment>("NAME")
        .fallback(KnownDeployment::Puzzelbond)
        .debug_fallback()
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("The seed of the load and the faults")
        .argument::<u64>("N")
        .fallback(DEFAULT_SEED)
        .display_fallback()
}

fn json() -> impl Parser<bool> {
    long("json")
        .help("Print one JSON object in place of text")
        .switch()
}

fn run() -> impl Parser<Command> {
    let deployment = deployment();
    let seconds = long("seconds")
        .help("How long the load runs, in seconds")
        .argument::<u64>("N")
        .guard(|seconds| *seconds > 0, "must be at least 1")
        .fallback(DEFAULT_SECONDS)
        .display_fallback();
    let seed = seed();
    let faults = long("faults")
        .help("A fault schedule file, or `none`; by default a primary is lost")
        .argument::<FaultSource>("FILE")
        .fallback(FaultSource::Default);
    let json = json();
    construct!(RunOptions {
        deployment,
        seconds,
        seed,
        faults,
        json
    })
    .to_options()
    .descr("Rehearse a deployment in this process and report; exit 1 on a violation")
    .version(env!("CARGO_PKG_VERSION"))
    .command("run")
    .map(Command::Run)
}

fn up() -> impl Parser<Command> {
    let deployment = deployment();
    construct!(UpOptions { deployment })
        .to_options()
        .descr("Keep a deployment running and print its addresses")
        .version(env!("CARGO_PKG_VERSION"))
        .command("up")
        .map(Command::Up)
}

fn torture() -> impl Parser<Command> {
    let deployment = deployment();
    let seed = seed();
    let rounds = long("rounds")
        .help("How many rounds of faults")
        .argument::<u64>("N")
        .guard(|rounds| *rounds > 0, "must be at least 1")
        .fallback(DEFAULT_ROUNDS)
        .display_fallback();
    let json = json();
    construct!(TortureOptions {
        deployment,
        seed,
        rounds,
        json
    })
    .to_options()
    .descr("Rehearse with real processes under kills, freezes and cuts; exit 1 on a violation")
    .version(env!("CARGO_PKG_VERSION"))
    .command("torture")
    .map(Command::Torture)
}

fn bench() -> impl Parser<Command> {
    let json = json();
    construct!(BenchOptions { json })
        .to_options()
        .descr("Measure the proxy beside its baselines")
        .version(env!("CARGO_PKG_VERSION"))
        .command("bench")
        .map(Command::Bench)
}

fn hollow() -> impl Parser<Command> {
    hollow_options()
        .version(env!("CARGO_PKG_VERSION"))
        .command("hollow")
        .map(Command::Hollow)
}

fn shares() -> impl Parser<Command> {
    share_options()
        .version(env!("CARGO_PKG_VERSION"))
        .command("shares")
        .map(Command::Shares)
}

fn database() -> impl Parser<Command> {
    database_options()
        .to_options()
        .descr("Run one server of a database group's stand-in")
        .version(env!("CARGO_PKG_VERSION"))
        .command("database")
        .map(Command::Database)
}

fn platform() -> impl Parser<Command> {
    platform_command()
        .to_options()
        .descr("Run the platform's stand-in")
        .version(env!("CARGO_PKG_VERSION"))
        .command("platform")
        .map(Command::Platform)
}

/// The parser of the whole command line.
pub fn parser() -> OptionParser<Command> {
    let (run, up, torture, bench) = (run(), up(), torture(), bench());
    let (hollow, shares) = (hollow(), shares());
    let (database, platform) = (database(), platform());
    construct!([run, up, torture, bench, hollow, shares, database, platform])
        .to_options()
        .descr("The rehearsal kit of spurpier: stand-ins, faults, load, oracle and reports")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Parses the arguments of this process; prints help, version or the error and gives the exit
/// code otherwise.
///
/// # Errors
///
/// The exit code with which the process should end at once.
pub fn parse() -> Result<Command, ExitCode> {
    parser()
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| report_failure(&failure))
}

fn report_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::from(EXIT_DONE),
        ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
    }
}
