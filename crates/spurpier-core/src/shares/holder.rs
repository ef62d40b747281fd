//! A home's side of the connection shares.

use std::sync::Arc;

use super::message::{ShareGrant, ShareMessage, ShareReport};
use super::settings::ShareTuning;
use crate::membership::NodeKey;
use crate::time::Timestamp;

/// What happens to a home's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderEvent {
    /// The time of [`ShareHolder::next_deadline`] has come (or any other time).
    Tick,
    /// The node that keeps the ledger, as this node sees the members.
    LedgerIs(Option<NodeKey>),
    /// The state of the pool has changed.
    Demand {
        /// Open connections, those being opened included.
        open: u32,
        /// Connections in use and units that wait for one.
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

/// What the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderAction {
    /// Send a message.
    Send {
        /// The node that keeps the ledger.
        to: NodeKey,
        /// The message.
        message: ShareMessage,
    },
    /// The allowance is now this: close idle connections above it, and when it is 0 all.
    Allowance(u32),
}

/// The last report and what became of it.
#[derive(Debug, Clone, Copy)]
struct SentReport {
    number: u64,
    to: NodeKey,
    sent_at: Timestamp,
}

/// One home's share of one database's connections.
#[derive(Debug, Clone)]
pub struct ShareHolder {
    tuning: Arc<ShareTuning>,
    ledger: Option<NodeKey>,
    epoch: u64,
    allowance: u32,
    lease_until: Timestamp,
    open: u32,
    demand: u32,
    mean_demand: f64,
    demand_noted_at: Timestamp,
    peak_demand: u32,
    peak_at: Timestamp,
    last_number: u64,
    last_report: Option<SentReport>,
    /// Whether the last report was answered.
    answered: bool,
    report_at: Timestamp,
    actions: Vec<HolderAction>,
}

impl ShareHolder {
    /// A home without allowance.
    pub fn new(now: Timestamp, tuning: Arc<ShareTuning>) -> Self {
        ShareHolder {
            tuning,
            ledger: None,
            epoch: 0,
            allowance: 0,
            lease_until: now,
            open: 0,
            demand: 0,
            mean_demand: 0.0,
            demand_noted_at: now,
            peak_demand: 0,
            peak_at: now,
            last_number: 0,
            last_report: None,
            answered: false,
            report_at: now,
            actions: Vec::new(),
        }
    }

    /// The connections that this home may have open at `now`.
    ///
    /// Ask at the very moment of opening a connection: the lease may have run out unseen.
    pub fn allowance(&self, now: Timestamp) -> u32 {
        match now < self.lease_until {
            true => self.allowance,
            false => 0,
        }
    }

    /// When [`HolderEvent::Tick`] is due at the latest.
    pub fn next_deadline(&self) -> Timestamp {
        match self.allowance {
            0 => self.report_at,
            _ => self.report_at.min(self.lease_until),
        }
    }

    /// Takes an event at time `now` and gives what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: HolderEvent) -> Vec<HolderAction> {
        self.notice_lapse(now);
        match event {
            HolderEvent::Tick => {}
            HolderEvent::LedgerIs(ledger) => self.follow(now, ledger),
            HolderEvent::Demand { open, demand } => self.note_demand(now, open, demand),
            HolderEvent::Received { from, message } => self.received(now, from, message),
        }
        self.report_when_due(now);
        std::mem::take(&mut self.actions)
    }

    fn notice_lapse(&mut self, now: Timestamp) {
        if self.allowance > 0 && now >= self.lease_until {
            self.set_allowance(0);
        }
    }

    fn set_allowance(&mut self, allowance: u32) {
        if allowance != self.allowance {
            self.allowance = allowance;
            self.actions.push(HolderAction::Allowance(allowance));
        }
    }

    fn follow(&mut self, now: Timestamp, ledger: Option<NodeKey>) {
        if self.ledger != ledger {
            self.ledger = ledger;
            self.report_at = now;
        }
    }

    fn note_demand(&mut self, now: Timestamp, open: u32, demand: u32) {
        let closed_surplus = self.open > self.allowance && open < self.open;
        self.update_mean(now);
        self.open = open;
        self.demand = demand;
        let forgotten = now.since(self.peak_at) >= self.tuning.demand_memory;
        if demand >= self.peak_demand || forgotten {
            self.peak_demand = demand;
            self.peak_at = now;
        }
        let needed = self.needed();
        let needs_more = needed > self.allowance;
        if closed_surplus || needs_more {
            self.report_soon(now);
        } else if self.wanted() * 2 < self.allowance {
            self.report_at = self.report_at.min(now + self.tuning.surplus_delay);
        }
    }

    /// Brings the exponentially weighted mean of the demand up to `now`.
    fn update_mean(&mut self, now: Timestamp) {
        let passed = now.since(self.demand_noted_at).as_secs_f64();
        let kept = (-passed / self.tuning.demand_mean.as_secs_f64()).exp();
        self.mean_demand = self.mean_demand * kept + f64::from(self.demand) * (1.0 - kept);
        self.demand_noted_at = now;
    }

    /// The connections that the mean demand fills; one is always needed.
    fn needed(&self) -> u32 {
        (self.mean_demand.ceil() as u32).max(1)
    }

    fn wanted(&self) -> u32 {
        let peak = self.peak_demand.max(self.demand) + self.tuning.spare;
        peak.max(self.needed())
    }

    /// Brings the next report forward, but keeps it apart from the last one.
    fn report_soon(&mut self, now: Timestamp) {
        let earliest = self
            .last_report
            .map_or(now, |last| last.sent_at + self.tuning.report_spacing);
        self.report_at = self.report_at.min(earliest.max(now));
    }

    fn report_when_due(&mut self, now: Timestamp) {
        if now < self.report_at {
            return;
        }
        self.report_at = now + self.tuning.report_interval;
        let Some(to) = self.ledger else {
            return;
        };
        if now.since(self.peak_at) >= self.tuning.demand_memory {
            self.peak_demand = self.demand;
            self.peak_at = now;
        }
        self.update_mean(now);
        self.last_number += 1;
        self.answered = false;
        self.last_report = Some(SentReport {
            number: self.last_number,
            to,
            sent_at: now,
        });
        let report = ShareReport {
            number: self.last_number,
            epoch: self.epoch,
            held: self.allowance(now).max(self.open),
            leased: self.allowance(now),
            needed: self.needed(),
            wanted: self.wanted(),
        };
        let message = ShareMessage::Report(report);
        self.actions.push(HolderAction::Send { to, message });
    }

    fn received(&mut self, now: Timestamp, from: NodeKey, message: ShareMessage) {
        match message {
            ShareMessage::Grant(grant) => self.granted(now, from, grant),
            ShareMessage::AskReport { epoch } if epoch >= self.epoch => self.report_soon(now),
            ShareMessage::AskReport { .. } | ShareMessage::Report(_) => {}
        }
    }

    fn granted(&mut self, now: Timestamp, from: NodeKey, grant: ShareGrant) {
        let Some(report) = self.last_report else {
            return;
        };
        let answers_last = report.number == grant.number && report.to == from && !self.answered;
        if !answers_last || grant.epoch < self.epoch {
            return;
        }
        let lease_until = report.sent_at + self.tuning.lease;
        if now >= lease_until {
            return;
        }
        let new_epoch = grant.epoch > self.epoch;
        let shrinks = grant.amount < self.allowance;
        self.epoch = grant.epoch;
        self.lease_until = lease_until;
        self.set_allowance(grant.amount);
        if new_epoch || shrinks {
            // Only a report under the new epoch, or of the smaller holding, lets the ledger use
            // what this home holds or has given up.
            self.report_soon(now);
        }
        self.answered = true;
    }
}
