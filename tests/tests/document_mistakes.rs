//! A document with mistakes gets one diagnostic with a position for each mistake.
//!
//! If parsing stopped at the first mistake, an operator would need one attempt for each.

use jujubedoor_config::document;
use jujubedoor_config::settings;
use jujubedoor_tests::Binary;

const INVALID_DOCUMENT: &str = "\
team: archive
failure_domains:
  - name: sofia-a
    region: sofia
    stat: out
models:
  - name: capsule-lm
    bound: 0.5
upstreams:
  - name: engine-1
    address: sofia:8000
    domain: sofia-b
    serves: [capsule-lm]
    slots: many
workspaces:
  - name: schools
  - name: schools
";

const EXPECTED_DIAGNOSTICS: [&str; 6] = [
    "5:5: unknown key `stat` (hint: did you mean `state`?)",
    "8:12: `bound` is 0.5, out of range (hint: choose a value from 1 to 100)",
    "10:5: upstream `engine-1` is in undeclared failure domain `sofia-b` (hint: did you mean `sofia-a`?)",
    "11:14: `sofia:8000` is not an address (hint: write an IP number and a port, such as 127.0.0.1:8080)",
    "14:12: `slots` is `many`, not a fitting number (hint: write a number from 1 to 100000)",
    "17:5: workspace `schools` is declared twice (hint: give each its own name)",
];

#[test]
fn every_mistake_is_located() {
    let rejected = document::parse(INVALID_DOCUMENT).expect_err("the document has mistakes");
    let lines: Vec<_> = rejected.0.iter().map(ToString::to_string).collect();
    assert_eq!(lines, EXPECTED_DIAGNOSTICS);
}

#[test]
fn check_prints_all() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("mistaken.yaml");
    std::fs::write(&path, INVALID_DOCUMENT).expect("the document can be written");
    let output = std::process::Command::new(Binary::Tool.path()).arg("check").arg(&path).output();
    let output = output.expect("the tool runs");
    let text = String::from_utf8(output.stdout).expect("the tool prints text");
    assert_eq!(output.status.code(), Some(1));
    for expected in EXPECTED_DIAGNOSTICS {
        assert!(text.contains(expected), "`{expected}` is missing in:\n{text}");
    }
}

/// Text that is not YAML, is empty, is not a mapping or is too long.
#[test]
fn unparsable_text_is_rejected() {
    let rejected = document::parse("team: [archive\nmodels:\n").expect_err("the text is not YAML");
    assert_eq!(rejected.0.len(), 1);
    assert!(rejected.0[0].message.starts_with("not valid YAML"), "{rejected}");
    assert!(document::parse("").is_err());
    assert!(document::parse("- a list").is_err());
    let long = format!("team: archive\n# {}", "x".repeat(document::MAX_DOCUMENT_BYTES));
    assert!(document::parse(&long).is_err());
}

/// A short key could be guessed.
#[test]
fn settings_need_long_key() {
    let text = "vm: vm-1\nregion: sofia\ndomain: sofia-a\nlisten: 127.0.0.1:1\npeer_listen: 127.0.0.1:2\n\
                admin_listen: 127.0.0.1:3\nplatform: 127.0.0.1:4\nkey: short\n";
    let rejected = settings::parse(text).expect_err("the key is too short");
    let lines: Vec<_> = rejected.0.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["8:6: `key` must have at least 16 bytes (hint: write the same long random text on every VM)"]
    );
}
