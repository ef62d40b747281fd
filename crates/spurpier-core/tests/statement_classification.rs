//! Statement classification; above all, that no write is classified as a read.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use spurpier_core::statement::{
    ClassificationCache, LocalCommand, ProxySetting, SettingChange, StatementClass,
    back_end_statement_name, classify,
};

const SEED: u64 = 20_261_202;

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn class_of(text: &str) -> StatementClass {
    let mut statements = classify(text).statements;
    assert_eq!(statements.len(), 1, "{text}");
    statements.remove(0).class
}

#[test]
fn reads_are_recognized() {
    let texts = [
        "SELECT 1",
        "select * from box where age >= 3 order by name limit 5",
        "WITH a AS (SELECT 1) SELECT count(*), max(b), coalesce(c, 'x') FROM a JOIN d USING (e)",
        "SELECT a FROM b UNION ALL SELECT lower(c) FROM d WHERE e IN (SELECT f FROM g)",
        "VALUES (1), (2)",
        "SHOW search_path",
        "EXPLAIN INSERT INTO a VALUES (1)",
        "EXPLAIN ANALYZE SELECT 1",
        "SELECT pg_catalog.now(), current_date",
        "SELECT * FROM generate_series(1, 3)",
        "SELECT sum(a) OVER (PARTITION BY b ORDER BY c) FROM d",
        "SELECT $1::int + 1",
        "SET LOCAL work_mem = '1MB'",
        "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE",
    ];
    for text in texts {
        assert_eq!(class_of(text), StatementClass::Read, "{text}");
    }
}

#[test]
fn writes_are_recognized() {
    let texts = [
        "INSERT INTO a VALUES (1)",
        "UPDATE a SET b = 1",
        "DELETE FROM a",
        "WITH a AS (INSERT INTO b VALUES (1) RETURNING c) SELECT * FROM a",
        "SELECT * FROM (WITH a AS (DELETE FROM b RETURNING c) SELECT * FROM a) d",
        "SELECT 1 FROM a FOR UPDATE",
        "SELECT 1 FROM a FOR SHARE SKIP LOCKED",
        "SELECT (SELECT 1 FROM a FOR UPDATE)",
        "SELECT a INTO b FROM c",
        "SELECT nextval('s')",
        "SELECT 1 WHERE setval('s', 1) > 0",
        "SELECT * FROM group_status()",
        "SELECT require_epoch(1)",
        "SELECT raise_fence(1), open_fence(1)",
        "SELECT group_transfer('a')",
        "SELECT other.lower('x')",
        "SELECT lower(unknown_function('x'))",
        "SELECT \"LOWER\"('x')",
        "SELECT count(*) FILTER (WHERE f(a)) FROM b",
        "SELECT pg_advisory_lock(1)",
        "SELECT set_config('a', 'b', false)",
        "SELECT 1 ORDER BY f(1)",
        "EXPLAIN ANALYZE INSERT INTO a VALUES (1)",
        "EXPLAIN (ANALYZE, VERBOSE) DELETE FROM a",
        "EXPLAIN (ANALYZE) SELECT f(1)",
        "CREATE TABLE a (b INT)",
        "TRUNCATE a",
        "CALL a()",
        "DO $$ BEGIN DELETE FROM a; COMMIT; END $$",
        "LOCK TABLE a",
        "VACUUM",
        "MERGE INTO a USING b ON a.c = b.c WHEN MATCHED THEN DELETE",
        "this is no SQL",
        "TABLE not_known_to_the_parser",
        "SELECT 'unterminated",
        "NOTIFY a",
    ];
    for text in texts {
        assert_eq!(class_of(text), StatementClass::Write, "{text}");
    }
}

#[test]
fn transaction_control_is_recognized_in_all_spellings() {
    let begin = |read_only| StatementClass::Begin { read_only };
    let cases = [
        ("begin", begin(false)),
        ("BEGIN WORK", begin(false)),
        ("/* a */ BEGIN READ ONLY", begin(true)),
        (
            "START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY, DEFERRABLE",
            begin(true),
        ),
        ("BEGIN READ ONLY, READ WRITE", begin(false)),
        ("COMMIT", StatementClass::Commit),
        ("END TRANSACTION", StatementClass::Commit),
        ("COMMIT AND NO CHAIN", StatementClass::Commit),
        ("ROLLBACK", StatementClass::Rollback),
        ("ABORT", StatementClass::Rollback),
        ("SAVEPOINT A", StatementClass::Savepoint("a".to_owned())),
        (
            "RELEASE \"A\"",
            StatementClass::ReleaseSavepoint("A".to_owned()),
        ),
        (
            "ROLLBACK WORK TO SAVEPOINT a",
            StatementClass::RollbackToSavepoint("a".to_owned()),
        ),
    ];
    for (text, class) in cases {
        assert_eq!(class_of(text), class, "{text}");
    }
}

#[test]
fn statements_that_need_a_dedicated_connection_are_unsupported() {
    let texts = [
        "COPY a TO STDOUT",
        "LISTEN a",
        "UNLISTEN *",
        "PREPARE a AS SELECT 1",
        "EXECUTE a",
        "PREPARE TRANSACTION 'a'",
        "ROLLBACK PREPARED 'a'",
        "COMMIT AND CHAIN",
        "BEGIN SOMETHING",
        "CREATE TEMPORARY VIEW a AS SELECT 1",
        "CREATE TEMP TABLE a (b INT)",
        "DECLARE a CURSOR WITH HOLD FOR SELECT 1",
        "SET ROLE a",
        "SET SESSION AUTHORIZATION a",
        "SET transaction_read_only = off",
        "SET SESSION standard_conforming_strings TO off",
        "SET TRANSACTION READ WRITE",
        "SET TRANSACTION /* */ READ/**/WRITE",
        "SET spurpier.unknown = 1",
        "IDENTIFY_SYSTEM",
        "SELECT 'unterminated; COMMIT",
    ];
    for text in texts {
        let class = class_of(text);
        let is_unsupported = matches!(class, StatementClass::Unsupported(_));
        assert!(is_unsupported, "{text}: {class:?}");
    }
}

#[test]
fn session_commands_are_parsed() {
    let set = |name: &str, value: &str| {
        StatementClass::Setting(SettingChange::Set {
            name: name.to_owned(),
            value: value.to_owned(),
        })
    };
    let reset = |name: &str| {
        StatementClass::Setting(SettingChange::Reset {
            name: name.to_owned(),
        })
    };
    let local = StatementClass::Local;
    let cases = [
        ("SET work_mem = '64MB'", set("work_mem", "'64MB'")),
        (
            "set SESSION Search_Path to \"$user\", public",
            set("search_path", "\"$user\", public"),
        ),
        ("SET TIME ZONE 'UTC'", set("timezone", "'UTC'")),
        ("SET a.b TO -1", set("a.b", "-1")),
        ("SET a = E'x\\'y\\\\'", set("a", "E'x''y\\\\'")),
        (
            r#"SET a TO "x\""; DELETE FROM t; --", "y""""z""#,
            set("a", r#""x\""; DELETE FROM t; --", "y""""z""#),
        ),
        ("SET a TO DEFAULT", reset("a")),
        ("RESET a", reset("a")),
        (
            "RESET ALL",
            StatementClass::Setting(SettingChange::ResetAll),
        ),
        (
            "SET spurpier.request_key = 'k'",
            local(LocalCommand::Set {
                setting: ProxySetting::RequestKey,
                value: "k".to_owned(),
            }),
        ),
        (
            "SHOW spurpier.position",
            local(LocalCommand::Show(ProxySetting::Position)),
        ),
        (
            "DEALLOCATE PREPARE a",
            local(LocalCommand::Deallocate(Some("a".to_owned()))),
        ),
        ("DISCARD ALL", local(LocalCommand::DiscardAll)),
    ];
    for (text, class) in cases {
        assert_eq!(class_of(text), class, "{text}");
    }
}

#[test]
fn a_text_is_split_only_at_statement_semicolons() {
    let text = "SELECT ';'; -- ;\nSELECT $a$;$a$ /* ; */;;\n  SÉLECT 'é;'; COMMIT ;";
    let classified = classify(text);
    let statements: Vec<&str> = classified
        .statements
        .iter()
        .map(|statement| text[statement.range.clone()].trim())
        .collect();
    let expected = [
        "SELECT ';'",
        "-- ;\nSELECT $a$;$a$ /* ; */",
        "SÉLECT 'é;'",
        "COMMIT",
    ];
    assert_eq!(statements, expected);
    assert_eq!(classified.statements[3].class, StatementClass::Commit);
}

#[test]
fn hints_are_read_from_block_comments() {
    let text = "/*a='b',spurpier_request='k%27 1' , spurpier_class='browse'*/ SELECT 1";
    let hints = classify(text).hints;
    assert_eq!(hints.request_key.as_deref(), Some("k' 1"));
    assert_eq!(hints.class.as_deref(), Some("browse"));
    let hints = classify("SELECT '/*spurpier_request=''k''*/'").hints;
    assert_eq!(hints.request_key, None);
}

#[test]
fn digests_ignore_only_comments_and_white_space() {
    let digest = |text| classify(text).token_digest;
    let plain = digest("INSERT INTO a VALUES (1)");
    assert_eq!(plain, digest("/*t='1'*/ INSERT  INTO a\nVALUES (1) -- x"));
    assert_ne!(plain, digest("INSERT INTO a VALUES (2)"));
    assert_ne!(plain, digest("INSERT INTO a VALUES ('1')"));
    let name = back_end_statement_name("SELECT $1", &[23]);
    assert_eq!(name, back_end_statement_name("SELECT $1", &[23]));
    assert_ne!(name, back_end_statement_name("SELECT $1", &[]));
    assert!(name.len() < 64, "PostgreSQL truncates longer names");
}

/// Selects two numbers. Texts that only swap them have the same XXH3 digest of 128 bits, since the
/// letters in the comments cancel its secret at the numbers' places.
fn select_of_two(first: u8, second: u8) -> String {
    let comments = [format!("{:-<81}", "/*"), format!("{:-<566}", "/*")];
    let end = format!("{:-<150}*/", "/*");
    let [before, between] = comments;
    format!("SELECT {before}xxxx*/ {first}, {between}psHN*/ {second} {end}")
}

#[test]
fn texts_that_are_made_to_collide_have_names_of_their_own() {
    let [plain, swapped] = [select_of_two(1, 0), select_of_two(0, 1)];
    assert_ne!(plain, swapped);
    let names = [&plain, &swapped].map(|text| back_end_statement_name(text, &[]));
    assert_ne!(names[0], names[1]);
}

#[test]
fn the_cache_is_bounded_and_matches_the_classifier() {
    let cache = ClassificationCache::new(10);
    for number in 0..100 {
        let text = format!("SELECT {number}");
        assert_eq!(*cache.classify(&text), classify(&text));
        let in_use = cache.classify("DELETE FROM a");
        assert_eq!(in_use.statements[0].class, StatementClass::Write);
        assert!(cache.len() <= 10);
    }
}

/// Generates statements that write, in many syntactic forms.
fn writing_statement() -> impl Strategy<Value = String> {
    let name = "[a-z][a-z0-9_]{0,6}";
    let leaf = prop_oneof![
        (name, name).prop_map(|(a, b)| format!("INSERT INTO t{a} (c{b}) VALUES (1)")),
        name.prop_map(|a| format!("UPDATE t{a} SET x = x + 1 RETURNING x")),
        name.prop_map(|a| format!("DELETE FROM t{a} WHERE x = 'a;b'")),
    ];
    let query = prop_oneof![
        leaf.clone()
            .prop_map(|leaf| format!("WITH w AS ({leaf} RETURNING *) SELECT * FROM w")),
        name.prop_map(|a| format!("SELECT x FROM t{a} FOR UPDATE")),
        name.prop_map(|a| format!("SELECT nextval('s{a}')")),
        name.prop_map(|a| format!("SELECT group_{a}()")),
        name.prop_map(|a| format!("SELECT x FROM {a}_fence(1)")),
        name.prop_map(|a| format!("SELECT my_{a}(x) FROM t")),
    ];
    let nested = query.prop_recursive(4, 16, 2, |inner| {
        prop_oneof![
            inner.clone().prop_map(|q| format!("SELECT * FROM ({q}) s")),
            inner
                .clone()
                .prop_map(|q| format!("SELECT 1 WHERE EXISTS ({q})")),
            inner
                .clone()
                .prop_map(|q| format!("WITH v AS ({q}) SELECT count(*) FROM v")),
            inner
                .clone()
                .prop_map(|q| format!("(SELECT 1) UNION ALL ({q})")),
            inner
                .clone()
                .prop_map(|q| format!("SELECT CASE WHEN true THEN ({q}) ELSE 1 END")),
            inner
                .clone()
                .prop_map(|q| format!("SELECT coalesce(({q}), lower('x'))")),
            inner.prop_map(|q| format!("SELECT a.x FROM a JOIN LATERAL ({q}) b ON true")),
        ]
    });
    let explained = nested
        .clone()
        .prop_map(|q| format!("EXPLAIN (ANALYZE, BUFFERS) {q}"));
    prop_oneof![leaf, nested, explained]
}

/// Changes the case, white space and comments, which have no influence on the effect of a text.
fn vary_spelling(text: &str, upper: bool, comments: u8) -> String {
    let text = match upper {
        true => text.to_uppercase(),
        false => text.to_lowercase(),
    };
    let space = match comments % 4 {
        0 => " ",
        1 => "\n\t",
        2 => " /* SELECT ; */ ",
        _ => " -- SELECT ;\n",
    };
    text.replace(' ', space)
}

#[test]
fn no_write_is_classified_as_a_read() {
    let input = (
        writing_statement(),
        any::<bool>(),
        any::<u8>(),
        any::<bool>(),
    );
    let checked = runner(3_000).run(&input, |(text, upper, comments, follows_a_read)| {
        let mut text = vary_spelling(&text, upper, comments);
        if follows_a_read {
            text = format!("SELECT 1; {text}");
        }
        let classified = classify(&text);
        let last = classified.statements.last().map(|last| &last.class);
        prop_assert_eq!(last, Some(&StatementClass::Write), "{}", text);
        Ok(())
    });
    checked.expect("no write is classified as a read");
}

#[test]
fn arbitrary_text_never_panics() {
    let words = prop::sample::select(vec![
        "SELECT",
        "BEGIN",
        "COMMIT",
        "SET",
        "=",
        "TO",
        "'",
        "\"",
        "$$",
        "(",
        ")",
        ";",
        "/*",
        "*/",
        "--",
        "\n",
        "E'\\",
        "é",
        "ROLLBACK",
        "SAVEPOINT",
        "SHOW",
        "RESET",
        "a",
        ".",
        ",",
        "1",
    ]);
    let texts = prop_oneof![
        any::<String>(),
        prop::collection::vec(words, 0..20).prop_map(|words| words.join(" ")),
    ];
    let checked = runner(3_000).run(&texts, |text| {
        for statement in classify(&text).statements {
            prop_assert!(text.get(statement.range).is_some());
        }
        Ok(())
    });
    checked.expect("every range is valid, and no text panics");
}
