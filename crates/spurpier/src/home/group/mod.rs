//! What the node knows of a group: probes of its servers, and the view that follows.

mod probe;
mod status;
mod watcher;

pub use status::{
    FENCE_EPOCH_QUERY, LAST_COMMIT_QUERY, STATUS_QUERY, read_fence_epoch, read_last_commit,
    read_status,
};
pub use watcher::{GroupWatcher, ProbeTimes};
