//! Joins the cluster through a seed, and admits joining nodes.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use super::dissemination::DisseminationQueue;
use super::event::{Destination, Transport};
use super::identity::NodeKey;
use super::machine::Membership;
use super::message::{MemberUpdate, MembershipMessage};
use crate::time::Timestamp;
use crate::wire::List;

/// The minimum interval between two whole views that this node sends to joining nodes.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);

/// The progress of this node's own join.
#[derive(Debug, Clone)]
pub(super) struct JoinProgress {
    pub(super) seeds: Vec<SocketAddr>,
    next_try: Timestamp,
    wait: Duration,
    /// Whether the whole view was received (or preloaded).
    pub(super) finished: bool,
}

impl JoinProgress {
    /// Creates the state of a node that has not joined; its first attempt is due immediately.
    pub(super) fn new(seeds: Vec<SocketAddr>, wait: Duration) -> Self {
        JoinProgress {
            seeds,
            next_try: Timestamp::ZERO,
            wait,
            finished: false,
        }
    }

    /// Returns when the next attempt is due; `None` after the join or without seeds.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        let waiting = !self.finished && !self.seeds.is_empty();
        waiting.then_some(self.next_try)
    }
}

impl Membership {
    /// Adds a joining node to the view and sends it the whole view.
    pub(super) fn admit(&mut self, now: Timestamp, update: MemberUpdate) {
        let Some(identity) = update.identity.clone() else {
            return;
        };
        if now < self.sync.next_admission {
            return;
        }
        self.sync.next_admission = now + ADMISSION_INTERVAL;
        self.merge(now, None, std::slice::from_ref(&update));
        let mut states: Vec<MemberUpdate> = self
            .table
            .raw_members()
            .filter(|member| member.key != update.key)
            .map(|member| MemberUpdate {
                key: member.key,
                state: member.state(),
                identity: Some(member.identity.clone()),
            })
            .collect();
        states.push(self.own_update());
        states.extend(self.departed_update(update.key));
        let message = MembershipMessage::FullView(List(states));
        self.send(Destination::stream(&identity), message);
    }

    /// Returns the update that a joining node has to refute if an earlier incarnation of its name
    /// is recorded as departed.
    fn departed_update(&self, key: NodeKey) -> Option<MemberUpdate> {
        let state = self.table.departed(key)?;
        Some(MemberUpdate {
            key,
            state,
            identity: None,
        })
    }

    pub(super) fn handle_full_view(&mut self, now: Timestamp, updates: &[MemberUpdate]) {
        let was_joined = self.join.finished;
        for update in updates {
            self.merge(now, None, std::slice::from_ref(update));
        }
        self.join.finished = true;
        if !was_joined {
            self.sync.allow_quick_syncs(now);
            // The other nodes already know the updates in the view.
            self.queue = DisseminationQueue::default();
            self.disseminate_own_state(Some(self.identity.clone()));
        }
    }

    /// Sends a join to a random seed if an attempt is due.
    pub(super) fn retry_join(&mut self, now: Timestamp) {
        let due = self.join.next_deadline().is_some_and(|next| next <= now);
        if !due {
            return;
        }
        let chosen = self.random.random_range(0..self.join.seeds.len());
        let address = self.join.seeds[chosen];
        let wait = self.jittered(self.join.wait);
        self.join.next_try = now + wait;
        self.join.wait = (self.join.wait * 2).min(self.config.join_retry_max);
        self.send_join(address);
    }

    pub(super) fn send_join(&mut self, address: SocketAddr) {
        let to = Destination {
            key: None,
            address,
            transport: Transport::Datagram,
        };
        let message = MembershipMessage::Join(self.own_update());
        self.send(to, message);
    }
}
