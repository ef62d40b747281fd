//! Statements that wait to be passed on with other messages.

use std::collections::VecDeque;

use super::message::MemberUpdate;

/// A statement and how often it has been passed on.
#[derive(Debug, Clone)]
struct QueuedUpdate {
    update: MemberUpdate,
    bytes: usize,
    sends: usize,
}

/// The statements that this node still passes on.
///
/// Suspicions, refutations and departures are short and go first; joins carry an identity and
/// take the room that is left. Within each kind the least often sent go first.
#[derive(Debug, Clone, Default)]
pub(super) struct DisseminationQueue {
    short: VecDeque<QueuedUpdate>,
    joins: VecDeque<QueuedUpdate>,
}

impl DisseminationQueue {
    /// Adds a statement; it takes the place of an older one about the same member.
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

    /// Takes statements of at most `budget` bytes; each is given out `send_limit` times in all.
    pub(super) fn take(&mut self, budget: usize, send_limit: usize) -> Vec<MemberUpdate> {
        let mut taken = Vec::new();
        let remaining = take_from(&mut self.short, budget, send_limit, &mut taken);
        take_from(&mut self.joins, remaining, send_limit, &mut taken);
        taken
    }

    /// How many short statements wait.
    pub(super) fn short_update_count(&self) -> usize {
        self.short.len()
    }

    /// The bytes that the queue holds, identities not counted: they belong to the member table.
    pub(super) fn memory_bytes(&self) -> usize {
        (self.short.capacity() + self.joins.capacity()) * size_of::<QueuedUpdate>()
    }
}

/// Takes statements from the front and puts those that are to be sent again to the back; gives
/// the bytes that are left.
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
