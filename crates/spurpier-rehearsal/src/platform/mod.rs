//! The stand-in of the platform: table service, object store, machine list, limits and faults.
//!
//! State lives in memory for the life of the server. Calls that steer the stand-in itself lie
//! under `/control` and are never limited or disturbed.

mod command;
mod counters;
mod faults;
mod guard;
mod handlers;
mod machines;
mod objects;
mod rate_limit;
mod state;
mod table;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

pub use command::{PlatformCommand, platform_command};
pub use counters::CounterReport;
pub use faults::{FaultKind, FaultSettings};
use state::PlatformState;

/// How a stand-in behaves from its start.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Calls a second that it takes; 0 is no limit.
    pub rate: u32,
    /// How long a change of the machines stays unseen.
    pub list_lag: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            rate: 0,
            list_lag: Duration::ZERO,
        }
    }
}

/// A running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    state: Arc<PlatformState>,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<std::io::Result<()>>,
}

impl PlatformServer {
    /// Starts a stand-in on the present tokio runtime.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(options: PlatformOptions) -> std::io::Result<PlatformServer> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(PlatformState::new(&options));
        let router = handlers::router(state.clone());
        let (stop, stopped) = oneshot::channel::<()>();
        let server = axum::serve(listener, router).with_graceful_shutdown(async {
            // An error means that the server was dropped, which stops it as well.
            let _ = stopped.await;
        });
        let task = tokio::spawn(async move { server.await });
        Ok(PlatformServer {
            address,
            state,
            stop: Some(stop),
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base address for clients, as in `http://127.0.0.1:8080`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Lets calls fail from now on, as `POST /control/faults` does.
    pub fn set_faults(&self, settings: FaultSettings) {
        self.state.faults.set(settings);
    }

    /// What was counted so far, as `GET /control/counters` gives it.
    pub fn counters(&self) -> CounterReport {
        self.state.counters.report()
    }

    /// Serves until the server fails.
    ///
    /// # Errors
    ///
    /// When the listener fails.
    pub async fn serve(mut self) -> std::io::Result<()> {
        let outcome = (&mut self.task).await;
        outcome.unwrap_or_else(|error| Err(std::io::Error::other(error)))
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The server may have ended by itself.
            let _ = stop.send(());
        }
        self.task.abort();
    }
}
