//! Whether the first frame of a unit has left this node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const QUEUED: u8 = 0;
const LEFT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Decides between the writer, which sends a unit's first frame, and the unit, which withdraws it
/// to try another home. Exactly one of the two succeeds.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenState {
    state: Arc<AtomicU8>,
}

impl OpenState {
    fn change_from_queued(&self, to: u8) -> bool {
        self.state
            .compare_exchange(QUEUED, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Asks whether the frame may leave; after true it counts as having left.
    pub fn leave(&self) -> bool {
        self.change_from_queued(LEFT)
    }

    /// Asks whether nothing has left; after true nothing will.
    pub fn withdraw(&self) -> bool {
        self.change_from_queued(WITHDRAWN)
    }
}
