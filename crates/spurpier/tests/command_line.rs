//! Exit codes and output of the program's commands.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output};

use spurpier::settings::template::template;

/// Commands that must each have `--help` and `--version`.
const COMMANDS: &[&[&str]] = &[
    &[],
    &["proxy"],
    &["gateway"],
    &["settings"],
    &["settings", "check"],
    &["settings", "template"],
    &["policy"],
    &["policy", "check"],
    &["policy", "publish"],
    &["policy", "show"],
    &["policy", "history"],
    &["status"],
    &["explain"],
    &["losses"],
];

fn spurpier(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_spurpier"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("the program ends by itself")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a file of this test alone, in the test's own directory.
fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut file = std::fs::File::create(&path).expect("the file can be made");
    file.write_all(content.as_bytes())
        .expect("the file can be written");
    path
}

#[test]
fn every_command_has_help_and_a_version() {
    for command in COMMANDS {
        let help = spurpier(&[command, &["--help"][..]].concat());
        assert_eq!(code(&help), 0, "{command:?} --help");
        assert!(
            text(&help.stdout).contains("Usage: spurpier"),
            "{command:?} --help"
        );
        let version = spurpier(&[command, &["--version"][..]].concat());
        assert_eq!(code(&version), 0, "{command:?} --version");
        let expected = format!("Version: {}", env!("CARGO_PKG_VERSION"));
        assert!(
            text(&version.stdout).contains(&expected),
            "{command:?} --version"
        );
    }
}

#[test]
fn bad_usage_ends_with_two() {
    let wrong: &[&[&str]] = &[
        &[],
        &["nonsense"],
        &["proxy"],
        &["proxy", "--settings"],
        &["proxy", "--settings", "x.toml", "--listen", "nowhere"],
        &["settings", "check"],
        &["settings", "check", "a.toml", "b.toml"],
        &["policy"],
        &["policy", "check", "a.rhai"],
        &[
            "policy",
            "publish",
            "a.rhai",
            "--platform",
            "http://127.0.0.1:1",
        ],
        &[
            "policy",
            "publish",
            "a.rhai",
            "--expect",
            "one",
            "--platform",
            "http://127.0.0.1:1",
        ],
        &[
            "policy",
            "show",
            "--platform",
            "http://127.0.0.1:1",
            "--settings",
            "a.toml",
        ],
        &["policy", "history"],
        &["status"],
        &["status", "--node", "nowhere"],
    ];
    for arguments in wrong {
        let output = spurpier(arguments);
        assert_eq!(code(&output), 2, "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

#[test]
fn a_file_without_findings_passes_in_silence() {
    let path = file("without-findings.toml", &template());
    let output = spurpier(&["settings", "check", path.to_str().expect("a text path")]);
    assert_eq!(code(&output), 0);
    assert_eq!(text(&output.stderr), "");
}

#[test]
fn findings_are_printed_with_file_line_and_column() {
    let content = template().replace("clients = 10000", "clints = 10000");
    let line = 1 + content
        .lines()
        .take_while(|line| !line.starts_with("clints"))
        .count();
    let path = file("with-findings.toml", &content);
    let name = path.to_str().expect("a text path");
    let output = spurpier(&["settings", "check", name]);
    assert_eq!(code(&output), 1);
    let expected = format!("{name}:{line}:1: unknown key `clints`; did you mean `clients`?\n");
    assert_eq!(text(&output.stderr), expected);
}

#[test]
fn warnings_alone_do_not_fail_the_check() {
    let path = file(
        "with-warning.toml",
        &template().replace("slots = 5", "slots = 50"),
    );
    let output = spurpier(&["settings", "check", path.to_str().expect("a text path")]);
    assert_eq!(code(&output), 0);
    assert!(text(&output.stderr).contains(": warning: "));
}

#[test]
fn a_missing_file_fails() {
    for arguments in [
        ["settings", "check", "no-such-file.toml"],
        ["proxy", "--settings", "no-such-file.toml"],
    ] {
        let output = spurpier(&arguments);
        assert_eq!(code(&output), 1, "{arguments:?}");
        assert!(
            text(&output.stderr).contains("no-such-file.toml"),
            "{arguments:?}"
        );
    }
}

#[test]
fn a_proxy_refuses_settings_with_errors_and_prints_all_of_them() {
    let content = template()
        .replace("clients = 10000", "clints = 10000")
        .replace("slots = 5", "slots = 0");
    let path = file("refused.toml", &content);
    let output = spurpier(&["proxy", "--settings", path.to_str().expect("a text path")]);
    assert_eq!(code(&output), 1);
    let errors = text(&output.stderr);
    assert!(errors.contains("unknown key `clints`"), "{errors}");
    assert!(errors.contains("`slots` must lie between"), "{errors}");
}

#[test]
fn the_template_is_printed_as_it_is() {
    let output = spurpier(&["settings", "template"]);
    assert_eq!(code(&output), 0);
    assert_eq!(text(&output.stdout), template());
}

#[test]
fn the_status_of_a_node_that_is_not_there_fails() {
    // The listener is bound and dropped at once, so that nothing listens at its address.
    let vacant = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = vacant.local_addr().expect("an address").to_string();
    drop(vacant);
    let output = spurpier(&["status", "--node", &address]);
    assert_eq!(code(&output), 1);
    assert!(text(&output.stderr).contains(&address));
}

#[test]
fn faults_of_a_policy_are_printed_with_file_line_and_column() {
    let settings = file("policy-settings.toml", &template());
    let program = file("faulty.rhai", "fn write_side(database) {\n    \"old\n}\n");
    let name = program.to_str().expect("a text path");
    let settings = settings.to_str().expect("a text path");
    let output = spurpier(&["policy", "check", name, "--settings", settings]);
    assert_eq!(code(&output), 1);
    let errors = text(&output.stderr);
    assert!(errors.starts_with(&format!("{name}:2:")), "{errors}");
}

#[test]
fn a_sound_policy_passes_in_silence() {
    let settings = file("sound-settings.toml", &template());
    let program = file("sound.rhai", spurpier_core::policy::INITIAL_PROGRAM);
    let name = program.to_str().expect("a text path");
    let settings = settings.to_str().expect("a text path");
    let output = spurpier(&["policy", "check", name, "--settings", settings]);
    assert_eq!((code(&output), text(&output.stderr)), (0, String::new()));
}

#[test]
fn a_platform_that_is_not_there_fails_every_command_that_needs_it() {
    let vacant = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", vacant.local_addr().expect("an address"));
    drop(vacant);
    let program = file("unpublished.rhai", spurpier_core::policy::INITIAL_PROGRAM);
    let program = program.to_str().expect("a text path");
    let commands: [&[&str]; 3] = [
        &["policy", "publish", program, "--expect", "0"],
        &["policy", "show"],
        &["policy", "history"],
    ];
    for command in commands {
        let output = spurpier(&[command, &["--platform", &url][..]].concat());
        assert_eq!(code(&output), 1, "{command:?}");
        assert!(!output.stderr.is_empty(), "{command:?}");
    }
}

/// A line of a log as a node writes it, behind the node's name.
fn log_line(node: &str, second: u32, message: &str, values: &str) -> String {
    format!(
        "  {second}.5 {node} {{\"timestamp\":\"2026-06-28T16:53:{second:02}.500+00:00\",\
         \"level\":\"INFO\",\"target\":\"spurpier\",\"message\":\"{message}\",\"kvs\":{{{values}}}}}\n"
    )
}

#[test]
fn explain_prints_what_concerns_one_request_in_the_order_of_time() {
    let refused =
        r#""event":6030,"name":"request_not_run","request":"q1","group":"g1","reason":"no_lead""#;
    let retried =
        r#""event":6032,"name":"request_retried","request":"q1","group":"g1","server":"i-1""#;
    let other =
        r#""event":6030,"name":"request_not_run","request":"q2","group":"g1","reason":"no_lead""#;
    let home = [
        log_line("n2", 14, "refused", refused),
        "no line of a log\n".to_owned(),
        log_line(
            "n2",
            12,
            "silent",
            r#""event":6024,"name":"server_silent","server":"i-1""#,
        ),
        log_line("n2", 13, "another", other),
        log_line(
            "n2",
            13,
            "elsewhere",
            r#""event":6023,"name":"lead_lost","group":"g2","server":"i-9""#,
        ),
        log_line(
            "n2",
            1,
            "long ago",
            r#""event":6022,"name":"lead_found","group":"g1","server":"i-1""#,
        ),
    ];
    let caller = [log_line("n1", 13, "again", retried)];
    let home = file("explain-home.log", &home.concat());
    let caller = file("explain-caller.log", &caller.concat());
    let (home, caller) = (home.to_str().expect("text"), caller.to_str().expect("text"));
    let output = spurpier(&["explain", "--log", home, "--log", caller, "q1"]);
    assert_eq!(code(&output), 0, "{}", text(&output.stderr));
    let story = text(&output.stdout);
    let expected = "    -1.000 s n2 server_silent: silent server=i-1\n\
                    *   +0.000 s n1 request_retried: again group=g1 server=i-1\n\
                    *   +1.000 s n2 request_not_run: refused group=g1 reason=no_lead\n";
    assert_eq!(story, expected);
    let unknown = spurpier(&["explain", "--log", home, "q9"]);
    assert_eq!(code(&unknown), 1);
    assert!(text(&unknown.stderr).contains("no line names the request q9"));
    let missing = spurpier(&["explain", "--log", "no-such-file", "q1"]);
    assert_eq!(code(&missing), 1);
    let unnamed = spurpier(&["explain", "q1"]);
    assert_eq!(code(&unnamed), 2);
}

#[test]
fn a_value_that_a_client_chose_forges_no_line_and_no_value_of_a_story() {
    let prepared = r#""event":6051,"name":"statement_prepared","request":"q1","server":"i-1","shape":"a\n*   +1.000 s n1 request_not_run: refused","statement":"s1 server=i-2""#;
    let log = file(
        "explain-forged.log",
        &log_line("n1", 13, "prepared", prepared),
    );
    let log = log.to_str().expect("text");
    let output = spurpier(&["explain", "--log", log, "q1"]);
    assert_eq!(code(&output), 0, "{}", text(&output.stderr));
    let expected = "*   +0.000 s n1 statement_prepared: prepared server=i-1 \
                    shape=\"a\\n*   +1.000 s n1 request_not_run: refused\" \
                    statement=\"s1 server=i-2\"\n";
    assert_eq!(text(&output.stdout), expected);
}

/// A line of a statement that was not run.
fn not_run(node: &str, second: u32, values: &str) -> String {
    let values = format!("\"event\":6030,\"name\":\"request_not_run\",{values}");
    log_line(node, second, "refused", &values)
}

#[test]
fn losses_counts_what_was_not_served_and_what_the_log_left_out() {
    let log = [
        not_run(
            "n1",
            1,
            r#""group":"g1","tenant":"bakers","reason":"no_lead""#,
        ),
        not_run(
            "n2",
            4,
            r#""group":"g2","tenant":"bakers","reason":"over_quota","suppressed":"6""#,
        ),
        log_line(
            "n2",
            5,
            "unknown",
            r#""event":6031,"name":"request_unknown","group":"g1","class":"InDoubt""#,
        ),
        log_line(
            "n2",
            6,
            "served late",
            r#""event":6032,"name":"request_retried""#,
        ),
    ];
    let log = file("losses.log", &log.concat());
    let log = log.to_str().expect("text");
    let output = spurpier(&["losses", "--log", log, "--every", "2"]);
    assert_eq!(code(&output), 0, "{}", text(&output.stderr));
    let tables = text(&output.stdout);
    let rows: Vec<Vec<&str>> = tables
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    for expected in [
        vec!["seconds", "all", "over_quota", "no_lead", "unknown_InDoubt"],
        vec!["0.0", "1", "0", "1", "0"],
        vec!["2.0", "7", "7", "0", "0"],
        vec!["4.0", "1", "0", "0", "1"],
        vec!["g2", "7", "7", "0", "0"],
        vec!["n2", "8", "7", "0", "1"],
        vec!["bakers", "8", "7", "1", "0"],
    ] {
        assert!(rows.contains(&expected), "{expected:?} in\n{tables}");
    }
    let output = spurpier(&["losses", "--log", log, "--svg"]);
    let svg = text(&output.stdout);
    assert!(
        svg.starts_with("<svg") && svg.contains("over_quota"),
        "{svg}"
    );
    assert_eq!(
        code(&spurpier(&["losses", "--log", log, "--every", "0"])),
        2
    );
    assert_eq!(code(&spurpier(&["losses", "--log", "no-such-file"])), 1);
}
