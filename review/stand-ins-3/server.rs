//! A worker. Its process can lose power, come back as another run with other software, and crash.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::socket;
use crate::store::Store;

/// Interval at which a connection checks whether the process still runs.
const POLL: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    service: String,
    zone: String,
    store: Store,
    record: Record,
    stream_events: u64,
    event_pause: Duration,
    idle_s: Option<u64>,
    /// Absent while there is no process.
    listener: Mutex<Option<TcpListener>>,
    run: Mutex<Run>,
}

#[derive(Clone)]
struct Run {
    number: u32,
    version: String,
    born: u64,
    sequence: u64,
    state: State,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Runs,
    /// No power: nothing is accepted, read or answered.
    Dark,
    /// The process has ended; its connections are reset.
    Ended,
}

pub struct Options<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub version: &'a str,
    pub stream_events: u64,
    pub event_pause: Duration,
    /// Time after which an idle connection is closed, in whole seconds as `Keep-Alive` states it.
    pub idle_s: Option<u64>,
}

impl Server {
    /// Starts a worker and registers it.
    pub fn start(store: &Store, record: &Record, options: Options<'_>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let run = Run {
            number: 0,
            version: options.version.to_owned(),
            born: wall_ms(),
            sequence: 0,
            state: State::Runs,
        };
        let shared = Shared {
            service: options.service.to_owned(),
            zone: options.zone.to_owned(),
            store: store.clone(),
            record: record.clone(),
            stream_events: options.stream_events,
            event_pause: options.event_pause,
            idle_s: options.idle_s,
            listener: Mutex::new(Some(listener)),
            run: Mutex::new(run),
        };
        let server = Self { id: options.id.to_owned(), address, shared: Arc::new(shared) };
        server.register("ready");
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept());
        server
    }

    /// Writes the entry in the store.
    pub fn register(&self, state: &str) {
        let shared = &self.shared;
        let (version, born, sequence) = {
            let mut run = shared.run.lock().unwrap();
            run.sequence += 1;
            (run.version.clone(), run.born, run.sequence)
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{version}\",\"slotCount\":64,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
            shared.service, self.address, shared.zone
        );
        shared.store.put(&format!("servers/{}", self.id), &entry);
        shared.record.line(&format!("{} writes its entry: {state}, version {version}", self.id));
    }

    /// The machine loses power, or is cut off: its connections stay open for their other ends, and new ones get no answer.
    pub fn fall_silent(&self) -> Vec<TcpStream> {
        self.run().state = State::Dark;
        self.shared.record.line(&format!("{} falls silent", self.id));
        // The opening packets of further connections are dropped once this many wait.
        if let Some(listener) = &*self.shared.listener.lock().unwrap() {
            socket::set_backlog(listener, 0);
        }
        let connect = |_| TcpStream::connect_timeout(&self.address, Duration::from_millis(20)).ok();
        (0..4).map_while(connect).collect()
    }

    /// The process runs again, as another run under its id. `waiting` are the connections that wait since the loss of power.
    pub fn start_again(&self, version: &str, waiting: Vec<TcpStream>) {
        drop(waiting);
        {
            let mut listener = self.shared.listener.lock().unwrap();
            match &*listener {
                Some(listener) => socket::set_backlog(listener, 128),
                None => {
                    let again = TcpListener::bind(self.address).unwrap();
                    again.set_nonblocking(true).unwrap();
                    *listener = Some(again);
                }
            }
            let mut run = self.run();
            let number = run.number + 1;
            *run =
                Run { number, version: version.to_owned(), born: wall_ms(), sequence: 0, state: State::Runs };
        }
        self.shared.record.line(&format!("{} runs again, version {version}", self.id));
    }

    /// A cut of the machine's links has healed; the process has run all the while.
    pub fn heal(&self, waiting: Vec<TcpStream>) {
        drop(waiting);
        if let Some(listener) = &*self.shared.listener.lock().unwrap() {
            socket::set_backlog(listener, 128);
        }
        self.run().state = State::Runs;
        self.shared.record.line(&format!("{} is reached again", self.id));
    }

    /// The process ends: its connections are reset, and new ones refused.
    pub fn crash(&self) {
        self.run().state = State::Ended;
        *self.shared.listener.lock().unwrap() = None;
        self.shared.record.line(&format!("{} crashes", self.id));
    }

    /// Removes the entry in the store, as the store does after three ping intervals of silence.
    pub fn leave(&self) {
        self.shared.store.remove(&format!("servers/{}", self.id));
        self.shared.record.line(&format!("the entry of {} is gone", self.id));
    }

    fn run(&self) -> std::sync::MutexGuard<'_, Run> {
        self.shared.run.lock().unwrap()
    }

    fn accept(&self) {
        loop {
            let accepted = {
                let listener = self.shared.listener.lock().unwrap();
                let run = self.run().clone();
                let listener = listener.as_ref().filter(|_| run.state == State::Runs);
                listener.and_then(|listener| Some((listener.accept().ok()?.0, run)))
            };
            let Some((stream, run)) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let server = self.clone();
            std::thread::spawn(move || server.serve(stream, run));
        }
    }

    /// Serves a connection that was accepted in a run.
    fn serve(&self, mut stream: TcpStream, run: Run) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(POLL));
        let mut bytes = Vec::new();
        let mut idle_since = Instant::now();
        loop {
            let mut buffer = [0; 8192];
            let read = stream.read(&mut buffer);
            match self.wait_for_run(&run) {
                Fate::GoesOn => {}
                Fate::Reset => return socket::reset(stream),
                // A machine that has started again knows nothing of the connection.
                Fate::Unknown if matches!(read, Ok(count) if count > 0) => return socket::reset(stream),
                Fate::Unknown => {}
            }
            match read {
                Ok(0) => return,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(e) if is_timeout(&e) => {
                    let is_over = |idle_s| idle_since.elapsed() >= Duration::from_secs(idle_s);
                    if bytes.is_empty() && self.shared.idle_s.is_some_and(is_over) {
                        return;
                    }
                    continue;
                }
                Err(_) => return,
            }
            if !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
                continue;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            let Ok(Some(mut message)) = http::read_head(&mut stream, std::mem::take(&mut bytes)) else {
                return;
            };
            if http::read_body(&mut stream, &mut message).is_err() {
                return;
            }
            if !self.answer(&mut stream, &message, &run) {
                return socket::reset(stream);
            }
            bytes = message.rest;
            idle_since = Instant::now();
            let _ = stream.set_read_timeout(Some(POLL));
        }
    }

    /// Waits while there is no power, and returns what becomes of a connection of a run.
    fn wait_for_run(&self, run: &Run) -> Fate {
        loop {
            let current = self.run().clone();
            match current.state {
                State::Dark => std::thread::sleep(POLL),
                State::Ended if current.number == run.number => return Fate::Reset,
                State::Runs if current.number == run.number => return Fate::GoesOn,
                State::Ended | State::Runs => return Fate::Unknown,
            }
        }
    }

    /// Answers a request. Returns whether the connection goes on.
    fn answer(&self, stream: &mut TcpStream, message: &Message, run: &Run) -> bool {
        let path = message.path();
        let id = message.header("x-attempt-id").unwrap_or_default().to_owned();
        if path.starts_with("/kv-list") {
            let body = "{\"epoch\":\"e\",\"nextToken\":1,\"held\":[]}";
            return write_plain(stream, "200 OK", "", body).is_ok();
        }
        if message.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return write_plain(stream, "421 Misdirected Request", "", "").is_ok();
        }
        let after = message.header("last-event-id").unwrap_or_default().to_owned();
        self.shared
            .record
            .line(&format!("{} (version {}) runs {id} after event '{after}'", self.id, run.version));
        let keep_alive =
            self.shared.idle_s.map_or(String::new(), |idle_s| format!("Keep-Alive: timeout={idle_s}\r\n"));
        let head = format!(
            "{keep_alive}X-Attempt-Id: {id}\r\nX-Response-Seal: seal-{}-{}\r\nX-Server-Load: 1,0,64\r\n",
            self.id, run.number
        );
        if message.header("x-model").is_none() {
            std::thread::sleep(self.shared.event_pause);
            return write_plain(stream, "200 OK", &head, &format!("{} answers {id}", self.id)).is_ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let first = after.parse::<u64>().unwrap_or(0) + 1;
        for event in first..=self.shared.stream_events {
            let until = Instant::now() + self.shared.event_pause;
            while Instant::now() < until {
                if !matches!(self.wait_for_run(run), Fate::GoesOn) {
                    return false;
                }
                std::thread::sleep(POLL);
            }
            let text = format!("id: {event}\ndata: {} {} {id}\n\n", run.version, self.id);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// What becomes of a connection.
enum Fate {
    GoesOn,
    Reset,
    Unknown,
}

fn write_plain(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}
