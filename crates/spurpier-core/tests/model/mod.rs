//! Deterministic simulation of a cluster: proxy nodes, server groups, network, clients, platform
//! and virtual time.
//!
//! A random number generator seeded by the case determines all delays, so that a run is a function
//! of the case's seed and transitions. All decisions of the nodes come from the state machines of
//! `spurpier-core`. Times and delays are in microseconds of virtual time.

pub mod client;
pub mod group;
pub mod network;
pub mod node;
pub mod platform;
pub mod server;
pub mod transition;
pub mod world;

/// A mechanism of the node that is disabled, to verify that the oracle detects its absence.
// Only the breakage tests construct the variants other than `None`.
#[allow(dead_code)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Breakage {
    #[default]
    None,
    /// A commit is acknowledged as soon as its server answers.
    ConfirmationSkipped,
    /// Reads are routed to any server, regardless of the session's minimum position.
    FloorIgnored,
    /// Reads are answered although the writes that they observed may still be lost.
    ReadConfirmationSkipped,
    /// The request key is not inserted in the transaction of the write.
    KeyNotInTransaction,
    /// A write without a request key is sent again when its connection is lost.
    UnkeyedResent,
    /// A write whose connection was lost before its answer is reported as "not run".
    NotRunAfterLostConnection,
    /// A connection serves the next unit although the answer to the previous one is outstanding.
    ReusedWithAnswerOutstanding,
    /// A connection serves the next unit although a transaction of the previous one is open.
    ReusedInTransaction,
    /// Session settings are kept on a connection when it serves another session.
    SettingsNotReset,
    /// Writes do not check the fence.
    FenceIgnored,
    /// A node adopts any policy version that a peer announces, even an older one.
    PolicyVersionMayDecrease,
    /// Reads ignore a fence epoch and a session position that prove a newer policy.
    ReadsIgnoreFence,
    /// A restarted node serves with the first policy version that it learns, without first reading
    /// the current version from the platform.
    StartNotGated,
    /// The parent position of a newer term is not used to determine which commits it discarded.
    TermParentIgnored,
    /// A server that reports that it is leaving is still sent new work.
    LeavingIgnored,
    /// A planned stop of a proxy does not wait for units in flight.
    StopDoesNotDrain,
}
