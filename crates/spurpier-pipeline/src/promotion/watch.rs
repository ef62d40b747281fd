//! Monitors the primaries of the groups and starts a task for each that may need another one.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

use super::peers::Peers;
use super::task::PromotionTask;
use crate::context::Context;
use crate::group::Group;

/// How often the groups are checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(150);

/// Monitors all groups. Never returns.
pub async fn watch_groups(
    context: Arc<Context>,
    peers: Arc<Peers>,
    mut requested_groups: mpsc::Receiver<String>,
) {
    let tasks = Arc::new(ActiveTasks::default());
    loop {
        // A group for which another node requests a decision is assessed immediately.
        if let Ok(Some(name)) = timeout(WATCH_INTERVAL, requested_groups.recv()).await {
            let group = context.group(&name);
            tasks.start(&context, &peers, group);
            continue;
        }
        for group in context.groups_in_use() {
            if is_in_doubt(&context, &group) {
                tasks.start(&context, &peers, group);
            }
        }
    }
}

/// Whether a group that this node monitors may need a new primary; false if a task runs for it.
fn is_in_doubt(context: &Context, group: &Group) -> bool {
    if group.is_monitored() {
        return false;
    }
    let Some(leader) = group.leader() else {
        return !group.servers().is_empty() && *context.directory_known.borrow();
    };
    let now = context.clock.now();
    if context
        .locality
        .reason_to_move(group, &leader, now)
        .is_some()
    {
        return true;
    }
    leader.health().unanswered_count > 0
}

/// The names of the groups for which a task runs.
#[derive(Default)]
struct ActiveTasks(Mutex<HashSet<String>>);

impl ActiveTasks {
    fn start(self: &Arc<Self>, context: &Arc<Context>, peers: &Arc<Peers>, group: Arc<Group>) {
        let mut open = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !open.insert(group.name.clone()) {
            return;
        }
        group.set_monitored(true);
        context.record_visited(&group);
        context.lease_wanted.notify_one();
        let task = PromotionTask::new(Arc::clone(context), Arc::clone(peers), group);
        let tasks = Arc::clone(self);
        tokio::spawn(async move {
            let group = task.run().await;
            let mut open = tasks.0.lock().unwrap_or_else(PoisonError::into_inner);
            open.remove(&group.name);
            group.set_monitored(false);
        });
    }
}
