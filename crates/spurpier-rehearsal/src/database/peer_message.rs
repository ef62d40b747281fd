//! The messages between the servers of a group.

use nanoserde::{DeBin, SerBin};
use spurpier_core::identity::ServerName;
use spurpier_core::position::Position;

use super::record::Record;

/// Asks for a vote, or whether a vote would be given.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteRequest {
    /// The term of the election.
    pub term: u64,
    /// Who asks.
    pub candidate: ServerName,
    /// The position of the last record in the candidate's log.
    pub last: Position,
    /// Whether this only asks if the vote would be given; nothing is kept of it.
    pub pre_vote: bool,
}

/// The answer to a vote request.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteAnswer {
    /// The newest term that the voter knows.
    pub term: u64,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Carries records from the primary; without records it is a heartbeat.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct AppendRequest {
    /// The primary's term.
    pub term: u64,
    /// The primary.
    pub primary: ServerName,
    /// The position of the record before the first one carried.
    pub previous: Position,
    /// The records, in order.
    pub records: Vec<Record>,
    /// The offset up to which the primary knows the log to be on a majority.
    pub confirmed: u64,
}

/// The answer to carried records.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendAnswer {
    /// The newest term that the receiver knows.
    pub term: u64,
    /// Whether the records follow on the receiver's log and were taken.
    pub accepted: bool,
    /// If accepted, the offset up to which the logs agree; else where the primary should try next.
    pub matched: u64,
}

/// A request from one server to another; each gets one answer on the same connection.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub enum PeerRequest {
    /// For a vote.
    Vote(VoteRequest),
    /// To take records.
    Append(AppendRequest),
    /// To start an election at once, because the primary of this term hands over.
    TakeOver(u64),
}

/// A request with its sender, so that cut peers can be ignored.
#[derive(Debug, Clone, PartialEq, SerBin, DeBin)]
pub struct PeerEnvelope {
    /// The sending server.
    pub from: ServerName,
    /// What it asks.
    pub request: PeerRequest,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum PeerAnswer {
    /// To `Vote`.
    Vote(VoteAnswer),
    /// To `Append`.
    Append(AppendAnswer),
    /// To `TakeOver`: the election has been started.
    TakingOver,
}
