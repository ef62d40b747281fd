//! The ledger of a database's connections, kept by its first-ranked home.
//!
//! A ledger works under an epoch that it claims in the database itself, in the same way as the
//! fence is raised. It grants only for a short time after it last confirmed that the epoch is in
//! force. A ledger that takes over renews the allowances that homes report, and grants the rest of
//! the limit only when every grant of an earlier ledger must have expired. A home whose lease has
//! expired has no allowance to renew, even if it still has to close connections: the earlier ledger
//! may have granted its share to other homes.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::allocation::{ShareDemand, needs_first_shares};
use super::config::ShareConfig;
use super::message::{ShareGrant, ShareMessage, ShareReport};
use crate::membership::NodeKey;
use crate::time::Timestamp;

/// An input to [`ShareLedger::handle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerEvent {
    /// Time has passed.
    Tick,
    /// This ledger has claimed an epoch in the database, confirmed by a majority of its servers.
    EpochClaimed {
        /// The claimed epoch.
        epoch: u64,
        /// When the claim was sent.
        sent_at: Timestamp,
    },
    /// The database's primary reported the epoch in force.
    EpochObserved {
        /// The epoch in force.
        epoch: u64,
        /// When the query was sent.
        sent_at: Timestamp,
    },
    /// A report arrived.
    Received {
        /// The home that sent it.
        from: NodeKey,
        /// The report.
        report: ShareReport,
    },
}

/// What the caller of [`ShareLedger::handle`] has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerAction {
    /// Send a message.
    Send {
        /// The home to send it to.
        to: NodeKey,
        /// The message.
        message: ShareMessage,
    },
}

/// A home as the ledger counts it.
#[derive(Debug, Clone, Copy)]
struct Holder {
    last_sequence: u64,
    /// The most connections that the home may hold, whichever messages arrived.
    outstanding: u32,
    demand: ShareDemand,
    /// The share that the home should have.
    target: u32,
    granted_at: Timestamp,
    /// Whether it has reported under this ledger's epoch.
    has_joined: bool,
    report_requested: bool,
}

/// The ledger of one database's connections.
#[derive(Debug, Clone)]
pub struct ShareLedger {
    config: Arc<ShareConfig>,
    limit: u32,
    epoch: u64,
    /// The ledger grants only before this time.
    valid_until: Timestamp,
    /// Until this time, homes that have not joined the epoch may hold all connections except
    /// `taken_over`.
    takeover_until: Timestamp,
    /// The allowances that homes held when they joined this ledger's epoch, added up.
    taken_over: u32,
    holders: BTreeMap<NodeKey, Holder>,
    actions: Vec<LedgerAction>,
}

impl ShareLedger {
    /// Creates a ledger that has claimed no epoch yet and grants nothing.
    pub fn new(limit: u32, config: Arc<ShareConfig>) -> Self {
        ShareLedger {
            config,
            limit,
            epoch: 0,
            valid_until: Timestamp::ZERO,
            takeover_until: Timestamp::ZERO,
            taken_over: 0,
            holders: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// The epoch of this ledger; 0 before the first claim.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The most connections that the homes known to this ledger may hold, added up.
    pub fn outstanding(&self) -> u32 {
        self.holders.values().map(|holder| holder.outstanding).sum()
    }

    /// Processes an event at `now`; returns the actions that the caller must carry out.
    pub fn handle(&mut self, now: Timestamp, event: LedgerEvent) -> Vec<LedgerAction> {
        self.remove_expired_holders(now);
        match event {
            LedgerEvent::Tick => {}
            LedgerEvent::EpochClaimed { epoch, sent_at } => self.start_epoch(now, epoch, sent_at),
            LedgerEvent::EpochObserved { epoch, sent_at } => self.check_epoch(epoch, sent_at),
            LedgerEvent::Received { from, report } => self.handle_report(now, from, report),
        }
        std::mem::take(&mut self.actions)
    }

    fn start_epoch(&mut self, now: Timestamp, epoch: u64, sent_at: Timestamp) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.valid_until = sent_at + self.config.ledger_lease;
        self.takeover_until = now + self.config.takeover_delay();
        self.taken_over = 0;
        self.holders.clear();
    }

    fn check_epoch(&mut self, epoch: u64, sent_at: Timestamp) {
        if epoch == self.epoch {
            let valid_until = sent_at + self.config.ledger_lease;
            self.valid_until = self.valid_until.max(valid_until);
        } else if epoch > self.epoch {
            self.valid_until = Timestamp::ZERO;
        }
    }

    /// Removes homes whose last grant must have expired, so that their share can be granted again.
    fn remove_expired_holders(&mut self, now: Timestamp) {
        let holder_expiry = self.config.holder_expiry();
        self.holders
            .retain(|_, holder| now.since(holder.granted_at) < holder_expiry);
    }

    fn handle_report(&mut self, now: Timestamp, from: NodeKey, report: ShareReport) {
        let in_force = self.epoch > 0 && now < self.valid_until && report.epoch <= self.epoch;
        if !in_force {
            return;
        }
        let known = self.holders.get(&from);
        if known.is_some_and(|holder| holder.last_sequence >= report.sequence) {
            return;
        }
        let had_joined = known.is_some_and(|holder| holder.has_joined);
        let has_joined = had_joined || report.epoch == self.epoch;
        if has_joined && !had_joined {
            self.taken_over += report.leased;
        }
        let holder = Holder {
            last_sequence: report.sequence,
            // The sender accepts only the answer to this report, so earlier grants are void.
            outstanding: report.held,
            demand: ShareDemand {
                needed: report.needed,
                wanted: report.wanted,
            },
            target: known.map_or(report.held, |holder| holder.target),
            granted_at: now,
            has_joined,
            report_requested: false,
        };
        self.holders.insert(from, holder);
        self.set_targets();
        self.grant(now, from, report);
        self.request_reports(now, from);
    }

    fn set_targets(&mut self) {
        let demands: Vec<ShareDemand> = self.holders.values().map(|holder| holder.demand).collect();
        let targets = needs_first_shares(self.limit, &demands);
        for (holder, target) in self.holders.values_mut().zip(targets) {
            holder.target = target;
        }
    }

    /// The connections that can be granted under every outcome of the messages in transit.
    fn available(&self, now: Timestamp) -> u32 {
        if now >= self.takeover_until {
            return self.limit.saturating_sub(self.outstanding());
        }
        let held: u32 = self
            .holders
            .values()
            .filter(|holder| holder.has_joined)
            .map(|holder| holder.outstanding)
            .sum();
        self.taken_over.saturating_sub(held)
    }

    fn grant(&mut self, now: Timestamp, to: NodeKey, report: ShareReport) {
        let available = self.available(now);
        let outstanding = self.outstanding();
        let Some(holder) = self.holders.get_mut(&to) else {
            return;
        };
        let amount = match holder.has_joined {
            true => holder.target.min(report.held + available),
            // The allowance that an earlier ledger still counts for this home; it may have granted
            // the rest to others.
            false => report.leased,
        };
        // A home that was removed and returns may report connections that have been granted to
        // others since.
        let not_held_by_others = self.limit.saturating_sub(outstanding - holder.outstanding);
        let amount = amount.min(not_held_by_others);
        holder.outstanding = report.held.max(amount);
        let grant = ShareGrant {
            sequence: report.sequence,
            epoch: self.epoch,
            amount,
        };
        let message = ShareMessage::Grant(grant);
        self.actions.push(LedgerAction::Send { to, message });
    }

    /// If any home holds less than it needs, requests reports: from such homes if connections are
    /// available, otherwise from those that hold more than their target.
    fn request_reports(&mut self, now: Timestamp, reporter: NodeKey) {
        let available = self.available(now);
        let any_below_need = self.holders.values().any(Holder::is_below_need);
        if !any_below_need {
            return;
        }
        for (key, holder) in &mut self.holders {
            let is_affected = match available {
                0 => holder.outstanding > holder.target,
                _ => holder.is_below_need(),
            };
            if *key == reporter || holder.report_requested || !is_affected {
                continue;
            }
            holder.report_requested = true;
            let message = ShareMessage::RequestReport { epoch: self.epoch };
            self.actions.push(LedgerAction::Send { to: *key, message });
        }
    }
}

impl Holder {
    /// Whether the home holds less than both its need and its target.
    fn is_below_need(&self) -> bool {
        self.outstanding < self.demand.needed.min(self.target)
    }
}
