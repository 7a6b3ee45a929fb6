//! `jujubedoor trace`: what the logs of all VMs say of one request, in order.
//!
//! Reads the JSON lines that VMs write on standard output. Lines that are no JSON are passed over; what stands
//! before the first brace of a line, such as a time that a collector put there, is ignored.

use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

/// How long before the request and after it events of its upstreams are shown, in milliseconds.
const AROUND_MS: u64 = 2_000;

/// The fields that are printed in front.
const FRONT: [&str; 4] = ["time_ms", "vm", "event", "request"];

/// What to look for.
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

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, in milliseconds on the VM's time of day.
    pub time_ms: u64,
    /// Its fields.
    pub fields: Map<String, Value>,
}

/// Prints what the logs say of a request and of the upstreams that it was sent to.
pub fn run(wanted: &TraceOptions) -> io::Result<()> {
    let mut lines = Vec::new();
    for path in &wanted.logs {
        read(path, &mut lines)?;
    }
    let found = select_lines(&lines, &wanted.request);
    if found.is_empty() {
        println!("no line names request {} in {} lines", wanted.request, lines.len());
    }
    for line in found {
        println!(
            "{}",
            if wanted.json { Value::Object(line.fields.clone()).to_string() } else { describe(line) }
        );
    }
    Ok(())
}

fn read(path: &Path, lines: &mut Vec<LogLine>) -> io::Result<()> {
    if path.is_dir() {
        for entry in std::fs::read_dir(path)? {
            read(&entry?.path(), lines)?;
        }
        return Ok(());
    }
    let bytes = std::fs::read(path)?;
    lines.extend(String::from_utf8_lossy(&bytes).lines().filter_map(parse_line));
    Ok(())
}

/// Reads one line of a log.
pub fn parse_line(text: &str) -> Option<LogLine> {
    let object = &text[text.find('{')?..];
    let Value::Object(fields) = serde_json::from_str(object).ok()? else { return None };
    Some(LogLine { time_ms: fields.get("time_ms")?.as_u64()?, fields })
}

/// Selects the lines of a request and those of its upstreams around it, in the order of time.
pub fn select_lines<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let own: Vec<&LogLine> = lines.iter().filter(|l| text(l, "request") == Some(request)).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|l| l.time_ms).min(), own.iter().map(|l| l.time_ms).max())
    else {
        return Vec::new();
    };
    let upstreams: BTreeSet<&str> = own.iter().filter_map(|l| text(l, "upstream")).collect();
    let vms: BTreeSet<&str> = own.iter().filter_map(|l| text(l, "vm")).collect();
    let near = first.saturating_sub(AROUND_MS)..=last + AROUND_MS;
    let is_wanted = |line: &&LogLine| {
        if text(line, "request").is_some() {
            return text(line, "request") == Some(request);
        }
        let subject = text(line, "subject").or(text(line, "upstream"));
        near.contains(&line.time_ms)
            && text(line, "vm").is_some_and(|vm| vms.contains(vm))
            && subject.is_none_or(|s| upstreams.contains(s))
            && text(line, "event") != Some("vm_found")
    };
    let mut found: Vec<&LogLine> = lines.iter().filter(is_wanted).collect();
    found.sort_by_key(|l| l.time_ms);
    found
}

fn text<'a>(line: &'a LogLine, field: &str) -> Option<&'a str> {
    line.fields.get(field)?.as_str()
}

/// Writes a line as text: time, VM, event, then what decided it.
fn describe(line: &LogLine) -> String {
    let inputs = line.fields.iter().filter(|(name, _)| !FRONT.contains(&name.as_str()));
    let inputs: Vec<String> = inputs.map(|(name, value)| format!("{name}={}", plain(value))).collect();
    let vm = text(line, "vm").unwrap_or_default();
    let event = text(line, "event").unwrap_or("message");
    format!("{} {vm} {event} {}", line.time_ms, inputs.join(" "))
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
