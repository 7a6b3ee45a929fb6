//! Log lines are written whole, and no more than a number in a second.

use std::io::Write;
use std::time::Duration;

use jujubedoor_edge::logs::LogWriter;

#[test]
fn pieces_make_lines() {
    let (mut lines, rx) = LogWriter::new(10);
    for piece in ["{\"a\":", "1", "}\n{\"b\"", ":2}\n{"] {
        lines.write_all(piece.as_bytes()).expect("a line is taken or dropped");
    }
    let got: Vec<Vec<u8>> = rx.try_iter().collect();
    assert_eq!(got, [b"{\"a\":1}\n".to_vec(), b"{\"b\":2}\n".to_vec()]);
}

#[test]
fn excess_is_counted() {
    let (mut lines, rx) = LogWriter::new(3);
    for n in 0..8 {
        writeln!(lines, "line {n}").expect("a line is taken or dropped");
    }
    assert_eq!(rx.try_iter().count(), 3);
    std::thread::sleep(Duration::from_millis(1_050));
    writeln!(lines, "later").expect("a line is taken or dropped");
    let got: Vec<String> = rx.try_iter().map(|l| String::from_utf8_lossy(&l).into_owned()).collect();
    assert_eq!(got, ["{\"event\":\"log_lines_dropped\",\"lines\":5}\n", "later\n"]);
}

#[test]
fn nobody_reads() {
    let (mut lines, rx) = LogWriter::new(1_000_000);
    for n in 0..10_000 {
        writeln!(lines, "line {n}").expect("writing never waits");
    }
    drop(rx);
    writeln!(lines, "still here").expect("writing never fails");
}
