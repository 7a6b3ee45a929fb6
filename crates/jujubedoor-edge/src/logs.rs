//! Logs as JSON lines on standard output, bounded in volume and never blocking.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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

/// The lines that were dropped since the last report of it.
static DROPPED: AtomicU64 = AtomicU64::new(0);

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
    let (tx, rx) = mpsc::sync_channel(BACKLOG);
    let most = settings.log_lines_per_s;
    std::thread::spawn(move || drain(&rx));
    let lines = Lines { tx, most, second: Instant::now(), written: 0 };
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
        fields
            .insert((*name).into(), value.parse::<u64>().map_or_else(|_| value.as_str().into(), Value::from));
    }
    let text = Value::Object(fields).to_string();
    log::info!(target: DECISION, "{}", &text[1..text.len() - 1]);
}

/// Hands lines to the thread that writes them, at most a number in a second.
struct Lines {
    tx: mpsc::SyncSender<Vec<u8>>,
    most: u32,
    second: Instant,
    written: u32,
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.written = 0;
            let dropped = DROPPED.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let report = json!({ "event": "log_lines_dropped", "lines": dropped });
                // The report shares the fate of other lines when the backlog is full.
                let _ = self.tx.try_send(format!("{report}\n").into_bytes());
            }
        }
        self.written += 1;
        if self.written > self.most || self.tx.try_send(line.to_vec()).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
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
