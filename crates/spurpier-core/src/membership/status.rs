//! What is said of a member, and which of two statements wins.

use nanoserde::{DeBin, SerBin};

/// What is said of one life of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum MemberStatus {
    /// It takes work.
    Alive,
    /// It takes work but did not answer probes.
    Suspect,
    /// It has said that it will stop and takes no new work.
    Leaving,
    /// It has said that it will stop and did not answer probes.
    SuspectLeaving,
    /// It was found dead by others; a node that is wrongly found dead comes back with a higher
    /// incarnation.
    Dead,
    /// It has stopped by its own word.
    Left,
}

impl MemberStatus {
    /// Whether the member has gone, dead or stopped.
    pub fn is_gone(self) -> bool {
        matches!(self, MemberStatus::Dead | MemberStatus::Left)
    }

    /// Whether the member is under suspicion.
    pub fn is_suspect(self) -> bool {
        matches!(self, MemberStatus::Suspect | MemberStatus::SuspectLeaving)
    }

    /// Whether the member takes no new work by its own word.
    pub fn is_leaving(self) -> bool {
        matches!(self, MemberStatus::Leaving | MemberStatus::SuspectLeaving)
    }

    /// The same statement with a suspicion added.
    pub fn with_suspicion(self) -> MemberStatus {
        match self {
            MemberStatus::Alive => MemberStatus::Suspect,
            MemberStatus::Leaving => MemberStatus::SuspectLeaving,
            other => other,
        }
    }

    /// The same statement with the suspicion taken off.
    pub fn without_suspicion(self) -> MemberStatus {
        match self {
            MemberStatus::Suspect => MemberStatus::Alive,
            MemberStatus::SuspectLeaving => MemberStatus::Leaving,
            other => other,
        }
    }
}

/// A statement about a member: states are ordered by incarnation, then by status.
///
/// Merging two views takes the greater state of each member, so that the order in which
/// statements arrive does not matter and none is applied twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct MemberState {
    /// The number of the member's life; the member alone raises it.
    pub incarnation: u64,
    /// What is said of that life.
    pub status: MemberStatus,
}

impl MemberState {
    /// The state of a member that lives with this incarnation.
    pub const fn alive(incarnation: u64) -> Self {
        MemberState {
            incarnation,
            status: MemberStatus::Alive,
        }
    }

    /// The same incarnation with another status.
    pub const fn with_status(self, status: MemberStatus) -> Self {
        MemberState { status, ..self }
    }
}
