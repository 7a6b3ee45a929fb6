//! The tool finds in the logs of all VMs what explains one request.

use jujubedoor_cli::commands::trace::LogLine;
use jujubedoor_cli::commands::trace::parse_line;
use jujubedoor_cli::commands::trace::select_lines;

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

#[test]
fn own_lines_and_upstreams() {
    let lines = lines();
    let events: Vec<&str> =
        select_lines(&lines, "a1").iter().filter_map(|l| l.fields["event"].as_str()).collect();
    assert_eq!(events, ["sent", "upstream_unreachable", "attempt_ended"], "of this VM, near the request");
}

#[test]
fn unknown_request() {
    assert!(select_lines(&lines(), "zz").is_empty());
}

#[test]
fn foreign_lines_are_passed_over() {
    assert_eq!(lines().len(), 6);
    assert_eq!(parse_line("{\"vm\":\"vm-1\"}"), None, "without a time a line has no place");
}
