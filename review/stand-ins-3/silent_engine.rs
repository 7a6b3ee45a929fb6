//! Engines lose power in turn, come back with newer software under their ids, and crash soon after. Each is replaced then.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::record::Record;
use crate::server::Options;
use crate::server::Server;
use crate::store::Store;
use crate::vm;
use crate::vm::Vm;

const ENGINES: usize = 6;

const MACHINES: usize = 3;

/// Number of engines that lose power, one after the other.
const ROUNDS: usize = 3;

/// Number of streams that requesters ask each machine for in a round.
const STREAMS: usize = 20;

/// Time for which an engine has no power.
const DARK: Duration = Duration::from_millis(1_000);

/// Time from the start of an engine until it writes its entry.
const ENTRY_LAG: Duration = Duration::from_millis(800);

/// Time from the entry of an engine to its crash.
const CRASH_AFTER: Duration = Duration::from_millis(900);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"chat","host":"shop.example","prefix":"/chat/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":300,
"priority":0,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":250}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370,"coldStartS":3.0,"coldPerS":12.0,
"inferenceEngine":{"slotCount":64,"kvCapacityTokens":537879}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"schools","apiKeys":["key-1"],"priority":1}]}"#;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = std::env::temp_dir().join(format!("silent-engine-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&folder) {
        return Verdict::CannotRun(e.to_string());
    }
    let store = Store::start();
    store.put("op/config", CONFIG);
    let zones = ["zone-a", "zone-b", "zone-c"];
    let start_engine = |n: usize, version: &str| {
        let id = format!("i-engine{n}");
        let (zone, event_pause) = (zones[n % 3], Duration::from_millis(50));
        let options = Options { id: &id, service: "llm", zone, version, stream_events: 80, event_pause };
        Server::start(&store, record, options)
    };
    let engines: Vec<Server> = (0..ENGINES).map(|n| start_engine(n, "v1")).collect();
    let verdict = match vm::start_fleet(MACHINES, store.address, &folder) {
        Ok(fleet) => play(record, trouble, &fleet, &engines, &start_engine),
        Err(why) => Verdict::CannotRun(why),
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    verdict
}

fn play<F>(record: &Record, trouble: bool, fleet: &[Vm], engines: &[Server], start_engine: &F) -> Verdict
where
    F: Fn(usize, &str) -> Server,
{
    // The fleet learns of its machines, and has known the engines for a while.
    std::thread::sleep(Duration::from_secs(8));
    let mut joined = Vec::new();
    let mut replacements = Vec::new();
    let mut whole = 0;
    for (round, engine) in engines.iter().enumerate().take(ROUNDS) {
        if trouble {
            let waiting = engine.lose_power();
            std::thread::sleep(DARK);
            engine.start_again("v2", waiting);
        }
        std::thread::sleep(Duration::from_millis(50));
        let requesters: Vec<_> = fleet
            .iter()
            .flat_map(|vm| (0..STREAMS).map(move |n| (vm.callers, format!("{}-{round}-{n}", vm.name))))
            .map(|(to, id)| (id.clone(), std::thread::spawn(move || client::send(to, &chat(&id), WAIT))))
            .collect();
        if trouble {
            std::thread::sleep(ENTRY_LAG - Duration::from_millis(50));
            engine.register("ready");
            std::thread::sleep(CRASH_AFTER);
            engine.crash();
        }
        for (id, requester) in requesters {
            let Ok(received) = requester.join() else { return Verdict::CannotRun("a requester failed".into()) };
            let text = received.text();
            let events = || text.lines().filter_map(|line| line.strip_prefix("data: "));
            let versions: BTreeSet<&str> = events().filter_map(|event| event.split(' ').next()).collect();
            let servers: BTreeSet<&str> = events().filter_map(|event| event.split(' ').nth(1)).collect();
            let count = events().count();
            let how = if received.is_complete { "complete" } else { "broken off" };
            record.line(&format!("{id}: {} {how}, {count} events of {versions:?} from {servers:?}", received.status));
            whole += usize::from(received.status == 200 && received.is_complete);
            if versions.len() > 1 {
                joined.push(id);
            }
        }
        if trouble {
            replacements.push(start_engine(ENGINES + round, "v2"));
            // The entry of the engine that has crashed runs out.
            std::thread::sleep(Duration::from_secs(3));
            engine.leave();
        }
        std::thread::sleep(Duration::from_secs(3));
    }
    record.line(&format!("{} streams hold events of two versions: {joined:?}; {whole} were complete", joined.len()));
    if whole < ROUNDS * MACHINES * STREAMS / 2 {
        return Verdict::CannotRun("less than half of the streams were complete".into());
    }
    if joined.len() > 2 {
        return Verdict::Broken(format!("{} streams hold events of two software versions (ORDER allows 2)", joined.len()));
    }
    Verdict::Held
}

const WAIT: Duration = Duration::from_secs(12);

/// Returns a request for a stream, each with a prompt of its own.
fn chat(id: &str) -> Vec<u8> {
    let key = id.bytes().fold(0xcbf2_9ce4_u32, |key, byte| (key ^ u32::from(byte)).wrapping_mul(0x0100_0193));
    format!(
        "POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 130,80\r\n\
         X-Prompt-Prefix: {key:08x}:100,{:08x}:30\r\nX-Deadline-Ms: 12000\r\nX-Api-Key: key-1\r\n\
         Content-Length: 2\r\n\r\nhi",
        key ^ 0xffff
    )
    .into_bytes()
}
