//! The log writer passes on complete lines only, at most a given number per second, and never blocks.
//!
//! A daemon that waited for the reader of its log, or wrote without a limit during a fault, would delay
//! calls.

use std::io::Write;
use std::time::Duration;

use jujubedoor_edge::logs::LogWriter;

/// The logger writes a line in several parts.
#[test]
fn partial_writes_form_lines() {
    let (mut writer, rx) = LogWriter::new(10);
    for chunk in ["{\"a\":", "1", "}\n{\"b\"", ":2}\n{"] {
        writer.write_all(chunk.as_bytes()).expect("a line is accepted or dropped");
    }
    let received: Vec<Vec<u8>> = rx.try_iter().collect();
    assert_eq!(received, [b"{\"a\":1}\n".to_vec(), b"{\"b\":2}\n".to_vec()]);
}

/// Lines above the limit are dropped, and the next second reports how many.
#[test]
fn excess_is_counted() {
    let (mut writer, rx) = LogWriter::new(3);
    for n in 0..8 {
        writeln!(writer, "line {n}").expect("a line is accepted or dropped");
    }
    assert_eq!(rx.try_iter().count(), 3);
    std::thread::sleep(Duration::from_millis(1_050));
    writeln!(writer, "later").expect("a line is accepted or dropped");
    let received: Vec<String> = rx.try_iter().map(|l| String::from_utf8_lossy(&l).into_owned()).collect();
    assert_eq!(received, ["{\"event\":\"log_lines_dropped\",\"lines\":5}\n", "later\n"]);
}

/// The lines are not read, and then the receiver is dropped.
#[test]
fn writer_never_blocks() {
    let (mut writer, rx) = LogWriter::new(1_000_000);
    for n in 0..10_000 {
        writeln!(writer, "line {n}").expect("a write never blocks");
    }
    drop(rx);
    writeln!(writer, "still here").expect("a write never fails, even without a receiver");
}
