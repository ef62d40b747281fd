//! When a node that has just started may serve.

/// Holds a started node back until its policy is as new as the head was after its start.
///
/// Peers may lag: a node that took its first version from one of them could serve by an older
/// policy than it did before it was restarted. Only the platform's head settles that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StartGate {
    head: Option<u64>,
}

impl StartGate {
    /// Notes the version of the head, read from the platform after the node started.
    ///
    /// Only the first one counts: later versions reach a serving node by the usual spread.
    pub fn record_head(&mut self, version: u64) {
        self.head.get_or_insert(version);
    }

    /// Whether the head must still be read.
    pub fn needs_head(&self) -> bool {
        self.head.is_none()
    }

    /// Whether a node with this version in force may serve.
    pub fn may_serve(&self, in_force: u64) -> bool {
        in_force > 0 && self.head.is_some_and(|head| head <= in_force)
    }
}
