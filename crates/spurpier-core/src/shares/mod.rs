//! How the homes of a database share its connections without ever passing its limit.
//!
//! The first-ranked home keeps a ledger. Each home reports what it holds and wants, and gets an
//! allowance under a lease. The ledger counts each home at the most that it may hold, whatever
//! became of messages on the way: the idea of escrow (O'Neil, "The Escrow Transactional Method",
//! 1986), where a request is granted only if the bound holds under every outcome of those still
//! open. No clocks are compared between nodes: only durations count, each on one node's clock.
//! `docs/design/0011-connection-shares.md` gives the reasons.

mod allocation;
mod config;
mod holder;
mod ledger;
mod message;

pub use allocation::{ShareDemand, max_min_fair_shares, needs_first_shares};
pub use config::ShareConfig;
pub use holder::{HolderAction, HolderEvent, ShareHolder};
pub use ledger::{LedgerAction, LedgerEvent, ShareLedger};
pub use message::{ShareGrant, ShareMessage, ShareReport};

/// The fixed share of one home where the limit is split evenly by the settings.
pub fn equal_share(limit: u32, homes: u32) -> u32 {
    limit / homes.max(1)
}
