//! `jujubedoor trace` finds in the logs of all VMs the lines that explain one request.
//!
//! Some of these name only the request's upstream, such as a line that it cannot be reached. They count if
//! they are of a VM that handled the request, and of about the same time.

use jujubedoor_cli::commands::trace::LogLine;
use jujubedoor_cli::commands::trace::parse_line;
use jujubedoor_cli::commands::trace::select_lines;
use jujubedoor_routing::event::AttemptOutcome;

const LOG: [&str; 7] = [
    r#"{"time_ms":5000,"vm":"vm-1","event":"sent","request":"a1","upstream":"engine-1"}"#,
    r#"  12.5 vm-1 {"time_ms":5200,"vm":"vm-1","event":"upstream_unreachable","upstream":"engine-1"}"#,
    r#"{"time_ms":5100,"vm":"vm-1","event":"sent","request":"a2","upstream":"engine-1"}"#,
    r#"{"time_ms":5300,"vm":"vm-1","event":"attempt_ended","request":"a1","upstream":"engine-1","how":"Broken"}"#,
    r#"{"time_ms":5250,"vm":"vm-2","event":"upstream_unreachable","upstream":"engine-1"}"#,
    r#"{"time_ms":9999,"vm":"vm-1","event":"upstream_unreachable","upstream":"engine-1"}"#,
    "not a line of ours",
];

fn lines() -> Vec<LogLine> {
    LOG.iter().filter_map(|text| parse_line(text)).collect()
}

/// The lines of another request, of another VM and of a much later time are left out.
#[test]
fn selects_request_and_upstream_lines() {
    let lines = lines();
    let events: Vec<&str> =
        select_lines(&lines, "a1").iter().filter_map(|l| l.fields["event"].as_str()).collect();
    assert_eq!(
        events,
        ["sent", "upstream_unreachable", "attempt_ended"],
        "lines of the same VM and of about the same time should be selected"
    );
}

#[test]
fn unknown_request() {
    assert!(select_lines(&lines(), "zz").is_empty());
}

/// A log may contain lines that are not JSON, have text before the JSON, or have no time.
#[test]
fn other_lines_are_skipped() {
    assert_eq!(lines().len(), 6);
    assert_eq!(
        parse_line("{\"vm\":\"vm-1\"}"),
        None,
        "a line without a time should be skipped, since it cannot be ordered"
    );
}

/// The decision log keeps the names of outcomes, although some variants have other names in the code.
#[test]
fn outcomes_keep_their_log_names() {
    let names = [
        (AttemptOutcome::Complete, "Whole"),
        (AttemptOutcome::Unsent, "Unsent"),
        (AttemptOutcome::Unreachable, "Unreachable"),
        (AttemptOutcome::WrongUpstream, "WrongUpstream"),
        (AttemptOutcome::NotRun(503), "NotRun(503)"),
        (AttemptOutcome::Failed(500), "Failed(500)"),
        (AttemptOutcome::ConnectionLost, "Broken"),
        (AttemptOutcome::NoResponse, "Silent"),
    ];
    for (outcome, name) in names {
        assert_eq!(outcome.log_text(), name, "{outcome:?}");
    }
}
