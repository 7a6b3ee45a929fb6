//! `jujubedoor trace`: prints the log lines of all VMs that concern one request, in order of time.
//!
//! Reads the JSON lines that VMs write to standard output. Lines without JSON are skipped. Text before the
//! first brace of a line is ignored, for example a time that a log collector added.

use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

/// Period before and after a request in which events of its upstreams are shown, in milliseconds.
const CONTEXT_MS: u64 = 2_000;

/// Fields that are not printed as `name=value`. The time, VM and event come first on the line, and the
/// request is the one that was asked for.
const LEADING_FIELDS: [&str; 4] = ["time_ms", "vm", "event", "request"];

/// Options of the trace command.
#[derive(clap::Args, Clone, Debug)]
pub struct TraceOptions {
    /// The log files, or folders with log files.
    #[arg(long, required = true)]
    pub logs: Vec<PathBuf>,
    /// The caller's identifier of the request.
    pub request: String,
    /// Prints one JSON object a line.
    #[arg(long)]
    pub json: bool,
}

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time when the line was written, in milliseconds since the epoch by the VM's clock.
    pub time_ms: u64,
    /// All fields, including the time.
    pub fields: Map<String, Value>,
}

/// Prints the log lines of a request and of the upstreams that it was sent to.
pub fn run(options: &TraceOptions) -> io::Result<()> {
    let mut lines = Vec::new();
    for path in &options.logs {
        read_logs(path, &mut lines)?;
    }
    let selected = select_lines(&lines, &options.request);
    if selected.is_empty() {
        println!("no line names request {} in {} lines", options.request, lines.len());
    }
    for line in selected {
        println!(
            "{}",
            if options.json { Value::Object(line.fields.clone()).to_string() } else { format_line(line) }
        );
    }
    Ok(())
}

/// Appends the parsed lines of a file, or of all files below a folder.
fn read_logs(path: &Path, lines: &mut Vec<LogLine>) -> io::Result<()> {
    if path.is_dir() {
        for entry in std::fs::read_dir(path)? {
            read_logs(&entry?.path(), lines)?;
        }
        return Ok(());
    }
    let bytes = std::fs::read(path)?;
    lines.extend(String::from_utf8_lossy(&bytes).lines().filter_map(parse_line));
    Ok(())
}

/// Parses a log line. Returns `None` for a line without JSON or without a time.
pub fn parse_line(raw: &str) -> Option<LogLine> {
    let object = &raw[raw.find('{')?..];
    let Value::Object(fields) = serde_json::from_str(object).ok()? else { return None };
    Some(LogLine { time_ms: fields.get("time_ms")?.as_u64()?, fields })
}

/// Selects the lines that concern a request, in order of time.
///
/// These are the lines that name the request, and lines without a request that the same VMs logged about the
/// upstreams of the request, or about no particular upstream, shortly before, during or shortly after it.
pub fn select_lines<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|l| str_field(l, "request") == Some(request)).collect();
    let (Some(first), Some(last)) =
        (request_lines.iter().map(|l| l.time_ms).min(), request_lines.iter().map(|l| l.time_ms).max())
    else {
        return Vec::new();
    };
    let upstreams: BTreeSet<&str> = request_lines.iter().filter_map(|l| str_field(l, "upstream")).collect();
    let vms: BTreeSet<&str> = request_lines.iter().filter_map(|l| str_field(l, "vm")).collect();
    let time_range = first.saturating_sub(CONTEXT_MS)..=last + CONTEXT_MS;
    let is_relevant = |line: &&LogLine| {
        if str_field(line, "request").is_some() {
            return str_field(line, "request") == Some(request);
        }
        let subject = str_field(line, "subject").or(str_field(line, "upstream"));
        time_range.contains(&line.time_ms)
            && str_field(line, "vm").is_some_and(|vm| vms.contains(vm))
            && subject.is_none_or(|s| upstreams.contains(s))
            && str_field(line, "event") != Some("vm_found")
    };
    let mut selected: Vec<&LogLine> = lines.iter().filter(is_relevant).collect();
    selected.sort_by_key(|l| l.time_ms);
    selected
}

fn str_field<'a>(line: &'a LogLine, field: &str) -> Option<&'a str> {
    line.fields.get(field)?.as_str()
}

/// Formats a line as text: time, VM, event, then the remaining fields.
fn format_line(line: &LogLine) -> String {
    let details = line.fields.iter().filter(|(name, _)| !LEADING_FIELDS.contains(&name.as_str()));
    let details: Vec<String> = details.map(|(name, value)| format!("{name}={}", plain_text(value))).collect();
    let vm = str_field(line, "vm").unwrap_or_default();
    let event = str_field(line, "event").unwrap_or("message");
    format!("{} {vm} {event} {}", line.time_ms, details.join(" "))
}

/// Returns a JSON string without quotes, or any other value as JSON.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
