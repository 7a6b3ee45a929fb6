//! Logging as JSON lines on standard output, limited in volume and never blocking.

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

/// Log target of structured lines that record decisions.
pub const DECISION_TARGET: &str = "decision";

/// Maximum number of lines queued for the writer thread; further lines are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time during which lines are collected into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time that an exiting process waits for its last lines to be written.
pub const FLUSH_DELAY: Duration = Duration::from_millis(150);

/// Period over which the number of lines is limited.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Initializes the logger of the process.
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
    let (writer, rx) = LogWriter::new(settings.log_lines_per_s);
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
        .chain(Box::new(writer) as Box<dyn Write + Send>)
        .apply()
}

/// Logs a decision with its inputs as a structured line.
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

/// Converts a string to a JSON number if it is exactly the decimal form of a non-negative integer, or else to
/// a JSON string.
fn to_json_value(text: &str) -> Value {
    match text.parse::<u64>() {
        Ok(number) if number.to_string() == text => number.into(),
        _ => text.into(),
    }
}

/// Passes complete lines to the writer thread, up to a maximum number per second.
pub struct LogWriter {
    tx: mpsc::SyncSender<Vec<u8>>,
    max_lines_per_s: u32,
    window_start: Instant,
    lines_in_window: u32,
    dropped: u64,
    partial_line: Vec<u8>,
}

impl LogWriter {
    /// Creates the writer and the receiver of its lines.
    pub fn new(max_lines_per_s: u32) -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let writer = Self {
            tx,
            max_lines_per_s,
            window_start: Instant::now(),
            lines_in_window: 0,
            dropped: 0,
            partial_line: Vec::new(),
        };
        (writer, rx)
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

    /// Logs the number of dropped lines as soon as the queue has capacity for another line.
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
        // One line may be split over several calls.
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
        // If standard output is closed, there is no other place to report the error.
        let _ = io::stdout().write_all(&text);
    }
}
