//! The state machine that keeps a node's document up to date.

use std::sync::Arc;
use std::time::Duration;

use nanoserde::SerBin;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::document::{ApplyError, Document, DocumentStore, difference};
use super::message::{Delta, DistributionMessage, FetchedChanges, Snapshot};
use super::settings::DistributionConfig;
use super::watcher::Watcher;
use crate::membership::{NodeKey, Transport};
use crate::time::Timestamp;

/// A failed read from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadFailure {
    /// The minimum delay before the next read that the platform asked for, if any.
    pub retry_after: Option<Duration>,
}

/// An input of [`Distribution`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionEvent {
    /// Time has passed.
    ///
    /// Must be delivered by [`Distribution::next_deadline`] and may be delivered at any time.
    Tick,
    /// A message arrived.
    Received {
        /// The node that sent it.
        sender: NodeKey,
        /// The message.
        message: DistributionMessage,
    },
    /// A peer announced its installed version.
    PeerVersion {
        /// The peer.
        peer: NodeKey,
        /// The version that the peer has installed.
        version: u64,
    },
    /// Whether this node is now a watcher of its zone.
    Watching(bool),
    /// The result of [`DistributionAction::ReadHead`]: the version of the head.
    HeadRead(Result<u64, ReadFailure>),
    /// The result of [`DistributionAction::FetchChanges`].
    ChangesFetched(Result<FetchedChanges, ReadFailure>),
}

/// An operation that the caller of [`Distribution::handle`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionAction {
    /// Send a message to one peer.
    Send {
        /// The peer.
        to: NodeKey,
        /// The message.
        message: DistributionMessage,
        /// The transport to use.
        transport: Transport,
    },
    /// Send a message to random peers.
    Push {
        /// The number of recipients in the node's own zone.
        own_zone: usize,
        /// The number of recipients in other zones.
        other_zones: usize,
        /// The message.
        message: DistributionMessage,
        /// The transport to use.
        transport: Transport,
    },
    /// Read the head from the platform.
    ///
    /// The caller always responds with [`DistributionEvent::HeadRead`], also after a failure.
    ReadHead,
    /// Read the changes after `since` up to the head, or the complete document if there are too
    /// many of them.
    ///
    /// The caller always responds with [`DistributionEvent::ChangesFetched`], also after a
    /// failure.
    FetchChanges {
        /// The version that this node has installed.
        since: u64,
        /// The version of the head that was read.
        head: u64,
    },
    /// A newer version was installed on this node.
    Installed {
        /// The version.
        version: u64,
    },
}

/// A scheduled request for changes to a peer.
#[derive(Debug, Clone, Copy)]
struct Repair {
    peer: NodeKey,
    due: Timestamp,
}

/// Keeps the document of one node up to date by gossip and, on a watcher, by polling the
/// platform.
#[derive(Debug, Clone)]
pub struct Distribution<S> {
    store: S,
    config: Arc<DistributionConfig>,
    random: SmallRng,
    watcher: Watcher,
    newest_known_version: u64,
    repair: Option<Repair>,
    repair_backoff: Duration,
    /// The earliest time for the next request for changes.
    repair_not_before: Timestamp,
    /// A delta did not produce the announced digest, so a snapshot is required.
    needs_snapshot: bool,
    actions: Vec<DistributionAction>,
}

impl<S: DocumentStore> Distribution<S> {
    /// Creates the state of a node that has installed the document in `store`.
    ///
    /// `seed` initializes the generator for jitter and choices between peers.
    pub fn new(store: S, config: Arc<DistributionConfig>, seed: u64) -> Self {
        let repair_backoff = config.repair_interval;
        Distribution {
            store,
            config,
            random: SmallRng::seed_from_u64(seed),
            watcher: Watcher::new(),
            newest_known_version: 0,
            repair: None,
            repair_backoff,
            repair_not_before: Timestamp::ZERO,
            needs_snapshot: false,
            actions: Vec::new(),
        }
    }

    /// The installed document.
    pub fn document(&self) -> &Document {
        self.store.document()
    }

    /// The version of the installed document; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.store.document().version()
    }

    /// The estimated memory used by this state and the document, in bytes.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() - size_of::<S>() + self.store.document().memory_bytes()
    }

    /// The time by which [`DistributionEvent::Tick`] must be delivered.
    ///
    /// The maximum timestamp if nothing is scheduled.
    pub fn next_deadline(&self) -> Timestamp {
        let repair = self.repair.map(|repair| repair.due);
        let watcher = self.watcher.next_deadline();
        [repair, watcher]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Timestamp::from_micros(u64::MAX))
    }

    /// Handles an event at time `now` and returns the actions to perform.
    pub fn handle(&mut self, now: Timestamp, event: DistributionEvent) -> Vec<DistributionAction> {
        match event {
            DistributionEvent::Tick => {}
            DistributionEvent::Received { sender, message } => {
                self.handle_message(now, sender, message)
            }
            DistributionEvent::PeerVersion { peer, version } => {
                self.record_peer_version(now, peer, version)
            }
            DistributionEvent::Watching(active) => {
                self.watcher
                    .set_active(now, active, &self.config, &mut self.random);
            }
            DistributionEvent::HeadRead(answer) => self.handle_head_read(now, answer),
            DistributionEvent::ChangesFetched(answer) => self.handle_fetched_changes(now, answer),
        }
        self.tick(now);
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Timestamp) {
        if self.watcher.start_due_poll(now) {
            self.actions.push(DistributionAction::ReadHead);
        }
        let since = self.version();
        if self.watcher.start_due_fetch(now, since) {
            let head = self.watcher.head;
            self.actions
                .push(DistributionAction::FetchChanges { since, head });
        }
        self.send_repair(now);
    }

    fn handle_message(&mut self, now: Timestamp, sender: NodeKey, message: DistributionMessage) {
        match message {
            DistributionMessage::Changes(delta) => self.apply_delta(now, Some(sender), delta),
            DistributionMessage::Request { since } => self.answer_request(sender, since),
            DistributionMessage::Snapshot(snapshot) => self.apply_snapshot(&snapshot),
        }
    }

    /// Records the version of a peer and schedules a request if it is newer.
    ///
    /// The request is dropped if the version arrives before it is due.
    fn record_peer_version(&mut self, now: Timestamp, peer: NodeKey, version: u64) {
        self.newest_known_version = self.newest_known_version.max(version);
        if version <= self.version() {
            return;
        }
        if let Some(repair) = &mut self.repair {
            // A pending request goes to a random one of the peers that announced a newer version.
            if self.random.random() {
                repair.peer = peer;
            }
            return;
        }
        let delay = match self.version() {
            0 => Duration::ZERO,
            _ => self.config.repair_delay,
        };
        let due = (now + delay).max(self.repair_not_before);
        self.repair = Some(Repair { peer, due });
    }

    fn send_repair(&mut self, now: Timestamp) {
        let Some(repair) = self.repair else {
            return;
        };
        if self.newest_known_version <= self.version() {
            self.repair = None;
            self.repair_backoff = self.config.repair_interval;
            return;
        }
        if repair.due > now {
            return;
        }
        self.repair = None;
        let jitter = self
            .random
            .random_range(0..=self.repair_backoff.as_micros() as u64 / 2);
        self.repair_not_before = now + self.repair_backoff + Duration::from_micros(jitter);
        self.repair_backoff = (self.repair_backoff * 2).min(self.config.repair_backoff_max);
        let since = match self.needs_snapshot {
            true => 0,
            false => self.version(),
        };
        self.actions.push(DistributionAction::Send {
            to: repair.peer,
            message: DistributionMessage::Request { since },
            transport: Transport::Datagram,
        });
    }

    fn answer_request(&mut self, requester: NodeKey, since: u64) {
        if since >= self.version() {
            return;
        }
        let document = self.store.document();
        let message = match document.delta_since(since) {
            Some(delta) => DistributionMessage::Changes(delta),
            None => DistributionMessage::Snapshot(document.snapshot()),
        };
        let transport = self.transport_for(message.serialize_bin().len());
        self.actions.push(DistributionAction::Send {
            to: requester,
            message,
            transport,
        });
    }

    fn apply_delta(&mut self, now: Timestamp, sender: Option<NodeKey>, delta: Delta) {
        self.newest_known_version = self.newest_known_version.max(delta.version);
        let applied = self.store.apply(&delta, self.config.retained_changes);
        match applied {
            Ok(()) => {
                self.record_installed();
                self.push(delta);
            }
            Err(ApplyError::NotNewer) => {}
            Err(error) => {
                self.needs_snapshot |= error == ApplyError::DigestMismatch;
                if let Some(peer) = sender {
                    self.record_peer_version(now, peer, delta.version);
                }
            }
        }
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        self.newest_known_version = self.newest_known_version.max(snapshot.version);
        if self.store.replace(snapshot).is_ok() {
            self.record_installed();
        }
    }

    fn record_installed(&mut self) {
        self.needs_snapshot = false;
        self.repair_backoff = self.config.repair_interval;
        self.repair_not_before = Timestamp::ZERO;
        let version = self.version();
        self.actions.push(DistributionAction::Installed { version });
    }

    /// Pushes a delta to a few random peers, unless it is larger than `push_bytes`.
    fn push(&mut self, delta: Delta) {
        let message = DistributionMessage::Changes(delta);
        let bytes = message.serialize_bin().len();
        if bytes > self.config.push_bytes {
            return;
        }
        let transport = self.transport_for(bytes);
        self.actions.push(DistributionAction::Push {
            own_zone: self.config.own_zone_fan_out,
            other_zones: self.config.other_zone_fan_out,
            message,
            transport,
        });
    }

    fn transport_for(&self, bytes: usize) -> Transport {
        match bytes <= self.config.datagram_bytes {
            true => Transport::Datagram,
            false => Transport::Stream,
        }
    }

    fn handle_head_read(&mut self, now: Timestamp, answer: Result<u64, ReadFailure>) {
        let version = self.version();
        match answer {
            Ok(head) => {
                self.watcher
                    .record_head_read(now, head, version, &self.config, &mut self.random);
            }
            Err(failure) => {
                let retry_after = failure.retry_after;
                self.watcher
                    .record_read_failure(now, retry_after, &self.config, &mut self.random);
            }
        }
    }

    fn handle_fetched_changes(
        &mut self,
        now: Timestamp,
        answer: Result<FetchedChanges, ReadFailure>,
    ) {
        let failure = answer.as_ref().err().map(|failure| failure.retry_after);
        self.watcher
            .record_fetch(now, failure, &self.config, &mut self.random);
        match answer {
            Ok(FetchedChanges::Deltas(deltas)) => {
                for delta in deltas {
                    self.apply_delta(now, None, delta);
                }
            }
            Ok(FetchedChanges::FullDocument { version, entries }) => {
                if version > self.version() {
                    let delta = difference(self.store.document(), version, &entries);
                    self.apply_delta(now, None, delta);
                }
            }
            Err(_) => {}
        }
    }
}
