//! What nodes say to each other, over UDP.

use std::time::Duration;

use nanoserde::{DeBin, SerBin};
use spurpier_core::lead::Succession;
use spurpier_core::position::Position;
use spurpier_core::wire::{List, LongText};

/// Says that no proof of lead is known.
const NEVER: u32 = u32::MAX;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum PeerMessage {
    /// Asks what the receiver sees of a group's primary.
    AskSight {
        /// The question's number at the sender.
        number: u64,
        /// The group.
        group: String,
    },
    /// Answers `AskSight`.
    Sight {
        /// The question's number.
        number: u64,
        /// How long ago the message left that proved the lead last, in milliseconds; the
        /// greatest number if none is known.
        proven_ago_ms: u32,
        /// The position that it showed.
        position: Position,
    },
    /// Tells the holder of the duty that a group needs a decision.
    Wanted {
        /// The question's number at the sender.
        number: u64,
        /// The group.
        group: String,
        /// The region that its primary is to move to; none if it is to be replaced for another
        /// reason.
        region: Option<String>,
    },
    /// Asks the receiver to use no other server than the successor as a group's lead.
    AskYield {
        /// The question's number.
        number: u64,
        /// The group.
        group: String,
        /// The succession.
        succession: Succession,
        /// The version of its row.
        version: u64,
    },
    /// Answers `AskYield`.
    Yielded {
        /// The question's number.
        number: u64,
        /// The token of the newest succession that the sender of the answer has yielded to.
        token: u64,
    },
    /// Asks whether the receiver runs and can be reached.
    AskPresence {
        /// The question's number.
        number: u64,
    },
    /// Answers `AskPresence`.
    Present {
        /// The question's number.
        number: u64,
    },
    /// Answers `Wanted`: the receiver of it holds the duty and sees to the group; and `Demand`.
    Heard {
        /// The question's number.
        number: u64,
    },
    /// Tells a home what the sender's clients have asked of a group's primary.
    Demand {
        /// The question's number at the sender.
        number: u64,
        /// The group.
        group: String,
        /// What was asked for since the sender told last.
        demand: List<ToldDemand>,
    },
}

/// Units that may run only in some regions.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct ToldDemand {
    /// The regions.
    pub regions: List<LongText>,
    /// How many units were asked for.
    pub units: u32,
}

/// A time as a message carries it.
pub fn encode_ago(ago: Option<Duration>) -> u32 {
    ago.map_or(NEVER, |ago| {
        u32::try_from(ago.as_millis()).unwrap_or(NEVER - 1)
    })
}

/// The time that a message carries.
pub fn decode_ago(millis: u32) -> Option<Duration> {
    (millis != NEVER).then(|| Duration::from_millis(u64::from(millis)))
}
