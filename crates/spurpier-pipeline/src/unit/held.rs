//! The places of open transactions, which are given up from outside when their zone is closed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use super::attempt::Place;

type SharedPlace = Mutex<Option<Place>>;

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    places: HashMap<u64, Weak<SharedPlace>>,
}

/// The places of all transactions that stand open on this node's connections.
#[derive(Debug, Clone, Default)]
pub struct OpenTransactions(Arc<Mutex<Inner>>);

impl OpenTransactions {
    /// Notes a transaction's place.
    pub fn hold(&self, place: Place) -> HeldPlace {
        let place = Arc::new(Mutex::new(Some(place)));
        let number = {
            let mut inner = self.lock();
            inner.next += 1;
            let number = inner.next;
            inner.places.insert(number, Arc::downgrade(&place));
            number
        };
        HeldPlace {
            place,
            number,
            all: self.clone(),
        }
    }

    /// Closes the connections of transactions that rest in a zone, and tells how many; one whose
    /// statement runs is closed after its answer.
    pub fn end_in(&self, zone: &str) -> usize {
        let places: Vec<_> = self.lock().places.values().cloned().collect();
        let places = places.iter().filter_map(Weak::upgrade);
        let ended = places.filter_map(|place| {
            let stands_there = |place: &mut Place| place.server.listing().entry.zone == zone;
            locked(&place).take_if(stands_there)
        });
        ended.count()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A transaction's place between its statements.
#[derive(Debug)]
pub struct HeldPlace {
    place: Arc<SharedPlace>,
    number: u64,
    all: OpenTransactions,
}

impl HeldPlace {
    /// Takes the place for a statement; none if it was given up.
    pub fn take(&self) -> Option<Place> {
        locked(&self.place).take()
    }

    /// Gives the place back after a statement, unless nothing more may be sent there.
    pub fn put_back(&self, place: Option<Place>) {
        let place = place.filter(|place| !place.server.pool.zone_gate().is_closed());
        *locked(&self.place) = place;
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        self.all.lock().places.remove(&self.number);
    }
}

fn locked(place: &SharedPlace) -> MutexGuard<'_, Option<Place>> {
    place.lock().unwrap_or_else(PoisonError::into_inner)
}
