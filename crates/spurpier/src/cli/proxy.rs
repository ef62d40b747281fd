//! `spurpier proxy`: runs one node until it is told to stop.

use error_stack::{Report, ResultExt};
use spurpier_core::identity::ZoneName;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

use super::{EXIT_DONE, ProxyArguments, fail};
use crate::events;
use crate::log_event;
use crate::logging;
use crate::node::{Node, NodeError};
use crate::settings::Settings;
use crate::settings::load::{Overrides, SettingsError, load};

pub(super) fn run(arguments: &ProxyArguments) -> u8 {
    let settings = match load_settings(arguments) {
        Ok(settings) => settings,
        Err(report) => return fail(&format!("{report:?}")),
    };
    if let Err(report) = logging::install(&settings.log) {
        return fail(&format!("{report:?}"));
    }
    let runtime = match signal_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run_node(settings)) {
        Ok(()) => EXIT_DONE,
        Err(report) => fail(&format!("{report:?}")),
    }
}

fn load_settings(arguments: &ProxyArguments) -> Result<Settings, Report<SettingsError>> {
    let overrides = Overrides {
        listen: arguments.listen,
        zone: arguments.zone.as_deref().map(ZoneName::from),
    };
    load(&arguments.settings, &overrides)
}

/// Runs the node until SIGTERM or SIGINT has drained it; a second signal stops it at once.
async fn run_node(settings: Settings) -> Result<(), Report<NodeError>> {
    let mut terminate = signal(SignalKind::terminate()).change_context(NodeError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(NodeError::Signals)?;
    let node = Node::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let drained = tokio::select! {
        () = node.drain() => true,
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
    };
    if !drained {
        log_event!(events::node::STOPPED_IMMEDIATELY);
    }
    node.kill();
    Ok(())
}

/// The runtime of the signals alone; the node has threads of its own.
fn signal_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
