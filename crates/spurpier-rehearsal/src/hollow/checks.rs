//! Checks while the run goes on: who is suspected, and who is removed.

use std::time::{Duration, Instant};

use spurpier_core::membership::{MemberChange, MemberStatus, NodeKey};
use spurpier_core::time::Timestamp;

use super::measurements::Role;
use super::node::MachineNumber;
use super::simulation::Simulation;

/// For so long after a pause a node may still be suspected by right.
const AFTER_FREEZE: Duration = Duration::from_secs(20);

impl Simulation {
    /// Lets the homes of a sampled node follow a change, and checks removals.
    pub(super) fn member_changed(&mut self, number: MachineNumber, change: &MemberChange) {
        if let Some(homes) = self
            .cluster
            .node_mut(number)
            .and_then(|node| node.homes.as_mut())
        {
            let begin = Instant::now();
            homes.apply(change);
            self.measurements
                .add_processor(Role::Homes, begin.elapsed());
        }
        if let MemberChange::Gone {
            identity,
            status: MemberStatus::Dead,
        } = change
        {
            self.check_removal(identity.key());
        }
    }

    /// A member that runs must not be removed, whatever the network does to its zone.
    fn check_removal(&mut self, key: NodeKey) {
        let Some(node) = self.cluster.find(key) else {
            return;
        };
        self.measurements.removed_alive += 1;
        let frozen_lately = node.disturbed_until > Timestamp::ZERO
            && self.now.since(node.disturbed_until) < AFTER_FREEZE;
        if !frozen_lately {
            let name = node.identity.name.clone();
            let now = self.now;
            self.measurements
                .violation(|| format!("{name} was removed while it ran, at {now:?}"));
        }
    }

    /// Counts a suspicion as false or by right.
    pub(super) fn suspicion_raised(&mut self, number: MachineNumber, key: NodeKey) {
        let by_right = match (self.cluster.node(number), self.cluster.find(key)) {
            (Some(node), Some(target)) => {
                let frozen_lately = target.disturbed_until > Timestamp::ZERO
                    && self.now.since(target.disturbed_until) < AFTER_FREEZE;
                let open = self.network.is_open(node.zone, target.zone)
                    && self.network.is_open(target.zone, node.zone);
                frozen_lately || !open
            }
            _ => true,
        };
        match by_right {
            true => self.measurements.true_suspicions += 1,
            false => self.measurements.false_suspicions += 1,
        }
    }
}
