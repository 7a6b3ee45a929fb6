//! The scenarios of the cases.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Answer;
use crate::platform::Case;
use crate::platform::Entry;
use crate::platform::Failure;
use crate::platform::Process;
use crate::platform::Request;
use crate::platform::Vm;
use crate::platform::free_address;
use crate::platform::unix_ms;

/// Longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(110);

/// The service of the engines, and that of the plain workers.
const ENGINES: &str = "ezik-servery";
const PLAIN: &str = "registar";

/// The zones of the machines: two in each.
const ZONES: [&str; 6] = ["sofia-a", "sofia-b", "sofia-c", "sofia-a", "sofia-b", "sofia-c"];

/// The configuration: routes of the sheet, streams that may be resumed and others, and plain requests.
const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"opening-query","host":"pamet.example","prefix":"/opening/","kind":"streaming","timeoutMs":12000,
"targetLatencyMs":300,"priority":0,"service":"ezik-servery","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":250},
{"name":"letter-classify","host":"pamet.example","prefix":"/letter/","kind":"streaming","timeoutMs":3000,
"targetLatencyMs":400,"priority":2,"service":"ezik-servery","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":250},
{"name":"seal-record","host":"pamet.example","prefix":"/seal/","kind":"non_idempotent","timeoutMs":800,
"targetLatencyMs":300,"priority":2,"service":"registar","maxAttempts":1,"public":false},
{"name":"catalogue-lookup","host":"pamet.example","prefix":"/catalogue/","kind":"idempotent","timeoutMs":800,
"targetLatencyMs":300,"priority":2,"service":"registar","maxAttempts":2,"public":false}],
"services":[{"name":"registar","healthPath":"/healthz","maxConns":110,"coldStartS":0.0,"coldPerS":0.0},
{"name":"ezik-servery","healthPath":"/healthz","maxConns":370,"coldStartS":3.0,"coldPerS":12.0,
"inferenceEngine":{"slotCount":64,"kvCapacityTokens":537879}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"schools","apiKeys":["key-schools-1"],"priority":1}]}"#;

/// Plays a case and returns the exit code.
pub fn run(number: &str, dir: &str) -> i32 {
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let played = Case::start(Path::new(dir)).and_then(|case| {
        let broken = match number {
            "versions" => joined_versions(&case),
            "torn" => torn_streams(&case),
            "history" => short_history(&case),
            "fields" => missing_fields(&case),
            _ => Err(format!("there is no case {number}")),
        };
        if let Err(e) = &broken {
            case.record.line(&format!("the case could not run: {e}"));
        }
        broken
    });
    match played {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            2
        }
    }
}

/// A worker of the case and its process.
struct Worker {
    id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    process: Process,
}

impl Worker {
    fn start(
        case: &Case,
        service: &'static str,
        n: usize,
        version: &str,
        args: &[&str],
    ) -> Result<Self, Failure> {
        let id = format!("i-{}{n}a{n}c", if service == ENGINES { "e" } else { "b" });
        let address = free_address()?;
        let all = [&["--service", service, "--id", &id, "--version", version], args].concat();
        let process = case.start_worker(address, &all)?;
        let worker = Self { id: id.clone(), service, zone: ZONES[n % 3], address, process };
        worker.register(case, version, unix_ms());
        Ok(worker)
    }

    fn register(&self, case: &Case, version: &str, born_ms: u64) {
        let entry = Entry {
            id: &self.id,
            service: self.service,
            address: self.address,
            zone: self.zone,
            version,
            slots: if self.service == ENGINES { 64 } else { 6 },
            state: "ready",
        };
        case.register(&entry, born_ms);
    }
}

/// Sends a request for a stream about a subject.
fn ask(case: &Case, vm: &Vm, path: &str, id: &str, subject: u64) -> Answer {
    let fields = prompt(id, subject);
    let limit = Duration::from_millis(12_000);
    case.send(vm, &Request { method: "POST", path, id, fields: &fields, body: "a question", limit })
}

/// Returns the header lines about the prompt of a request: two parts of the subject and its own.
fn prompt(id: &str, subject: u64) -> String {
    let own = id.bytes().fold(7u64, |key, b| key.wrapping_mul(1_099_511_628_211) ^ u64::from(b));
    let (first, subject) = (0x5c1e_0000 + subject, 0x91bd_0000 + subject);
    format!(
        "X-Model: m\r\nX-Token-Counts: 829,300\r\nX-Prompt-Prefix: {first:x}:119,{subject:x}:580,{own:x}:130\r\n"
    )
}

/// Returns the words at a place of all pieces of a stream: the versions at 0, the workers at 1.
fn words(answer: &Answer, place: usize) -> BTreeSet<String> {
    let text = answer.text();
    let pieces = text.lines().filter_map(|line| line.strip_prefix("data: "));
    pieces.filter_map(|piece| piece.split(' ').nth(place).map(str::to_owned)).collect()
}

/// A worker crashes while no stream runs there, starts again under its identifier with another version of its software,
/// and crashes again before its entry says so.
fn joined_versions(case: &Case) -> Result<bool, Failure> {
    let args = ["--events", "20", "--pause-ms", "50"];
    case.store.put("op/config", &CONFIG.replace('\n', ""));
    let mut workers = Vec::new();
    for n in 0..9 {
        workers.push(Worker::start(case, ENGINES, n, "2.3", &args)?);
    }
    let vms = case.start_vms(&ZONES, true)?;
    std::thread::sleep(Duration::from_secs(2));
    // All machines learn at which worker the subject's prompt is kept.
    let mut last = BTreeSet::new();
    for (n, vm) in vms.iter().enumerate() {
        last = words(&ask(case, vm, "/opening/1", &format!("warm-{n}"), 0), 1);
    }
    let target =
        workers.iter().position(|w| last.contains(&w.id)).ok_or("the first streams were not served")?;
    // Other subjects, which other workers serve, are asked about all the while.
    let others: Vec<u64> = (1..=12)
        .filter(|subject| {
            let id = format!("other-{subject}");
            !words(&ask(case, &vms[*subject as usize % 6], "/opening/2", &id, *subject), 1)
                .contains(&workers[target].id)
        })
        .collect();
    let stop = AtomicBool::new(false);
    let streams = std::thread::scope(|scope| {
        let (vms, stop) = (&vms, &stop);
        for (n, subject) in others.into_iter().enumerate() {
            scope.spawn(move || {
                let mut asked = 0;
                while !stop.load(Ordering::Relaxed) {
                    asked += 1;
                    ask(case, &vms[(n + asked) % 6], "/opening/2", &format!("steady-{n}-{asked}"), subject);
                }
            });
        }
        let streams = crash_twice(case, vms, &mut workers[target], &args);
        stop.store(true, Ordering::Relaxed);
        streams
    })?;
    let joined: Vec<&(String, Answer)> =
        streams.iter().filter(|(_, answer)| words(answer, 0).len() > 1).collect();
    for (id, answer) in &joined {
        case.record.line(&format!("JOINED: {id} holds events of the versions {:?}", words(answer, 0)));
    }
    let complete = streams.iter().filter(|(_, answer)| answer.is_complete).count();
    case.record.line(&format!(
        "{} streams, {complete} complete, {} joined from two versions",
        streams.len(),
        joined.len()
    ));
    if !case.trouble && complete < streams.len() {
        return Err("streams failed without a disruption".to_owned());
    }
    Ok(joined.len() > 2)
}

fn crash_twice(
    case: &Case,
    vms: &[Vm],
    worker: &mut Worker,
    args: &[&str],
) -> Result<Vec<(String, Answer)>, Failure> {
    std::thread::sleep(Duration::from_secs(3));
    if case.trouble {
        case.record.line(&format!("worker {} is killed", worker.id));
        worker.process.kill();
        std::thread::sleep(Duration::from_secs(2));
        let id = worker.id.clone();
        worker.process = case.start_worker(
            worker.address,
            &[&["--service", ENGINES, "--id", &id, "--version", "2.4"], args].concat(),
        )?;
    }
    let started_at = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    std::thread::scope(|scope| {
        let asked: Vec<_> = vms
            .iter()
            .take(5)
            .enumerate()
            .map(|(n, vm)| {
                scope.spawn(move || {
                    let id = format!("stream-{n}");
                    let answer = ask(case, vm, "/opening/1", &id, 0);
                    (id, answer)
                })
            })
            .collect();
        if case.trouble {
            // The worker would write its entry 800 ms after its start, within the 1,200 ms of `heartbeatMs`.
            std::thread::sleep(Duration::from_millis(600).saturating_sub(started_at.elapsed()));
            case.record.line(&format!("worker {} is killed again", worker.id));
            worker.process.kill();
        }
        asked.into_iter().map(|thread| thread.join().map_err(|_| "a requester failed".to_owned())).collect()
    })
}

/// Some workers break off a few of their streams inside an event. The chunks end properly.
fn torn_streams(case: &Case) -> Result<bool, Failure> {
    case.store.put("op/config", &CONFIG.replace('\n', ""));
    // Held until the end of the case.
    let mut workers = Vec::new();
    for n in 0..9 {
        // Four of nine workers break off one in 34 of their answers.
        let torn_each = if case.trouble && n < 4 { "34" } else { "0" };
        let args = ["--events", "10", "--pause-ms", "10", "--torn-each", torn_each];
        workers.push(Worker::start(case, ENGINES, n, "2.3", &args)?);
    }
    let vms = case.start_vms(&ZONES, true)?;
    std::thread::sleep(Duration::from_secs(2));
    let answers: Vec<(String, Answer)> = std::thread::scope(|scope| {
        let vms = &vms;
        let requesters: Vec<_> = (0..24)
            .map(|n| {
                scope.spawn(move || {
                    let path = if n % 2 == 0 { "/opening/1" } else { "/letter/1" };
                    let ask_one = |k: usize| {
                        let id = format!("r{n}-{k}");
                        let answer = ask(case, &vms[(n + k) % 6], path, &id, (n * 7 + k) as u64 % 40);
                        (id, answer)
                    };
                    (0..60).map(ask_one).collect::<Vec<_>>()
                })
            })
            .collect();
        requesters.into_iter().flat_map(|requester| requester.join().unwrap_or_default()).collect()
    });
    let looks_whole = |answer: &&(String, Answer)| answer.1.status == 200 && answer.1.is_complete;
    let is_whole = |answer: &Answer| answer.text().ends_with("piece 10 last\n\n");
    let served = answers.iter().filter(looks_whole).count();
    let torn: Vec<&(String, Answer)> =
        answers.iter().filter(looks_whole).filter(|(_, a)| !is_whole(a)).collect();
    for (id, answer) in &torn {
        let text = answer.text();
        let end = text.chars().rev().take(24).collect::<String>().chars().rev().collect::<String>();
        case.record.line(&format!("TORN: {id} ended as complete with {end:?}"));
    }
    case.record.line(&format!(
        "{} requests, {served} complete answers, {} of them torn",
        answers.len(),
        torn.len()
    ));
    if !case.trouble && served < answers.len() {
        return Err("streams failed without a disruption".to_owned());
    }
    Ok(!torn.is_empty())
}

/// The last worker of a version leaves, the store discards its history, and all processes of the system are killed.
/// Requesters then take up the streams that the worker began.
fn short_history(case: &Case) -> Result<bool, Failure> {
    let args = ["--events", "32", "--pause-ms", "250"];
    case.store.put("op/config", &CONFIG.replace('\n', ""));
    let mut workers = vec![Worker::start(case, ENGINES, 0, "2.3", &args)?];
    for n in 1..9 {
        workers.push(Worker::start(case, ENGINES, n, "2.4", &args)?);
    }
    let started_at = Instant::now();
    let mut vms = case.start_vms(&ZONES, true)?;
    std::thread::sleep(Duration::from_secs(2));
    // The subject whose prompt the last worker of the old version keeps. Each is asked about at one machine.
    let mut subject = None;
    for first in (0..300).step_by(30) {
        subject = subject.or_else(|| find_kept_at(case, &vms, first..first + 30, "2.3"));
    }
    let subject = subject.ok_or("no subject is kept at the worker of the old version")?;
    // The workers of the new version have served for more than the 20 s of the history.
    std::thread::sleep(Duration::from_secs(24).saturating_sub(started_at.elapsed()));
    let fronts: Vec<SocketAddr> = vms.iter().map(|vm| vm.front).collect();
    let names: Vec<String> = vms.iter().map(|vm| vm.name.clone()).collect();
    let are_back = AtomicBool::new(false);
    let streams = std::thread::scope(|scope| {
        let (fronts, names, are_back) = (&fronts, &names, &are_back);
        let asked: Vec<_> = (0..5)
            .map(|n| {
                scope.spawn(move || {
                    let id = format!("stream-{n}");
                    let began = Instant::now();
                    let first = ask_at(case, (&names[n], fronts[n]), &id, subject, None);
                    if first.is_complete {
                        return (id, vec![first]);
                    }
                    let limit = Duration::from_secs(12);
                    while !are_back.load(Ordering::Relaxed) && began.elapsed() < limit {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    let other = (n + 1) % 6;
                    let resumed = ask_at(
                        case,
                        (&names[other], fronts[other]),
                        &format!("again-{n}"),
                        subject,
                        Some((&id, &first)),
                    );
                    (id, vec![first, resumed])
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(1_000));
        case.record.line("the entry of the old version's last worker is removed; it goes on serving");
        case.store.remove(&format!("servers/{}", workers[0].id));
        std::thread::sleep(Duration::from_millis(1_500));
        if case.trouble {
            case.record.line("the store discards its history");
            case.store.compact();
            std::thread::sleep(Duration::from_millis(500));
            case.record.line("all processes of the system are killed");
            for vm in &mut vms {
                if let Some(process) = &mut vm.process {
                    process.kill();
                }
            }
            std::thread::sleep(Duration::from_secs(1));
            for vm in &mut vms {
                vm.write_settings(case, &[1, 2, 3], false)?;
                vm.start(case)?;
            }
            for vm in &vms {
                crate::platform::wait_until(Duration::from_secs(5), || vm.is_ready())
                    .ok_or("a machine is not ready")?;
            }
        }
        are_back.store(true, Ordering::Relaxed);
        let joined =
            asked.into_iter().map(|thread| thread.join().map_err(|_| "a requester failed".to_owned()));
        joined.collect::<Result<Vec<_>, Failure>>()
    })?;
    let versions =
        |answers: &[Answer]| answers.iter().flat_map(|a| words(a, 0)).collect::<BTreeSet<String>>();
    let joined = streams.iter().filter(|(_, answers)| versions(answers).len() > 1);
    let joined =
        joined.inspect(|(id, a)| case.record.line(&format!("JOINED: {id}: {:?}", versions(a)))).count();
    case.record.line(&format!("{} streams, {joined} joined from two versions", streams.len()));
    if !streams.iter().all(|(_, answers)| words(&answers[0], 0).contains("2.3")) {
        return Err("the streams did not begin at the old version".to_owned());
    }
    if !case.trouble && !streams.iter().all(|(_, answers)| answers[0].is_complete) {
        return Err("streams failed without a disruption".to_owned());
    }
    Ok(joined > 2)
}

/// Asks about some subjects, each at one machine, and returns the first that a worker of a version answered.
fn find_kept_at(case: &Case, vms: &[Vm], subjects: Range<u64>, version: &str) -> Option<u64> {
    std::thread::scope(|scope| {
        let ask_one = |subject: u64| {
            ask(case, &vms[subject as usize % 6], "/opening/1", &format!("warm-{subject}"), subject)
        };
        let asked: Vec<_> =
            subjects.map(|subject| (subject, scope.spawn(move || ask_one(subject)))).collect();
        let answers = asked.into_iter().filter_map(|(subject, thread)| Some((subject, thread.join().ok()?)));
        let kept =
            answers.filter(|(_, answer)| words(answer, 0).contains(version)).map(|(subject, _)| subject);
        kept.collect::<Vec<u64>>().first().copied()
    })
}

/// Sends a request for a stream, or one that takes up a stream that has broken off.
fn ask_at(
    case: &Case,
    (name, front): (&str, SocketAddr),
    id: &str,
    subject: u64,
    resumed: Option<(&str, &Answer)>,
) -> Answer {
    let mut fields = prompt(id, subject);
    if let Some((begun_by, first)) = resumed {
        let text = first.text();
        let last =
            text.lines().filter_map(|line| line.strip_prefix("id: ")).next_back().unwrap_or("0").to_owned();
        fields += &format!("Resumes: {begun_by}\r\nLast-Event-Id: {last}\r\n");
    }
    let limit = Duration::from_millis(12_000);
    case.send_to(
        name,
        front,
        &Request { method: "POST", path: "/opening/1", id, fields: &fields, body: "a question", limit },
    )
}

/// Another writer overwrites the entry of an engine. Fields are missing, and the service is another one.
fn missing_fields(case: &Case) -> Result<bool, Failure> {
    case.store.put("op/config", &CONFIG.replace('\n', ""));
    let args = ["--events", "10", "--pause-ms", "10"];
    // Held until the end of the case.
    let mut workers = Vec::new();
    for n in 0..9 {
        workers.push(Worker::start(case, ENGINES, n, "2.3", &args)?);
    }
    for n in 0..3 {
        workers.push(Worker::start(case, PLAIN, n, "7.1", &args)?);
    }
    let born_ms = unix_ms();
    for worker in &workers {
        let version = if worker.service == ENGINES { "2.3" } else { "7.1" };
        worker.register(case, version, born_ms);
    }
    let vms = case.start_vms(&ZONES, true)?;
    std::thread::sleep(Duration::from_secs(2));
    let stop = AtomicBool::new(false);
    let answers: Vec<(String, Answer)> = std::thread::scope(|scope| {
        let (vms, stop) = (&vms, &stop);
        let requesters: Vec<_> = (0..6)
            .map(|n| {
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let k = answers.len();
                        let (method, path) =
                            if k % 2 == 0 { ("POST", "/seal/1") } else { ("GET", "/catalogue/1") };
                        let body = if k % 2 == 0 { "a seal" } else { "" };
                        let id = format!("p{n}-{k}");
                        let limit = Duration::from_millis(1_500);
                        let request = Request { method, path, id: &id, fields: "", body, limit };
                        answers.push((id.clone(), case.send(&vms[(n + k) % 6], &request)));
                        std::thread::sleep(Duration::from_millis(150));
                    }
                    answers
                })
            })
            .collect();
        std::thread::sleep(Duration::from_secs(3));
        let engine = &workers[4];
        if case.trouble {
            let entry = format!(
                "{{\"service\":\"{PLAIN}\",\"address\":\"{}\",\"zone\":\"{}\",\"slotCount\":6,\"state\":\"ready\"}}",
                engine.address, engine.zone
            );
            case.record.line(&format!("another writer: servers/{} = {entry}", engine.id));
            case.store.put(&format!("servers/{}", engine.id), &entry);
        }
        // The engine writes its own entry again after the 1,200 ms of `heartbeatMs`.
        std::thread::sleep(Duration::from_millis(1_200));
        engine.register(case, "2.3", born_ms);
        std::thread::sleep(Duration::from_secs(2));
        stop.store(true, Ordering::Relaxed);
        requesters.into_iter().flat_map(|requester| requester.join().unwrap_or_default()).collect()
    });
    let misrouted = answers.iter().filter(|(_, answer)| answer.text().contains(ENGINES));
    let misrouted = misrouted
        .inspect(|(id, _)| case.record.line(&format!("WRONG SERVICE: {id} was run by an engine")))
        .count();
    let served = answers.iter().filter(|(_, answer)| answer.status == 200).count();
    case.record.line(&format!(
        "{} requests, {served} served, {misrouted} of them by the wrong service",
        answers.len()
    ));
    if !case.trouble && served < answers.len() {
        return Err("requests failed without a disruption".to_owned());
    }
    Ok(misrouted > 0)
}
