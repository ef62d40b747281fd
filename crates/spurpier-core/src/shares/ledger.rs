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

use super::allocation::{Want, two_round_shares};
use super::message::{ShareGrant, ShareMessage, ShareReport};
use super::settings::ShareTuning;
use crate::membership::NodeKey;
use crate::time::Timestamp;

/// What happens to a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerEvent {
    /// Time has passed.
    Tick,
    /// The epoch was claimed in the database, confirmed by a majority of its servers.
    Claimed {
        /// The epoch.
        epoch: u64,
        /// When the claim was sent.
        asked_at: Timestamp,
    },
    /// The database's primary showed this epoch to a question sent at `asked_at`.
    Checked {
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
    last_number: u64,
    /// The most that the home may hold, whichever messages arrived.
    outstanding: u32,
    want: Want,
    /// The share that the home should have.
    target: u32,
    granted_at: Timestamp,
    /// Whether it has reported under this ledger's epoch.
    follows: bool,
    asked: bool,
}

/// The ledger of one database's connections.
#[derive(Debug, Clone)]
pub struct ShareLedger {
    tuning: Arc<ShareTuning>,
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
    pub fn new(limit: u32, tuning: Arc<ShareTuning>) -> Self {
        ShareLedger {
            tuning,
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
        self.forget_silent(now);
        match event {
            LedgerEvent::Tick => {}
            LedgerEvent::Claimed { epoch, asked_at } => self.claimed(now, epoch, asked_at),
            LedgerEvent::Checked { epoch, asked_at } => self.checked(epoch, asked_at),
            LedgerEvent::Received { from, report } => self.received(now, from, report),
        }
        std::mem::take(&mut self.actions)
    }

    fn claimed(&mut self, now: Timestamp, epoch: u64, asked_at: Timestamp) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.valid_until = asked_at + self.tuning.ledger_lease;
        self.takeover_until = now + self.tuning.takeover_wait();
        self.taken_over = 0;
        self.holders.clear();
    }

    fn checked(&mut self, epoch: u64, asked_at: Timestamp) {
        if epoch == self.epoch {
            let until = asked_at + self.tuning.ledger_lease;
            self.valid_until = self.valid_until.max(until);
        } else if epoch > self.epoch {
            self.valid_until = Timestamp::ZERO;
        }
    }

    /// Forgets homes whose last grant must have run out, and lets their share be given anew.
    fn forget_silent(&mut self, now: Timestamp) {
        let wait = self.tuning.holder_wait();
        self.holders
            .retain(|_, holder| now.since(holder.granted_at) < wait);
    }

    fn received(&mut self, now: Timestamp, from: NodeKey, report: ShareReport) {
        let in_force = self.epoch > 0 && now < self.valid_until && report.epoch <= self.epoch;
        if !in_force {
            return;
        }
        let known = self.holders.get(&from);
        if known.is_some_and(|holder| holder.last_number >= report.number) {
            return;
        }
        let followed = known.is_some_and(|holder| holder.follows);
        let follows = followed || report.epoch == self.epoch;
        if follows && !followed {
            self.taken_over += report.leased;
        }
        let holder = Holder {
            last_number: report.number,
            // The report shows that no earlier grant can be taken any more.
            outstanding: report.held,
            want: Want {
                needed: report.needed,
                wanted: report.wanted,
            },
            target: known.map_or(report.held, |holder| holder.target),
            granted_at: now,
            follows,
            asked: false,
        };
        self.holders.insert(from, holder);
        self.set_targets();
        self.grant(now, from, report);
        self.ask_others(now, from);
    }

    fn set_targets(&mut self) {
        let wants: Vec<Want> = self.holders.values().map(|holder| holder.want).collect();
        let targets = two_round_shares(self.limit, &wants);
        for (holder, target) in self.holders.values_mut().zip(targets) {
            holder.target = target;
        }
    }

    /// Connections that can be given out, whatever became of all messages under way.
    fn free(&self, now: Timestamp) -> u32 {
        if now >= self.takeover_until {
            return self.limit.saturating_sub(self.outstanding());
        }
        let held: u32 = self
            .holders
            .values()
            .filter(|holder| holder.follows)
            .map(|holder| holder.outstanding)
            .sum();
        self.taken_over.saturating_sub(held)
    }

    fn grant(&mut self, now: Timestamp, to: NodeKey, report: ShareReport) {
        let free = self.free(now);
        let counted = self.outstanding();
        let Some(holder) = self.holders.get_mut(&to) else {
            return;
        };
        let amount = match holder.follows {
            true => holder.target.min(report.held + free),
            // What an earlier ledger still counts for it; more may have gone to others.
            false => report.leased,
        };
        // A home that was forgotten and comes back may report what others have got since.
        let left_by_others = self.limit.saturating_sub(counted - holder.outstanding);
        let amount = amount.min(left_by_others);
        holder.outstanding = report.held.max(amount);
        let grant = ShareGrant {
            number: report.number,
            epoch: self.epoch,
            amount,
        };
        let message = ShareMessage::Grant(grant);
        self.actions.push(LedgerAction::Send { to, message });
    }

    /// Where a home lacks what it needs: asks it to report once connections are free, and until
    /// then those that hold more than their share.
    fn ask_others(&mut self, now: Timestamp, reporter: NodeKey) {
        let free = self.free(now);
        let any_short = self.holders.values().any(Holder::is_short);
        if !any_short {
            return;
        }
        for (key, holder) in &mut self.holders {
            let concerned = match free {
                0 => holder.outstanding > holder.target,
                _ => holder.is_short(),
            };
            if *key == reporter || holder.asked || !concerned {
                continue;
            }
            holder.asked = true;
            let message = ShareMessage::AskReport { epoch: self.epoch };
            self.actions.push(LedgerAction::Send { to: *key, message });
        }
    }
}

impl Holder {
    /// Whether it holds less than it needs and should have.
    fn is_short(&self) -> bool {
        self.outstanding < self.want.needed.min(self.target)
    }
}
