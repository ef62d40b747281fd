//! The ledger of a database's connections at its first-ranked home.
//!
//! A ledger works under an epoch that it claims in the database itself, as the fence is raised.
//! It grants only for a short time after its last proof that the epoch is in force. A ledger that
//! takes over renews what homes report that they hold, and gives out the rest only when every
//! grant of an earlier ledger must have run out. A home whose lease has run out holds nothing that
//! could be renewed, whatever connections it has yet to close: the earlier ledger may have given
//! its share to others.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::allocation::{ShareDemand, needs_first_shares};
use super::config::ShareConfig;
use super::message::{ShareGrant, ShareMessage, ShareReport};
use crate::membership::NodeKey;
use crate::time::Timestamp;

/// What happens to a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerEvent {
    /// Time has passed.
    Tick,
    /// The epoch was claimed in the database, confirmed by a majority of its servers.
    EpochClaimed {
        /// The epoch.
        epoch: u64,
        /// When the claim was sent.
        asked_at: Timestamp,
    },
    /// The database's primary showed this epoch to a question sent at `asked_at`.
    EpochObserved {
        /// The epoch in force.
        epoch: u64,
        /// When the question was sent.
        asked_at: Timestamp,
    },
    /// A home reported.
    Received {
        /// The home.
        from: NodeKey,
        /// The report.
        report: ShareReport,
    },
}

/// What the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerAction {
    /// Send a message.
    Send {
        /// The home.
        to: NodeKey,
        /// The message.
        message: ShareMessage,
    },
}

/// A home as the ledger counts it.
#[derive(Debug, Clone, Copy)]
struct Holder {
    last_sequence: u64,
    /// The most that the home may hold, whichever messages arrived.
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
    /// Grants are made before this time only.
    valid_until: Timestamp,
    /// Until this time all else than `taken_over` may be held by homes that do not follow yet.
    takeover_until: Timestamp,
    /// Connections that homes held when they began to follow this ledger.
    taken_over: u32,
    holders: BTreeMap<NodeKey, Holder>,
    actions: Vec<LedgerAction>,
}

impl ShareLedger {
    /// A ledger that has claimed no epoch yet and grants nothing.
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

    /// The epoch; 0 before the first claim.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The most connections that all homes together may hold, as far as this ledger counts.
    pub fn outstanding(&self) -> u32 {
        self.holders.values().map(|holder| holder.outstanding).sum()
    }

    /// Takes an event at time `now` and gives what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: LedgerEvent) -> Vec<LedgerAction> {
        self.remove_expired_holders(now);
        match event {
            LedgerEvent::Tick => {}
            LedgerEvent::EpochClaimed { epoch, asked_at } => self.start_epoch(now, epoch, asked_at),
            LedgerEvent::EpochObserved { epoch, asked_at } => self.check_epoch(epoch, asked_at),
            LedgerEvent::Received { from, report } => self.handle_report(now, from, report),
        }
        std::mem::take(&mut self.actions)
    }

    fn start_epoch(&mut self, now: Timestamp, epoch: u64, asked_at: Timestamp) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.valid_until = asked_at + self.config.ledger_lease;
        self.takeover_until = now + self.config.takeover_delay();
        self.taken_over = 0;
        self.holders.clear();
    }

    fn check_epoch(&mut self, epoch: u64, asked_at: Timestamp) {
        if epoch == self.epoch {
            let valid_until = asked_at + self.config.ledger_lease;
            self.valid_until = self.valid_until.max(valid_until);
        } else if epoch > self.epoch {
            self.valid_until = Timestamp::ZERO;
        }
    }

    /// Forgets homes whose last grant must have run out, and lets their share be given anew.
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
            // The report shows that no earlier grant can be taken any more.
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

    /// Connections that can be given out, whatever became of all messages under way.
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
            // What an earlier ledger still counts for it; more may have gone to others.
            false => report.leased,
        };
        // A home that was forgotten and comes back may report what others have got since.
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

    /// Where a home lacks what it needs: asks it to report once connections are free, and until
    /// then those that hold more than their share.
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
    /// Whether it holds less than it needs and should have.
    fn is_below_need(&self) -> bool {
        self.outstanding < self.demand.needed.min(self.target)
    }
}
