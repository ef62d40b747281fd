//! The messages between the homes of a database and its ledger.

use nanoserde::{DeBin, SerBin};

/// The connections that a home holds and wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct ShareReport {
    /// The sequence number of the report at its sender, which accepts only the answer to its last
    /// report.
    pub sequence: u64,
    /// The newest ledger epoch that the home knows.
    pub epoch: u64,
    /// The most connections that it may have open now: its allowance, or more while it closes
    /// connections above that.
    pub held: u32,
    /// Its allowance under a valid lease; 0 once the lease has expired, even if connections are
    /// still open.
    pub leased: u32,
    /// The connections that its mean demand needs.
    pub needed: u32,
    /// The connections that its peak demand would use.
    pub wanted: u32,
}

/// The ledger's answer to a report: an allowance under a new lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct ShareGrant {
    /// The sequence number of the report that this answers.
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
    /// From the ledger to a home: send a report soon, because the shares have changed.
    RequestReport {
        /// The ledger's epoch.
        epoch: u64,
    },
}
