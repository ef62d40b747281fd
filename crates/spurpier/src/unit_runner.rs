//! The seam between the ingress side and the home side of a node.

use spurpier_protocol::unit::{Batch, UnitInput, UnitOutput, UnitRequest};
use tokio::sync::mpsc;

/// How many messages each direction of a unit may hold before its sender waits.
pub const UNIT_CHANNEL_CAPACITY: usize = 16;

/// An open unit as the ingress side holds it.
///
/// Dropping `input` before the unit has finished abandons it: the home rolls back and never
/// reuses a connection with an answer outstanding.
#[derive(Debug)]
pub struct UnitHandle {
    /// Towards the home.
    pub input: mpsc::Sender<UnitInput>,
    /// From the home; closed without `Finished` only when the home is lost.
    pub output: mpsc::Receiver<UnitOutput>,
}

/// Runs units of work: on this node, or by forwarding them to a home node.
pub trait UnitRunner: Send + Sync + 'static {
    /// Starts a unit with its first batch; returns at once.
    fn open(&self, request: UnitRequest, first: Batch) -> UnitHandle;
}
