//! The record of a case, and times.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;
use std::time::SystemTime;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Begins the record.
pub fn begin(path: &str) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Adds a line, which begins with the seconds since the start.
pub fn add(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {line}", start.elapsed().as_secs_f64());
    }
}

/// Adds a line and prints it.
pub fn tell(line: &str) {
    println!("{line}");
    add(line);
}

/// Returns the time of day in Unix milliseconds.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}
