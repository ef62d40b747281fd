//! Admission control for one server: its slots, and a bounded queue that is fair between sessions.
//!
//! A unit is one autocommit batch or one whole transaction.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::identity::SessionId;
use crate::time::Timestamp;

/// Weight of the newest sample in the moving average of the time between two releases.
const EWMA_WEIGHT: f64 = 0.1;
/// Time between two releases that is assumed before the first sample.
const INITIAL_RELEASE_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest retry delay that a refused caller is given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Identifies a unit in the queue; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The answer to a unit that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The unit has a slot.
    Admitted,
    /// The unit waits until [`AdmissionControl::start_next`] returns its ticket.
    Queued(Ticket),
    /// The unit cannot start before its deadline, or the queue is full.
    Refused {
        /// Expected time until the queue has drained.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct QueuedUnit {
    ticket: Ticket,
    deadline: Timestamp,
}

/// The slots of one server and the units that wait for them.
///
/// The queue serves the sessions round-robin, so that a session with many units does not delay
/// the others. The time between releases is measured while units wait, and predicts whether a
/// new unit can start before its deadline.
#[derive(Debug)]
pub struct AdmissionControl {
    slots: usize,
    running: usize,
    queue_limit: usize,
    waiting: usize,
    next_ticket: u64,
    session_order: VecDeque<SessionId>,
    sessions: HashMap<SessionId, VecDeque<QueuedUnit>>,
    release_interval: Duration,
    last_release: Option<Timestamp>,
}

impl AdmissionControl {
    /// Admits `slots` units at the same time, at least one, and queues up to `queue_limit` more.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        AdmissionControl {
            slots: slots.max(1),
            running: 0,
            queue_limit,
            waiting: 0,
            next_ticket: 0,
            session_order: VecDeque::new(),
            sessions: HashMap::new(),
            release_interval: INITIAL_RELEASE_INTERVAL,
            last_release: None,
        }
    }

    /// Number of units that run now.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of units that wait now.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of units that may run at the same time.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Changes the number of slots, to at least one; running units keep theirs.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots.max(1);
    }

    /// Requests a slot for a unit that must start before `deadline`.
    ///
    /// `connection_free` says whether the unit could get a connection at once.
    pub fn admit(
        &mut self,
        session: &SessionId,
        deadline: Timestamp,
        connection_free: bool,
        now: Timestamp,
    ) -> AdmissionDecision {
        if self.waiting == 0 && self.running < self.slots && connection_free {
            self.running += 1;
            return AdmissionDecision::Admitted;
        }
        let wait = self.expected_wait();
        if self.waiting >= self.queue_limit || now + wait > deadline {
            return AdmissionDecision::Refused {
                retry_after: wait.max(MIN_RETRY_AFTER),
            };
        }
        AdmissionDecision::Queued(self.enqueue(session, deadline))
    }

    /// Expected queueing time of a unit that arrives now.
    pub fn expected_wait(&self) -> Duration {
        let ahead = u32::try_from(self.waiting).unwrap_or(u32::MAX);
        self.release_interval.saturating_mul(ahead)
    }

    fn enqueue(&mut self, session: &SessionId, deadline: Timestamp) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting += 1;
        let queue = self.sessions.entry(session.clone()).or_default();
        if queue.is_empty() {
            self.session_order.push_back(session.clone());
        }
        queue.push_back(QueuedUnit { ticket, deadline });
        ticket
    }

    /// Starts the next queued unit, if a slot is free, and returns its ticket.
    ///
    /// Units past their deadline are dropped from the queue; their owners time out on their own.
    pub fn start_next(&mut self, now: Timestamp) -> Option<Ticket> {
        if self.running >= self.slots {
            return None;
        }
        while let Some(waiting) = self.pop_round_robin() {
            if waiting.deadline > now {
                self.running += 1;
                return Some(waiting.ticket);
            }
        }
        None
    }

    fn pop_round_robin(&mut self) -> Option<QueuedUnit> {
        let session = self.session_order.pop_front()?;
        let queue = self.sessions.get_mut(&session)?;
        let waiting = queue.pop_front();
        if queue.is_empty() {
            self.sessions.remove(&session);
        } else {
            self.session_order.push_back(session);
        }
        self.waiting -= usize::from(waiting.is_some());
        waiting
    }

    /// Removes a unit from the queue; false if it is no longer queued.
    pub fn cancel(&mut self, session: &SessionId, ticket: Ticket) -> bool {
        let Some(queue) = self.sessions.get_mut(session) else {
            return false;
        };
        let Some(index) = queue.iter().position(|waiting| waiting.ticket == ticket) else {
            return false;
        };
        queue.remove(index);
        self.waiting -= 1;
        if queue.is_empty() {
            self.sessions.remove(session);
            self.session_order.retain(|other| other != session);
        }
        true
    }

    /// Takes a slot again for the next batch of an open transaction.
    ///
    /// This never waits, because other units may wait for locks that the transaction holds. The
    /// running units may therefore exceed the slots, by as many transactions as have connections.
    pub fn reacquire_slot(&mut self) {
        self.running += 1;
    }

    /// Releases the slot of a running unit.
    pub fn release_slot(&mut self, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        if self.waiting > 0 {
            self.update_release_interval(now);
        }
        self.last_release = Some(now);
    }

    fn update_release_interval(&mut self, now: Timestamp) {
        let Some(last) = self.last_release else {
            return;
        };
        let newest = now.since(last).as_secs_f64();
        let smoothed =
            self.release_interval.as_secs_f64() * (1.0 - EWMA_WEIGHT) + newest * EWMA_WEIGHT;
        self.release_interval = Duration::from_secs_f64(smoothed);
    }
}
