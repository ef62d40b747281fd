//! Requests for a table to other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use rand::seq::SliceRandom;
use spurpier_core::time::Timestamp;
use spurpier_core::wire::LongText;
use spurpier_events::log_event;
use tokio::time::timeout;

use super::{Follower, RowSink, UpdateOutcome};
use crate::events;
use crate::forward::{Call, CallOutcome, Link, NodeEndpoint, Reply, WatcherAssignment, millis};
use crate::homes::PeerNode;
use crate::known_tables::{TableUpdates, table_number};

/// Maximum duration of one wait for updates of another node.
const UPDATES_WAIT: Duration = Duration::from_millis(1_200);
/// How long a starting node waits for a node that does not know the table yet, as when all nodes
/// start together: about as long as a read from the store takes.
const INITIAL_UPDATES_WAIT: Duration = Duration::from_millis(400);
/// Timeout for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the answer of a seed.
const SEED_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a restarting node waits for any seed: two round trips to another region.
const RESTART_SEED_TIMEOUT: Duration = Duration::from_millis(200);

fn peer_node(endpoint: NodeEndpoint) -> PeerNode {
    PeerNode {
        name: endpoint.name,
        address: endpoint.address,
        zone: endpoint.zone,
    }
}

/// Why a request for a table to another node failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerFailure {
    /// The node cannot be reached.
    Unreachable,
    /// No complete answer arrived in time.
    Unanswered,
    /// The node does not know the table, or is shutting down.
    NotServed,
    /// The node's version of the table is older than this node's.
    Behind,
    /// The updates are too old.
    Stale,
    /// The updates would give this node a different table than the other node has.
    Diverged,
}

impl PeerFailure {
    const fn label(self) -> &'static str {
        match self {
            PeerFailure::Unreachable => "unreachable",
            PeerFailure::Unanswered => "unanswered",
            PeerFailure::NotServed => "not_taken",
            PeerFailure::Behind => "behind",
            PeerFailure::Stale => "stale",
            PeerFailure::Diverged => "diverged",
        }
    }
}

impl<S: RowSink> Follower<S> {
    /// Waits for updates of another node and applies them; false if none arrived or they are stale.
    pub(super) async fn ask_peer(&mut self, peer: &PeerNode) -> bool {
        let asked_at = self.context.clock.now();
        let mut received_bytes = 0;
        match self.updates_from_peer(peer, &mut received_bytes).await {
            Ok(()) => true,
            Err(failure) => {
                self.record_peer_failure(peer, failure, asked_at, received_bytes);
                false
            }
        }
    }

    fn record_peer_failure(
        &self,
        peer: &PeerNode,
        failure: PeerFailure,
        asked_at: Timestamp,
        received_bytes: u64,
    ) {
        let context = &self.context;
        context.metrics.count_missed_updates(failure.label());
        let now = context.clock.now();
        if let Some(suppressed) = context.log_budget.take(events::UPDATES_MISSED, now) {
            log_event!(
                events::UPDATES_MISSED,
                table = format!("{:?}", self.table),
                node = peer.name,
                why = failure.label(),
                waited_ms = now.since(asked_at).as_millis(),
                received_bytes = received_bytes,
                suppressed = suppressed
            );
        }
    }

    /// Applies the updates of another node, and adds the bytes received to `received_bytes`.
    async fn updates_from_peer(
        &mut self,
        peer: &PeerNode,
        received_bytes: &mut u64,
    ) -> Result<(), PeerFailure> {
        let context = &self.context;
        let clock = &context.clock;
        let connect_until = clock.now() + CONNECT_TIMEOUT;
        let link = context.links.link(peer.address, clock, connect_until);
        let link = link.await.ok_or(PeerFailure::Unreachable)?;
        match self
            .updates_from_link(&link, &peer.name, received_bytes)
            .await
        {
            // The version was reset, so this call requests the whole table.
            Err(PeerFailure::Diverged) => {
                self.updates_from_link(&link, &peer.name, received_bytes)
                    .await
            }
            taken => taken,
        }
    }

    /// As [`Self::updates_from_peer`], over an open connection.
    async fn updates_from_link(
        &mut self,
        link: &Link,
        source: &str,
        received_bytes: &mut u64,
    ) -> Result<(), PeerFailure> {
        let clock = &self.context.clock;
        // The answer must arrive before the known table becomes stale.
        let fresh_for = (self.reported_at + self.timeouts.max_age()).since(clock.now());
        let wait = match self.version {
            Some(_) => UPDATES_WAIT.min(fresh_for),
            None => INITIAL_UPDATES_WAIT,
        };
        let asked_at = clock.now();
        let received_before = link.partial_bytes();
        let limit = wait + self.timeouts.peer_response_timeout();
        let answered = self.call(link, wait, limit).await;
        *received_bytes += link.partial_bytes() - received_before;
        let updates = answered?;
        let reported_at = updates.reported_at(asked_at);
        let age = self.context.clock.now().since(reported_at);
        match self.apply_updates(updates, reported_at, source) {
            UpdateOutcome::Applied => {}
            UpdateOutcome::Behind => return Err(PeerFailure::Behind),
            UpdateOutcome::Diverged => return Err(PeerFailure::Diverged),
        }
        if age >= self.timeouts.max_age() {
            return Err(PeerFailure::Stale);
        }
        Ok(())
    }

    async fn call(
        &self,
        link: &Link,
        wait: Duration,
        limit: Duration,
    ) -> Result<TableUpdates, PeerFailure> {
        let call = Call::Follow {
            table: table_number(self.table).ok_or(PeerFailure::NotServed)?,
            version: self.version,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let clock = &self.context.clock;
        let end = clock.instant(clock.now() + limit);
        match link.call_while_moving(call, end).await {
            CallOutcome::Replied(Reply::TableUpdates(updates)) => Ok(updates),
            CallOutcome::Replied(
                Reply::NotStarted | Reply::Answered(_) | Reply::Permits(_) | Reply::Watchers(_),
            ) => Err(PeerFailure::NotServed),
            CallOutcome::NotSent | CallOutcome::Lost => Err(PeerFailure::Unanswered),
        }
    }

    /// Returns the nodes that a starting node asks for the list of nodes, so that only a few nodes
    /// of a fleet read the whole list from the store. Empty if this node is to read it from the
    /// store.
    pub(super) async fn initial_watchers(&self) -> Vec<PeerNode> {
        let settings = &self.context.settings;
        if settings.seeds.contains(&settings.listen.control) {
            return Vec::new();
        }
        let assignment = if settings.node.first_start {
            self.ask_seeds_sequentially().await
        } else {
            self.ask_seeds_concurrently().await
        };
        match assignment {
            Some(assignment) if !assignment.is_watcher => {
                assignment.nodes.0.into_iter().map(peer_node).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Asks one seed after another, in random order, when the whole fleet starts. A seed delays its
    /// answer until it has read the list.
    async fn ask_seeds_sequentially(&self) -> Option<WatcherAssignment> {
        let mut seeds = self.other_seeds();
        seeds.shuffle(&mut rand::rng());
        for seed in seeds {
            let assignment = self.watchers_of_seed(seed, INITIAL_UPDATES_WAIT).await;
            if assignment.is_some() {
                return assignment;
            }
        }
        None
    }

    /// Asks all seeds at once and returns the first assignment. Seeds may be down or starting too,
    /// and a restarting node must not wait for them.
    async fn ask_seeds_concurrently(&self) -> Option<WatcherAssignment> {
        let seeds = self.other_seeds().into_iter();
        let mut asked: FuturesUnordered<_> = seeds
            .map(|seed| self.watchers_of_seed(seed, Duration::ZERO))
            .collect();
        let assignment = async {
            while let Some(assignment) = asked.next().await {
                if assignment.is_some() {
                    return assignment;
                }
            }
            None
        };
        timeout(RESTART_SEED_TIMEOUT, assignment)
            .await
            .ok()
            .flatten()
    }

    async fn watchers_of_seed(
        &self,
        seed: SocketAddr,
        wait: Duration,
    ) -> Option<WatcherAssignment> {
        let node = &self.context.settings.node;
        let link = Link::connect(seed).await?;
        let call = Call::Watchers {
            name: LongText(node.name.clone()),
            zone: LongText(node.zone.clone()),
            wait_ms: millis(wait),
        };
        let clock = &self.context.clock;
        let end = clock.instant(clock.now() + SEED_TIMEOUT);
        let outcome = link.call_while_moving(call, end).await;
        link.close();
        match outcome {
            CallOutcome::Replied(Reply::Watchers(assignment)) => Some(assignment),
            _ => None,
        }
    }

    fn other_seeds(&self) -> Vec<SocketAddr> {
        let settings = &self.context.settings;
        let seeds = settings.seeds.iter();
        let others = seeds.filter(|seed| **seed != settings.listen.control);
        others.copied().collect()
    }

    /// Reads the table from a seed if the store does not answer at the start.
    pub(super) async fn ask_seeds(&mut self) {
        for seed in self.other_seeds() {
            if self.ask_seed(seed).await {
                return;
            }
        }
    }

    async fn ask_seed(&mut self, seed: SocketAddr) -> bool {
        let Some(link) = Link::connect(seed).await else {
            return false;
        };
        let asked_at = self.context.clock.now();
        let updates = self.call(&link, Duration::ZERO, SEED_TIMEOUT).await;
        link.close();
        let Ok(updates) = updates else {
            return false;
        };
        log_event!(
            events::TABLE_COPIED_FROM_NODE,
            table = format!("{:?}", self.table),
            rows = updates.rows.0.len()
        );
        let reported_at = updates.reported_at(asked_at);
        self.apply_updates(updates, reported_at, &seed.to_string()) == UpdateOutcome::Applied
    }
}
