//! The messages that nodes exchange over UDP. Fields are decoded by position.

use std::time::Duration;

use nanoserde::{DeBin, DeBinErr, SerBin};
use spurpier_core::leader::{Succession, SuccessorDetails};
use spurpier_core::position::Position;
use spurpier_core::store_version::StoreVersion;
use spurpier_core::wire::{List, LongText, Text, decode_text, encode_text};

/// The encoded age if no leadership proof is known.
const UNKNOWN_AGE: u32 = u32::MAX;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum PeerMessage {
    /// Asks what the receiver observes of a group's primary.
    AskPrimaryObservation {
        /// The sender's identifier of the request.
        request_id: u64,
        /// The name of the group.
        group: Text,
    },
    /// Answers `AskPrimaryObservation`.
    PrimaryObservation {
        /// The identifier of the request.
        request_id: u64,
        /// The age in milliseconds of the newest leadership proof, from when its request was sent;
        /// the greatest number if there is none.
        proof_age_ms: u32,
        /// The position that the proof showed.
        position: Position,
    },
    /// Asks the holder of the promotion lease for a decision on a group.
    AskDecision {
        /// The sender's identifier of the request.
        request_id: u64,
        /// The name of the group.
        group: Text,
        /// The region that the primary is to move to; `None` if it is to be replaced for another
        /// reason.
        region: Option<Text>,
    },
    /// Asks the receiver to release its leader lease for the former leader: from then on it uses no
    /// server but the successor as the group's leader.
    AskLeaseRelease {
        /// The sender's identifier of the request.
        request_id: u64,
        /// The name of the group.
        group: Text,
        /// The token and the successor of the decision.
        succession: NamedSuccession,
        /// The version of the succession's row.
        version: StoreVersion,
        /// The remaining fields of the succession.
        details: SuccessorDetails,
    },
    /// Answers `AskLeaseRelease`.
    LeaseReleased {
        /// The identifier of the request.
        request_id: u64,
        /// The token of the newest succession for which the answering node has released its lease.
        token: u64,
    },
    /// Asks whether the receiver runs and can be reached.
    Ping {
        /// The sender's identifier of the request.
        request_id: u64,
    },
    /// Answers `Ping`.
    Pong {
        /// The identifier of the request.
        request_id: u64,
    },
    /// Answers `AskDecision` if the receiver can hold the promotion lease and has accepted the
    /// group, and `Demand` if it knows the group.
    Acknowledged {
        /// The identifier of the request.
        request_id: u64,
    },
    /// Reports to a home what the sender's clients have requested of a group's primary.
    Demand {
        /// The sender's identifier of the request.
        request_id: u64,
        /// The name of the group.
        group: Text,
        /// What was requested since the sender's last report.
        demand: List<DemandReport>,
    },
}

/// The part of a succession that is encoded at a fixed index of the message. The remaining fields
/// follow at the end of the message, which keeps the encoding compatible.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedSuccession {
    /// The fencing token of the decision.
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

/// A number of units of work that may run only in some regions.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct DemandReport {
    /// The names of the regions.
    pub regions: List<LongText>,
    /// How many units of work were requested.
    pub units: u32,
}

/// Encodes an age in milliseconds; `None` becomes the greatest number.
pub fn encode_age(age: Option<Duration>) -> u32 {
    age.map_or(UNKNOWN_AGE, |age| {
        u32::try_from(age.as_millis()).unwrap_or(UNKNOWN_AGE - 1)
    })
}

/// Decodes an age in milliseconds; the greatest number becomes `None`.
pub fn decode_age(millis: u32) -> Option<Duration> {
    (millis != UNKNOWN_AGE).then(|| Duration::from_millis(u64::from(millis)))
}
