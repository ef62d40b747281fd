//! The state machine that keeps a node's document at the newest version.

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

/// A read from the platform that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadFailure {
    /// How long the platform asks to be left alone.
    pub retry_after: Option<Duration>,
}

/// What happens to the spread of documents on a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionEvent {
    /// The time of [`Distribution::next_deadline`] has come (or any other time).
    Tick,
    /// A message arrived.
    Received {
        /// The node that sent it.
        sender: NodeKey,
        /// The message.
        message: DistributionMessage,
    },
    /// A peer told its version in some message.
    PeerVersion {
        /// The peer.
        peer: NodeKey,
        /// Its version.
        version: u64,
    },
    /// This node has become a watcher of its zone, or is one no more.
    Watching(bool),
    /// The answer to [`DistributionAction::ReadHead`]: the version of the head.
    HeadRead(Result<u64, ReadFailure>),
    /// The answer to [`DistributionAction::FetchChanges`].
    ChangesFetched(Result<FetchedChanges, ReadFailure>),
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DistributionAction {
    /// Send a message to one peer.
    Send {
        /// The peer.
        to: NodeKey,
        /// The message.
        message: DistributionMessage,
        /// How it travels.
        transport: Transport,
    },
    /// Send a message to random peers.
    Push {
        /// How many in the own zone.
        own_zone: usize,
        /// How many in other zones.
        other_zones: usize,
        /// The message.
        message: DistributionMessage,
        /// How it travels.
        transport: Transport,
    },
    /// Read the head from the platform; answer with [`DistributionEvent::HeadRead`] in any case.
    ReadHead,
    /// Read the changes after `since` up to the head, or the whole document when there are too
    /// many; answer with [`DistributionEvent::ChangesFetched`] in any case.
    FetchChanges {
        /// The version that this node has.
        since: u64,
        /// The version of the head that was read.
        head: u64,
    },
    /// A newer version is in force on this node.
    Installed {
        /// The version.
        version: u64,
    },
}

/// A request for changes that is to be sent.
#[derive(Debug, Clone, Copy)]
struct Repair {
    peer: NodeKey,
    due: Timestamp,
}

/// The spread of documents as one node takes part in it.
#[derive(Debug, Clone)]
pub struct Distribution<S> {
    store: S,
    config: Arc<DistributionConfig>,
    random: SmallRng,
    watcher: Watcher,
    newest_known_version: u64,
    repair: Option<Repair>,
    repair_backoff: Duration,
    /// No request for changes leaves before this time.
    repair_not_before: Timestamp,
    /// A delta did not give the announced digest: only a whole document helps.
    needs_snapshot: bool,
    actions: Vec<DistributionAction>,
}

impl<S: DocumentStore> Distribution<S> {
    /// A node that holds the document of `store`.
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

    /// The document in force.
    pub fn document(&self) -> &Document {
        self.store.document()
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.store.document().version()
    }

    /// The bytes of state that this node holds for the spread, the document included.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() - size_of::<S>() + self.store.document().memory_bytes()
    }

    /// When [`DistributionEvent::Tick`] is due at the latest.
    pub fn next_deadline(&self) -> Timestamp {
        let repair = self.repair.map(|repair| repair.due);
        let watcher = self.watcher.next_deadline();
        [repair, watcher]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Timestamp::from_micros(u64::MAX))
    }

    /// Takes an event at time `now` and gives what is to be done.
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

    /// Notes a peer's version; a newer one is asked for unless it arrives by itself soon.
    fn record_peer_version(&mut self, now: Timestamp, peer: NodeKey, version: u64) {
        self.newest_known_version = self.newest_known_version.max(version);
        if version <= self.version() {
            return;
        }
        if let Some(repair) = &mut self.repair {
            // A request that has to wait goes to any of those heard of meanwhile.
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

    /// Passes a delta on to a few random peers.
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
