//! A compiled policy that decides requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use super::cache::DecisionCache;
use super::{
    Decision, FreshnessDemand, InvalidDocument, Placement, PolicyDocument, PolicyProgram,
    RequestAttributes,
};
use crate::identity::{DatabaseName, Side};

/// The default program: all databases on the old side, reads allowed on replicas.
pub const INITIAL_PROGRAM: &str = r#"// Where each database's writes go: "old" or "new".
fn write_side(database) {
    "old"
}

// How each request is served.
fn route(request) {
    #{ freshness: "session", replica: true, patience_ms: 1000 }
}
"#;

/// A compiled policy that decides requests; immutable and shared between tasks.
#[derive(Debug)]
pub struct PolicyInForce {
    version: u64,
    placements: HashMap<DatabaseName, Placement>,
    program: PolicyProgram,
    cache: DecisionCache,
    failures: AtomicU64,
}

impl PolicyInForce {
    /// Creates a policy with [`INITIAL_PROGRAM`] at version 0, for tests and benchmarks.
    ///
    /// A node never uses it by default: without an accepted policy, a node serves no requests.
    pub fn initial(databases: &[DatabaseName]) -> Self {
        let document = PolicyDocument {
            version: 0,
            program: INITIAL_PROGRAM.to_owned(),
            placements: databases
                .iter()
                .map(|database| Placement {
                    database: database.clone(),
                    side: Side::Old,
                    epoch: 0,
                })
                .collect(),
        };
        PolicyInForce::from_document(&document).expect("the initial program compiles")
    }

    /// Compiles the program of a policy document.
    ///
    /// # Errors
    ///
    /// [`InvalidDocument::InvalidProgram`] if the program does not compile.
    pub fn from_document(document: &PolicyDocument) -> Result<Self, InvalidDocument> {
        let program =
            PolicyProgram::compile(&document.program).map_err(InvalidDocument::InvalidProgram)?;
        let placements = document
            .placements
            .iter()
            .map(|placement| (placement.database.clone(), placement.clone()))
            .collect();
        Ok(PolicyInForce {
            version: document.version,
            placements,
            program,
            cache: DecisionCache::new(),
            failures: AtomicU64::new(0),
        })
    }

    /// The version of the policy document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Decides a request; equal attributes always result in the same decision.
    ///
    /// The request is refused if its database has no placement or the program fails on it.
    pub fn decide(&self, attributes: &RequestAttributes) -> Decision {
        if let Some(decision) = self.cache.get(attributes) {
            return decision;
        }
        let decision = self.evaluate(attributes);
        self.cache.insert(attributes.clone(), decision.clone());
        decision
    }

    fn evaluate(&self, attributes: &RequestAttributes) -> Decision {
        let Some(placement) = self.placement(&attributes.database) else {
            return refusal(
                Side::Old,
                "the policy does not place the database".to_owned(),
            );
        };
        match self.program.route(attributes, placement.side) {
            Ok(decision) => decision,
            Err(finding) => {
                self.failures.fetch_add(1, Ordering::Relaxed);
                let reason = format!("policy version {} failed at {finding}", self.version);
                refusal(placement.side, reason)
            }
        }
    }

    /// The placement of a database, or `None` if the policy does not place it.
    pub fn placement(&self, database: &DatabaseName) -> Option<&Placement> {
        self.placements.get(database)
    }

    /// The number of evaluations on which the program failed; cached refusals are not counted.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }

    /// The number of cached decisions, which is bounded regardless of what clients send.
    pub fn cached_decisions(&self) -> usize {
        self.cache.len()
    }
}

fn refusal(side: Side, reason: String) -> Decision {
    Decision {
        side,
        freshness: FreshnessDemand::Session,
        replica_allowed: false,
        max_wait_ms: 0,
        refusal: Some(reason),
    }
}
