//! The share of one home: its reports to the ledger and its allowance.

use std::sync::Arc;

use super::config::ShareConfig;
use super::message::{ShareGrant, ShareMessage, ShareReport};
use crate::membership::NodeKey;
use crate::time::Timestamp;

/// An input to [`ShareHolder::handle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderEvent {
    /// Time has passed. Due at [`ShareHolder::next_deadline`] and allowed at any time.
    Tick,
    /// The node that keeps the ledger, according to this node's member list.
    LedgerNode(Option<NodeKey>),
    /// The state of the pool has changed.
    Demand {
        /// Open connections, including those that are being opened.
        open: u32,
        /// Connections in use plus units of work that wait for one.
        demand: u32,
    },
    /// A message arrived.
    Received {
        /// The node that sent it.
        from: NodeKey,
        /// The message.
        message: ShareMessage,
    },
}

/// What the caller of [`ShareHolder::handle`] has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderAction {
    /// Send a message.
    Send {
        /// The node that keeps the ledger.
        to: NodeKey,
        /// The message.
        message: ShareMessage,
    },
    /// Apply a new allowance: close idle connections above it, and all connections if it is 0.
    Allowance(u32),
}

/// The last report, as needed to recognise its answer.
#[derive(Debug, Clone, Copy)]
struct SentReport {
    sequence: u64,
    to: NodeKey,
    sent_at: Timestamp,
}

/// One home's share of one database's connections.
#[derive(Debug, Clone)]
pub struct ShareHolder {
    config: Arc<ShareConfig>,
    ledger: Option<NodeKey>,
    epoch: u64,
    allowance: u32,
    lease_expires_at: Timestamp,
    open: u32,
    demand: u32,
    mean_demand: f64,
    mean_updated_at: Timestamp,
    peak_demand: u32,
    peak_at: Timestamp,
    last_sequence: u64,
    last_report: Option<SentReport>,
    /// Whether the last report was answered.
    is_answered: bool,
    next_report_at: Timestamp,
    actions: Vec<HolderAction>,
}

impl ShareHolder {
    /// Creates a holder without an allowance.
    pub fn new(now: Timestamp, config: Arc<ShareConfig>) -> Self {
        ShareHolder {
            config,
            ledger: None,
            epoch: 0,
            allowance: 0,
            lease_expires_at: now,
            open: 0,
            demand: 0,
            mean_demand: 0.0,
            mean_updated_at: now,
            peak_demand: 0,
            peak_at: now,
            last_sequence: 0,
            last_report: None,
            is_answered: false,
            next_report_at: now,
            actions: Vec::new(),
        }
    }

    /// The connections that this home may have open at `now`.
    ///
    /// Call this immediately before opening a connection: the lease may have expired since the last
    /// event.
    pub fn allowance(&self, now: Timestamp) -> u32 {
        match now < self.lease_expires_at {
            true => self.allowance,
            false => 0,
        }
    }

    /// The latest time at which [`HolderEvent::Tick`] must be handled.
    pub fn next_deadline(&self) -> Timestamp {
        match self.allowance {
            0 => self.next_report_at,
            _ => self.next_report_at.min(self.lease_expires_at),
        }
    }

    /// Processes an event at `now`; returns the actions that the caller must carry out.
    pub fn handle(&mut self, now: Timestamp, event: HolderEvent) -> Vec<HolderAction> {
        self.expire_lease(now);
        match event {
            HolderEvent::Tick => {}
            HolderEvent::LedgerNode(ledger) => self.set_ledger(now, ledger),
            HolderEvent::Demand { open, demand } => self.update_demand(now, open, demand),
            HolderEvent::Received { from, message } => self.handle_message(now, from, message),
        }
        self.send_report_if_due(now);
        std::mem::take(&mut self.actions)
    }

    fn expire_lease(&mut self, now: Timestamp) {
        if self.allowance > 0 && now >= self.lease_expires_at {
            self.set_allowance(0);
        }
    }

    fn set_allowance(&mut self, allowance: u32) {
        if allowance != self.allowance {
            self.allowance = allowance;
            self.actions.push(HolderAction::Allowance(allowance));
        }
    }

    fn set_ledger(&mut self, now: Timestamp, ledger: Option<NodeKey>) {
        if self.ledger != ledger {
            self.ledger = ledger;
            self.next_report_at = now;
        }
    }

    fn update_demand(&mut self, now: Timestamp, open: u32, demand: u32) {
        let closed_surplus = self.open > self.allowance && open < self.open;
        self.update_mean(now);
        self.open = open;
        self.demand = demand;
        let is_peak_expired = now.since(self.peak_at) >= self.config.peak_retention;
        if demand >= self.peak_demand || is_peak_expired {
            self.peak_demand = demand;
            self.peak_at = now;
        }
        let needed = self.needed();
        let needs_more = needed > self.allowance;
        if closed_surplus || needs_more {
            self.report_soon(now);
        } else if self.wanted() * 2 < self.allowance {
            self.next_report_at = self
                .next_report_at
                .min(now + self.config.surplus_report_delay);
        }
    }

    /// Updates the exponentially weighted mean of the demand to `now`.
    fn update_mean(&mut self, now: Timestamp) {
        let elapsed = now.since(self.mean_updated_at).as_secs_f64();
        let decay = (-elapsed / self.config.demand_time_constant.as_secs_f64()).exp();
        self.mean_demand = self.mean_demand * decay + f64::from(self.demand) * (1.0 - decay);
        self.mean_updated_at = now;
    }

    /// The connections that the mean demand needs, at least one.
    fn needed(&self) -> u32 {
        (self.mean_demand.ceil() as u32).max(1)
    }

    fn wanted(&self) -> u32 {
        let peak = self.peak_demand.max(self.demand) + self.config.spare_connections;
        peak.max(self.needed())
    }

    /// Schedules the next report as early as the shortest interval between reports allows.
    fn report_soon(&mut self, now: Timestamp) {
        let earliest = self
            .last_report
            .map_or(now, |last| last.sent_at + self.config.min_report_interval);
        self.next_report_at = self.next_report_at.min(earliest.max(now));
    }

    fn send_report_if_due(&mut self, now: Timestamp) {
        if now < self.next_report_at {
            return;
        }
        self.next_report_at = now + self.config.report_interval;
        let Some(to) = self.ledger else {
            return;
        };
        if now.since(self.peak_at) >= self.config.peak_retention {
            self.peak_demand = self.demand;
            self.peak_at = now;
        }
        self.update_mean(now);
        self.last_sequence += 1;
        self.is_answered = false;
        self.last_report = Some(SentReport {
            sequence: self.last_sequence,
            to,
            sent_at: now,
        });
        let report = ShareReport {
            sequence: self.last_sequence,
            epoch: self.epoch,
            held: self.allowance(now).max(self.open),
            leased: self.allowance(now),
            needed: self.needed(),
            wanted: self.wanted(),
        };
        let message = ShareMessage::Report(report);
        self.actions.push(HolderAction::Send { to, message });
    }

    fn handle_message(&mut self, now: Timestamp, from: NodeKey, message: ShareMessage) {
        match message {
            ShareMessage::Grant(grant) => self.handle_grant(now, from, grant),
            ShareMessage::RequestReport { epoch } if epoch >= self.epoch => self.report_soon(now),
            ShareMessage::RequestReport { .. } | ShareMessage::Report(_) => {}
        }
    }

    fn handle_grant(&mut self, now: Timestamp, from: NodeKey, grant: ShareGrant) {
        let Some(report) = self.last_report else {
            return;
        };
        let answers_last_report =
            report.sequence == grant.sequence && report.to == from && !self.is_answered;
        if !answers_last_report || grant.epoch < self.epoch {
            return;
        }
        let lease_expires_at = report.sent_at + self.config.lease_duration;
        if now >= lease_expires_at {
            return;
        }
        let is_new_epoch = grant.epoch > self.epoch;
        let is_reduced = grant.amount < self.allowance;
        self.epoch = grant.epoch;
        self.lease_expires_at = lease_expires_at;
        self.set_allowance(grant.amount);
        if is_new_epoch || is_reduced {
            // The ledger can use what this home holds only after a report under the new epoch, and
            // what it has given up only after a report of the smaller holding.
            self.report_soon(now);
        }
        self.is_answered = true;
    }
}
