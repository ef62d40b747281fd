//! Policy programs: compilation, decisions, errors and limits.

use assert_matches::assert_matches;
use spurpier_core::identity::{DatabaseName, Side};
use spurpier_core::policy::{
    FreshnessDemand, INITIAL_PROGRAM, InvalidDocument, Placement, PolicyDocument, PolicyInForce,
    PolicyProgram, RequestAttributes, StatementKind, check, next_placements,
};

const MIGRATION: &str = r#"
fn write_side(database) {
    if database == "orders" { "new" } else { "old" }
}
fn route(request) {
    if request.class == "report" && request.statement == "write" {
        return #{ refuse: "reports only read" };
    }
    if request.zone == "namur" {
        return #{ freshness: "bounded", bound_ms: 250, patience_ms: 40 };
    }
    if request.user == "mover" && request.statement == "read" {
        return #{ side: "old", freshness: "fresh", replica: false };
    }
    #{}
}
"#;

fn databases() -> Vec<DatabaseName> {
    vec!["orders".into(), "stock".into()]
}

fn attributes(database: &str, statement: StatementKind) -> RequestAttributes {
    RequestAttributes {
        database: database.into(),
        user: "shop".to_owned(),
        statement,
        zone: "gent".to_owned(),
        class: String::new(),
    }
}

fn in_force(program: &str, version: u64, previous: &[Placement]) -> PolicyInForce {
    let compiled = PolicyProgram::compile(program).expect("valid program");
    let placements =
        next_placements(previous, &compiled, &databases(), version).expect("placements");
    let document = PolicyDocument {
        version,
        program: program.to_owned(),
        placements,
    };
    PolicyInForce::from_document(&document).expect("valid document")
}

#[test]
fn every_attribute_can_affect_the_decision() {
    let policy = in_force(MIGRATION, 7, &[]);
    let read = policy.decide(&attributes("stock", StatementKind::Read));
    assert_eq!(read.side, Side::Old);
    assert_eq!(read.freshness, FreshnessDemand::Session);
    assert!(read.replica_allowed);
    assert_eq!(read.refusal, None);

    let write = policy.decide(&attributes("orders", StatementKind::Write));
    assert_eq!(write.side, Side::New);
    assert!(!write.replica_allowed);

    let mut report = attributes("stock", StatementKind::Write);
    report.class = "report".to_owned();
    assert_eq!(
        policy.decide(&report).refusal.as_deref(),
        Some("reports only read")
    );

    let mut distant = attributes("stock", StatementKind::Read);
    distant.zone = "namur".to_owned();
    let distant = policy.decide(&distant);
    assert_eq!(distant.freshness, FreshnessDemand::Bounded(250));
    assert_eq!(distant.max_wait_ms, 40);

    let mut mover = attributes("orders", StatementKind::Read);
    mover.user = "mover".to_owned();
    let mover = policy.decide(&mover);
    assert_eq!(mover.side, Side::Old);
    assert_eq!(mover.freshness, FreshnessDemand::Fresh);
    assert!(!mover.replica_allowed);
}

#[test]
fn epochs_change_only_with_the_side() {
    let old = PolicyProgram::compile(INITIAL_PROGRAM).expect("valid program");
    let moved = PolicyProgram::compile(MIGRATION).expect("valid program");
    let first = next_placements(&[], &old, &databases(), 1).expect("placements");
    assert!(first.iter().all(|placement| placement.epoch == 0));
    let second = next_placements(&first, &moved, &databases(), 2).expect("placements");
    assert_eq!(second[0].epoch, 2);
    assert_eq!(second[1].epoch, 0);
    let third = next_placements(&second, &moved, &databases(), 3).expect("placements");
    assert_eq!(third, second);
    let without_orders = next_placements(&third, &moved, &databases()[1..], 4).expect("placements");
    assert_eq!(without_orders, third, "a dropped database keeps its epoch");
    let back = next_placements(&third, &old, &databases(), 5).expect("placements");
    assert_eq!(
        back[0],
        Placement {
            database: "orders".into(),
            side: Side::Old,
            epoch: 5,
        }
    );
}

#[test]
fn syntax_errors_have_a_position() {
    let findings = PolicyProgram::compile("fn write_side(database) {\n  let = 1;\n}").unwrap_err();
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].line, Some(2));
    assert_eq!(findings[0].column, Some(7));
}

#[test]
fn missing_functions_are_reported_together() {
    let findings = PolicyProgram::compile("fn other() { 1 }").unwrap_err();
    assert_eq!(findings.len(), 2);
}

#[test]
fn check_reports_errors_of_all_databases_and_statements() {
    let program = r#"
fn write_side(database) {
    if database == "stock" { "middle" } else { "old" }
}
fn route(request) {
    if request.statement == "write" { return #{ freshnes: "fresh" }; }
    if request.database == "orders" { return unknown_function(); }
    #{}
}
"#;
    let findings = check(program, &databases());
    let text: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(findings.len(), 4, "{text:#?}");
    assert!(text.iter().any(|line| line.contains("`middle` is no side")));
    assert!(text.iter().any(|line| line.contains("unknown_function")));
    let freshness = text.iter().filter(|line| line.contains("`freshnes`"));
    assert_eq!(freshness.count(), 2);
    let with_position = findings
        .iter()
        .find(|finding| finding.message.contains("unknown_function"))
        .expect("found above");
    assert_eq!(with_position.line, Some(7));
    assert_eq!(check(MIGRATION, &databases()), Vec::new());
    assert_eq!(check(INITIAL_PROGRAM, &databases()), Vec::new());
}

#[test]
fn a_write_never_leaves_the_write_side() {
    let program = r#"fn write_side(d) { "old" } fn route(r) { #{ side: "new" } }"#;
    let policy = in_force(program, 1, &[]);
    let read = policy.decide(&attributes("stock", StatementKind::Read));
    assert_eq!((read.side, read.refusal), (Side::New, None));
    let write = policy.decide(&attributes("stock", StatementKind::Write));
    assert_eq!(write.side, Side::Old);
    assert!(write.refusal.is_some());
    assert_eq!(check(program, &databases()).len(), 2);
}

#[test]
fn unbounded_and_forbidden_programs_are_refused() {
    let endless = r#"fn write_side(d) { "old" } fn route(r) { loop { } }"#;
    let policy = in_force(endless, 1, &[]);
    let decision = policy.decide(&attributes("stock", StatementKind::Read));
    assert!(decision.refusal.is_some());
    assert_eq!(policy.failures(), 1);
    policy.decide(&attributes("stock", StatementKind::Read));
    assert_eq!(policy.failures(), 1, "the refusal is cached");

    let growing = r#"fn write_side(d) { "old" }
        fn route(r) { let t = "xxxxxxxx"; loop { t += t; } }"#;
    let nested = r#"fn write_side(d) { "old" } fn route(r) { route(r) }"#;
    for program in [growing, nested] {
        assert!(!check(program, &databases()).is_empty(), "{program}");
    }
    for statement in [
        "print(1)",
        "debug(1)",
        "eval(\"1\")",
        "import \"x\" as y",
        "sleep(1)",
        "exit()",
        "timestamp()",
    ] {
        let program =
            format!("fn write_side(d) {{ \"old\" }}\nfn route(r) {{ {statement}; #{{}} }}");
        assert!(!check(&program, &databases()).is_empty(), "{statement}");
    }
    let long = format!("// {}\n{INITIAL_PROGRAM}", "x".repeat(70_000));
    assert_eq!(PolicyProgram::compile(&long).unwrap_err().len(), 1);
}

#[test]
fn an_unplaced_database_is_refused() {
    let policy = PolicyInForce::initial(&databases());
    assert_eq!(policy.version(), 0);
    assert!(policy.placement(&"elsewhere".into()).is_none());
    let decision = policy.decide(&attributes("elsewhere", StatementKind::Read));
    assert!(decision.refusal.is_some());
}

#[test]
fn the_cache_is_bounded_and_does_not_change_decisions() {
    let policy = in_force(MIGRATION, 7, &[]);
    let uncached = in_force(MIGRATION, 7, &[]);
    for number in 0..20_000 {
        let mut request = attributes("stock", StatementKind::Write);
        request.class = if number % 3 == 0 {
            "report".to_owned()
        } else {
            format!("class-{number}")
        };
        let first = policy.decide(&request);
        assert_eq!(first, policy.decide(&request));
        if number < 100 {
            assert_eq!(first, uncached.decide(&request));
        }
    }
    assert!(policy.cached_decisions() <= 4096);
    let before = policy.cached_decisions();
    let mut request = attributes("stock", StatementKind::Read);
    request.class = "x".repeat(10_000);
    policy.decide(&request);
    assert_eq!(policy.cached_decisions(), before);
}

#[test]
fn documents_round_trip_and_reject_altered_bytes() {
    let document = PolicyDocument {
        version: 3,
        program: MIGRATION.to_owned(),
        placements: vec![Placement {
            database: "orders".into(),
            side: Side::New,
            epoch: 2,
        }],
    };
    let digest = document.digest();
    assert_eq!(digest.len(), 32);
    let mut bytes = document.encode();
    assert_eq!(
        PolicyDocument::decode(&bytes, &digest),
        Ok(document.clone())
    );
    bytes[10] ^= 1;
    assert_matches!(
        PolicyDocument::decode(&bytes, &digest),
        Err(InvalidDocument::WrongDigest { .. })
    );
    let broken = PolicyDocument {
        program: "fn".to_owned(),
        ..document
    };
    assert_matches!(
        PolicyInForce::from_document(&broken),
        Err(InvalidDocument::InvalidProgram(_))
    );
}
