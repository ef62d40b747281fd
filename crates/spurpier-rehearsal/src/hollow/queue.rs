//! Events in the order of virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use spurpier_core::time::Timestamp;

/// An event and when it happens; equal times keep the order in which they were added.
#[derive(Debug)]
struct Scheduled<E> {
    at: Timestamp,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives the greatest first: turned round, that is the earliest.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A queue of events by virtual time.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    next_sequence: u64,
}

impl<E> EventQueue<E> {
    /// An empty queue.
    pub(crate) fn new() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Adds an event.
    pub(crate) fn push(&mut self, at: Timestamp, event: E) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    /// Takes the earliest event that happens before `end`.
    pub(crate) fn pop_before(&mut self, end: Timestamp) -> Option<(Timestamp, E)> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        self.heap.pop().map(|next| (next.at, next.event))
    }
}
