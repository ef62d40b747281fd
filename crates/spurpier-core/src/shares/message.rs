//! The messages between the homes of a database and its ledger.

use nanoserde::{DeBin, SerBin};

/// What a home holds and wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct ShareReport {
    /// The number of the report at its sender; only the answer to the last one is taken.
    pub sequence: u64,
    /// The newest ledger epoch that the home knows.
    pub epoch: u64,
    /// The most connections that it may have open now: its allowance, or more while it closes.
    pub held: u32,
    /// Its allowance under a lease that has not run out; 0 once it has, whatever is still open.
    pub leased: u32,
    /// The connections that its mean demand fills.
    pub needed: u32,
    /// The connections that its peaks of demand would fill.
    pub wanted: u32,
}

/// An allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct ShareGrant {
    /// The number of the report that this answers.
    pub sequence: u64,
    /// The ledger's epoch.
    pub epoch: u64,
    /// The connections that the home may hold.
    pub amount: u32,
}

/// A message about connection shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum ShareMessage {
    /// From a home to the ledger.
    Report(ShareReport),
    /// From the ledger to a home.
    Grant(ShareGrant),
    /// From the ledger: report now, the shares have changed.
    RequestReport {
        /// The ledger's epoch.
        epoch: u64,
    },
}
