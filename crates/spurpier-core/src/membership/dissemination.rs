//! The queue of updates that are piggybacked on other messages.

use std::collections::VecDeque;

use super::message::MemberUpdate;

/// An update, its encoded size and how often it has been sent.
#[derive(Debug, Clone)]
struct QueuedUpdate {
    update: MemberUpdate,
    bytes: usize,
    sends: usize,
}

/// The updates that this node still disseminates.
///
/// Suspicions, refutations and departures are short and are sent first. Joins carry an identity
/// and use the bytes that remain. Within each kind, the updates sent least often come first.
#[derive(Debug, Clone, Default)]
pub(super) struct DisseminationQueue {
    short: VecDeque<QueuedUpdate>,
    joins: VecDeque<QueuedUpdate>,
}

impl DisseminationQueue {
    /// Adds an update; it replaces a queued one about the same member.
    pub(super) fn push(&mut self, update: MemberUpdate) {
        for queue in [&mut self.short, &mut self.joins] {
            queue.retain(|queued| queued.update.key != update.key);
        }
        let bytes = update.encoded_bytes();
        let queue = match update.identity {
            Some(_) => &mut self.joins,
            None => &mut self.short,
        };
        queue.push_front(QueuedUpdate {
            update,
            bytes,
            sends: 0,
        });
    }

    /// Returns updates of at most `budget` bytes to send now; each update is returned at most
    /// `send_limit` times in total.
    pub(super) fn take(&mut self, budget: usize, send_limit: usize) -> Vec<MemberUpdate> {
        let mut taken = Vec::new();
        let remaining = take_from(&mut self.short, budget, send_limit, &mut taken);
        take_from(&mut self.joins, remaining, send_limit, &mut taken);
        taken
    }

    /// Returns how many short updates are queued.
    pub(super) fn short_update_count(&self) -> usize {
        self.short.len()
    }

    /// Returns the memory that the queue takes, in bytes. Identities are not included, because
    /// they are shared with the member table.
    pub(super) fn memory_bytes(&self) -> usize {
        (self.short.capacity() + self.joins.capacity()) * size_of::<QueuedUpdate>()
    }
}

/// Takes updates from the front of the queue and appends those that are to be sent again.
///
/// Returns the bytes of the budget that remain.
fn take_from(
    queue: &mut VecDeque<QueuedUpdate>,
    budget: usize,
    send_limit: usize,
    taken: &mut Vec<MemberUpdate>,
) -> usize {
    let mut remaining = budget;
    for _ in 0..queue.len() {
        let Some(mut queued) = queue.pop_front_if(|queued| queued.bytes <= remaining) else {
            break;
        };
        remaining -= queued.bytes;
        queued.sends += 1;
        taken.push(queued.update.clone());
        if queued.sends < send_limit {
            queue.push_back(queued);
        }
    }
    remaining
}
