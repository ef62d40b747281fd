//! `spurpier gateway`: runs one node on the platform until it is told to stop.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use spurpier_events::log_event;
use spurpier_pipeline::settings::PipelineSettings;
use spurpier_pipeline::{Listeners, Node, NodeParts, Stop, events};
use spurpier_platform::{
    Endpoint, HttpMetadataStore, HttpPromotionService, JsonEntries, LineDialect, settings_path,
};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{EXIT_DONE, GatewayArguments, fail};
use crate::logging;
use crate::settings::LogSettings;
use crate::settings::check::check;
use crate::settings::load::read;

pub(super) fn run(arguments: &GatewayArguments) -> u8 {
    let Some(path) = arguments.settings.clone().or_else(settings_path) else {
        return fail(&"no settings file is given and the platform has laid none");
    };
    let settings = match load(&path) {
        Ok(settings) => settings,
        Err(failure) => return fail(&failure),
    };
    if let Err(report) = logging::install(&LogSettings::default()) {
        return fail(&format!("{report:?}"));
    }
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run_node(settings, path)) {
        Ok(()) => EXIT_DONE,
        Err(failure) => fail(&failure),
    }
}

/// Reads and checks the settings; all findings are given together.
fn load(path: &Path) -> Result<PipelineSettings, String> {
    let text = read(path).map_err(|report| format!("{report:?}"))?;
    let findings = check(&path.display().to_string(), &text);
    if findings.has_errors() {
        return Err(findings.to_string());
    }
    PipelineSettings::parse(&text).map_err(|error| format!("{}: {error}", path.display()))
}

async fn run_node(mut settings: PipelineSettings, path: PathBuf) -> Result<(), String> {
    let stop = Stop::new();
    let signals = Signals::install().map_err(|error| error.to_string())?;
    tokio::spawn(signals.handle(stop.clone(), path));
    let bound = Listeners::bind(&mut settings.listen).await;
    let listeners = bound.map_err(|report| format!("{report:?}"))?;
    Node::run(parts(settings, listeners), stop).await;
    Ok(())
}

/// Puts the adapter to the platform behind the ports.
fn parts(settings: PipelineSettings, listeners: Listeners) -> NodeParts {
    let store = Endpoint::new(settings.platform.store);
    let promotion = Endpoint::new(settings.platform.promotion);
    NodeParts {
        settings,
        listeners,
        client_dialect: Arc::new(LineDialect),
        server_dialect: Arc::new(LineDialect),
        store: Arc::new(HttpMetadataStore::new(store)),
        entries: Arc::new(JsonEntries),
        promotions: Arc::new(HttpPromotionService::new(promotion)),
    }
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Stops the node on SIGTERM and SIGINT; reads the settings again on SIGHUP.
    async fn handle(mut self, stop: Stop, path: PathBuf) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => stop.cancel(),
                _ = self.interrupt.recv() => stop.cancel(),
                _ = self.hang_up.recv() => reread(&path),
            }
        }
    }
}

/// The settings that a running node could take anew are all learnt from the store; the file is
/// only checked, so that a fault shows before the next start.
fn reread(path: &Path) {
    match load(path) {
        Ok(_) => log_event!(events::SETTINGS_REREAD, file = path.display()),
        Err(error) => log_event!(events::SETTINGS_REFUSED, error = error),
    }
}
