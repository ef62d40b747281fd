//! Servers that are cold: until when, and how many requests may be sent to one.
//!
//! What is judged is each span of [`WINDOW`], over all nodes together, and only what was both sent
//! and received in it. So it is enough that no span holds more sendings than the bound, however
//! long requests are on the way. Leaves to send are given by an authority as those of tenants are
//! ([`crate::quota`]); its subject is the server.

use std::time::Duration;

use crate::quota::{QuotaBound, QuotaRate};
use crate::store_version::StoreVersion;
use crate::time::Timestamp;

/// The length of the spans in which requests to a cold server are counted.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Leaves that are set aside for changes of the authority. Each authority begins with one leave,
/// and a vote lasts 700 ms, so that two can follow one another while leaves of a third are used.
const AUTHORITY_CHANGE_RESERVE: f64 = 2.0;
/// The seconds of an authority's rate that the bound of one span has to cover: the span, the 0.6 s
/// for which leaves may be used after they were asked for, and what an authority saves up while
/// nobody asks. A refused node asks again after 0.1 s to 0.2 s; with nothing saved up, 0.36 of a
/// rate of 20 a second were used in the model of the tests, and 0.88 with 0.2 s saved up.
const COVERED_SECONDS: f64 = 1.6 + 0.2 / 0.7;
/// Fewer requests in a span than this cannot be divided: none is sent.
const MIN_REQUESTS: f64 = 1.0;

/// What is judged: in any span of [`WINDOW`], the requests to a cold server may be at most
/// its group's rate x `overage` + `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// The factor of the rate.
    pub overage: f64,
    /// Requests besides.
    pub slack: f64,
}

impl ColdBound {
    /// What an authority counts by; the whole bound is in each server's [`ColdBound::authority_rate`].
    pub const AUTHORITY_BOUND: QuotaBound = QuotaBound {
        window: WINDOW,
        overage: 0.0,
        slack: 0.0,
    };

    /// The most requests in any span, for a group's rate in requests a second.
    pub fn max_requests(&self, per_second: f64) -> f64 {
        per_second * self.overage + self.slack
    }

    /// What an authority may give for a server of a group with this rate, in requests a second;
    /// none if the bound allows not even one request.
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

/// Until when a server is cold, as its entries in the directory tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ColdState {
    until: Timestamp,
    /// The version of the newest entry.
    version: StoreVersion,
}

impl ColdState {
    /// Takes in an entry of this version that came now. The time counts from here: how long the
    /// entry was on the way is not known, and a node that counts too long only sends too little.
    /// An entry that is told again changes nothing.
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

    /// Until when the server is cold; a moment that is past if it is warm.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether the server is cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.until > now
    }
}

/// Whether servers of a zone that was evacuated until a version of the store must not be used yet:
/// they may have turned cold while it was, and entries are known only up to an older version.
pub fn is_entry_outdated(
    reopened_at: Option<StoreVersion>,
    entries_known_to: StoreVersion,
) -> bool {
    reopened_at.is_some_and(|reopened_at| entries_known_to < reopened_at)
}
