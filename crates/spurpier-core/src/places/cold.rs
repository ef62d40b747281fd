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
const FOR_CHANGES: f64 = 2.0;
/// The seconds of an authority's rate that the bound of one span has to cover: the span, the 0.6 s
/// for which leaves may be used after they were asked for, and what an authority saves up while
/// nobody asks. A refused node asks again after 0.1 s to 0.2 s; with nothing saved up, 0.36 of a
/// rate of 20 a second were used in the model of the tests, and 0.88 with 0.2 s saved up.
const COVERED_SECONDS: f64 = 1.6 + 0.2 / 0.7;
/// Fewer requests in a span than this cannot be divided: none is sent.
const LEAST: f64 = 1.0;

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
    /// What an authority counts by; the whole bound is in each server's [`ColdBound::rate`].
    pub const COUNTED: QuotaBound = QuotaBound {
        window: WINDOW,
        overage: 0.0,
        slack: 0.0,
    };

    /// The most requests in any span, for a group's rate in requests a second.
    pub fn most(&self, per_second: f64) -> f64 {
        per_second * self.overage + self.slack
    }

    /// What an authority may give for a server of a group with this rate, in requests a second;
    /// none if the bound allows not even one request.
    pub fn rate(&self, per_second: f64) -> Option<QuotaRate> {
        let most = self.most(per_second);
        if most < LEAST {
            return None;
        }
        let given = (most - FOR_CHANGES).max(LEAST);
        let per_second = per_second.min(given / COVERED_SECONDS);
        Some(QuotaRate {
            per_second,
            burst: given - per_second,
        })
    }
}

/// Until when a server is cold, as its entries in the directory tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Coldness {
    until: Timestamp,
    /// The version of the newest entry.
    version: StoreVersion,
}

impl Coldness {
    /// Takes in an entry of this version that came now. The time counts from here: how long the
    /// entry was on the way is not known, and a node that counts too long only sends too little.
    /// An entry that is told again changes nothing.
    pub fn note_entry(&mut self, cold_for: Duration, version: StoreVersion, now: Timestamp) {
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
    taken_back_at: Option<StoreVersion>,
    entries_known_to: StoreVersion,
) -> bool {
    taken_back_at.is_some_and(|removal| entries_known_to < removal)
}
