//! Uses the platform's list of machines: for joining, and to remove silent members.

use std::net::SocketAddr;

use rand::RngExt;

use super::event::ListedMachine;
use super::identity::NodeKey;
use super::machine::Membership;
use super::status::MemberStatus;
use super::table::Member;
use crate::time::Timestamp;

impl Membership {
    /// Adds the listed machines to the seeds until this node has joined, joins through a listed
    /// node that is unknown here, and removes silent members that the list lacks.
    pub(super) fn handle_machine_list(&mut self, now: Timestamp, machines: &[ListedMachine]) {
        let others: Vec<&ListedMachine> = machines
            .iter()
            .filter(|machine| machine.name != self.identity.name)
            .collect();
        self.join.seeds.extend(
            others
                .iter()
                .map(|machine| machine.gossip)
                .filter(|_| !self.join.finished),
        );
        self.join.seeds.sort_unstable();
        self.join.seeds.dedup();
        self.join_through_unknown(&others);
        self.remove_unlisted(now, &others);
    }

    /// Sends a join to one listed node that the view lacks: it may belong to a part of the cluster
    /// that formed separately.
    fn join_through_unknown(&mut self, machines: &[&ListedMachine]) {
        let unknown: Vec<SocketAddr> = machines
            .iter()
            .filter(|machine| {
                let key = NodeKey::of(&machine.name);
                self.table.find(key).is_none() && self.table.departed(key).is_none()
            })
            .map(|machine| machine.gossip)
            .collect();
        if unknown.is_empty() || !self.join.finished {
            return;
        }
        let chosen = self.random.random_range(0..unknown.len());
        self.send_join(unknown[chosen]);
    }

    /// Removes silent members that the list has lacked for longer than it can lag behind.
    fn remove_unlisted(&mut self, now: Timestamp, machines: &[&ListedMachine]) {
        if machines.is_empty() {
            return;
        }
        let mut listed: Vec<NodeKey> = machines
            .iter()
            .map(|machine| NodeKey::of(&machine.name))
            .collect();
        listed.sort_unstable();
        let known = std::mem::take(&mut self.sync.unlisted);
        let unlisted: Vec<(NodeKey, Timestamp)> = self
            .table
            .raw_members()
            .filter(|member| self.is_silent(now, member))
            .filter(|member| listed.binary_search(&member.key).is_err())
            .map(|member| (member.key, first_absent(&known, member.key).unwrap_or(now)))
            .collect();
        for (key, absent_since) in &unlisted {
            if now.since(*absent_since) >= self.config.unlisted_min_absence {
                self.declare_dead(now, *key);
            }
        }
        self.sync.unlisted = unlisted;
        self.sync.unlisted.sort_unstable();
    }

    fn is_silent(&self, now: Timestamp, member: &Member) -> bool {
        let zone = self.table.zone_of(member);
        let zone_silent =
            !self.table.is_reachable(zone) && zone.is_silent(now, self.config.unlisted_min_silence);
        member.state().status.is_suspect() || zone_silent
    }

    fn declare_dead(&mut self, now: Timestamp, key: NodeKey) {
        let state = self.table.find(key).map(|member| member.state());
        if let Some(state) = state {
            self.apply_state(now, key, state.with_status(MemberStatus::Dead), None);
        }
    }
}

/// Returns since when the list has lacked a member; the entries are sorted by key.
fn first_absent(entries: &[(NodeKey, Timestamp)], key: NodeKey) -> Option<Timestamp> {
    let index = entries.binary_search_by_key(&key, |entry| entry.0).ok()?;
    Some(entries[index].1)
}
