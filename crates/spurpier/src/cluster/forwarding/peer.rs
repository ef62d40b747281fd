//! One other node: its connection, its failures and its retry budget.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use error_stack::{Report, ResultExt};
use spurpier_core::retry::{Backoff, RetryBudget, RetryBudgetSettings};
use spurpier_core::time::Timestamp;
use tokio::net::TcpStream;

use super::connection::Connection;
use super::counters::ForwardingCounters;
use super::handshake::{Established, HandshakeError, NodeLife, exchange_hellos};
use super::timing::ForwardingTiming;
use crate::cluster::homes::HomeAddress;
use crate::events::cluster::PEER_UNREACHABLE;
use crate::log_event;

/// The longest first pause before a peer is called again that could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// What is kept of a peer's failures.
#[derive(Debug)]
struct Failures {
    backoff: Backoff,
    /// Until when the peer is not called.
    not_before: Option<Instant>,
}

/// One other node as the ingress side sees it.
#[derive(Debug)]
pub(super) struct Peer {
    address: HomeAddress,
    own: NodeLife,
    timing: ForwardingTiming,
    counters: Arc<ForwardingCounters>,
    connection: ArcSwapOption<Connection>,
    /// Held while a connection is made, so that one call serves all who wait.
    connecting: tokio::sync::Mutex<()>,
    failures: Mutex<Failures>,
    budget: Mutex<RetryBudget>,
    started: Instant,
}

impl Peer {
    pub fn new(
        address: HomeAddress,
        own: NodeLife,
        timing: ForwardingTiming,
        counters: Arc<ForwardingCounters>,
    ) -> Peer {
        let budget = RetryBudget::new(RetryBudgetSettings::default(), Timestamp::ZERO);
        Peer {
            address,
            own,
            timing,
            counters,
            connection: ArcSwapOption::empty(),
            connecting: tokio::sync::Mutex::new(()),
            failures: Mutex::new(Failures {
                backoff: Backoff::new(FIRST_PAUSE, timing.pause),
                not_before: None,
            }),
            budget: Mutex::new(budget),
            started: Instant::now(),
        }
    }

    /// Where it is reached.
    pub fn address(&self) -> &HomeAddress {
        &self.address
    }

    /// Notes a unit that goes to this peer first.
    pub fn record_attempt(&self) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_attempt();
    }

    /// Takes a retry out of the budget of the units that failed at this peer.
    pub fn try_retry(&self) -> bool {
        let now = Timestamp::ZERO + self.started.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_retry(now)
    }

    /// The connection, made within `patience` if there is none.
    ///
    /// Fails at once for a while after it could not be made.
    pub async fn connection(
        self: &Arc<Self>,
        patience: Duration,
    ) -> Result<Arc<Connection>, HandshakeError> {
        if let Some(connection) = self.open_connection() {
            return Ok(connection);
        }
        // A task of its own: a caller with little patience must not undo the work for others.
        let peer = Arc::clone(self);
        let connecting = tokio::spawn(async move { peer.connect().await });
        match tokio::time::timeout(patience, connecting).await {
            Ok(Ok(connected)) => connected,
            Ok(Err(_)) => Err(HandshakeError::Connection),
            Err(_) => Err(HandshakeError::Timeout),
        }
    }

    fn open_connection(&self) -> Option<Arc<Connection>> {
        let connection = self.connection.load_full();
        connection.filter(|connection| connection.is_open())
    }

    async fn connect(&self) -> Result<Arc<Connection>, HandshakeError> {
        let _only_one = self.connecting.lock().await;
        if let Some(connection) = self.open_connection() {
            return Ok(connection);
        }
        if self.is_paused() {
            return Err(HandshakeError::Connection);
        }
        let established = tokio::time::timeout(self.timing.connect, self.call())
            .await
            .unwrap_or_else(|_| Err(Report::new(HandshakeError::Timeout)));
        match established {
            Ok(established) => Ok(self.connected(established)),
            Err(report) => {
                self.failed(&report);
                Err(report.current_context().clone())
            }
        }
    }

    async fn call(&self) -> Result<Established, Report<HandshakeError>> {
        let stream = TcpStream::connect(self.address.internal)
            .await
            .change_context(HandshakeError::Connection)?;
        let established = exchange_hellos(stream, &self.own, self.timing.connect).await?;
        if established.peer.node != self.address.node {
            established.sender.closed().cancel();
            let found = established.peer.node;
            return Err(Report::new(HandshakeError::OtherNode(found)));
        }
        Ok(established)
    }

    fn connected(&self, established: Established) -> Arc<Connection> {
        let connection = Connection::start(established, self.timing, self.counters.clone());
        self.connection.store(Some(connection.clone()));
        let mut failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        failures.backoff.reset();
        failures.not_before = None;
        connection
    }

    fn is_paused(&self) -> bool {
        let failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        failures
            .not_before
            .is_some_and(|not_before| Instant::now() < not_before)
    }

    fn failed(&self, report: &Report<HandshakeError>) {
        self.counters.connections_failed();
        let mut failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = failures.not_before.is_none();
        let pause = failures.backoff.next_delay(rand::random());
        failures.not_before = Some(Instant::now() + pause);
        if is_first {
            log_event!(
                PEER_UNREACHABLE,
                node = self.address.node,
                address = self.address.internal,
                error = report.current_context()
            );
        }
    }
}
