//! The state of a member as updates report it, and which of two states wins.

use nanoserde::{DeBin, SerBin};

/// The status of one incarnation of a member.
///
/// The variants are ordered: within an incarnation, a later variant replaces an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum MemberStatus {
    /// It accepts work.
    Alive,
    /// It accepts work, but probes to it went unanswered.
    Suspect,
    /// It has announced that it will stop, and accepts no new work.
    Leaving,
    /// It has announced that it will stop, and probes to it went unanswered.
    SuspectLeaving,
    /// Other nodes declared it dead. A live node that was declared dead returns with a higher
    /// incarnation.
    Dead,
    /// It has announced that it stopped.
    Left,
}

impl MemberStatus {
    /// Whether the member is no longer part of the cluster: dead or stopped.
    pub fn is_gone(self) -> bool {
        matches!(self, MemberStatus::Dead | MemberStatus::Left)
    }

    /// Whether the member is under suspicion.
    pub fn is_suspect(self) -> bool {
        matches!(self, MemberStatus::Suspect | MemberStatus::SuspectLeaving)
    }

    /// Whether the member has announced that it will stop.
    pub fn is_leaving(self) -> bool {
        matches!(self, MemberStatus::Leaving | MemberStatus::SuspectLeaving)
    }

    /// Returns the status with a suspicion added; unchanged if the member is suspected or gone.
    pub fn with_suspicion(self) -> MemberStatus {
        match self {
            MemberStatus::Alive => MemberStatus::Suspect,
            MemberStatus::Leaving => MemberStatus::SuspectLeaving,
            other => other,
        }
    }

    /// Returns the status without the suspicion; unchanged if the member is not suspected.
    pub fn without_suspicion(self) -> MemberStatus {
        match self {
            MemberStatus::Suspect => MemberStatus::Alive,
            MemberStatus::SuspectLeaving => MemberStatus::Leaving,
            other => other,
        }
    }
}

/// The state of a member, ordered by incarnation and then by status.
///
/// Merging two views keeps the greater state of each member, so that the result does not depend
/// on the order in which updates arrive or on how often each arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct MemberState {
    /// The number of the member's incarnation; only the member itself raises it.
    pub incarnation: u64,
    /// The status of that incarnation.
    pub status: MemberStatus,
}

impl MemberState {
    /// Returns the state of a live member with this incarnation.
    pub const fn alive(incarnation: u64) -> Self {
        MemberState {
            incarnation,
            status: MemberStatus::Alive,
        }
    }

    /// Returns the same incarnation with another status.
    pub const fn with_status(self, status: MemberStatus) -> Self {
        MemberState { status, ..self }
    }
}
