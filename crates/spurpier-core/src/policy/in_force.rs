//! An accepted policy, ready to decide.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use super::cache::DecisionCache;
use super::{
    Decision, FreshnessDemand, InvalidDocument, Placement, PolicyDocument, PolicyProgram,
    RequestAttributes,
};
use crate::identity::{DatabaseName, Side};

/// The program to start from: all databases on the old side, reads on replicas.
pub const INITIAL_PROGRAM: &str = r#"// Where each database's writes go: "old" or "new".
fn write_side(database) {
    "old"
}

// How each request is served.
fn route(request) {
    #{ freshness: "session", replica: true, patience_ms: 1000 }
}
"#;

/// An accepted policy, ready to decide; immutable and shared between tasks.
#[derive(Debug)]
pub struct PolicyInForce {
    version: u64,
    placements: HashMap<DatabaseName, Placement>,
    program: PolicyProgram,
    cache: DecisionCache,
    failures: AtomicU64,
}

impl PolicyInForce {
    /// [`INITIAL_PROGRAM`] at version 0, for tests and trials.
    ///
    /// A node never takes it up by itself: without an accepted policy it serves nothing.
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

    /// Makes a document ready to decide.
    ///
    /// # Errors
    ///
    /// When its program does not compile.
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

    /// The version, which only rises.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Decides a request; the same facts always give the same decision.
    ///
    /// A request of an unplaced database and one on which the program fails are refused.
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

    /// Where the database's writes go; none for a database that the policy does not know.
    pub fn placement(&self, database: &DatabaseName) -> Option<&Placement> {
        self.placements.get(database)
    }

    /// How often the program failed on a request; cached refusals do not count again.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }

    /// How many decisions are cached now; bounded whatever clients send.
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
