//! Engines send streams that have neither a length nor chunks, and end with their channels. An engine is cut off from all
//! machines for a moment; behind the cut, its process is killed and started again.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::ExitCode;
use std::process::Stdio;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::Verdict;
use crate::client;
use crate::client::Received;
use crate::fleet;
use crate::http;
use crate::link::Link;
use crate::record::Record;
use crate::socket;
use crate::store::Store;
use crate::vm;
use crate::vm::Vm;

const ENGINES: usize = 6;

const MACHINES: usize = 3;

/// Number of rounds, in each of which another engine is cut off.
const ROUNDS: usize = 3;

/// Number of streams that requesters ask each machine for in a round.
const STREAMS: usize = 12;

/// Number of events of a stream, and the pause before each.
const EVENTS: usize = 80;
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Times from the beginning of the streams.
const CUT_AT: Duration = Duration::from_millis(1_000);
const KILLED_AT: Duration = Duration::from_millis(1_200);
const STARTED_AT: Duration = Duration::from_millis(1_600);
const HEALED_AT: Duration = Duration::from_millis(2_500);

/// Time from the start of an engine until it writes its entry.
const ENTRY_LAG: Duration = Duration::from_millis(400);

/// An engine in a process of its own, which is killed when this value is dropped.
struct Engine {
    id: String,
    /// Address at which the process listens.
    address: SocketAddr,
    /// The link to the machines, whose address stands in the entry.
    link: Link,
    zone: &'static str,
    child: Child,
}

impl Engine {
    fn start(n: usize, store: &Store) -> Result<Self, String> {
        let id = format!("i-engine{n}");
        let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = free.map_err(|e| e.to_string())?;
        let zone = ["zone-a", "zone-b", "zone-c"][n % 3];
        let engine =
            Self { child: start_worker(address, &id)?, link: Link::start(address), id, address, zone };
        engine.register(store);
        Ok(engine)
    }

    fn register(&self, store: &Store) {
        let born =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slotCount\":64,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{born}}}",
            self.link.address, self.zone
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn start_again(&mut self) -> Result<(), String> {
        self.child = start_worker(self.address, &self.id)?;
        Ok(())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_worker(address: SocketAddr, id: &str) -> Result<Child, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command.args(["unframed-worker", &address.to_string(), id]).stdin(Stdio::null()).stdout(Stdio::null());
    socket::end_with_parent(&mut command);
    command.spawn().map_err(|e| e.to_string())
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(why) => Verdict::CannotRun(why),
    }
}

fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let folder = std::env::temp_dir().join(format!("unframed-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let store = Store::start();
    store.put("op/config", fleet::CONFIG);
    let mut engines = (0..ENGINES).map(|n| Engine::start(n, &store)).collect::<Result<Vec<_>, _>>()?;
    let machines = vm::start_fleet(MACHINES, store.address, &folder)?;
    std::thread::sleep(Duration::from_secs(6));
    let (mut short, mut complete) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let begun_at = Instant::now();
        let wait_until = |time: Duration| std::thread::sleep(time.saturating_sub(begun_at.elapsed()));
        let requesters = begin_streams(&machines, round);
        if trouble {
            let engine = &mut engines[round];
            wait_until(CUT_AT);
            record.line(&format!("{} is cut off from the machines", engine.id));
            let waiting = engine.link.cut();
            wait_until(KILLED_AT);
            record.line(&format!("the process of {} is killed", engine.id));
            engine.kill();
            wait_until(STARTED_AT);
            engine.start_again()?;
            record.line(&format!("the process of {} is started again", engine.id));
            wait_until(STARTED_AT + ENTRY_LAG);
            engine.register(&store);
            record.line(&format!("{} writes the entry of its new run", engine.id));
            wait_until(HEALED_AT);
            engine.link.heal(waiting);
            record.line(&format!("the cut of {} has healed", engine.id));
        }
        for (id, requester) in requesters {
            let received = requester.join().unwrap_or_default();
            let events = received.text().matches("data: ").count();
            let how = if received.is_complete { "complete" } else { "broken off" };
            record.line(&format!("{id}: {} {how}, {events} of {EVENTS} events", received.status));
            if received.status == 200 && received.is_complete {
                complete += 1;
                if events < EVENTS {
                    short.push(id);
                }
            }
        }
        std::thread::sleep(Duration::from_secs(4));
    }
    drop(machines);
    let _ = std::fs::remove_dir_all(&folder);
    record.line(&format!("of {complete} answers that look complete, {} end early: {short:?}", short.len()));
    if complete < ROUNDS * MACHINES * STREAMS / 2 {
        return Ok(Verdict::CannotRun("less than half of the streams were complete".into()));
    }
    Ok(match short.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} of {complete} answers look complete and end early")),
    })
}

fn begin_streams(machines: &[Vm], round: usize) -> Vec<(String, JoinHandle<Received>)> {
    let begin = |n: usize, vm: &Vm| {
        let (id, to) = (format!("{}-{round}-{n}", vm.name), vm.callers);
        let request = fleet::chat(&id, "");
        (id, std::thread::spawn(move || client::send(to, &request, fleet::WAIT)))
    };
    machines.iter().flat_map(|vm| (0..STREAMS).map(move |n| begin(n, vm))).collect()
}

/// Serves as an engine until the process is killed.
pub fn serve(address: &str, id: &str) -> ExitCode {
    let Ok(listener) = TcpListener::bind(address) else { return ExitCode::from(2) };
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        std::thread::spawn(move || answer(stream, &id));
    }
    ExitCode::SUCCESS
}

/// Answers one request on a connection.
fn answer(mut stream: TcpStream, id: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(Some(mut message)) = http::read_head(&mut stream, Vec::new()) else { return };
    if http::read_body(&mut stream, &mut message).is_err() {
        return;
    }
    let attempt = message.header("x-attempt-id").unwrap_or_default();
    let plain = |status: &str, body: &str| {
        format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    if message.path().starts_with("/kv-list") {
        let body = "{\"epoch\":\"e\",\"nextToken\":1,\"held\":[]}";
        let _ = stream.write_all(plain("200 OK", body).as_bytes());
        return;
    }
    if message.header("x-expect-instance").is_some_and(|expected| expected != id) {
        let _ = stream.write_all(plain("421 Misdirected Request", "").as_bytes());
        return;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: seal-{id}\r\nX-Server-Load: 1,0,64\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let first = message.header("last-event-id").and_then(|text| text.parse::<usize>().ok()).unwrap_or(0) + 1;
    for event in first..=EVENTS {
        std::thread::sleep(EVENT_PAUSE);
        if stream.write_all(format!("id: {event}\ndata: {id} {attempt}\n\n").as_bytes()).is_err() {
            return;
        }
    }
}
