//! The three ways to share, behind what the simulation needs of them.

use std::sync::Arc;

use spurpier_core::membership::NodeKey;
use spurpier_core::shares::{
    HolderAction, HolderEvent, LedgerAction, LedgerEvent, ShareConfig, ShareHolder, ShareLedger,
    ShareMessage,
};
use spurpier_core::time::Timestamp;

use super::escrow::{EscrowHome, EscrowMessage};

/// A control message between homes.
#[derive(Debug, Clone, Copy)]
pub(super) enum ControlMessage {
    /// Of the ledger scheme.
    Share(ShareMessage),
    /// Of the escrow scheme.
    Escrow(EscrowMessage),
}

/// A home's share under one of the schemes.
#[derive(Debug)]
pub(super) enum Share {
    /// A fixed number.
    Equal(u32),
    /// Reservations.
    Escrow(EscrowHome),
    /// An allowance from a ledger, and the ledger that this home keeps when it is the first.
    Ledger(Box<LedgerShare>),
}

/// A home's part in the ledger scheme.
#[derive(Debug)]
pub(super) struct LedgerShare {
    /// Its allowance.
    pub(super) holder: ShareHolder,
    /// Its ledger, in use while it is the first home.
    pub(super) ledger: ShareLedger,
    /// The holder's tick that is scheduled.
    pub(super) tick_at: Option<Timestamp>,
}

impl LedgerShare {
    /// A home without allowance.
    pub(super) fn new(now: Timestamp, limit: u32, tuning: &Arc<ShareConfig>) -> Self {
        LedgerShare {
            holder: ShareHolder::new(now, tuning.clone()),
            ledger: ShareLedger::new(limit, tuning.clone()),
            tick_at: None,
        }
    }

    /// Hands an event to the holder; gives the messages to send.
    pub(super) fn drive_holder(
        &mut self,
        now: Timestamp,
        event: HolderEvent,
    ) -> Vec<(NodeKey, ControlMessage)> {
        self.holder
            .handle(now, event)
            .into_iter()
            .filter_map(|action| match action {
                HolderAction::Send { to, message } => Some((to, ControlMessage::Share(message))),
                HolderAction::Allowance(_) => None,
            })
            .collect()
    }

    /// Hands an event to the ledger; gives the messages to send.
    pub(super) fn drive_ledger(
        &mut self,
        now: Timestamp,
        event: LedgerEvent,
    ) -> Vec<(NodeKey, ControlMessage)> {
        self.ledger
            .handle(now, event)
            .into_iter()
            .map(|LedgerAction::Send { to, message }| (to, ControlMessage::Share(message)))
            .collect()
    }
}

impl Share {
    /// The connections that the home may have open.
    pub(super) fn allowance(&self, now: Timestamp) -> u32 {
        match self {
            Share::Equal(share) => *share,
            Share::Escrow(home) => home.held,
            Share::Ledger(share) => share.holder.allowance(now),
        }
    }
}
