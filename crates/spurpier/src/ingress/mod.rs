//! The ingress side of a node: it speaks the PostgreSQL protocol with clients.
//!
//! A client's request goes through the phases of `connection.rs`, in this order: read the batch,
//! classify it, decide by the policy, open or continue a unit, relay the answer, finish. What is
//! known of the client between requests is in `ClientSession`; back-end connections belong to
//! the home side, which is reached only through [`UnitRunner`].

mod answer;
mod block;
mod cancel;
mod client_stream;
mod command;
mod connection;
mod counters;
mod extended;
mod frame;
mod local;
mod prepared;
mod reading;
mod reply;
mod run;
mod session;
mod setting;
mod simple;
mod startup;
mod startup_options;
mod unit;
mod work;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use error_stack::{Report, ResultExt};
use spurpier_core::policy::PolicyInForce;
use spurpier_core::statement::ClassificationCache;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use counters::{IngressCounters, LATENCY_BOUNDS_MICROS};

use crate::settings::Settings;
use crate::unit_runner::UnitRunner;
use crate::{events, log_event};
use cancel::CancelRegistry;

/// How many statement texts' classifications a node keeps.
const CLASSIFICATION_CACHE_CAPACITY: usize = 4_096;

/// How many connections may be in their start-up at the same time.
const CONCURRENT_STARTUPS: usize = 1_024;

/// How long the listener rests after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Everything that the ingress side needs from the rest of the node.
pub struct IngressContext {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// Runs units of work.
    pub runner: Arc<dyn UnitRunner>,
    /// The policy in force; none until the first is known.
    pub policy: Arc<ArcSwapOption<PolicyInForce>>,
    /// Where it counts what it does.
    pub counters: Arc<IngressCounters>,
}

/// The listener failed.
#[derive(Debug)]
pub struct IngressError {
    address: Option<SocketAddr>,
}

impl fmt::Display for IngressError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.address {
            Some(address) => write!(formatter, "the client listener on {address} failed"),
            None => formatter.write_str("the client listener has no address"),
        }
    }
}

impl std::error::Error for IngressError {}

/// What all client connections of a node share.
struct Shared {
    context: IngressContext,
    classifications: ClassificationCache,
    cancels: CancelRegistry,
    client_slots: Arc<Semaphore>,
    startup_slots: Arc<Semaphore>,
    /// Cancelled when the drain begins.
    draining: CancellationToken,
    /// Cancelled when the drain's time is over.
    drain_over: CancellationToken,
}

/// The ingress side of a node.
pub struct Ingress;

impl Ingress {
    /// Serves clients until `shutdown` is cancelled, then drains and returns.
    ///
    /// A drain closes idle clients at once and lets running batches and open transactions end,
    /// for at most `limits.drain_ms`.
    ///
    /// # Errors
    ///
    /// When the listener has no address.
    pub async fn serve(
        listener: TcpListener,
        context: IngressContext,
        shutdown: CancellationToken,
    ) -> Result<(), Report<IngressError>> {
        let address = listener
            .local_addr()
            .change_context(IngressError { address: None })?;
        let drain_time = Duration::from_millis(context.settings.limits.drain_ms);
        let shared = Arc::new(Shared::new(context, shutdown.clone()));
        let connections = TaskTracker::new();
        accept_until_cancelled(&listener, &shared, &connections, &shutdown).await;
        drop(listener);
        log_event!(
            events::ingress::DRAINING,
            address = address,
            clients = connections.len()
        );
        connections.close();
        if tokio::time::timeout(drain_time, connections.wait())
            .await
            .is_err()
        {
            log_event!(
                events::ingress::DRAIN_CUT_SHORT,
                clients = connections.len()
            );
            shared.drain_over.cancel();
            connections.wait().await;
        }
        Ok(())
    }
}

impl Shared {
    fn new(context: IngressContext, draining: CancellationToken) -> Self {
        let clients = context.settings.limits.clients;
        Shared {
            context,
            classifications: ClassificationCache::new(CLASSIFICATION_CACHE_CAPACITY),
            cancels: CancelRegistry::default(),
            client_slots: Arc::new(Semaphore::new(clients.min(Semaphore::MAX_PERMITS))),
            startup_slots: Arc::new(Semaphore::new(CONCURRENT_STARTUPS)),
            draining,
            drain_over: CancellationToken::new(),
        }
    }
}

async fn accept_until_cancelled(
    listener: &TcpListener,
    shared: &Arc<Shared>,
    connections: &TaskTracker,
    shutdown: &CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => start_connection(stream, peer, shared, connections),
            Err(error) => {
                log_event!(events::ingress::ACCEPT_FAILED, error = error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn start_connection(
    stream: TcpStream,
    peer: SocketAddr,
    shared: &Arc<Shared>,
    connections: &TaskTracker,
) {
    let Ok(startup_slot) = Arc::clone(&shared.startup_slots).try_acquire_owned() else {
        // Dropping the stream closes it; there is no room even for telling the client why.
        log_event!(
            events::ingress::CLIENT_REFUSED,
            peer = peer,
            reason = "startups"
        );
        return;
    };
    let shared = Arc::clone(shared);
    connections.spawn(async move {
        startup::serve_client(stream, peer, shared, startup_slot).await;
    });
}
