//! Limits what all nodes together send to cold servers: each message needs a permit.
//!
//! [`spurpier_core::locality`] and [`spurpier_core::quota`] make the decisions. Each server has a
//! gate that its connections pass with every message, so that all messages are counted. For a warm
//! server the gate costs a single atomic load per check.

use std::fmt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spurpier_core::locality::{ColdBound, ColdState, is_entry_outdated};
use spurpier_core::store_version::StoreVersion;
use spurpier_core::time::Timestamp;
use spurpier_events::log_event;
use tokio::sync::watch;

use super::ZoneGate;
use crate::clock::Clock;
use crate::configuration::IndexedConfiguration;
use crate::events;
use crate::ports::{Quota, ServerEntry};
use crate::quota::{Quotas, Refused, TenantQuota};
use crate::settings::BoundSettings;

/// Maximum wait of a message for its permit: enough for a repeated request to another region
/// (40 ms round trip), and less than the 500 ms after which a leader counts as silent.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(300);
/// As [`PERMIT_TIMEOUT`], for a statement of an open transaction, which is dropped without a
/// permit: at 10 permits per second this covers 5 statements.
const TRANSACTION_PERMIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay when the limit allows no messages to a cold server at all.
const CLOSED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Retry delay when only a server of a reopened zone could serve, and its entry is not known to be
/// new enough. Table updates arrive within a second.
const ENTRY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long a message waits for its permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitWait {
    /// It is refused as soon as no permit is available, because a refusal loses no work.
    Refused,
    /// It waits briefly, because preparing its connection has already used permits.
    Prepared,
    /// It waits longer, because its transaction is open.
    Transaction,
}

impl PermitWait {
    const fn timeout(self) -> Duration {
        match self {
            PermitWait::Refused | PermitWait::Prepared => PERMIT_TIMEOUT,
            PermitWait::Transaction => TRANSACTION_PERMIT_TIMEOUT,
        }
    }
}

/// No permit was granted; the time after which to request one again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoLeave(pub Duration);

/// State shared by all cold server gates of a node.
pub struct ColdServers {
    clock: Clock,
    configuration: watch::Receiver<Option<Arc<IndexedConfiguration>>>,
    bound: ColdBound,
    /// Permits to send, and what this node counts as an authority.
    pub permits: Quotas,
    /// When the last cold server becomes warm, in microseconds of the clock.
    latest_end: AtomicU64,
    /// The encoded store version up to which server entries are known.
    entries_known_to: AtomicU64,
}

impl fmt::Debug for ColdServers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ColdServers")
            .finish_non_exhaustive()
    }
}

impl ColdServers {
    /// Creates the shared state with no cold servers.
    pub fn new(
        bounds: &BoundSettings,
        clock: Clock,
        configuration: watch::Receiver<Option<Arc<IndexedConfiguration>>>,
    ) -> Arc<Self> {
        Arc::new(ColdServers {
            clock,
            configuration,
            bound: ColdBound {
                overage: bounds.cold_overage,
                slack: bounds.cold_slack,
            },
            permits: Quotas::for_cold_servers(),
            latest_end: AtomicU64::new(0),
            entries_known_to: AtomicU64::new(0),
        })
    }

    /// Whether requests to any server are counted now.
    pub fn are_counted(&self, now: Timestamp) -> bool {
        let any_cold = self.latest_end.load(Ordering::Relaxed) > now.as_micros();
        let known = self.configuration.borrow();
        any_cold && known.as_ref().is_some_and(|known| known.has_cold_rates())
    }

    /// Records the store version up to which server entries are known and applied.
    pub fn record_entries_known_to(&self, version: StoreVersion) {
        self.entries_known_to
            .fetch_max(version.to_bits(), Ordering::Release);
    }

    /// The rate allowed to a cold server of a group; `None` if it is not limited.
    fn rate(&self, group: &str) -> Option<ColdRate> {
        let known = self.configuration.borrow();
        let known = known.as_ref()?;
        let per_second = known.cold_per_second(group)?;
        let Some(rate) = self.bound.authority_rate(per_second) else {
            return Some(ColdRate::Nothing);
        };
        let quota = Quota {
            per_second: rate.per_second,
            burst: rate.burst,
        };
        let version = known.configuration.version;
        Some(ColdRate::Limited(TenantQuota { quota, version }))
    }
}

/// The rate allowed to a cold server.
#[derive(Debug, Clone, Copy)]
enum ColdRate {
    /// Nothing at all.
    Nothing,
    /// At this rate of permits.
    Limited(TenantQuota),
}

/// Messages to a cold server since the counts were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdTraffic {
    /// Messages that were sent.
    pub sent: u64,
    /// Messages refused for lack of a permit.
    pub refused: u64,
}

/// Limits the messages to one server while it is cold.
#[derive(Debug)]
pub struct ColdGate {
    shared: Arc<ColdServers>,
    /// The server's incarnation, by which its permits are counted.
    subject: Arc<str>,
    group: String,
    /// Supplies the store version at which the server's zone was reopened.
    zone_gate: Arc<ZoneGate>,
    coldness: Mutex<ColdState>,
    /// When the server becomes warm, in microseconds of the clock.
    cold_until: AtomicU64,
    /// Number of messages that wait because no permit is available.
    waiting: AtomicUsize,
    sent: AtomicU64,
    refused: AtomicU64,
}

impl ColdGate {
    /// Creates the gate of a server that is not known to be cold.
    pub fn new(
        shared: &Arc<ColdServers>,
        entry: &ServerEntry,
        zone_gate: Arc<ZoneGate>,
    ) -> Arc<Self> {
        Arc::new(ColdGate {
            shared: Arc::clone(shared),
            subject: Arc::from(entry.incarnation.to_string()),
            group: entry.group.clone(),
            zone_gate,
            coldness: Mutex::default(),
            cold_until: AtomicU64::new(0),
            waiting: AtomicUsize::new(0),
            sent: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        })
    }

    /// Records a newly received entry of the server.
    pub fn record_entry(self: &Arc<Self>, cold_for: Duration, version: StoreVersion) {
        let now = self.shared.clock.now();
        let was_cold = self.is_cold(now);
        let until = {
            let coldness = self.coldness.lock();
            let mut coldness = coldness.unwrap_or_else(PoisonError::into_inner);
            coldness.record_entry(cold_for, version, now);
            let until = coldness.until();
            self.cold_until.store(until.as_micros(), Ordering::Relaxed);
            until
        };
        let latest_end = &self.shared.latest_end;
        latest_end.fetch_max(until.as_micros(), Ordering::Relaxed);
        if until > now && !was_cold {
            log_event!(
                events::SERVER_COLD,
                group = self.group,
                server = self.subject,
                cold_ms = cold_for.as_millis()
            );
            tokio::spawn(Arc::clone(self).log_warm());
        }
    }

    /// Logs when the server is warm again.
    async fn log_warm(self: Arc<Self>) {
        let clock = &self.shared.clock;
        while self.is_cold(clock.now()) {
            tokio::time::sleep_until(clock.instant(self.cold_until())).await;
        }
        log_event!(
            events::SERVER_WARM,
            group = self.group,
            server = self.subject
        );
    }

    fn cold_until(&self) -> Timestamp {
        Timestamp::from_micros(self.cold_until.load(Ordering::Relaxed))
    }

    /// Whether the server is cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.cold_until() > now
    }

    /// Whether messages to the server need permits.
    pub fn is_counted(&self) -> bool {
        self.is_cold(self.shared.clock.now()) && self.shared.rate(&self.group).is_some()
    }

    /// Whether the server may have turned cold while its zone was evacuated, and no entry as new as
    /// the reopening is known.
    fn awaits_entry(&self) -> bool {
        let known_to = &self.shared.entries_known_to;
        let known_to = StoreVersion::from_bits(known_to.load(Ordering::Acquire));
        is_entry_outdated(self.zone_gate.reopened_at(), known_to)
    }

    /// The time for which no permit is known to be available; `None` if one may be.
    pub fn closed_for(&self, now: Timestamp) -> Option<Duration> {
        let awaits_entry = self.awaits_entry();
        if !awaits_entry && !self.is_cold(now) {
            return None;
        }
        match self.shared.rate(&self.group)? {
            _ if awaits_entry => Some(ENTRY_RETRY_DELAY),
            ColdRate::Nothing => Some(CLOSED_RETRY_DELAY),
            ColdRate::Limited(_) => self.shared.permits.limited_for(&self.subject, now),
        }
    }

    /// Takes the counts of messages sent and refused while the server was cold.
    pub fn take_uses(&self) -> ColdTraffic {
        ColdTraffic {
            sent: self.sent.swap(0, Ordering::Relaxed),
            refused: self.refused.swap(0, Ordering::Relaxed),
        }
    }

    /// Admits one message, which must be sent at once.
    ///
    /// # Errors
    ///
    /// [`NoLeave`] if it must not be sent.
    pub async fn pass(&self, wait: PermitWait) -> Result<(), NoLeave> {
        let awaits_entry = self.awaits_entry();
        if !awaits_entry && !self.is_cold(self.shared.clock.now()) {
            return Ok(());
        }
        let quota = match self.shared.rate(&self.group) {
            None => return Ok(()),
            Some(_) if awaits_entry => return self.refuse(ENTRY_RETRY_DELAY),
            Some(ColdRate::Nothing) => return self.refuse(CLOSED_RETRY_DELAY),
            Some(ColdRate::Limited(quota)) => quota,
        };
        match self.acquire_permit(quota, wait).await {
            Ok(()) => {
                self.sent.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            Err(delay) => self.refuse(delay),
        }
    }

    fn refuse(&self, delay: Duration) -> Result<(), NoLeave> {
        self.refused.fetch_add(1, Ordering::Relaxed);
        Err(NoLeave(delay))
    }

    /// Acquires an unexpired permit; the error is the delay until one may be available.
    async fn acquire_permit(&self, quota: TenantQuota, wait: PermitWait) -> Result<(), Duration> {
        let clock = &self.shared.clock;
        let until = clock.now() + wait.timeout();
        if wait == PermitWait::Refused && self.waiting.load(Ordering::Relaxed) > 0 {
            // Waiting messages go first, because a refusal would lose more of their work.
            return Err(PERMIT_TIMEOUT);
        }
        loop {
            let permits = &self.shared.permits;
            let taken = permits.acquire(clock, &self.subject, quota, until).await;
            let delay = match taken {
                Ok(permit) if permit.expires_at > clock.now() => return Ok(()),
                // The permit expired while the process was suspended.
                Ok(_) => continue,
                Err(Refused::OverQuota(delay) | Refused::NoAuthority(delay)) => delay,
            };
            if wait == PermitWait::Refused || clock.now() + delay >= until {
                return Err(delay);
            }
            let _waiting = WaitingGuard::new(&self.waiting);
            tokio::time::sleep(delay).await;
        }
    }
}

/// Counts a waiting message until dropped.
struct WaitingGuard<'a>(&'a AtomicUsize);

impl<'a> WaitingGuard<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        WaitingGuard(waiting)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
