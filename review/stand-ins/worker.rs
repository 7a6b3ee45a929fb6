//! A worker process. It prints a line for each request that it runs, and ends when its standard input does.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http;
use crate::http::Head;

/// Settings of a worker, from its arguments `--name value`.
struct Worker {
    id: String,
    version: String,
    service: String,
    events: u64,
    pause: Duration,
    /// Each answer of this number ends inside an event; 0 for none.
    torn_each: u64,
    answers: AtomicU64,
}

pub fn run(args: &[String]) -> i32 {
    let args: HashMap<&str, &str> =
        args.chunks_exact(2).map(|pair| (pair[0].trim_start_matches("--"), pair[1].as_str())).collect();
    let number = |name: &str| args.get(name).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
    let Ok(listener) = TcpListener::bind(args["listen"]) else { return 2 };
    let worker = Arc::new(Worker {
        id: args["id"].to_owned(),
        version: args["version"].to_owned(),
        service: args["service"].to_owned(),
        events: number("events"),
        pause: Duration::from_millis(number("pause-ms")),
        torn_each: number("torn-each"),
        answers: AtomicU64::new(0),
    });
    println!("worker {} version {} listens at {}", worker.id, worker.version, args["listen"]);
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        std::thread::spawn(move || worker.serve(stream));
    }
    0
}

impl Worker {
    /// Serves the requests of one connection.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader)?;
            http::read_request_body(&mut reader, &head)?;
            self.answer(&head, &mut writer)?;
        }
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> Option<()> {
        let path = head.word(1).split('?').next().unwrap_or_default();
        let json = match path {
            "/kv-list" => Some("{\"epoch\":\"e\",\"nextToken\":1,\"held\":[]}".to_owned()),
            "/healthz" => Some("{}".to_owned()),
            "/report" => {
                Some("{\"stage\":\"hybrid\",\"models\":[],\"busy\":false,\"sequence\":1}".to_owned())
            }
            _ => None,
        };
        if let Some(json) = json {
            let fields = format!("X-Instance-Id: {}\r\nContent-Type: application/json", self.id);
            return respond(writer, "200 OK", &fields, &json);
        }
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let echoed = format!("X-Attempt-Id: {attempt}");
        if head.get("x-expect-instance").is_some_and(|id| id != self.id) {
            return respond(writer, "421 Misdirected Request", &format!("{echoed}\r\nX-Not-Executed: 1"), "");
        }
        let after: u64 = head.get("last-event-id").and_then(|t| t.parse().ok()).unwrap_or(0);
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        if head.get("x-model").is_none() {
            println!("{} of {} runs {attempt} ({path})", self.id, self.service);
            std::thread::sleep(Duration::from_millis(60));
            let fields = format!("{echoed}\r\nX-Response-Seal: seal-{}-{number}", self.id);
            return respond(writer, "200 OK", &fields, &format!("done by {} of {}", self.id, self.service));
        }
        println!("{} ({}) runs {attempt} from event {}", self.id, self.version, after + 1);
        let is_torn = self.torn_each > 0 && number % self.torn_each == 0;
        let fields =
            format!("{echoed}\r\nX-Response-Seal: seal-{}-{number}\r\nX-Server-Load: 1,0,64", self.id);
        writer
            .write_all(
                format!(
                    "HTTP/1.1 200 OK\r\n{fields}\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                )
                .as_bytes(),
            )
            .ok()?;
        for event in after + 1..=self.events {
            std::thread::sleep(self.pause);
            let last = if event == self.events { " last" } else { "" };
            let text = format!("id: {event}\ndata: {} {} piece {event}{last}\n\n", self.version, self.id);
            if is_torn && event == self.events / 2 {
                println!("{} breaks off {attempt} inside event {event}", self.id);
                write_chunk(writer, &text[..text.len() / 2])?;
                break;
            }
            write_chunk(writer, &text)?;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> Option<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}

fn respond(writer: &mut TcpStream, status: &str, fields: &str, body: &str) -> Option<()> {
    let length = body.len();
    writer
        .write_all(
            format!("HTTP/1.1 {status}\r\n{fields}\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes(),
        )
        .ok()
}
