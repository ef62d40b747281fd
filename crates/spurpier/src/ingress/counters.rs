//! Counters of the ingress side, for the admin endpoint.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use spurpier_core::reason::Reason;
use spurpier_protocol::unit::ServedBy;

/// The upper bounds of the latency buckets, in microseconds; one bucket more takes the rest.
pub const LATENCY_BOUNDS_MICROS: [u64; 12] = [
    250, 500, 1_000, 2_500, 5_000, 10_000, 25_000, 50_000, 100_000, 250_000, 1_000_000, 5_000_000,
];

const BUCKETS: usize = LATENCY_BOUNDS_MICROS.len() + 1;

/// What the ingress side has done since its start. All counts only rise, but `clients`.
#[derive(Debug)]
pub struct IngressCounters {
    clients: AtomicU64,
    clients_accepted: AtomicU64,
    cancels: AtomicU64,
    batches: AtomicU64,
    units_completed: AtomicU64,
    units_repeated: AtomicU64,
    reads_by_primary: AtomicU64,
    reads_by_replica: AtomicU64,
    refusals: Vec<AtomicU64>,
    latency_buckets: [AtomicU64; BUCKETS],
    latency_sum_micros: AtomicU64,
}

impl Default for IngressCounters {
    fn default() -> Self {
        IngressCounters {
            clients: AtomicU64::default(),
            clients_accepted: AtomicU64::default(),
            cancels: AtomicU64::default(),
            batches: AtomicU64::default(),
            units_completed: AtomicU64::default(),
            units_repeated: AtomicU64::default(),
            reads_by_primary: AtomicU64::default(),
            reads_by_replica: AtomicU64::default(),
            refusals: Reason::ALL.iter().map(|_| AtomicU64::default()).collect(),
            latency_buckets: Default::default(),
            latency_sum_micros: AtomicU64::default(),
        }
    }
}

impl IngressCounters {
    /// Counters at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Client connections that are past their start-up now.
    pub fn clients(&self) -> u64 {
        self.clients.load(Ordering::Relaxed)
    }

    /// Client connections that have got past their start-up.
    pub fn clients_accepted(&self) -> u64 {
        self.clients_accepted.load(Ordering::Relaxed)
    }

    /// Cancel requests that met a running statement.
    pub fn cancels(&self) -> u64 {
        self.cancels.load(Ordering::Relaxed)
    }

    /// Batches that were answered by a ReadyForQuery.
    pub fn batches(&self) -> u64 {
        self.batches.load(Ordering::Relaxed)
    }

    /// Units that ran to their end.
    pub fn units_completed(&self) -> u64 {
        self.units_completed.load(Ordering::Relaxed)
    }

    /// Units that were answered by the recorded answer of an earlier copy.
    pub fn units_repeated(&self) -> u64 {
        self.units_repeated.load(Ordering::Relaxed)
    }

    /// Read units and read transactions that ran on this kind of server.
    pub fn reads(&self, served_by: ServedBy) -> u64 {
        self.reads_counter(served_by).load(Ordering::Relaxed)
    }

    /// Requests and connections that were given an error for this reason.
    pub fn refusals(&self, reason: Reason) -> u64 {
        let counter = self.refusals.get(reason as usize);
        counter.map_or(0, |counter| counter.load(Ordering::Relaxed))
    }

    /// How many batches took so long: one count for each bound, and one for all above.
    pub fn latency_buckets(&self) -> [u64; BUCKETS] {
        std::array::from_fn(|index| self.latency_buckets[index].load(Ordering::Relaxed))
    }

    /// The time that all batches together took, in microseconds.
    pub fn latency_sum_micros(&self) -> u64 {
        self.latency_sum_micros.load(Ordering::Relaxed)
    }

    pub(super) fn client_started(&self) {
        self.clients.fetch_add(1, Ordering::Relaxed);
        self.clients_accepted.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn client_ended(&self) {
        self.clients.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn count_cancel(&self) {
        self.cancels.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_batch(&self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let bucket = LATENCY_BOUNDS_MICROS.partition_point(|bound| *bound < micros);
        self.batches.fetch_add(1, Ordering::Relaxed);
        self.latency_buckets[bucket].fetch_add(1, Ordering::Relaxed);
        self.latency_sum_micros.fetch_add(micros, Ordering::Relaxed);
    }

    pub(super) fn count_completed(&self, is_read: bool, served_by: ServedBy, repeated: bool) {
        self.units_completed.fetch_add(1, Ordering::Relaxed);
        if repeated {
            self.units_repeated.fetch_add(1, Ordering::Relaxed);
        }
        if is_read {
            self.reads_counter(served_by)
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    pub(super) fn count_refusal(&self, reason: Reason) {
        if let Some(counter) = self.refusals.get(reason as usize) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn reads_counter(&self, served_by: ServedBy) -> &AtomicU64 {
        match served_by {
            ServedBy::Primary => &self.reads_by_primary,
            ServedBy::Replica => &self.reads_by_replica,
        }
    }
}
