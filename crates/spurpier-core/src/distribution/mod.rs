//! How policy and configuration reach every node.
//!
//! Two nodes of each zone, chosen by rank, read the platform. What they learn travels as deltas:
//! each node that installs a version passes it to a few others, and nodes that missed it ask for
//! it as soon as they hear of a newer version. Versions only rise.
//! `docs/design/0009-spread.md` gives the reasons.

mod document;
mod machine;
mod message;
mod settings;
mod watcher;

pub use document::{ApplyError, Document, DocumentStore, OwnedDocument, difference};
pub use machine::{Distribution, DistributionAction, DistributionEvent, ReadFailure};
pub use message::{Delta, DistributionMessage, EntryChange, FetchedChanges, Snapshot};
pub use settings::DistributionConfig;
