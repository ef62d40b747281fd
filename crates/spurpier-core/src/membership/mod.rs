//! Which nodes live, where, and which of them can be reached.
//!
//! Each node probes a few others at a fixed rate, whatever the number of nodes. Only nodes of the
//! same zone raise suspicions (nodes of any zone where a zone is very small), so a zone that is
//! cut off stays together. Suspicions, joins and departures ride on the probes; digests of the
//! view repair what is lost. `docs/design/0008-membership.md` gives the reasons.

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
