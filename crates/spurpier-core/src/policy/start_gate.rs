//! The readiness condition of a node after a start.

/// Keeps a started node from serving until its policy is at least as new as the platform's head
/// was after the start.
///
/// Peers can lag behind. A restarted node that received its first version from such a peer could
/// serve by an older policy than it did before the restart. Only the platform's head rules this
/// out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StartGate {
    head: Option<u64>,
}

impl StartGate {
    /// Records the version of the head that was read from the platform after the start.
    ///
    /// Only the first call has an effect: later versions reach the node by normal distribution.
    pub fn record_head(&mut self, version: u64) {
        self.head.get_or_insert(version);
    }

    /// Whether the head must still be read.
    pub fn needs_head(&self) -> bool {
        self.head.is_none()
    }

    /// Whether a node whose installed policy has this version may serve; 0 means no policy.
    pub fn may_serve(&self, in_force: u64) -> bool {
        in_force > 0 && self.head.is_some_and(|head| head <= in_force)
    }
}
