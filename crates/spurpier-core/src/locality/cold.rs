//! Cold servers: until when a server is cold, and how many requests it may be sent meanwhile.
//!
//! The limit applies to every sliding window of [`WINDOW`], over all nodes together, and counts
//! only requests that were both sent and received within the window. It is therefore enough to
//! limit the requests sent per window, however long they are in transit. An authority grants
//! permits to send, as it does for tenants ([`crate::quota`]); here the subject is the server.

use std::time::Duration;

use crate::quota::{QuotaBound, QuotaRate};
use crate::store_version::StoreVersion;
use crate::time::Timestamp;

/// Length of the sliding window in which requests to a cold server are counted.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Permits reserved for changes of the authority. Each authority starts with one permit and a vote
/// lasts 700 ms, so two authorities can succeed each other while permits of a third are in use.
const AUTHORITY_CHANGE_RESERVE: f64 = 2.0;
/// Seconds of an authority's rate that the limit of one window has to cover: the window, the 0.6 s
/// for which permits may be used after they were requested, and what an authority accumulates while
/// no node asks. A refused node asks again after 0.1 s to 0.2 s: in the model of the tests, 0.36 of
/// a rate of 20 requests per second was used without accumulation, and 0.88 with 0.2 s of it.
const COVERED_SECONDS: f64 = 1.6 + 0.2 / 0.7;
/// A limit below one request per window allows none, because a request cannot be divided.
const MIN_REQUESTS: f64 = 1.0;

/// The limit on requests to a cold server: in any window of [`WINDOW`], at most its group's rate x
/// `overage` + `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor applied to the group's rate.
    pub overage: f64,
    /// Requests allowed in addition, per window.
    pub slack: f64,
}

impl ColdBound {
    /// The bound that an authority applies to cold servers. It adds no tolerance, because each
    /// server's [`ColdBound::authority_rate`] already uses the whole limit.
    pub const AUTHORITY_BOUND: QuotaBound = QuotaBound {
        window: WINDOW,
        overage: 0.0,
        slack: 0.0,
    };

    /// Maximum number of requests in any window, for a group's rate in requests per second.
    pub fn max_requests(&self, per_second: f64) -> f64 {
        per_second * self.overage + self.slack
    }

    /// The rate and burst of the permits that an authority may grant for one server of a group with
    /// this rate, in requests per second; `None` if the limit does not allow even one request.
    pub fn authority_rate(&self, per_second: f64) -> Option<QuotaRate> {
        let max_requests = self.max_requests(per_second);
        if max_requests < MIN_REQUESTS {
            return None;
        }
        let grantable = (max_requests - AUTHORITY_CHANGE_RESERVE).max(MIN_REQUESTS);
        let per_second = per_second.min(grantable / COVERED_SECONDS);
        Some(QuotaRate {
            per_second,
            burst: grantable - per_second,
        })
    }
}

/// Until when a server is cold, according to its entries in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ColdState {
    until: Timestamp,
    /// The store version of the newest entry.
    version: StoreVersion,
}

impl ColdState {
    /// Records an entry that has just arrived, saying that the server stays cold for `cold_for`.
    /// The time counts from `now`: the transit time of the entry is unknown, and a node that counts
    /// too long only sends too little. An entry that is not newer than the last one changes
    /// nothing.
    pub fn record_entry(&mut self, cold_for: Duration, version: StoreVersion, now: Timestamp) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.until = if cold_for.is_zero() {
            Timestamp::ZERO
        } else {
            now + cold_for
        };
    }

    /// When the server stops being cold; in the past if it is warm.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether the server is cold at `now`.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.until > now
    }
}

/// Whether the servers of a reopened zone must not be used yet, because the known directory entries
/// are older than the reopening and the servers may have turned cold during the evacuation.
///
/// `reopened_at` is the store version at which the evacuation of the zone was known to be over, and
/// `entries_known_to` is the store version up to which directory entries are known.
pub fn is_entry_outdated(
    reopened_at: Option<StoreVersion>,
    entries_known_to: StoreVersion,
) -> bool {
    reopened_at.is_some_and(|reopened_at| entries_known_to < reopened_at)
}
