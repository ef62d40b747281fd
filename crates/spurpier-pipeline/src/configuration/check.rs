//! Validation of the tenants of a configuration before it takes effect.

use std::collections::HashSet;
use std::fmt;

use crate::ports::{Configuration, KeyDigest, Quota, Tenant};

/// A reason why a tenant is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TenantFault {
    /// It has no name.
    NoName,
    /// Its name contains whitespace, which the protocol to servers cannot carry.
    WhitespaceInName,
    /// An earlier tenant has the same name.
    DuplicateName,
    /// The key at this index also belongs to an earlier tenant.
    SharedKey(usize),
    /// Its rate or burst is negative, infinite or not a number.
    NegativeQuota,
}

/// A fault of one tenant of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantFinding {
    /// Zero-based index of the tenant in the configuration.
    pub tenant: usize,
    /// Why the tenant is invalid.
    pub fault: TenantFault,
}

impl fmt::Display for TenantFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "tenants[{}]: ", self.tenant)?;
        match self.fault {
            TenantFault::NoName => formatter.write_str("has no name"),
            TenantFault::WhitespaceInName => formatter.write_str("has a blank in its name"),
            TenantFault::DuplicateName => formatter.write_str("has the name of another one"),
            TenantFault::SharedKey(index) => {
                write!(formatter, "key {index} belongs to another one too")
            }
            TenantFault::NegativeQuota => formatter.write_str("has a negative rate or burst"),
        }
    }
}

/// Returns all faults of a configuration's tenants, in the order of the tenants.
pub fn check_tenants(configuration: &Configuration) -> Vec<TenantFinding> {
    let mut names = HashSet::new();
    let mut keys: HashSet<&KeyDigest> = HashSet::new();
    let mut findings = Vec::new();
    for (index, tenant) in configuration.tenants.iter().flatten().enumerate() {
        let mut faults = name_faults(tenant);
        if !names.insert(tenant.name.as_str()) {
            faults.push(TenantFault::DuplicateName);
        }
        let own: HashSet<_> = tenant.keys.iter().collect();
        let shared = tenant.keys.iter().enumerate();
        let shared = shared.filter(|(_, key)| keys.contains(*key));
        faults.extend(shared.map(|(index, _)| TenantFault::SharedKey(index)));
        keys.extend(own);
        if tenant.quota.is_some_and(is_negative) {
            faults.push(TenantFault::NegativeQuota);
        }
        let found = faults.into_iter();
        findings.extend(found.map(|fault| TenantFinding {
            tenant: index,
            fault,
        }));
    }
    findings
}

fn name_faults(tenant: &Tenant) -> Vec<TenantFault> {
    if tenant.name.is_empty() {
        vec![TenantFault::NoName]
    } else if tenant.name.contains(char::is_whitespace) {
        vec![TenantFault::WhitespaceInName]
    } else {
        Vec::new()
    }
}

fn is_negative(quota: Quota) -> bool {
    let is_valid = |amount: f64| amount.is_finite() && amount >= 0.0;
    !is_valid(quota.per_second) || !is_valid(quota.burst)
}
