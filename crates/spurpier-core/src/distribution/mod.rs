//! Distribution of policy and configuration to every node by gossip.
//!
//! In each zone a few nodes, the watchers, poll the platform. A node that installs a new version
//! pushes the delta to a few random peers. A node that missed it requests it from a peer that
//! announces a newer version. The installed version never decreases.
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
