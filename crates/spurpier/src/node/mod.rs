//! A node: the parts of a proxy, started together and stopped together.
//!
//! A process may run many nodes; nothing here is global. The logger belongs to the program.

mod cluster;
mod metrics;
mod parts;
mod status;

use std::fmt;
use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use tokio::runtime::{Builder, Runtime};

use self::parts::Parts;
use crate::settings::Settings;

/// Why a node could not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeError {
    /// The threads of the node could not be started.
    Runtime,
    /// An address could not be bound.
    Bind {
        /// The listener's name in the settings.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
    },
    /// The platform's address cannot be used.
    Platform,
    /// The handlers of the stop signals could not be installed.
    Signals,
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Runtime => formatter.write_str("the node's threads cannot be started"),
            NodeError::Bind { listener, address } => {
                write!(formatter, "listen.{listener} cannot be bound to {address}")
            }
            NodeError::Platform => formatter.write_str("platform.url cannot be used"),
            NodeError::Signals => formatter.write_str("the stop signals cannot be handled"),
        }
    }
}

impl std::error::Error for NodeError {}

/// The addresses on which a node listens, with the ports that the system chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundAddresses {
    /// PostgreSQL clients.
    pub client: SocketAddr,
    /// The admin endpoint.
    pub admin: SocketAddr,
    /// Work forwarded by other nodes.
    pub internal: SocketAddr,
    /// Membership and policy gossip.
    pub gossip: SocketAddr,
}

/// Starts nodes.
#[derive(Debug)]
pub struct Node;

impl Node {
    /// Starts a node with one thread for each core; see [`Node::start_with_threads`].
    ///
    /// # Errors
    ///
    /// As [`Node::start_with_threads`].
    pub async fn start(settings: Settings) -> Result<RunningNode, Report<NodeError>> {
        Self::start_on(Builder::new_multi_thread(), settings).await
    }

    /// Starts a node and returns when it listens; it may not know a policy yet.
    ///
    /// The node runs on `threads` threads of its own, so that it can be stopped as a whole, as
    /// if its process had died. `threads` must not be 0.
    ///
    /// # Errors
    ///
    /// `Runtime` if the threads cannot be started, `Bind` if an address of the settings cannot be
    /// bound, `Platform` if the platform's address cannot be used.
    pub async fn start_with_threads(
        settings: Settings,
        threads: usize,
    ) -> Result<RunningNode, Report<NodeError>> {
        let mut builder = Builder::new_multi_thread();
        builder.worker_threads(threads);
        Self::start_on(builder, settings).await
    }

    async fn start_on(
        mut builder: Builder,
        settings: Settings,
    ) -> Result<RunningNode, Report<NodeError>> {
        let runtime = builder
            .enable_all()
            .thread_name(settings.node.name.as_str())
            .build()
            .change_context(NodeError::Runtime)?;
        let started = runtime.spawn(Parts::start(settings)).await;
        match started.change_context(NodeError::Runtime).flatten() {
            Ok(parts) => Ok(RunningNode {
                parts,
                runtime: Some(runtime),
            }),
            Err(report) => {
                // Dropping a runtime inside another one is not allowed.
                runtime.shutdown_background();
                Err(report)
            }
        }
    }
}

/// A node that runs; dropping it stops it at once.
#[derive(Debug)]
pub struct RunningNode {
    parts: Parts,
    /// None only after the node has been dropped.
    runtime: Option<Runtime>,
}

impl RunningNode {
    /// The addresses on which the node listens.
    pub fn addresses(&self) -> BoundAddresses {
        self.parts.addresses()
    }

    /// Takes no new work and finishes what is in flight within `limits.drain_ms`.
    ///
    /// The admin endpoint answers until the node is dropped.
    pub async fn drain(&self) {
        self.parts.drain().await;
    }

    /// Stops at once and cuts what is in flight, as when the process dies.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
