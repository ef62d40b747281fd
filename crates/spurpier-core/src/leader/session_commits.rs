//! The commits that a session's reads must observe.

use crate::position::Position;
use crate::time::Timestamp;

/// The last commit of a session in one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionCommit {
    /// Its position in the group's log.
    pub position: Position,
    /// When its acknowledgement arrived at this node.
    pub acknowledged_at: Timestamp,
}

/// The last commit of a session in each group that it has committed in.
///
/// A session outlives the routes of its database: after a move to another group and back, its reads
/// must still observe what it committed in the first one. There is one entry per group; most
/// sessions commit in a single group, so a vector is smaller than a map and as fast.
#[derive(Debug, Clone, Default)]
pub struct SessionCommits {
    by_group: Vec<(String, SessionCommit)>,
}

impl SessionCommits {
    /// The session's last commit in a group; `None` if it has not committed there.
    pub fn last_in(&self, group: &str) -> Option<SessionCommit> {
        let mut commits = self.by_group.iter();
        let found = commits.find(|(known, _)| known == group);
        found.map(|(_, commit)| *commit)
    }

    /// Records an acknowledged commit, which replaces an earlier one in the same group.
    pub fn record(&mut self, group: &str, commit: SessionCommit) {
        let mut commits = self.by_group.iter_mut();
        if let Some((_, last)) = commits.find(|(known, _)| known == group) {
            *last = commit;
            return;
        }
        self.by_group.reserve_exact(1);
        self.by_group.push((group.to_owned(), commit));
    }
}
