//! What nodes say to each other, over UDP.

use std::time::Duration;

use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::leader::{Succession, SuccessorDetails};
use spurpier_core::position::Position;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::wire::{List, LongText, decode_text, encode_text};

/// Says that no proof of lead is known.
const UNKNOWN_AGE: u32 = u32::MAX;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum PeerMessage {
    /// Asks what the receiver sees of a group's primary.
    AskPrimaryObservation {
        /// The question's number at the sender.
        request_id: u64,
        /// The group.
        group: String,
    },
    /// Answers `AskPrimaryObservation`.
    PrimaryObservation {
        /// The question's number.
        request_id: u64,
        /// How long ago the message left that proved the lead last, in milliseconds; the
        /// greatest number if none is known.
        proof_age_ms: u32,
        /// The position that it showed.
        position: Position,
    },
    /// Tells the holder of the duty that a group needs a decision.
    AskDecision {
        /// The question's number at the sender.
        request_id: u64,
        /// The group.
        group: String,
        /// The region that its primary is to move to; none if it is to be replaced for another
        /// reason.
        region: Option<String>,
    },
    /// Asks the receiver to use no other server than the successor as a group's lead.
    AskLeaseRelease {
        /// The question's number.
        request_id: u64,
        /// The group.
        group: String,
        /// The succession.
        succession: NamedSuccession,
        /// The version of its row.
        version: StoreVersion,
        /// What else is told of the successor.
        details: SuccessorDetails,
    },
    /// Answers `AskLeaseRelease`.
    LeaseReleased {
        /// The question's number.
        request_id: u64,
        /// The token of the newest succession that the sender of the answer has yielded to.
        token: u64,
    },
    /// Asks whether the receiver runs and can be reached.
    Ping {
        /// The question's number.
        request_id: u64,
    },
    /// Answers `Ping`.
    Pong {
        /// The question's number.
        request_id: u64,
    },
    /// Answers `AskDecision`: the receiver of it holds the duty and sees to the group; and `Demand`.
    Acknowledged {
        /// The question's number.
        request_id: u64,
    },
    /// Tells a home what the sender's clients have asked of a group's primary.
    Demand {
        /// The question's number at the sender.
        request_id: u64,
        /// The group.
        group: String,
        /// What was asked for since the sender told last.
        demand: List<DemandReport>,
    },
}

/// A succession as messages have always carried it: what came to be told beside these stands at the
/// message's end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedSuccession {
    /// The token of the decision.
    pub token: u64,
    /// The name of the server that takes over.
    pub successor: String,
}

impl NamedSuccession {
    /// The succession without its details.
    pub fn of(succession: &Succession) -> Self {
        NamedSuccession {
            token: succession.token,
            successor: succession.successor.name().to_owned(),
        }
    }
}

impl SerBin for NamedSuccession {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.token.ser_bin(output);
        encode_text(&self.successor, output);
    }
}

impl DeBin for NamedSuccession {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(NamedSuccession {
            token: u64::de_bin(offset, bytes)?,
            successor: decode_text(offset, bytes)?.to_owned(),
        })
    }
}

/// Units that may run only in some regions.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct DemandReport {
    /// The regions.
    pub regions: List<LongText>,
    /// How many units were asked for.
    pub units: u32,
}

/// A time as a message carries it.
pub fn encode_age(age: Option<Duration>) -> u32 {
    age.map_or(UNKNOWN_AGE, |age| {
        u32::try_from(age.as_millis()).unwrap_or(UNKNOWN_AGE - 1)
    })
}

/// The time that a message carries.
pub fn decode_age(millis: u32) -> Option<Duration> {
    (millis != UNKNOWN_AGE).then(|| Duration::from_millis(u64::from(millis)))
}
