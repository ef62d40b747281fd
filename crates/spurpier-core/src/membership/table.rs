//! The members that a node knows, in compact form.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Arc;

use super::identity::{MemberIdentity, NodeKey};
use super::status::{MemberState, MemberStatus};
use super::zones::{ZoneDistance, ZoneState};
use crate::identity::{RegionName, ZoneName};
use crate::time::Timestamp;

/// The parts into which the view is divided for its digests.
pub(super) const BUCKET_COUNT: usize = 128;

/// A place in the table.
pub(super) type Slot = u32;
/// The number of a zone in the table.
pub(super) type ZoneIndex = u16;

/// Hashes node keys, which are hashes already.
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

/// A map by node key.
pub(super) type KeyMap<V> = HashMap<NodeKey, V, BuildHasherDefault<KeyHasher>>;

/// One member.
#[derive(Debug, Clone)]
pub(super) struct Member {
    /// Who it is.
    pub(super) identity: Arc<MemberIdentity>,
    /// Its key.
    pub(super) key: NodeKey,
    incarnation: u64,
    status: MemberStatus,
    /// The number of its zone.
    pub(super) zone: ZoneIndex,
}

impl Member {
    /// What is said of it.
    pub(super) fn state(&self) -> MemberState {
        MemberState {
            incarnation: self.incarnation,
            status: self.status,
        }
    }
}

/// A member as other parts of the node see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Who it is.
    pub identity: Arc<MemberIdentity>,
    /// What is said of it.
    pub state: MemberState,
    /// Whether new work may be sent to it: alive, not suspected, not leaving, its zone reachable.
    pub usable: bool,
}

/// A departed member, remembered for a time.
#[derive(Debug, Clone, Copy)]
struct DepartedMember {
    state: MemberState,
    forget_at: Timestamp,
}

/// All members that a node knows beside itself.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own_zone: ZoneName,
    own_region: RegionName,
    members: Vec<Option<Member>>,
    free_slots: Vec<Slot>,
    index: KeyMap<Slot>,
    /// The zones in the order in which they were first seen; the own zone is the first.
    pub(super) zones: Vec<ZoneState>,
    bucket_digests: [u64; BUCKET_COUNT],
    digest: u64,
    departed: KeyMap<DepartedMember>,
    zone_unreachable_failures: u32,
}

impl MemberTable {
    /// An empty table of a node in this zone and region; a zone counts as unreachable after this
    /// many failed probes in a row.
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

    /// How many members are known, without the node itself.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// What is known of the member with this key.
    pub fn get(&self, key: NodeKey) -> Option<MemberView> {
        self.find(key).map(|member| self.view(member))
    }

    /// All members, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = MemberView> {
        self.raw_members().map(|member| self.view(member))
    }

    /// Whether any answer came from the zone since the last few probes into it.
    pub fn is_zone_reachable(&self, zone: &ZoneName) -> bool {
        self.zones
            .iter()
            .find(|state| state.name == *zone)
            .is_none_or(|state| self.is_reachable(state))
    }

    /// The names of the zones that count as unreachable.
    pub fn unreachable_zones(&self) -> Vec<ZoneName> {
        self.zones
            .iter()
            .filter(|state| !self.is_reachable(state))
            .map(|state| state.name.clone())
            .collect()
    }

    /// The bytes that the table holds in a real node, identities included.
    pub fn memory_bytes(&self) -> usize {
        /// The control byte that the hash map keeps beside each place.
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

    /// The digest of the whole view.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// The digest of each part of the view.
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

    /// How many places there are, taken and free.
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

    /// Adds a member that is not known yet and gives its place.
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

    /// Replaces what is said of a known member.
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

    /// Takes a member out of the table.
    pub(super) fn remove(&mut self, key: NodeKey) -> Option<Member> {
        let slot = self.index.remove(&key)?;
        let member = self.members[slot as usize].take()?;
        self.free_slots.push(slot);
        self.zones[usize::from(member.zone)].members -= 1;
        self.count_suspect(member.zone, member.status, false);
        self.toggle_digest(key, member.state());
        Some(member)
    }

    /// What was last said of a departed member that is still remembered.
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

    /// Forgets the departed members whose time is over.
    pub(super) fn forget_departed(&mut self, now: Timestamp) {
        self.departed.retain(|_, departed| departed.forget_at > now);
    }

    /// The departed members of one part, sorted by key.
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

/// The part of the view to which a member belongs.
pub(super) fn bucket_of(key: NodeKey) -> usize {
    (key.0 % BUCKET_COUNT as u64) as usize
}

/// The digest of one member's state; suspicions come and go and are left out.
pub(super) fn state_digest(key: NodeKey, state: MemberState) -> u64 {
    /// An odd constant with well-spread bits (the golden ratio).
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let leaving = u64::from(state.status.is_leaving());
    let mixed = key.0 ^ (state.incarnation << 1 | leaving).wrapping_mul(MULTIPLIER);
    let folded = (mixed ^ (mixed >> 32)).wrapping_mul(MULTIPLIER);
    folded ^ (folded >> 29)
}

/// The places that a hash map of this capacity holds: a power of two, filled to 7/8.
fn hash_map_buckets(capacity: usize) -> usize {
    match capacity {
        0 => 0,
        some => (some * 8 / 7).next_power_of_two(),
    }
}
