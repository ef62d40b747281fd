//! What the subcommands do.

use std::fmt;
use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report as ErrorReport, ResultExt};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::bench;
use crate::command_line::{BenchOptions, RunOptions, TortureOptions, UpOptions};
use crate::deployment::{
    Deployment, DeploymentError, DeploymentSettings, InProcess, KnownDeployment, Machines,
};
use crate::faults::{FaultKind, FaultSchedule};
use crate::load::Recorder;
use crate::rehearsal::{RehearsalOutcome, RehearsalPlan, rehearse};
use crate::torture::{ProcessPaths, Processes, WorkDirectory};

/// The result of a command: whether no guarantee was violated.
pub type CommandResult = Result<bool, ErrorReport<DeploymentError>>;

/// Rehearses a deployment in this process and prints the report.
///
/// # Errors
///
/// When the deployment cannot be started or its end cannot be read.
pub async fn run(options: &RunOptions) -> CommandResult {
    let schedule =
        FaultSchedule::load(&options.faults).change_context(DeploymentError::Settings)?;
    let duration = Duration::from_secs(options.seconds);
    let plan = RehearsalPlan {
        duration,
        seed: options.seed,
        schedule: schedule.until(duration),
        tokenless: None,
        list_faults: false,
    };
    let machines = InProcess::new();
    let outcome = run_on(options.deployment, machines, &plan).await?;
    print(&outcome, options.json)
}

/// Rehearses a deployment with real processes under random faults and prints the report.
///
/// # Errors
///
/// When the deployment cannot be started or its end cannot be read.
pub async fn torture(options: &TortureOptions) -> CommandResult {
    let plan = RehearsalPlan {
        duration: FaultSchedule::duration_of_rounds(options.rounds),
        seed: options.seed,
        schedule: FaultSchedule::random(options.seed, options.rounds, &FaultKind::ALL),
        tokenless: None,
        list_faults: true,
    };
    let work = WorkDirectory::create().change_context(DeploymentError::Machines)?;
    let programs = program_directory().change_context(DeploymentError::Machines)?;
    let machines = Processes::new(ProcessPaths {
        programs,
        work: work.path().to_owned(),
    });
    let outcome = run_on(options.deployment, machines, &plan).await?;
    if !outcome.report.is_clean() {
        let kept = work.keep();
        print_note(&format!("logs are kept in {}", kept.display()));
    }
    print(&outcome, options.json)
}

/// Keeps a deployment running until the process is told to stop, and prints its addresses.
///
/// # Errors
///
/// When the deployment cannot be started.
pub async fn up(options: &UpOptions) -> CommandResult {
    let settings = settings_of(options.deployment)?;
    let machines = InProcess::new();
    let deployment = Deployment::start(settings, machines, Recorder::new(), 0).await?;
    let mut output = std::io::stdout().lock();
    // Without a reader for the addresses the deployment still serves.
    let _ = write_addresses(&mut output, &deployment);
    drop(output);
    let _ = tokio::signal::ctrl_c().await;
    deployment.machines.end_all().await;
    Ok(true)
}

async fn run_on<M: Machines>(
    deployment: KnownDeployment,
    machines: Arc<M>,
    plan: &RehearsalPlan,
) -> Result<RehearsalOutcome, ErrorReport<DeploymentError>> {
    let settings = settings_of(deployment)?;
    let recorder = Recorder::new();
    let started = Deployment::start(settings, Arc::clone(&machines), recorder, plan.seed).await?;
    let progress = progress_bar(plan, &started.settings);
    let rehearsing = rehearse(Arc::new(started), plan, |_| progress.inc(1));
    let outcome = tokio::select! {
        outcome = rehearsing => outcome,
        _ = tokio::signal::ctrl_c() => {
            let report = ErrorReport::new(DeploymentError::Machines);
            Err(report.attach("interrupted"))
        }
    };
    progress.finish_and_clear();
    machines.end_all().await;
    outcome
}

fn settings_of(
    deployment: KnownDeployment,
) -> Result<DeploymentSettings, ErrorReport<DeploymentError>> {
    deployment
        .settings()
        .change_context(DeploymentError::Settings)
}

/// A bar on a terminal; nothing elsewhere.
fn progress_bar(plan: &RehearsalPlan, settings: &DeploymentSettings) -> ProgressBar {
    let expected = plan.duration.as_secs_f64() * settings.load.requests_per_second;
    let bar = ProgressBar::with_draw_target(Some(expected as u64), draw_target());
    let style = ProgressStyle::with_template("{elapsed_precise} {wide_bar} {pos}/{len} requests");
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

fn draw_target() -> ProgressDrawTarget {
    if std::io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    }
}

fn print(outcome: &RehearsalOutcome, json: bool) -> CommandResult {
    for explanation in &outcome.explanations {
        print_note(explanation);
    }
    if json {
        let text = serde_json::to_string(&outcome.report);
        println!("{}", text.change_context(DeploymentError::Settings)?);
    } else {
        print!("{}", outcome.report);
        println!("failed attempts");
        for (code, count) in &outcome.failed_attempts {
            println!("  {code:28} {count}");
        }
        println!("obligations checked");
        for (name, checked) in &outcome.checked {
            println!("  {name:28} {checked}");
        }
    }
    Ok(outcome.report.is_clean())
}

/// A line for people, beside the report on standard output.
fn print_note(text: &str) {
    eprintln!("{text}");
}

fn program_directory() -> std::io::Result<std::path::PathBuf> {
    let program = std::env::current_exe()?;
    let directory = program.parent().map(std::path::Path::to_owned);
    directory.ok_or_else(|| std::io::Error::other("the program lies in no directory"))
}

fn write_addresses<M>(output: &mut impl Write, deployment: &Deployment<M>) -> fmt::Result {
    let mut text = String::new();
    addresses(&mut text, deployment)?;
    output.write_all(text.as_bytes()).map_err(|_| fmt::Error)
}

fn addresses<M>(text: &mut impl fmt::Write, deployment: &Deployment<M>) -> fmt::Result {
    let topology = &deployment.topology;
    writeln!(text, "platform http={}", topology.platform)?;
    for server in &topology.servers {
        writeln!(
            text,
            "server {} database={} zone={} postgres={}",
            server.name, server.database, server.zone, server.postgres
        )?;
    }
    for proxy in &topology.proxies {
        writeln!(
            text,
            "proxy {} zone={} postgres={} admin={}",
            proxy.name, proxy.zone, proxy.client, proxy.admin
        )?;
    }
    Ok(())
}

/// Measures the proxy beside its baselines and prints the figures.
///
/// # Errors
///
/// When a deployment of the bench cannot be started.
pub async fn bench(options: &BenchOptions) -> CommandResult {
    let programs = program_directory().change_context(DeploymentError::Machines)?;
    let report = bench::run(programs)
        .await
        .change_context(DeploymentError::Machines)?;
    if options.json {
        let text = serde_json::to_string(&report);
        println!("{}", text.change_context(DeploymentError::Settings)?);
    } else {
        print!("{report}");
    }
    Ok(true)
}
