//! Checks a policy program before it is published.

use super::{Finding, PolicyProgram, RequestAttributes, StatementKind};
use crate::identity::{DatabaseName, Side};

/// Compiles a program and evaluates it for each database and both kinds of statement.
///
/// Returns all errors in the order of their positions, without duplicates, or an empty list for a
/// valid program.
pub fn check(text: &str, databases: &[DatabaseName]) -> Vec<Finding> {
    let program = match PolicyProgram::compile(text) {
        Ok(program) => program,
        Err(findings) => return findings,
    };
    let mut findings = Vec::new();
    for database in databases {
        findings.extend(check_database(&program, database));
    }
    findings.sort_by(|one, other| {
        let key = |finding: &Finding| (finding.line, finding.column);
        key(one)
            .cmp(&key(other))
            .then_with(|| one.message.cmp(&other.message))
    });
    findings.dedup();
    findings
}

fn check_database(program: &PolicyProgram, database: &DatabaseName) -> Vec<Finding> {
    let mut findings = Vec::new();
    let write_side = match program.write_side(database) {
        Ok(side) => side,
        Err(finding) => {
            findings.push(for_database(finding, database));
            Side::Old
        }
    };
    for statement in [StatementKind::Read, StatementKind::Write] {
        let attributes = RequestAttributes {
            database: database.clone(),
            user: String::new(),
            statement,
            zone: String::new(),
            class: String::new(),
        };
        if let Err(finding) = program.route(&attributes, write_side) {
            findings.push(for_database(finding, database));
        }
    }
    findings
}

/// Adds the name of the database to the message of a finding.
fn for_database(mut finding: Finding, database: &DatabaseName) -> Finding {
    finding.message = format!("{} (database `{database}`)", finding.message);
    finding
}
