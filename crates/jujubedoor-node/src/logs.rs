//! Logging as JSON lines on standard error.

use jujubedoor_config::settings::LogLevel;
use log::LevelFilter;
use serde_json::json;

/// Initializes the logger of the process with a minimum level.
pub fn init(level: LogLevel, vm: &str) -> Result<(), log::SetLoggerError> {
    let vm = vm.to_owned();
    let format =
        move |out: fern::FormatCallback<'_>, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>| {
            let time = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
            let line = json!({
                "time_ms": time.map(crate::clock::millis).unwrap_or_default(),
                "level": record.level().as_str().to_lowercase(),
                "vm": vm,
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        };
    fern::Dispatch::new()
        .format(format)
        .level(LevelFilter::Warn)
        .level_for("jujubedoor_node", level_filter(level))
        .level_for("jujubedoord", level_filter(level))
        .level_for("timeline", level_filter(level))
        .chain(std::io::stderr())
        .apply()
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
