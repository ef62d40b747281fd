//! The commands and their arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};

/// What the operator asks for.
#[derive(Debug, Clone)]
pub enum Command {
    /// Run a node.
    Proxy(ProxyArguments),
    /// Run a node on the platform, before groups that are promoted from outside.
    Gateway(GatewayArguments),
    /// Work with settings files.
    Settings(SettingsCommand),
    /// Work with policies.
    Policy(PolicyCommand),
    /// Print a node's status.
    Status(StatusArguments),
    /// Print the story of one request, out of the nodes' logs.
    Explain(ExplainArguments),
    /// Print what was not served and why, out of the nodes' logs.
    Losses(LossesArguments),
}

/// The arguments of `spurpier explain`.
#[derive(Debug, Clone)]
pub struct ExplainArguments {
    /// The nodes' logs.
    pub logs: Vec<PathBuf>,
    /// The request's id.
    pub request: String,
}

/// The arguments of `spurpier losses`.
#[derive(Debug, Clone)]
pub struct LossesArguments {
    /// The nodes' logs.
    pub logs: Vec<PathBuf>,
    /// The length of the spans in which statements are counted, in seconds.
    pub span_s: u64,
    /// Whether a picture is printed in place of the tables.
    pub svg: bool,
}

/// The arguments of `spurpier proxy`.
#[derive(Debug, Clone)]
pub struct ProxyArguments {
    /// The settings file.
    pub settings: PathBuf,
    /// In place of `listen.client`.
    pub listen: Option<SocketAddr>,
    /// In place of `node.zone`.
    pub zone: Option<String>,
}

/// The arguments of `spurpier gateway`.
#[derive(Debug, Clone)]
pub struct GatewayArguments {
    /// The settings file; the one that the platform has laid without it.
    pub settings: Option<PathBuf>,
}

/// The commands under `spurpier settings`.
#[derive(Debug, Clone)]
pub enum SettingsCommand {
    /// Check a file and print every finding.
    Check {
        /// The settings file.
        file: PathBuf,
    },
    /// Print the commented template.
    Template,
}

/// Where a policy command finds the platform.
#[derive(Debug, Clone)]
pub enum PlatformSource {
    /// In a settings file, which names the databases too.
    Settings(PathBuf),
    /// At this address of the platform's HTTP service.
    Platform(String),
}

/// The commands under `spurpier policy`.
#[derive(Debug, Clone)]
pub enum PolicyCommand {
    /// Check a program and print every finding.
    Check {
        /// Where the platform is.
        source: PlatformSource,
        /// The program.
        file: PathBuf,
    },
    /// Publish a program as the version after an expected one.
    Publish {
        /// The version that the operator takes to be in force; 0 before any.
        expect: u64,
        /// Where the platform is.
        source: PlatformSource,
        /// The program.
        file: PathBuf,
    },
    /// Print an accepted policy.
    Show {
        /// The version; the one in force without it.
        version: Option<u64>,
        /// Where the platform is.
        source: PlatformSource,
    },
    /// List all accepted policies, oldest first.
    History {
        /// Where the platform is.
        source: PlatformSource,
    },
}

/// The arguments of `spurpier status`.
#[derive(Debug, Clone)]
pub struct StatusArguments {
    /// The node's admin address.
    pub node: SocketAddr,
    /// Whether to print JSON in place of the table.
    pub json: bool,
}

/// The parser of the whole command line.
pub fn command_line() -> OptionParser<Command> {
    let proxy = proxy_command();
    let gateway = gateway_command();
    let settings = settings_command();
    let status = status_command();
    let policy = policy_command();
    let explain = explain_command();
    let losses = losses_command();
    construct!([proxy, gateway, settings, policy, status, explain, losses])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A database proxy with session consistency for moves between data centres")
        .footer("Exit codes: 0 done, 1 failed, 2 bad usage.")
}

/// Makes a command of its arguments; every command has `--help` and `--version`.
fn command<T: 'static>(
    name: &'static str,
    description: &'static str,
    arguments: impl Parser<T> + 'static,
) -> impl Parser<T> {
    arguments
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr(description)
        .command(name)
}

fn proxy_command() -> impl Parser<Command> {
    let settings = long("settings")
        .help("The settings file")
        .argument::<PathBuf>("FILE");
    let listen = long("listen")
        .help("Address for clients, in place of listen.client")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let zone = long("zone")
        .help("Zone of the node, in place of node.zone")
        .argument::<String>("NAME")
        .optional();
    let arguments = construct!(ProxyArguments {
        settings,
        listen,
        zone
    });
    command("proxy", "Run a node", arguments.map(Command::Proxy))
}

fn gateway_command() -> impl Parser<Command> {
    let settings = long("settings")
        .help("The settings file; the one that the platform has laid without it")
        .argument::<PathBuf>("FILE")
        .optional();
    let arguments = construct!(GatewayArguments { settings });
    let description = "Run a node on the platform, before groups that are promoted from outside";
    command("gateway", description, arguments.map(Command::Gateway))
}

fn logs() -> impl Parser<Vec<PathBuf>> {
    long("log")
        .help("A node's log; may be given for several nodes")
        .argument::<PathBuf>("FILE")
        .some("at least one --log FILE")
}

fn losses_command() -> impl Parser<Command> {
    /// The shortest and the longest span, in seconds.
    const SPANS_S: std::ops::RangeInclusive<u64> = 1..=3_600;
    let logs = logs();
    let span_s = long("every")
        .help("The length of the spans in which statements are counted, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(2)
        .guard(
            |seconds| SPANS_S.contains(seconds),
            "must be from 1 to 3600",
        );
    let svg = long("svg")
        .help("Print a picture over time as SVG in place of the tables")
        .switch();
    let arguments = construct!(LossesArguments { logs, span_s, svg });
    let description = "Print what was not served, by time, reason, group, node and tenant";
    command("losses", description, arguments.map(Command::Losses))
}

fn explain_command() -> impl Parser<Command> {
    let logs = logs();
    let request =
        positional::<String>("REQUEST-ID").help("The request's id, as the client sent it");
    let arguments = construct!(ExplainArguments { logs, request });
    let description = "Print what nodes decided on one request, and what led to it";
    command("explain", description, arguments.map(Command::Explain))
}

fn settings_command() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE").help("The settings file");
    let check = command(
        "check",
        "Check a settings file and print every finding with its place",
        construct!(SettingsCommand::Check { file }),
    );
    let template = command(
        "template",
        "Print a commented settings file with every key and its default",
        pure(SettingsCommand::Template),
    );
    let commands = construct!([check, template]);
    let description = "Check settings files and print a template";
    command("settings", description, commands.map(Command::Settings))
}

fn status_command() -> impl Parser<Command> {
    let node = long("node")
        .help("Admin address of the node")
        .argument::<SocketAddr>("ADDR");
    let json = long("json").help("Print JSON").switch();
    let arguments = construct!(StatusArguments { node, json });
    let description = "Print what a node sees: policy, groups, pools, members, moves";
    command("status", description, arguments.map(Command::Status))
}

fn platform_source() -> impl Parser<PlatformSource> {
    let settings = long("settings")
        .help("A settings file, which names the platform and the databases")
        .argument::<PathBuf>("FILE")
        .map(PlatformSource::Settings);
    let platform = long("platform")
        .help("The platform's address; the databases are those of the policy in force")
        .argument::<String>("URL")
        .map(PlatformSource::Platform);
    construct!([settings, platform])
}

fn policy_command() -> impl Parser<Command> {
    let check = policy_check_command();
    let publish = policy_publish_command();
    let show = policy_show_command();
    let history = policy_history_command();
    let commands = construct!([check, publish, show, history]);
    let description = "Check, publish, show and list policies";
    command("policy", description, commands.map(Command::Policy))
}

fn program_file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("The policy's program")
}

fn policy_check_command() -> impl Parser<PolicyCommand> {
    let source = platform_source();
    let file = program_file();
    let description = "Check a program for each database and print every finding";
    let arguments = construct!(PolicyCommand::Check { source, file });
    command("check", description, arguments)
}

fn policy_publish_command() -> impl Parser<PolicyCommand> {
    let expect = long("expect")
        .help("The version that you take to be in force; 0 before any")
        .argument::<u64>("VERSION");
    let source = platform_source();
    let file = program_file();
    let description = "Publish a program as the version after the expected one";
    let arguments = construct!(PolicyCommand::Publish {
        expect,
        source,
        file
    });
    command("publish", description, arguments)
}

fn policy_show_command() -> impl Parser<PolicyCommand> {
    let version = long("version")
        .help("The version to print; the one in force without it")
        .argument::<u64>("N")
        .optional();
    let source = platform_source();
    let arguments = construct!(PolicyCommand::Show { version, source });
    command("show", "Print an accepted policy", arguments)
}

fn policy_history_command() -> impl Parser<PolicyCommand> {
    let source = platform_source();
    let arguments = construct!(PolicyCommand::History { source });
    let description = "List all accepted policies, oldest first";
    command("history", description, arguments)
}
