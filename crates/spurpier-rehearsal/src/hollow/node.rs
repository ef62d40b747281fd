//! One hollow node and what is counted of it.

use std::sync::Arc;

use spurpier_core::control::{ControlEvent, ControlNode};
use spurpier_core::homes::HomeTable;
use spurpier_core::membership::MemberIdentity;
use spurpier_core::time::Timestamp;

use super::store::HollowStore;

/// The number of a machine: one for each life of a node, never used again.
pub(super) type MachineNumber = u32;

/// The event backlog that a frozen node keeps, as the socket buffer of a real one would.
const BACKLOG: usize = 256;

/// One hollow node.
pub(super) struct HollowNode {
    /// Its control state.
    pub(super) control: ControlNode<HollowStore>,
    /// Who it is.
    pub(super) identity: Arc<MemberIdentity>,
    /// The number of its zone.
    pub(super) zone: usize,
    /// When it started.
    pub(super) started_at: Timestamp,
    /// The tick that is scheduled for it.
    pub(super) scheduled_tick: Timestamp,
    /// The version that was last in force on it.
    pub(super) version: u64,
    /// Bytes sent and received on the wire in the measured time.
    pub(super) wire_bytes: u64,
    /// Homes, on the few nodes that compute them.
    pub(super) homes: Option<HomeTable>,
    /// The version at the platform when it started, until it has caught up with it.
    pub(super) catching_up_to: Option<u64>,
    /// Until when it was frozen last; the far future while it is.
    pub(super) disturbed_until: Timestamp,
    backlog: Vec<ControlEvent>,
}

impl HollowNode {
    /// A node that has just started.
    pub(super) fn new(
        control: ControlNode<HollowStore>,
        zone: usize,
        started_at: Timestamp,
    ) -> Self {
        let version = control.distribution().version();
        HollowNode {
            identity: control.membership().identity().clone(),
            control,
            zone,
            started_at,
            scheduled_tick: Timestamp::from_micros(u64::MAX),
            version,
            wire_bytes: 0,
            homes: None,
            catching_up_to: None,
            disturbed_until: Timestamp::ZERO,
            backlog: Vec::new(),
        }
    }

    /// Whether it does not run now.
    pub(super) fn is_frozen(&self) -> bool {
        self.disturbed_until == Timestamp::from_micros(u64::MAX)
    }

    /// Stops it from running.
    pub(super) fn freeze(&mut self) {
        self.disturbed_until = Timestamp::from_micros(u64::MAX);
    }

    /// Lets it run again; gives the events that have waited.
    pub(super) fn thaw(&mut self, now: Timestamp) -> Vec<ControlEvent> {
        self.disturbed_until = now;
        std::mem::take(&mut self.backlog)
    }

    /// Keeps an event for later; what does not fit is lost.
    pub(super) fn hold(&mut self, event: ControlEvent) {
        if self.backlog.len() < BACKLOG {
            self.backlog.push(event);
        }
    }
}
