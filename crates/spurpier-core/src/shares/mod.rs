//! Divides a database's connection limit among its homes, the nodes that hold its connections.
//!
//! The first-ranked home keeps a ledger. Each home reports how many connections it holds and
//! wants, and receives an allowance under a lease. The ledger counts for each home the most that it
//! may hold, whichever messages were lost or delayed, so the limit is never exceeded. This is the
//! idea of escrow (O'Neil, "The Escrow Transactional Method", 1986): a request is granted only if
//! the bound holds under every outcome of the requests still open. Clocks of different nodes are
//! never compared; each duration is measured on one node's clock.
//!
//! The design is described in `docs/design/0011-connection-shares.md`.

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

/// The fixed share of one home if the settings divide the limit evenly, rounded down.
pub fn equal_share(limit: u32, homes: u32) -> u32 {
    limit / homes.max(1)
}
