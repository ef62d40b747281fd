//! What must hold of a configuration before it is put into force.

use std::collections::HashSet;
use std::fmt;

use crate::ports::{Configuration, KeyDigest, Quota, Tenant};

/// What is wrong with a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TenantFault {
    /// It has no name.
    NoName,
    /// Its name holds a blank, which the wire to servers cannot carry.
    WhitespaceInName,
    /// Another tenant has its name.
    DuplicateName,
    /// The key at this place belongs to another tenant too.
    SharedKey(usize),
    /// Its rate or its burst is negative or no number.
    NegativeQuota,
}

/// A fault and the tenant's place in the list, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantFinding {
    /// The tenant's place.
    pub tenant: usize,
    /// What is wrong.
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

/// All findings on a configuration's tenants, in their order.
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
