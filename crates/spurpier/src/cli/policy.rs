//! `spurpier policy`: check, publish, show and list policies.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use error_stack::Report;
use spurpier_core::identity::DatabaseName;
use spurpier_core::policy::{Finding, Placement, PolicyHead};

use super::{EXIT_DONE, EXIT_FAILED, PlatformSource, PolicyCommand, fail, print};
use crate::platform::PlatformClient;
use crate::policy::operator::{self, PublishError, PublishReport, ShownPolicy};
use crate::settings::load::{Overrides, load};

/// How long one call to the platform may take when no settings say so.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform, and the databases that the settings name; none without settings.
struct Target {
    client: PlatformClient,
    databases: Option<Vec<DatabaseName>>,
}

pub(super) fn run(command: &PolicyCommand) -> u8 {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let done = runtime.block_on(async {
        match command {
            PolicyCommand::Check { file, source } => check(file, source).await,
            PolicyCommand::Publish {
                file,
                expect,
                source,
            } => publish(file, *expect, source).await,
            PolicyCommand::Show { version, source } => show(*version, source).await,
            PolicyCommand::History { source } => history(source).await,
        }
    });
    done.unwrap_or_else(|failure| fail(&failure))
}

/// A command's exit code, or the text of its failure.
type Done = Result<u8, String>;

/// The text of a report with all its layers.
fn explain<Context>(report: &Report<Context>) -> String {
    format!("{report:?}")
}

fn open(source: &PlatformSource) -> Result<Target, String> {
    let (url, timeout, databases) = match source {
        PlatformSource::Settings(file) => {
            let settings = load(file, &Overrides::default()).map_err(|report| explain(&report))?;
            let names = settings
                .databases
                .iter()
                .map(|database| database.name.clone());
            let timeout = Duration::from_millis(settings.platform.timeout_ms);
            let names = names.collect();
            (settings.platform.url, timeout, Some(names))
        }
        PlatformSource::Platform(url) => (url.clone(), DEFAULT_TIMEOUT, None),
    };
    let client = PlatformClient::new(&url, timeout).map_err(|report| explain(&report))?;
    Ok(Target { client, databases })
}

impl Target {
    /// The databases of the settings; without settings, those that the policy in force places.
    async fn databases(&self) -> Result<Vec<DatabaseName>, String> {
        if let Some(databases) = &self.databases {
            return Ok(databases.clone());
        }
        let shown = operator::show(&self.client, None).await;
        let shown = shown.map_err(|report| explain(&report))?;
        let placements = shown.map_or_else(Vec::new, |shown| shown.document.placements);
        let names = placements.into_iter().map(|placement| placement.database);
        Ok(names.collect())
    }
}

fn read_program(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file)
        .map_err(|error| format!("the policy {} cannot be read: {error}", file.display()))
}

/// All findings, each with the file and its place.
fn located(file: &Path, findings: &[Finding]) -> String {
    let file = file.display();
    let lines = findings.iter().map(|finding| format!("{file}:{finding}"));
    lines.collect::<Vec<_>>().join("\n")
}

async fn check(file: &Path, source: &PlatformSource) -> Done {
    let program = read_program(file)?;
    let databases = open(source)?.databases().await?;
    let findings = operator::check(&program, &databases);
    if findings.is_empty() {
        return Ok(EXIT_DONE);
    }
    eprintln!("{}", located(file, &findings));
    Ok(EXIT_FAILED)
}

async fn publish(file: &Path, expect: u64, source: &PlatformSource) -> Done {
    let program = read_program(file)?;
    let target = open(source)?;
    let databases = target.databases().await?;
    match operator::publish(&target.client, &program, expect, &databases).await {
        Ok(report) => Ok(print(&published(&report))),
        Err(report) => {
            if let PublishError::Invalid(findings) = report.current_context() {
                eprintln!("{}", located(file, findings));
                return Ok(EXIT_FAILED);
            }
            Err(explain(&report))
        }
    }
}

fn published(report: &PublishReport) -> String {
    let version = report.head.version;
    let note = if report.repeated {
        "; an earlier publication of the same program had done it"
    } else {
        ""
    };
    let mut text = format!("version {version} is accepted{note}\n");
    text.push_str(&placement_lines(&report.document.placements));
    text
}

fn placement_lines(placements: &[Placement]) -> String {
    let mut text = String::new();
    for placement in placements {
        let Placement {
            database,
            side,
            epoch,
        } = placement;
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "database {database}: writes on the {side} side, epoch {epoch}"
        );
    }
    text
}

async fn show(version: Option<u64>, source: &PlatformSource) -> Done {
    let target = open(source)?;
    let shown = operator::show(&target.client, version).await;
    let shown = shown.map_err(|report| explain(&report))?;
    let Some(ShownPolicy { head, document }) = shown else {
        return Err(match version {
            Some(version) => format!("version {version} has not been accepted"),
            None => "no policy has been accepted yet".to_owned(),
        });
    };
    let mut text = head_line(&head);
    text.push_str(&placement_lines(&document.placements));
    text.push('\n');
    text.push_str(&document.program);
    Ok(print(&text))
}

async fn history(source: &PlatformSource) -> Done {
    let target = open(source)?;
    let heads = operator::history(&target.client).await;
    let heads = heads.map_err(|report| explain(&report))?;
    let lines: String = heads.iter().map(head_line).collect();
    Ok(print(&lines))
}

fn head_line(head: &PolicyHead) -> String {
    let PolicyHead {
        version,
        digest,
        publish_id,
    } = head;
    format!("version {version}, digest {digest}, publication {publish_id}\n")
}
