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
pub const DECISION: &str = "decision";

/// The most lines that wait to be written.
const BACKLOG: usize = 4_096;

/// How long lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(100);

/// How long a process that ends waits for its last lines to be written.
pub const FLUSH: Duration = Duration::from_millis(150);

/// The span in which the number of lines is bounded.
const SECOND: Duration = Duration::from_secs(1);

/// Starts the log of the process.
pub fn start(settings: &EdgeSettings) -> Result<(), log::SetLoggerError> {
    let vm = settings.vm.to_string();
    let format =
        move |out: fern::FormatCallback<'_>, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>| {
            let time = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
            let time_ms = time.map(jujubedoor_node::clock::millis).unwrap_or_default();
            if record.target() == DECISION {
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
    let (lines, rx) = Lines::new(settings.log_lines_per_s);
    std::thread::spawn(move || drain(&rx));
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
        .level_for(DECISION, level)
        .chain(Box::new(lines) as Box<dyn Write + Send>)
        .apply()
}

/// Writes one line that explains a decision.
pub fn decision(what: &str, request: Option<&str>, inputs: &[(&'static str, String)]) {
    if !log::log_enabled!(target: DECISION, log::Level::Info) {
        return;
    }
    let mut fields = Map::new();
    fields.insert("event".into(), what.into());
    if let Some(request) = request {
        fields.insert("request".into(), request.into());
    }
    for (name, value) in inputs {
        fields.insert((*name).into(), typed(value));
    }
    let text = Value::Object(fields).to_string();
    log::info!(target: DECISION, "{}", &text[1..text.len() - 1]);
}

/// Turns a text that is exactly a whole number into a number.
fn typed(text: &str) -> Value {
    match text.parse::<u64>() {
        Ok(number) if number.to_string() == text => number.into(),
        _ => text.into(),
    }
}

/// Hands whole lines to the thread that writes them, at most a number in a second.
pub struct Lines {
    tx: mpsc::SyncSender<Vec<u8>>,
    most: u32,
    second: Instant,
    written: u32,
    dropped: u64,
    unfinished: Vec<u8>,
}

impl Lines {
    /// Creates the writer and what receives its lines.
    pub fn new(most: u32) -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (tx, rx) = mpsc::sync_channel(BACKLOG);
        let lines = Self { tx, most, second: Instant::now(), written: 0, dropped: 0, unfinished: Vec::new() };
        (lines, rx)
    }

    fn send(&mut self, line: Vec<u8>) {
        if self.second.elapsed() >= SECOND {
            self.second = Instant::now();
            self.written = 0;
            self.report();
        }
        self.written += 1;
        if self.written > self.most || self.tx.try_send(line).is_err() {
            self.dropped += 1;
        }
    }

    /// Tells how many lines were dropped, as soon as there is room for that.
    fn report(&mut self) {
        if self.dropped == 0 {
            return;
        }
        let report = json!({ "event": "log_lines_dropped", "lines": self.dropped });
        if self.tx.try_send(format!("{report}\n").into_bytes()).is_ok() {
            self.dropped = 0;
        }
    }
}

impl Write for Lines {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        // A line comes in several pieces.
        for part in piece.split_inclusive(|b| *b == b'\n') {
            self.unfinished.extend_from_slice(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.unfinished);
                self.send(line);
            }
        }
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain(rx: &mpsc::Receiver<Vec<u8>>) {
    while let Ok(first) = rx.recv() {
        std::thread::sleep(GATHER);
        let mut text = first;
        while let Ok(line) = rx.try_recv() {
            text.extend_from_slice(&line);
        }
        // Without a reader of the log there is nobody to tell.
        let _ = io::stdout().write_all(&text);
    }
}
