//! The control state of a node: membership, the spread of policies, and homes.
//!
//! One actor owns `spurpier_core::control::ControlNode` and carries out its actions over UDP, over
//! the connections between nodes, and against the platform. Readers load [`ClusterView`].

mod actor;
mod datagrams;
mod handle;
mod platform_reads;
mod reach;
mod timer;
mod view;

pub use handle::{Cluster, ClusterParts};
pub use view::{ClusterView, MemberHomes, SeenMember};
