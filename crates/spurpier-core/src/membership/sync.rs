//! Anti-entropy: repairs differing views by comparing digests of their buckets.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::event::{Destination, Transport};
use super::identity::NodeKey;
use super::machine::Membership;
use super::message::{MemberUpdate, MembershipMessage};
use super::table::{BUCKET_COUNT, bucket_of, state_digest};
use crate::time::Timestamp;
use crate::wire::List;

/// The maximum number of buckets whose states one sync sends.
const MAX_BUCKETS_PER_SYNC: usize = 24;
/// The number of quick syncs after a pause or a join, when many updates may have been missed.
const QUICK_SYNCS: u32 = 4;
/// The base interval between two quick syncs.
const QUICK_SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of identities sent in answer to one request.
const MAX_IDENTITIES_PER_ANSWER: usize = 64;

/// The schedule of syncs and admissions, and the silent members missing from the list.
#[derive(Debug, Clone, Default)]
pub(super) struct SyncProgress {
    /// The earliest time of the next sync.
    pub(super) next: Timestamp,
    /// How many syncs may still follow each other at the quick interval.
    quick_syncs_left: u32,
    /// The silent members that the platform's list lacks, and since when; sorted by key.
    pub(super) unlisted: Vec<(NodeKey, Timestamp)>,
    /// The earliest time at which the next joining node is sent the whole view.
    pub(super) next_admission: Timestamp,
}

impl SyncProgress {
    /// Makes a sync due immediately and lets the next few follow at the quick interval.
    pub(super) fn allow_quick_syncs(&mut self, now: Timestamp) {
        self.quick_syncs_left = QUICK_SYNCS;
        self.next = now;
    }
}

impl Membership {
    /// Starts a sync with the sender if its view differs from this one and no member of its zone
    /// has had an equal view for the sync interval. Quick syncs skip that wait.
    pub(super) fn compare_views(&mut self, now: Timestamp, sender: NodeKey, view_digest: u64) {
        let equal = view_digest == self.view_digest();
        let Some(zone) = self.table.zone_of_mut(sender) else {
            return;
        };
        // Kept per zone: after a partition, the nodes of each zone agree with each other, but not
        // with the nodes of the other zone.
        if equal {
            zone.last_equal_view = now;
            return;
        }
        let quick = self.sync.quick_syncs_left > 0;
        let recently_equal = !quick && now.since(zone.last_equal_view) < self.config.sync_interval;
        if recently_equal || now < self.sync.next {
            return;
        }
        let Some(member) = self.table.find(sender) else {
            return;
        };
        let to = Destination::datagram(&member.identity);
        self.sync.quick_syncs_left = self.sync.quick_syncs_left.saturating_sub(1);
        let wait = match quick {
            true => QUICK_SYNC_INTERVAL,
            false => self.config.sync_interval,
        };
        let jitter = self.random.random_range(0..=wait.as_micros() as u64);
        self.sync.next = now + wait + Duration::from_micros(jitter);
        let digests = (0..BUCKET_COUNT)
            .map(|bucket| self.bucket_digest(bucket))
            .collect();
        self.send(to, MembershipMessage::BucketDigests(List(digests)));
    }

    fn bucket_digest(&self, bucket: usize) -> u64 {
        let others = self.table.bucket_digests()[bucket];
        match bucket_of(self.key) == bucket {
            true => others ^ state_digest(self.key, self.state),
            false => others,
        }
    }

    pub(super) fn send_differing_buckets(&mut self, sender: NodeKey, digests: &[u64]) {
        if digests.len() != BUCKET_COUNT {
            return;
        }
        let mut buckets: Vec<u8> = (0..BUCKET_COUNT)
            .filter(|bucket| digests[*bucket] != self.bucket_digest(*bucket))
            .map(|bucket| bucket as u8)
            .collect();
        buckets.shuffle(&mut self.random);
        buckets.truncate(MAX_BUCKETS_PER_SYNC);
        if !buckets.is_empty() {
            self.send_buckets(sender, &buckets, true);
        }
    }

    fn send_buckets(&mut self, receiver: NodeKey, buckets: &[u8], reply_requested: bool) {
        let Some(member) = self.table.find(receiver) else {
            return;
        };
        let to = Destination::stream(&member.identity);
        let mut states = Vec::new();
        for bucket in buckets {
            self.push_bucket_states(usize::from(*bucket), &mut states);
        }
        let message = MembershipMessage::BucketStates {
            buckets: List(buckets.to_vec()),
            states: List(states),
            reply_requested,
        };
        self.send(to, message);
    }

    fn push_bucket_states(&self, bucket: usize, states: &mut Vec<MemberUpdate>) {
        let update = |key, state| MemberUpdate {
            key,
            state,
            identity: None,
        };
        let members = self.table.raw_members();
        states.extend(
            members
                .filter(|member| bucket_of(member.key) == bucket)
                .map(|member| update(member.key, member.state())),
        );
        let departed = self.table.departed_in_bucket(bucket);
        states.extend(departed.iter().map(|(key, state)| update(*key, *state)));
        if bucket_of(self.key) == bucket {
            states.push(self.own_update());
        }
    }

    pub(super) fn handle_bucket_states(
        &mut self,
        now: Timestamp,
        sender: NodeKey,
        buckets: &[u8],
        states: &[MemberUpdate],
        reply_requested: bool,
    ) {
        self.merge(now, Some(sender), states);
        let few = buckets.len() <= MAX_BUCKETS_PER_SYNC;
        if reply_requested && few {
            self.send_buckets(sender, buckets, false);
        }
    }

    pub(super) fn send_identities(
        &mut self,
        sender: NodeKey,
        from: Option<SocketAddr>,
        keys: &[NodeKey],
    ) {
        let mut found = Vec::new();
        for key in keys.iter().take(MAX_IDENTITIES_PER_ANSWER) {
            if *key == self.key {
                found.push(self.own_update());
            } else if let Some(member) = self.table.find(*key) {
                found.push(MemberUpdate {
                    key: *key,
                    state: member.state(),
                    identity: Some(member.identity.clone()),
                });
            }
        }
        let known = self
            .table
            .find(sender)
            .map(|member| member.identity.clone());
        let to = match (known, from) {
            (Some(identity), _) if found.len() > 1 => Destination::stream(&identity),
            (Some(identity), _) => Destination::datagram(&identity),
            (None, Some(address)) => Destination {
                key: Some(sender),
                address,
                transport: Transport::Datagram,
            },
            (None, None) => return,
        };
        if !found.is_empty() {
            self.send(to, MembershipMessage::Updates(List(found)));
        }
    }
}
