//! Cluster membership: which nodes are alive, in which zone, and which zones can be reached.
//!
//! The protocol is a variant of SWIM. Each node probes a few others at a fixed rate, whatever the
//! size of the cluster. Only nodes of the same zone raise suspicions (nodes of any zone where the
//! zone is very small), so that the nodes of a zone that is cut off keep each other as members.
//! Suspicions, joins and departures are piggybacked on the probes. Anti-entropy by digests of the
//! view repairs updates that were lost. `docs/design/0008-membership.md` gives the rationale.

mod config;
mod detection;
mod dissemination;
mod event;
mod identity;
mod joining;
mod machine;
mod machine_list;
mod merge;
mod message;
mod probing;
mod receive;
mod status;
mod suspicion;
mod sync;
mod table;
mod zones;

pub use config::MembershipConfig;
pub use event::{
    Destination, ListedMachine, MemberChange, MembershipAction, MembershipEvent, Transport,
};
pub use identity::{MemberAddresses, MemberIdentity, NodeKey};
pub use machine::Membership;
pub use message::{MemberUpdate, MembershipMessage};
pub use status::{MemberState, MemberStatus};
pub use table::{MemberTable, MemberView};
