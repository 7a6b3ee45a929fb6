//! Logs as JSON lines on standard output, bounded in volume and never blocking.

use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use jujubedoor_config::edge::EdgeSettings;
use jujubedoor_config::settings::LogLevel;
use log::LevelFilter;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// The target of lines that explain a decision.
pub const DECISION_TARGET: &str = "decision";

/// The most lines that wait to be lines_in_window.
const MAX_QUEUED_LINES: usize = 4_096;

/// How long lines are gathered before they are lines_in_window.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// How long a process that ends waits for its last lines to be lines_in_window.
pub const FLUSH_DELAY: Duration = Duration::from_millis(150);

/// The span in which the number of lines is bounded.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Starts the log of the process.
pub fn start(settings: &EdgeSettings) -> Result<(), log::SetLoggerError> {
    let vm = settings.vm.to_string();
    let format =
        move |out: fern::FormatCallback<'_>, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>| {
            let time = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
            let time_ms = time.map(jujubedoor_node::clock::millis).unwrap_or_default();
            if record.target() == DECISION_TARGET {
                out.finish(format_args!("{{\"time_ms\":{time_ms},\"vm\":\"{vm}\",{message}}}"));
                return;
            }
            let line = json!({
                "time_ms": time_ms,
                "vm": vm,
                "level": record.level().as_str().to_lowercase(),
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        };
    let (lines, rx) = LogWriter::new(settings.log_lines_per_s);
    std::thread::spawn(move || write_batches(&rx));
    let level = match settings.log {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    fern::Dispatch::new()
        .format(format)
        .level(LevelFilter::Warn)
        .level_for("jujubedoor_edge", level)
        .level_for("jujubedoor_platform", level)
        .level_for(DECISION_TARGET, level)
        .chain(Box::new(lines) as Box<dyn Write + Send>)
        .apply()
}

/// Writes one line that explains a decision.
pub fn decision(event: &str, request: Option<&str>, inputs: &[(&'static str, String)]) {
    if !log::log_enabled!(target: DECISION_TARGET, log::Level::Info) {
        return;
    }
    let mut fields = Map::new();
    fields.insert("event".into(), event.into());
    if let Some(request) = request {
        fields.insert("request".into(), request.into());
    }
    for (name, value) in inputs {
        fields.insert((*name).into(), to_json_value(value));
    }
    let text = Value::Object(fields).to_string();
    log::info!(target: DECISION_TARGET, "{}", &text[1..text.len() - 1]);
}

/// Turns a text that is exactly a whole number into a number.
fn to_json_value(text: &str) -> Value {
    match text.parse::<u64>() {
        Ok(number) if number.to_string() == text => number.into(),
        _ => text.into(),
    }
}

/// Hands whole lines to the thread that writes them, at most a number in a window_start.
pub struct LogWriter {
    tx: mpsc::SyncSender<Vec<u8>>,
    max_lines_per_s: u32,
    window_start: Instant,
    lines_in_window: u32,
    dropped: u64,
    partial_line: Vec<u8>,
}

impl LogWriter {
    /// Creates the writer and event receives its lines.
    pub fn new(max_lines_per_s: u32) -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let lines = Self {
            tx,
            max_lines_per_s,
            window_start: Instant::now(),
            lines_in_window: 0,
            dropped: 0,
            partial_line: Vec::new(),
        };
        (lines, rx)
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.window_start.elapsed() >= RATE_WINDOW {
            self.window_start = Instant::now();
            self.lines_in_window = 0;
            self.report_dropped();
        }
        self.lines_in_window += 1;
        if self.lines_in_window > self.max_lines_per_s || self.tx.try_send(line).is_err() {
            self.dropped += 1;
        }
    }

    /// Tells how many lines were dropped, as soon as there is room for that.
    fn report_dropped(&mut self) {
        if self.dropped == 0 {
            return;
        }
        let report = json!({ "event": "log_lines_dropped", "lines": self.dropped });
        if self.tx.try_send(format!("{report}\n").into_bytes()).is_ok() {
            self.dropped = 0;
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // A line comes in several pieces.
        for chunk in buf.split_inclusive(|b| *b == b'\n') {
            self.partial_line.extend_from_slice(chunk);
            if chunk.ends_with(b"\n") {
                let line = std::mem::take(&mut self.partial_line);
                self.send(line);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_batches(rx: &mpsc::Receiver<Vec<u8>>) {
    while let Ok(first) = rx.recv() {
        std::thread::sleep(BATCH_INTERVAL);
        let mut text = first;
        while let Ok(line) = rx.try_recv() {
            text.extend_from_slice(&line);
        }
        // Without a reader of the log there is nobody to tell.
        let _ = io::stdout().write_all(&text);
    }
}
