//! The table of the members that a node knows.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Arc;

use super::identity::{MemberIdentity, NodeKey};
use super::status::{MemberState, MemberStatus};
use super::zones::{ZoneDistance, ZoneState};
use crate::identity::{RegionName, ZoneName};
use crate::time::Timestamp;

/// The number of buckets into which the view is divided for anti-entropy.
pub(super) const BUCKET_COUNT: usize = 128;

/// An index into the member table; reused after its member is removed.
pub(super) type Slot = u32;
/// The index of a zone in the table; the own zone has index 0.
pub(super) type ZoneIndex = u16;

/// Passes node keys through unchanged, because they are hashes already.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// A map from node keys.
pub(super) type KeyMap<V> = HashMap<NodeKey, V, BuildHasherDefault<KeyHasher>>;

/// An entry of the member table.
#[derive(Debug, Clone)]
pub(super) struct Member {
    /// The member's name, locality and addresses.
    pub(super) identity: Arc<MemberIdentity>,
    /// The key of its name, kept to avoid hashing it again.
    pub(super) key: NodeKey,
    incarnation: u64,
    status: MemberStatus,
    /// The index of its zone.
    pub(super) zone: ZoneIndex,
}

impl Member {
    /// Returns the last reported state.
    pub(super) fn state(&self) -> MemberState {
        MemberState {
            incarnation: self.incarnation,
            status: self.status,
        }
    }
}

/// A snapshot of a member for other parts of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The member's name, locality and addresses.
    pub identity: Arc<MemberIdentity>,
    /// Its last reported state.
    pub state: MemberState,
    /// Whether new work may be sent to it: alive, not suspected, not leaving, its zone reachable.
    pub usable: bool,
}

/// The last state of a departed member, remembered so that delayed updates do not add it again.
#[derive(Debug, Clone, Copy)]
struct DepartedMember {
    state: MemberState,
    forget_at: Timestamp,
}

/// All members that a node knows, without the node itself.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own_zone: ZoneName,
    own_region: RegionName,
    members: Vec<Option<Member>>,
    free_slots: Vec<Slot>,
    index: KeyMap<Slot>,
    /// The zones, in the order in which they were first seen; the own zone is the first.
    pub(super) zones: Vec<ZoneState>,
    bucket_digests: [u64; BUCKET_COUNT],
    digest: u64,
    departed: KeyMap<DepartedMember>,
    zone_unreachable_failures: u32,
}

impl MemberTable {
    /// Creates an empty table for a node in this zone and region.
    ///
    /// A zone counts as unreachable after `zone_unreachable_failures` consecutive failed probes.
    pub fn new(own_zone: ZoneName, own_region: RegionName, zone_unreachable_failures: u32) -> Self {
        let first = ZoneState::new(own_zone.clone(), ZoneDistance::OwnZone);
        MemberTable {
            own_zone,
            own_region,
            members: Vec::new(),
            free_slots: Vec::new(),
            index: KeyMap::default(),
            zones: vec![first],
            bucket_digests: [0; BUCKET_COUNT],
            digest: 0,
            departed: KeyMap::default(),
            zone_unreachable_failures,
        }
    }

    /// Returns how many members are known, without the node itself.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the member with this key, if it is known.
    pub fn get(&self, key: NodeKey) -> Option<MemberView> {
        self.find(key).map(|member| self.view(member))
    }

    /// Iterates over all members, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = MemberView> {
        self.raw_members().map(|member| self.view(member))
    }

    /// Whether fewer than the configured number of probes into the zone have failed since its last
    /// answer. A zone without known members counts as reachable.
    pub fn is_zone_reachable(&self, zone: &ZoneName) -> bool {
        self.zones
            .iter()
            .find(|state| state.name == *zone)
            .is_none_or(|state| self.is_reachable(state))
    }

    /// Returns the names of the zones that count as unreachable.
    pub fn unreachable_zones(&self) -> Vec<ZoneName> {
        self.zones
            .iter()
            .filter(|state| !self.is_reachable(state))
            .map(|state| state.name.clone())
            .collect()
    }

    /// Estimates the memory that the table takes, identities included, in bytes.
    pub fn memory_bytes(&self) -> usize {
        /// The control byte that the hash map keeps for each bucket.
        const CONTROL_BYTE: usize = 1;
        let identities: usize = self
            .raw_members()
            .map(|member| member.identity.memory_bytes())
            .sum();
        let index_entry = size_of::<(NodeKey, Slot)>() + CONTROL_BYTE;
        let departed_entry = size_of::<(NodeKey, DepartedMember)>() + CONTROL_BYTE;
        size_of::<Self>()
            + identities
            + self.members.capacity() * size_of::<Option<Member>>()
            + self.free_slots.capacity() * size_of::<Slot>()
            + hash_map_buckets(self.index.capacity()) * index_entry
            + hash_map_buckets(self.departed.capacity()) * departed_entry
            + self.zones.capacity() * size_of::<ZoneState>()
    }

    /// Returns the digest of the whole table.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digest of each bucket of the table.
    pub(super) fn bucket_digests(&self) -> &[u64; BUCKET_COUNT] {
        &self.bucket_digests
    }

    pub(super) fn is_reachable(&self, zone: &ZoneState) -> bool {
        zone.consecutive_failures < self.zone_unreachable_failures
    }

    /// Whether new work may be sent to the member.
    pub(super) fn is_usable(&self, member: &Member) -> bool {
        member.status == MemberStatus::Alive && self.is_reachable(self.zone_of(member))
    }

    pub(super) fn raw_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().flatten()
    }

    pub(super) fn find(&self, key: NodeKey) -> Option<&Member> {
        let slot = *self.index.get(&key)?;
        self.at(slot)
    }

    pub(super) fn at(&self, slot: Slot) -> Option<&Member> {
        self.members.get(slot as usize)?.as_ref()
    }

    /// Returns how many slots there are, used and free.
    pub(super) fn slot_count(&self) -> usize {
        self.members.len()
    }

    pub(super) fn zone_of(&self, member: &Member) -> &ZoneState {
        &self.zones[usize::from(member.zone)]
    }

    pub(super) fn zone_of_mut(&mut self, key: NodeKey) -> Option<&mut ZoneState> {
        let index = self.find(key)?.zone;
        self.zones.get_mut(usize::from(index))
    }

    /// Adds a member that is not known yet, and returns its slot.
    pub(super) fn insert(&mut self, identity: Arc<MemberIdentity>, state: MemberState) -> Slot {
        let key = identity.key();
        let zone = self.zone_index(&identity);
        let member = Member {
            identity,
            key,
            incarnation: state.incarnation,
            status: state.status,
            zone,
        };
        self.departed.remove(&key);
        self.zones[usize::from(zone)].members += 1;
        self.count_suspect(zone, state.status, true);
        self.toggle_digest(key, state);
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.members.push(None);
            (self.members.len() - 1) as Slot
        });
        self.members[slot as usize] = Some(member);
        self.index.insert(key, slot);
        slot
    }

    /// Replaces the state of a known member.
    pub(super) fn set_state(&mut self, key: NodeKey, state: MemberState) {
        let Some(&slot) = self.index.get(&key) else {
            return;
        };
        let Some(member) = self.members[slot as usize].as_mut() else {
            return;
        };
        let before = member.state();
        let zone = member.zone;
        member.incarnation = state.incarnation;
        member.status = state.status;
        self.count_suspect(zone, before.status, false);
        self.count_suspect(zone, state.status, true);
        self.toggle_digest(key, before);
        self.toggle_digest(key, state);
    }

    /// Removes a member from the table and returns it.
    pub(super) fn remove(&mut self, key: NodeKey) -> Option<Member> {
        let slot = self.index.remove(&key)?;
        let member = self.members[slot as usize].take()?;
        self.free_slots.push(slot);
        self.zones[usize::from(member.zone)].members -= 1;
        self.count_suspect(member.zone, member.status, false);
        self.toggle_digest(key, member.state());
        Some(member)
    }

    /// Returns the last state of a departed member that is still remembered.
    pub(super) fn departed(&self, key: NodeKey) -> Option<MemberState> {
        self.departed.get(&key).map(|departed| departed.state)
    }

    /// Remembers a departed member until `forget_at`.
    pub(super) fn remember_departed(
        &mut self,
        key: NodeKey,
        state: MemberState,
        forget_at: Timestamp,
    ) {
        self.departed
            .insert(key, DepartedMember { state, forget_at });
    }

    /// Forgets the departed members whose retention time has passed.
    pub(super) fn forget_departed(&mut self, now: Timestamp) {
        self.departed.retain(|_, departed| departed.forget_at > now);
    }

    /// Returns the departed members of one bucket, sorted by key.
    pub(super) fn departed_in_bucket(&self, bucket: usize) -> Vec<(NodeKey, MemberState)> {
        let mut found: Vec<_> = self
            .departed
            .iter()
            .filter(|(key, _)| bucket_of(**key) == bucket)
            .map(|(key, departed)| (*key, departed.state))
            .collect();
        found.sort_unstable_by_key(|(key, _)| *key);
        found
    }

    fn view(&self, member: &Member) -> MemberView {
        MemberView {
            identity: member.identity.clone(),
            state: member.state(),
            usable: self.is_usable(member),
        }
    }

    fn zone_index(&mut self, identity: &MemberIdentity) -> ZoneIndex {
        let known = self
            .zones
            .iter()
            .position(|zone| zone.name == identity.zone);
        let index = known.unwrap_or_else(|| {
            let distance = self.distance_of(identity);
            let zone = ZoneState::new(identity.zone.clone(), distance);
            self.zones.push(zone);
            self.zones.len() - 1
        });
        index as ZoneIndex
    }

    fn distance_of(&self, identity: &MemberIdentity) -> ZoneDistance {
        if identity.zone == self.own_zone {
            ZoneDistance::OwnZone
        } else if identity.region == self.own_region {
            ZoneDistance::OwnRegion
        } else {
            ZoneDistance::OtherRegion
        }
    }

    fn count_suspect(&mut self, zone: ZoneIndex, status: MemberStatus, added: bool) {
        if !status.is_suspect() {
            return;
        }
        let suspects = &mut self.zones[usize::from(zone)].suspects;
        *suspects = if added { *suspects + 1 } else { *suspects - 1 };
    }

    fn toggle_digest(&mut self, key: NodeKey, state: MemberState) {
        let digest = state_digest(key, state);
        self.bucket_digests[bucket_of(key)] ^= digest;
        self.digest ^= digest;
    }
}

/// Returns the bucket of the view to which a member belongs.
pub(super) fn bucket_of(key: NodeKey) -> usize {
    (key.0 % BUCKET_COUNT as u64) as usize
}

/// Returns the digest of one member's state.
///
/// Suspicions are left out: they are short-lived, and views that differ only by them need no sync.
pub(super) fn state_digest(key: NodeKey, state: MemberState) -> u64 {
    /// 2^64 divided by the golden ratio: odd, and with evenly mixed bits.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let leaving = u64::from(state.status.is_leaving());
    let mixed = key.0 ^ (state.incarnation << 1 | leaving).wrapping_mul(MULTIPLIER);
    let folded = (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER);
    folded ^ (folded >> 29)
}

/// Returns how many buckets a hash map of this capacity allocates: a power of two of which at
/// most 7/8 are used.
fn hash_map_buckets(capacity: usize) -> usize {
    match capacity {
        0 => 0,
        some => (some * 8 / 7).next_power_of_two(),
    }
}
