//! The settings of `spurpier gateway`: the check, the types, and the template under `deploy/`.

use spurpier::settings::check::check;
use spurpier::settings::gateway_schema::GATEWAY_ROOT;
use spurpier::settings::schema::Shape;
use spurpier_pipeline::settings::{BoundSettings, PipelineSettings, ToleranceSettings};

/// The template with its gaps filled as the platform fills them.
fn filled_template() -> String {
    let template = include_str!("../../../deploy/settings.toml.template");
    let zones = "\"gent-hal\" = \"vlaanderen\"\n\"namur-hal\" = \"wallonie\"\n";
    let (head, rest) = template.split_once("{{#zones}}").expect("zones begin");
    let (_, tail) = rest.split_once("{{/zones}}").expect("zones end");
    let mut text = format!("{head}{zones}{tail}");
    for (gap, value) in [
        ("node-name", "front-gent-hal-1"),
        ("zone", "gent-hal"),
        ("region", "vlaanderen"),
        ("listen-addresses.front", "10.1.0.8:8784"),
        ("listen-addresses.ready", "10.1.0.8:8785"),
        (
            "seed-addresses|json",
            "[\"10.1.0.8:8782\", \"10.2.0.6:8782\"]",
        ),
        ("listen-addresses.control", "10.1.0.8:8782"),
        ("ip-address", "10.1.0.8"),
        ("internal-ports.0", "7440"),
        ("platform.address", "10.200.1.7:8783"),
        ("cloud.address", "10.200.0.160:8783"),
        ("limits.cpu-share", "0.25"),
        ("limits.link-mbps", "200"),
        ("bounds.drain-ms", "7000"),
        ("bounds.grace-s", "6"),
        ("first-start", "true"),
        ("bounds.configuration-apply-ms", "3000"),
        ("bounds.quota-window-s", "5"),
        ("bounds.quota-overage", "0.1"),
        ("bounds.quota-slack", "20"),
        ("bounds.evacuation-ms", "5000"),
        ("bounds.cold-overage", "1.0"),
        ("bounds.cold-slack", "0"),
        ("fault-tolerance.zones", "0"),
        ("fault-tolerance.regions", "0"),
    ] {
        // What is there only if the value is given.
        for mark in ['#', '/'] {
            text = text.replace(&format!("{{{{{mark}{gap}}}}}"), "");
        }
        let gap = format!("{{{{{gap}}}}}");
        assert!(text.contains(&gap), "{gap} stands in the template");
        text = text.replace(&gap, value);
    }
    assert!(!text.contains("{{"), "no gap is left:\n{text}");
    text
}

#[test]
fn what_the_template_yields_is_accepted_and_has_its_values() {
    let text = filled_template();
    let findings = check("filled", &text);
    assert_eq!(findings.findings, [], "{findings}");
    let settings = PipelineSettings::parse(&text).expect("the types agree");
    assert_eq!(settings.node.name, "front-gent-hal-1");
    assert_eq!(settings.listen.internal.to_string(), "10.1.0.8:7440");
    assert_eq!(settings.zones["namur-hal"], "wallonie");
    assert_eq!(settings.node.weight, 0.25);
    assert_eq!(settings.node.link_mbps, 200.0);
    assert!(settings.node.first_start);
    let bounds = BoundSettings {
        evacuation_ms: 5_000,
        ..BoundSettings::default()
    };
    assert_eq!(settings.bounds, bounds);
    assert_eq!(settings.tolerance, ToleranceSettings::default());
}

#[test]
fn the_template_holds_every_key() {
    let text = filled_template();
    let table: toml::Table = text.parse().expect("it is TOML");
    for key in GATEWAY_ROOT {
        assert!(table.contains_key(key.name), "{}", key.name);
        let Shape::Table(keys) = key.shape else {
            continue;
        };
        let inner = table[key.name].as_table().expect("a table");
        let known: Vec<&str> = keys.iter().map(|key| key.name).collect();
        let mut given: Vec<&str> = inner.keys().map(String::as_str).collect();
        given.sort_by_key(|name| known.iter().position(|known| known == name));
        assert_eq!(given, known, "keys of {}", key.name);
    }
}

#[test]
fn all_findings_are_told_together_with_their_places() {
    let text = filled_template()
        .replace("10.1.0.8:8784", "nowhere")
        .replace("weight = 0.25", "weight = -0.25")
        .replace("first_start = true", "first_start = 1")
        .replace("grace_ms = 6000", "grace_ms = \"long\"")
        .replace("[bounds]", "[bounds]\nserver_drian_ms = 1")
        .replace("zone = \"gent-hal\"\n", "");
    let findings = check("file.toml", &text).to_string();
    for expected in [
        "`client` must be an IP address",
        "`weight` must be above zero, not -0.25",
        "`first_start` must be `true` or `false`",
        "`grace_ms` must be a whole number",
        "did you mean `server_drain_ms`?",
        "the key `zone` is missing",
    ] {
        assert!(findings.contains(expected), "{expected} in:\n{findings}");
    }
    assert!(findings.contains("file.toml:"), "{findings}");
}
