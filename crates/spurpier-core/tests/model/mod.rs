//! A model of everything around a node: groups, network, clients, platform and virtual time.
//!
//! One generator seeded by the case decides delays, so that a case is a function of its seed and
//! its transitions. The nodes in it decide with the machines of `spurpier-core` alone.

pub mod client;
pub mod group;
pub mod network;
pub mod node;
pub mod platform;
pub mod server;
pub mod transition;
pub mod world;

/// A mechanism taken out of the node, to show that the oracle notices.
// Only the breakage tests take mechanisms out.
#[allow(dead_code)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Breakage {
    #[default]
    None,
    /// A commit is acknowledged as soon as its server answers.
    ConfirmationSkipped,
    /// Reads go to any server, whatever the session's floor.
    FloorIgnored,
    /// Reads are answered although what they saw may still be lost.
    ReadConfirmationSkipped,
    /// The request key is not inserted with the write.
    KeyNotInTransaction,
    /// A write without a request key is sent again when its connection breaks.
    UnkeyedResent,
    /// A connection that broke with a write outstanding counts as "not run".
    NotRunAfterLostConnection,
    /// A connection serves the next unit although an answer is outstanding.
    ReusedWithAnswerOutstanding,
    /// A connection serves the next unit although its transaction is open.
    ReusedInTransaction,
    /// Session settings stay on a connection that serves another session.
    SettingsNotReset,
    /// Writes do not check the fence.
    FenceIgnored,
    /// A node takes whatever policy version it hears of.
    PolicyVersionMayDecrease,
    /// Reads do not heed a fence that shows a newer policy.
    ReadsIgnoreFence,
    /// A restarted node serves by the first policy version that it hears of.
    StartNotGated,
    /// What a newer term's parent says of commits before it is not used.
    TermParentIgnored,
    /// A server that says it is leaving still gets new work.
    LeavingIgnored,
    /// A planned stop of a proxy does not wait for what is in flight.
    StopDoesNotDrain,
}
