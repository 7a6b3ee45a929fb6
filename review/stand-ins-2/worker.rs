//! A model worker: serves streams, one request at a time on a channel, and writes its entry to the store.
//!
//! It drops a request whose channel is closed. It answers 421 to a request for another worker and goes on with a stream
//! after `Last-Event-Id`. Each event names the version of the software that wrote it.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http;
use crate::http::Head;
use crate::record;

/// Interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

struct Worker {
    id: String,
    version: String,
    slots: usize,
    interval: Duration,
    running: AtomicUsize,
}

/// Runs a worker; the arguments are pairs of a name and a value.
pub fn run(args: &[String]) -> i32 {
    let pairs: HashMap<&str, &str> =
        args.chunks_exact(2).map(|pair| (pair[0].as_str(), pair[1].as_str())).collect();
    let text = |name: &str| pairs.get(name).copied().unwrap_or_default().to_owned();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
    let worker = Arc::new(Worker {
        id: text("id"),
        version: text("version"),
        slots: usize::try_from(number("slots")).unwrap_or_default(),
        interval: Duration::from_millis(number("interval_ms")),
        running: AtomicUsize::new(0),
    });
    let born = record::wall_ms();
    let Ok(listener) = TcpListener::bind(text("listen")) else { return 2 };
    let (store, service, zone, listen) = (text("store"), text("service"), text("zone"), text("listen"));
    let (delay, cold_ms) = (Duration::from_millis(number("first_entry_ms")), number("cold_ms"));
    let entry_worker = worker.clone();
    std::thread::spawn(move || {
        let Ok(store) = store.parse::<SocketAddr>() else { return };
        std::thread::sleep(delay);
        for sequence in 1_u64.. {
            let cold = cold_ms.saturating_sub(record::wall_ms().saturating_sub(born));
            let Worker { id, version, slots, .. } = &*entry_worker;
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{listen}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
                 \"slotCount\":{slots},\"state\":\"ready\",\"coldRemainingMs\":{cold},\"born\":{born},\"sequence\":{sequence}}}"
            );
            http::call(store, "POST", &format!("/worker?key=servers/{id}"), &entry);
            std::thread::sleep(HEARTBEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        std::thread::spawn(move || worker.serve(stream));
    }
    0
}

impl Worker {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader)?;
            http::read_body(&mut reader, &head)?;
            match head.word(1) {
                "/healthz" => {
                    let headers = format!("X-Instance-Id: {}\r\n{}", self.id, self.load());
                    writer.write_all(&http::response("200 OK", &headers, b"")).ok()?;
                }
                "/kv-list" => {
                    let body = b"{\"epoch\":\"e\",\"nextToken\":1,\"held\":[]}";
                    writer
                        .write_all(&http::response("200 OK", "Content-Type: application/json\r\n", body))
                        .ok()?;
                }
                _ => self.answer(&head, &mut writer)?,
            }
        }
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> Option<()> {
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        if head.get("x-expect-instance").is_some_and(|id| id != self.id) {
            let headers = format!("X-Instance-Id: {}\r\nX-Attempt-Id: {attempt}\r\n", self.id);
            return writer.write_all(&http::response("421 Misdirected Request", &headers, b"")).ok();
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.slots {
            self.running.fetch_sub(1, Ordering::Relaxed);
            let headers = format!("X-Not-Executed: 1\r\nX-Attempt-Id: {attempt}\r\n{}", self.load());
            return writer.write_all(&http::response("503 Service Unavailable", &headers, b"")).ok();
        }
        let after = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        // The path ends with the number of events that the whole stream has.
        let events = head.word(1).rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(1);
        println!("{} runs {attempt} after event {after}, version {}", self.id, self.version);
        let sent = self.stream(attempt, after, events, writer);
        self.running.fetch_sub(1, Ordering::Relaxed);
        sent
    }

    fn stream(&self, attempt: &str, after: u64, events: u64, writer: &mut TcpStream) -> Option<()> {
        std::thread::sleep(self.interval);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: seal-{}\r\n{}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.load()
        );
        writer.write_all(head.as_bytes()).ok()?;
        for id in after + 1..=events {
            if is_closed(writer) {
                return None;
            }
            let event = format!("id: {id}\nevent: {}\ndata: token {id} of {events}\n\n", self.version);
            write!(writer, "{:x}\r\n{event}\r\n", event.len()).ok()?;
            std::thread::sleep(self.interval);
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }

    fn load(&self) -> String {
        format!("X-Server-Load: {},0,{}\r\n", self.running.load(Ordering::Relaxed), self.slots)
    }
}

/// Returns whether the other end has closed a channel on which it sends nothing.
fn is_closed(stream: &mut TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let read = stream.read(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock)
}
