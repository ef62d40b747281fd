//! The runner that opens each unit at a home of its database.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use spurpier_core::reason::Reason;
use spurpier_protocol::frame::MAX_MESSAGE_BYTES;
use spurpier_protocol::unit::{Batch, UnitOutput, UnitRequest, UnitResult};
use tokio::sync::mpsc;

use super::peer::Peer;
use super::peers::Peers;
use super::remote_unit::{self, IngressChannels, RemoteEnd};
use crate::cluster::homes::{HomeDirectory, HomePlace};
use crate::unit_runner::{UNIT_CHANNEL_CAPACITY, UnitHandle, UnitRunner};

/// When a client should come back after no home could be reached, in milliseconds.
const RETRY_AFTER_MS: u32 = 200;

/// Runs units on this node or forwards them to a home node.
#[derive(Clone)]
pub struct ForwardingRunner {
    local: Arc<dyn UnitRunner>,
    homes: Arc<dyn HomeDirectory>,
    peers: Arc<Peers>,
}

impl fmt::Debug for ForwardingRunner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ForwardingRunner")
            .field("peers", &self.peers)
            .finish_non_exhaustive()
    }
}

impl ForwardingRunner {
    /// A runner that runs units on `local` where this node is a home.
    pub fn new(
        local: Arc<dyn UnitRunner>,
        homes: Arc<dyn HomeDirectory>,
        peers: Arc<Peers>,
    ) -> Self {
        ForwardingRunner {
            local,
            homes,
            peers,
        }
    }
}

impl UnitRunner for ForwardingRunner {
    fn open(&self, request: UnitRequest, first: Batch) -> UnitHandle {
        let homes = self.homes.homes(&request.database);
        if homes.first() == Some(&HomePlace::Local) {
            return self.local.open(request, first);
        }
        let (input, unit_input) = mpsc::channel(UNIT_CHANNEL_CAPACITY);
        let (unit_output, output) = mpsc::channel(UNIT_CHANNEL_CAPACITY);
        let forwarding = Forwarding {
            runner: self.clone(),
            opened_at: Instant::now(),
            patience: Duration::from_millis(u64::from(request.max_wait_ms)),
            request,
            first,
            channels: IngressChannels {
                input: unit_input,
                output: unit_output,
            },
        };
        tokio::spawn(forwarding.run(homes));
        UnitHandle { input, output }
    }
}

/// A unit that looks for its home.
struct Forwarding {
    runner: ForwardingRunner,
    opened_at: Instant,
    patience: Duration,
    request: UnitRequest,
    first: Batch,
    channels: IngressChannels,
}

impl Forwarding {
    async fn run(mut self, homes: Vec<HomePlace>) {
        if self.first.messages.len() > MAX_MESSAGE_BYTES {
            return self.not_run(Reason::TooLarge).await;
        }
        let mut reason = Reason::HomeUnreachable;
        for (attempt, home) in homes.into_iter().enumerate() {
            if self.channels.are_abandoned() {
                return;
            }
            if attempt > 0 {
                if self.waited() >= self.patience {
                    break;
                }
                self.runner.peers.counters().units_retried();
            }
            let address = match home {
                HomePlace::Local => return self.run_locally().await,
                HomePlace::Remote(address) => address,
            };
            let peer = self.runner.peers.peer(&address);
            peer.record_attempt();
            match self.run_at(&peer).await {
                RemoteEnd::Ended => return,
                // The ingress side learns of the loss by the end of its channel.
                RemoteEnd::Lost => return self.runner.peers.counters().units_lost(),
                RemoteEnd::NotOpened(why) => reason = why,
            }
            // A home that cannot be reached or stops has had no part in the unit. One that has
            // too much work would pass its load on to the others.
            if reason == Reason::Overloaded && !peer.try_retry() {
                reason = Reason::RetryBudgetSpent;
                break;
            }
        }
        self.not_run(reason).await;
    }

    fn waited(&self) -> Duration {
        self.opened_at.elapsed()
    }

    async fn run_at(&mut self, peer: &Arc<Peer>) -> RemoteEnd {
        let remaining = self.patience.saturating_sub(self.waited());
        let Ok(connection) = peer.connection(remaining).await else {
            return RemoteEnd::NotOpened(Reason::HomeUnreachable);
        };
        self.runner.peers.counters().units_forwarded();
        let waited = self.waited();
        let request = self.request.clone();
        // Kept, since another home may have to be tried.
        let first = self.first.clone();
        remote_unit::run(&connection, &mut self.channels, request, first, waited).await
    }

    /// Runs the unit on this node after other homes could not be reached.
    async fn run_locally(mut self) {
        let waited = u32::try_from(self.waited().as_millis()).unwrap_or(u32::MAX);
        self.request.max_wait_ms = self.request.max_wait_ms.saturating_sub(waited);
        let mut handle = self.runner.local.open(self.request, self.first);
        let IngressChannels {
            mut input,
            output: ingress,
        } = self.channels;
        let mut has_input = true;
        loop {
            tokio::select! {
                output = handle.output.recv() => match output {
                    Some(output) => {
                        if ingress.send(output).await.is_err() {
                            return;
                        }
                    }
                    None => return,
                },
                message = input.recv(), if has_input => match message {
                    // An ended unit takes no more.
                    Some(message) => has_input = handle.input.send(message).await.is_ok(),
                    None => return,
                },
                () = ingress.closed() => return,
            }
        }
    }

    async fn not_run(self, reason: Reason) {
        let result = UnitResult::NotRun {
            reason,
            retry_after_ms: RETRY_AFTER_MS,
        };
        // An ingress side that has gone needs no result.
        let _ = self
            .channels
            .output
            .send(UnitOutput::Finished(result))
            .await;
    }
}
