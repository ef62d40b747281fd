//! Groups whose primary is promoted from outside: who leads, how fresh a read is, and which server
//! runs it.
//!
//! Such a group holds no elections, and a deposed primary goes on answering reads. A server refuses
//! a transaction that may write once it knows that it no longer leads. Each transaction that it
//! accepts therefore proves that it was the leader at some moment after the opening statement was
//! sent, provided that no replacement took effect without the server's knowledge. `lease` ensures
//! that. Wall clocks are not used.

mod candidate;
mod failover;
mod homes;
mod lease;
mod promotion_lease;
mod proofs;
mod read_routing;
mod replica_set;
mod session_commits;
mod view;

pub use candidate::{LeaderCandidate, choose_leader_candidate};
pub use failover::{
    FailoverDecision, FormerPrimary, MissingPrimary, PARTITION_TIMEOUT, PrimaryObservation,
    SuccessorCandidate, choose_successor, decide_failover,
};
pub use homes::{MAX_HOMES, RankedNode, WeightedScore, homes_per_zone, rank_homes};
pub use lease::{
    LEADER_LEASE, LEADER_LEASE_MARGIN, LeaseReleaseRound, PROMOTION_WINDOW, RoundState, Succession,
    SuccessorDetails, holds_leader_lease,
};
pub use promotion_lease::{HolderStatus, PromotionLeaseRow, PromotionStep, next_promotion_step};
pub use proofs::{LeadershipProof, LeadershipProofs, read_floor};
pub use read_routing::{Distance, ObservedPosition, ServerLoad, choose_read_server};
pub use replica_set::{
    MissingReplicas, REPLICA_END_TIMEOUT, REPLICA_RETURN_TIMEOUT, Reachability, ReplicaLocation,
    ReplicaSet, counted_servers, may_remove_ended,
};
pub use session_commits::{SessionCommit, SessionCommits};
pub use view::{LeaderView, ProofError};
