//! The membership state machine, which turns events into actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::config::MembershipConfig;
use super::detection::Detection;
use super::dissemination::DisseminationQueue;
use super::event::{Destination, MembershipAction, MembershipEvent};
use super::identity::{MemberIdentity, NodeKey};
use super::joining::JoinProgress;
use super::message::{MemberUpdate, MembershipMessage};
use super::status::{MemberState, MemberStatus};
use super::sync::SyncProgress;
use super::table::{MemberTable, MemberView};
use crate::time::Timestamp;
use crate::wire::List;

/// How many members are sent a change of this node's own state directly.
const ANNOUNCE_FAN_OUT: usize = 4;

/// One node's view of the cluster, and the protocol that keeps it up to date.
///
/// It does no I/O: the caller passes in events with the current time, carries out the returned
/// actions, and sends a [`MembershipEvent::Tick`] by each [`Membership::next_deadline`].
#[derive(Debug, Clone)]
pub struct Membership {
    pub(super) identity: Arc<MemberIdentity>,
    pub(super) key: NodeKey,
    pub(super) state: MemberState,
    pub(super) config: Arc<MembershipConfig>,
    pub(super) random: SmallRng,
    pub(super) table: MemberTable,
    pub(super) detection: Detection,
    pub(super) queue: DisseminationQueue,
    pub(super) join: JoinProgress,
    pub(super) sync: SyncProgress,
    pub(super) actions: Vec<MembershipAction>,
    last_event: Option<Timestamp>,
}

impl Membership {
    /// Creates a node that knows only itself and the gossip addresses through which to join.
    ///
    /// The incarnation must be higher than any earlier one of a node of this name. The seed
    /// initialises the generator of all random choices.
    pub fn new(
        identity: Arc<MemberIdentity>,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
        config: Arc<MembershipConfig>,
        seed: u64,
    ) -> Self {
        let table = MemberTable::new(
            identity.zone.clone(),
            identity.region.clone(),
            config.zone_unreachable_failures,
        );
        let own_address = identity.addresses.gossip;
        let seeds: Vec<SocketAddr> = seeds
            .into_iter()
            .filter(|address| *address != own_address)
            .collect();
        let mut random = SmallRng::seed_from_u64(seed);
        let detection = Detection::new(&config, &mut random);
        Membership {
            key: identity.key(),
            state: MemberState::alive(incarnation),
            table,
            detection,
            queue: DisseminationQueue::default(),
            join: JoinProgress::new(seeds, config.join_retry_initial),
            sync: SyncProgress::default(),
            identity,
            config,
            random,
            actions: Vec::new(),
            last_event: None,
        }
    }

    /// Adds live members known from elsewhere, each with its incarnation, without sending any
    /// message; the node then counts as joined.
    pub fn preload(&mut self, members: impl IntoIterator<Item = (Arc<MemberIdentity>, u64)>) {
        for (identity, incarnation) in members {
            let key = identity.key();
            if key != self.key && self.table.find(key).is_none() {
                self.table.insert(identity, MemberState::alive(incarnation));
            }
        }
        self.join.finished = true;
    }

    /// Handles an event at time `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: MembershipEvent) -> Vec<MembershipAction> {
        self.detect_freeze(now);
        match event {
            MembershipEvent::Tick => {}
            MembershipEvent::Received {
                sender,
                from,
                message,
            } => self.handle_message(now, sender, from, message),
            MembershipEvent::MachineList(machines) => self.handle_machine_list(now, &machines),
            MembershipEvent::Leave => self.announce(MemberStatus::Leaving),
            MembershipEvent::Stop => self.announce(MemberStatus::Left),
        }
        self.tick(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`MembershipEvent::Tick`] is due at the latest.
    pub fn next_deadline(&self) -> Timestamp {
        let detection = self.detection.next_deadline(&self.table, &self.config);
        match self.join.next_deadline() {
            Some(join) => detection.min(join),
            None => detection,
        }
    }

    /// Returns the key of this node.
    pub fn key(&self) -> NodeKey {
        self.key
    }

    /// Returns the identity of this node.
    pub fn identity(&self) -> &Arc<MemberIdentity> {
        &self.identity
    }

    /// Returns the state that this node reports of itself.
    pub fn state(&self) -> MemberState {
        self.state
    }

    /// Whether the whole view has been received from a peer (or preloaded).
    pub fn is_joined(&self) -> bool {
        self.join.finished
    }

    /// Returns the table of the other members.
    pub fn members(&self) -> &MemberTable {
        &self.table
    }

    /// Returns another member, if it is known.
    pub fn member(&self, key: NodeKey) -> Option<MemberView> {
        self.table.get(key)
    }

    /// Returns the digest of the view, this node included. Nodes with equal digests have equal
    /// views, except for suspicions.
    pub fn view_digest(&self) -> u64 {
        use super::table::state_digest;
        self.table.digest() ^ state_digest(self.key, self.state)
    }

    /// Estimates the memory that this node takes for membership, in bytes.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() - size_of::<MemberTable>()
            + self.table.memory_bytes()
            + self.queue.memory_bytes()
            + self.detection.memory_bytes()
            + self.identity.memory_bytes()
    }

    /// Picks random members as receivers for messages of other protocols.
    ///
    /// Returns up to `own_zone` usable members of the own zone and up to `others` of other zones.
    pub fn random_peers(&mut self, own_zone: usize, others: usize) -> Vec<Arc<MemberIdentity>> {
        let mut peers = Vec::with_capacity(own_zone + others);
        self.pick_members(own_zone, &mut peers, |table, member| {
            member.zone == 0 && table.is_usable(member)
        });
        self.pick_members(others, &mut peers, |table, member| {
            member.zone != 0 && table.is_usable(member)
        });
        peers
    }

    /// Adds up to `count` random members that satisfy `accept` to `picked`, none twice.
    pub(super) fn pick_members(
        &mut self,
        count: usize,
        picked: &mut Vec<Arc<MemberIdentity>>,
        accept: impl Fn(&MemberTable, &super::table::Member) -> bool,
    ) {
        /// Random slots tried for each requested member.
        const TRIES_PER_MEMBER: usize = 24;
        let slots = self.table.slot_count();
        let wanted = picked.len() + count;
        if slots == 0 {
            return;
        }
        if slots <= count * TRIES_PER_MEMBER {
            let mut order: Vec<usize> = (0..slots).collect();
            order.shuffle(&mut self.random);
            self.pick_from(order.into_iter(), wanted, picked, &accept);
            return;
        }
        let tries: Vec<usize> = (0..count * TRIES_PER_MEMBER)
            .map(|_| self.random.random_range(0..slots))
            .collect();
        self.pick_from(tries.into_iter(), wanted, picked, &accept);
    }

    fn pick_from(
        &self,
        slots: impl Iterator<Item = usize>,
        wanted: usize,
        picked: &mut Vec<Arc<MemberIdentity>>,
        accept: &impl Fn(&MemberTable, &super::table::Member) -> bool,
    ) {
        for slot in slots {
            if picked.len() >= wanted {
                return;
            }
            let Some(member) = self.table.at(slot as u32) else {
                continue;
            };
            let known = picked
                .iter()
                .any(|other| Arc::ptr_eq(other, &member.identity));
            if !known && accept(&self.table, member) {
                picked.push(member.identity.clone());
            }
        }
    }

    /// Returns an update with this node's own state and identity.
    pub(super) fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            key: self.key,
            state: self.state,
            identity: Some(self.identity.clone()),
        }
    }

    /// Announces a later status of this node; an earlier or equal one is ignored.
    fn announce(&mut self, status: MemberStatus) {
        if status <= self.state.status {
            return;
        }
        self.state.status = status;
        self.disseminate_own_state(None);
    }

    /// Sends the own state to a few members directly and to the others by gossip, with the
    /// identity if receivers may not know it.
    pub(super) fn disseminate_own_state(&mut self, identity: Option<Arc<MemberIdentity>>) {
        let update = MemberUpdate {
            identity,
            ..self.own_update()
        };
        self.queue.push(update.clone());
        let mut peers = Vec::new();
        self.pick_members(ANNOUNCE_FAN_OUT, &mut peers, |_, _| true);
        for peer in peers {
            let message = MembershipMessage::Updates(List(vec![update.clone()]));
            self.send(Destination::datagram(&peer), message);
        }
    }

    pub(super) fn send(&mut self, to: Destination, message: MembershipMessage) {
        self.actions.push(MembershipAction::Send { to, message });
    }

    /// Returns the duration with up to 10% jitter either way, so that nodes do not synchronise.
    pub(super) fn jittered(&mut self, duration: Duration) -> Duration {
        jittered(&mut self.random, duration)
    }

    /// Detects a pause in which this process did not run, and discards the observations from
    /// before: nodes that seem silent may have answered in the meantime.
    fn detect_freeze(&mut self, now: Timestamp) {
        let paused = self
            .last_event
            .is_some_and(|last| now.since(last) >= self.config.freeze_threshold);
        if paused && !self.table.is_empty() {
            self.detection.restart(now, &self.config);
            self.sync.allow_quick_syncs(now);
        }
        self.last_event = Some(now);
    }

    fn tick(&mut self, now: Timestamp) {
        if self.state.status == MemberStatus::Left {
            return;
        }
        self.retry_join(now);
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.send_probes(now);
    }
}

/// Returns the duration with up to 10% jitter either way.
pub(super) fn jittered(random: &mut SmallRng, duration: Duration) -> Duration {
    let micros = duration.as_micros() as u64;
    let tenth = micros / 10;
    Duration::from_micros(micros - tenth + random.random_range(0..=2 * tenth))
}
