//! A small fleet whose engines stream, and requesters that count the versions in each stream.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::client::Received;
use crate::record::Record;
use crate::server::Options;
use crate::server::Server;
use crate::store::Store;
use crate::vm;
use crate::vm::Vm;

const MACHINES: usize = 3;

/// Time for which requesters wait for a stream.
pub const WAIT: Duration = Duration::from_secs(12);

pub const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"chat","host":"shop.example","prefix":"/chat/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":300,
"priority":0,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":250}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370,"coldStartS":3.0,"coldPerS":12.0,
"inferenceEngine":{"slotCount":64,"kvCapacityTokens":537879}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"schools","apiKeys":["key-1"],"priority":1}]}"#;

/// A requester of a stream, with the id of its attempt.
pub type Requester = (String, JoinHandle<Received>);

pub struct Fleet {
    pub machines: Vec<Vm>,
    pub engines: Vec<Server>,
    store: Store,
    record: Record,
    folder: PathBuf,
    stream_events: u64,
    idle_s: Option<u64>,
    /// The streams that hold events of two versions.
    joined: RefCell<Vec<String>>,
    begun: Cell<usize>,
    complete: Cell<usize>,
}

impl Fleet {
    /// Starts machines and engines, and waits until the machines have known each other and the engines for a while.
    pub fn start(
        record: &Record,
        name: &str,
        engines: usize,
        stream_events: u64,
        idle_s: Option<u64>,
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let store = Store::start();
        store.put("op/config", CONFIG);
        let mut fleet = Self {
            machines: Vec::new(),
            engines: Vec::new(),
            store,
            record: record.clone(),
            folder,
            stream_events,
            idle_s,
            joined: RefCell::default(),
            begun: Cell::default(),
            complete: Cell::default(),
        };
        fleet.engines = (0..engines).map(|n| fleet.start_engine(n, "v1")).collect();
        fleet.machines = vm::start_fleet(MACHINES, fleet.store.address, &fleet.folder)?;
        std::thread::sleep(Duration::from_secs(8));
        Ok(fleet)
    }

    pub fn start_engine(&self, n: usize, version: &str) -> Server {
        let id = format!("i-engine{n}");
        let (zone, event_pause) = (["zone-a", "zone-b", "zone-c"][n % 3], Duration::from_millis(50));
        let options = Options {
            id: &id,
            service: "llm",
            zone,
            version,
            stream_events: self.stream_events,
            event_pause,
            idle_s: self.idle_s,
        };
        Server::start(&self.store, &self.record, options)
    }

    /// Lets requesters ask each machine for a number of streams.
    pub fn begin_streams(&self, label: &str, streams: usize) -> Vec<Requester> {
        let ids = self
            .machines
            .iter()
            .flat_map(|vm| (0..streams).map(move |n| (vm.callers, format!("{}-{label}-{n}", vm.name))));
        let begin = |(to, id): (_, String)| {
            (id.clone(), std::thread::spawn(move || client::send(to, &chat(&id, ""), WAIT)))
        };
        ids.map(begin).collect()
    }

    /// Waits until the streams have ended, and records what requesters received.
    pub fn collect(&self, requesters: Vec<Requester>) {
        for (id, requester) in requesters {
            let received = requester.join().unwrap_or_default();
            let text = received.text();
            let events = || text.lines().filter_map(|line| line.strip_prefix("data: "));
            let versions: BTreeSet<&str> = events().filter_map(|event| event.split(' ').next()).collect();
            let servers: BTreeSet<&str> = events().filter_map(|event| event.split(' ').nth(1)).collect();
            let (status, count) = (received.status, events().count());
            let how = if received.is_complete { "complete" } else { "broken off" };
            self.record
                .line(&format!("{id}: {status} {how}, {count} events of {versions:?} from {servers:?}"));
            self.begun.set(self.begun.get() + 1);
            self.complete.set(self.complete.get() + usize::from(status == 200 && received.is_complete));
            if versions.len() > 1 {
                self.joined.borrow_mut().push(id);
            }
        }
    }

    /// Judges the streams by the rule ORDER, which allows two with events of two versions.
    pub fn judge(self) -> Verdict {
        let (joined, begun, complete) = (self.joined.borrow(), self.begun.get(), self.complete.get());
        self.record.line(&format!(
            "of {begun} streams, {complete} were complete; two versions in {}: {joined:?}",
            joined.len()
        ));
        if complete < begun / 2 {
            return Verdict::CannotRun("less than half of the streams were complete".into());
        }
        if joined.len() > 2 {
            return Verdict::Broken(format!(
                "{} of {begun} streams hold events of two software versions",
                joined.len()
            ));
        }
        Verdict::Held
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.machines {
            vm.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a request for a stream, each with a prompt of its own, and with further headers.
pub fn chat(id: &str, headers: &str) -> Vec<u8> {
    let key = id.bytes().fold(0xcbf2_9ce4_u32, |key, byte| (key ^ u32::from(byte)).wrapping_mul(0x0100_0193));
    format!(
        "POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 130,80\r\n\
         X-Prompt-Prefix: {key:08x}:100,{:08x}:30\r\nX-Deadline-Ms: 12000\r\nX-Api-Key: key-1\r\n\
         {headers}Content-Length: 2\r\n\r\nhi",
        key ^ 0xffff
    )
    .into_bytes()
}
