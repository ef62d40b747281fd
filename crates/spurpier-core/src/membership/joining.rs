//! Joining by a seed, and admitting those who join.

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

/// The least time between two whole views that this node sends to joining nodes.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);

/// How far this node has got with joining.
#[derive(Debug, Clone)]
pub(super) struct JoinProgress {
    pub(super) seeds: Vec<SocketAddr>,
    next_try: Timestamp,
    wait: Duration,
    /// Whether the whole view was received.
    pub(super) finished: bool,
}

impl JoinProgress {
    /// Not joined; the first try is due at once.
    pub(super) fn new(seeds: Vec<SocketAddr>, wait: Duration) -> Self {
        JoinProgress {
            seeds,
            next_try: Timestamp::ZERO,
            wait,
            finished: false,
        }
    }

    /// When the next try is due, if there is one.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        let waiting = !self.finished && !self.seeds.is_empty();
        waiting.then_some(self.next_try)
    }
}

impl Membership {
    /// Takes a new node into the view and sends it the whole of it.
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

    /// What a joining node must hear if an earlier life of its name counts as departed.
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
            // The statements of the view are known to the others already.
            self.queue = DisseminationQueue::default();
            self.disseminate_own_state(Some(self.identity.clone()));
        }
    }

    /// Tries to join by the next seed when it is time.
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
