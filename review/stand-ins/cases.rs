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
use crate::platform::unix_ms;

/// Longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(110);

/// The service of the engines, and that of the plain workers.
const ENGINES: &str = "ezik-servery";
const PLAIN: &str = "registar";

/// Port of all workers; each has an address of its own.
const WORKER_PORT: u16 = 8463;

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
            "drill" => drill(&case),
            "amid" => killed_amid_release(&case),
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
        let host = if service == ENGINES { 100 } else { 150 } + n as u8;
        let address = SocketAddr::new(case.ip(host), WORKER_PORT);
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
        // Three of nine workers break off one in 50 of their answers.
        let torn_each = if case.trouble && n < 3 { "50" } else { "0" };
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
    let fronts = fronts(&vms);
    let are_back = AtomicBool::new(false);
    let streams = std::thread::scope(|scope| {
        let (fronts, are_back) = (&fronts, &are_back);
        let take_up = |n| move || ask_and_take_up(case, fronts, n, subject, are_back);
        let asked: Vec<_> = (0..5).map(|n| scope.spawn(take_up(n))).collect();
        std::thread::sleep(Duration::from_millis(1_000));
        case.record.line("the entry of the old version's last worker is removed; it goes on serving");
        case.store.remove(&format!("servers/{}", workers[0].id));
        std::thread::sleep(Duration::from_millis(1_500));
        if case.trouble {
            case.record.line("the store discards its history");
            case.store.compact();
            std::thread::sleep(Duration::from_millis(500));
            kill_all(case, &mut vms)?;
            wait_ready(&vms)?;
        }
        are_back.store(true, Ordering::Relaxed);
        join_all(asked)
    })?;
    if !streams.iter().all(|(_, answers)| words(&answers[0], 0).contains("2.3")) {
        return Err("the streams did not begin at the old version".to_owned());
    }
    if !case.trouble && !streams.iter().all(|(_, answers)| answers[0].is_complete) {
        return Err("streams failed without a disruption".to_owned());
    }
    Ok(count_joined(case, &streams) > 2)
}

fn fronts(vms: &[Vm]) -> Vec<(String, SocketAddr)> {
    vms.iter().map(|vm| (vm.name.clone(), vm.front)).collect()
}

fn join_all<T>(threads: Vec<std::thread::ScopedJoinHandle<'_, T>>) -> Result<Vec<T>, Failure> {
    threads.into_iter().map(|thread| thread.join().map_err(|_| "a requester failed".to_owned())).collect()
}

/// The first worker of a new version registers. The store goes away and comes back from a copy that lacks it. All
/// processes of the system are killed meanwhile. Requesters then take up the streams that the worker began.
fn drill(case: &Case) -> Result<bool, Failure> {
    let args = ["--events", "32", "--pause-ms", "250"];
    case.store.put("op/config", &CONFIG.replace('\n', ""));
    let mut workers = Vec::new();
    for n in 1..9 {
        workers.push(Worker::start(case, ENGINES, n, "2.3", &args)?);
    }
    let started_at = Instant::now();
    let mut vms = case.start_vms(&ZONES, true)?;
    std::thread::sleep(Duration::from_secs(22).saturating_sub(started_at.elapsed()));
    let copy = case.store.copy();
    std::thread::sleep(Duration::from_millis(500));
    let newest = Worker::start(case, ENGINES, 0, "2.4", &args)?;
    let born_ms = unix_ms();
    newest.register(case, "2.4", born_ms);
    std::thread::sleep(Duration::from_millis(1_000));
    let fronts = fronts(&vms);
    let are_back = AtomicBool::new(false);
    let streams = std::thread::scope(|scope| {
        let (fronts, are_back) = (&fronts, &are_back);
        let take_up = |n: usize| move || ask_and_take_up(case, fronts, n, n as u64, are_back);
        let asked: Vec<_> = (0..60).map(|n| scope.spawn(take_up(n))).collect();
        std::thread::sleep(Duration::from_millis(1_500));
        if case.trouble {
            case.record.line("the store goes away");
            case.store.go_away();
            std::thread::sleep(Duration::from_millis(200));
            kill_all(case, &mut vms)?;
            std::thread::sleep(Duration::from_millis(1_200));
            case.record.line("the store comes back from a copy");
            case.store.come_back(copy);
            wait_ready(&vms)?;
            std::thread::sleep(Duration::from_millis(400));
            are_back.store(true, Ordering::Relaxed);
            // The worker writes its entry again after a part of the 1,200 ms of `heartbeatMs`.
            std::thread::sleep(Duration::from_millis(600));
            newest.register(case, "2.4", born_ms);
        }
        are_back.store(true, Ordering::Relaxed);
        join_all(asked)
    })?;
    if !case.trouble && !streams.iter().all(|(_, answers)| answers[0].is_complete) {
        return Err("streams failed without a disruption".to_owned());
    }
    let at_new = streams.iter().filter(|(_, answers)| words(&answers[0], 0).contains("2.4")).count();
    case.record.line(&format!("{at_new} streams began at the new version"));
    Ok(count_joined(case, &streams) > 2)
}

/// All processes of the system are killed while workers of two versions serve. Requesters take their streams up once the
/// machines are in touch again.
fn killed_amid_release(case: &Case) -> Result<bool, Failure> {
    let args = ["--events", "40", "--pause-ms", "250"];
    case.store.put("op/config", &CONFIG.replace('\n', ""));
    let mut workers = Vec::new();
    for n in 0..9 {
        let version = if n < 4 { "2.3" } else { "2.4" };
        workers.push(Worker::start(case, ENGINES, n, version, &args)?);
    }
    let mut vms = case.start_vms(&ZONES, true)?;
    std::thread::sleep(Duration::from_secs(3));
    let fronts = fronts(&vms);
    let are_back = AtomicBool::new(false);
    let (streams, new) = std::thread::scope(|scope| {
        let (fronts, are_back) = (&fronts, &are_back);
        let take_up = |n: usize| move || ask_and_take_up(case, fronts, n, n as u64, are_back);
        let asked: Vec<_> = (0..24).map(|n| scope.spawn(take_up(n))).collect();
        std::thread::sleep(Duration::from_millis(2_000));
        if case.trouble {
            kill_all(case, &mut vms)?;
            wait_ready(&vms)?;
            // The machines are in touch 3,000 ms (`contactMs`) after their start.
            std::thread::sleep(Duration::from_millis(3_500));
        }
        are_back.store(true, Ordering::Relaxed);
        let ask_new = |n: usize| {
            move || ask_at(case, (&fronts[n % 6].0, fronts[n % 6].1), &format!("new-{n}"), n as u64, None)
        };
        let new: Vec<_> = (0..24).map(|n| scope.spawn(ask_new(n))).collect();
        Ok::<_, Failure>((join_all(asked)?, join_all(new)?))
    })?;
    let went_on = |(_, answers): &&(String, Vec<Answer>)| {
        answers.last().is_some_and(|a| a.status == 200 && !a.body.is_empty())
    };
    let broken: Vec<_> = streams.iter().filter(|(_, answers)| !answers[0].is_complete).collect();
    let gone_on = broken.iter().copied().filter(went_on).count();
    let begun = new.iter().filter(|answer| answer.status == 200 && !answer.body.is_empty()).count();
    case.record.line(&format!(
        "{} streams taken up, {gone_on} went on; {begun} of {} new ones began",
        broken.len(),
        new.len()
    ));
    count_joined(case, &streams);
    if !case.trouble && !broken.is_empty() {
        return Err("streams failed without a disruption".to_owned());
    }
    Ok(broken.len() >= 12 && gone_on * new.len() * 2 < begun * broken.len())
}

/// A requester that asks for a stream and takes it up at another machine when `are_back` is set, if it broke off.
///
/// Returns the answers that it received: the first one, and those to its later tries.
fn ask_and_take_up(
    case: &Case,
    fronts: &[(String, SocketAddr)],
    n: usize,
    subject: u64,
    are_back: &AtomicBool,
) -> (String, Vec<Answer>) {
    let id = format!("stream-{n}");
    let began = Instant::now();
    let limit = Duration::from_secs(12);
    let (name, front) = &fronts[n % 6];
    let first = ask_at(case, (name, *front), &id, subject, None);
    let mut answers = vec![first];
    while !answers[0].is_complete && !are_back.load(Ordering::Relaxed) && began.elapsed() < limit {
        std::thread::sleep(Duration::from_millis(20));
    }
    for again in 1..=4 {
        if answers.last().is_some_and(|last| last.is_complete && last.status == 200)
            || began.elapsed() >= limit
        {
            break;
        }
        let (name, front) = &fronts[(n + again) % 6];
        let text: String = answers.iter().filter(|a| a.status == 200).map(Answer::text).collect();
        let resumed = Some((id.as_str(), text.as_str()));
        let answer = ask_at(case, (name, *front), &format!("again-{n}-{again}"), subject, resumed);
        let retry_after: f64 = answer.head.get("retry-after").and_then(|t| t.parse().ok()).unwrap_or(0.0);
        answers.push(answer);
        std::thread::sleep(Duration::from_secs_f64(retry_after));
    }
    (id, answers)
}

/// Kills all processes of the system, waits for a second and starts them again.
fn kill_all(case: &Case, vms: &mut [Vm]) -> Result<(), Failure> {
    case.record.line("all processes of the system are killed");
    for vm in vms.iter_mut() {
        if let Some(process) = &mut vm.process {
            process.kill();
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    for vm in vms.iter_mut() {
        vm.write_settings(case, &[1, 2, 3], false)?;
        vm.start(case)?;
    }
    Ok(())
}

fn wait_ready(vms: &[Vm]) -> Result<(), Failure> {
    for vm in vms {
        crate::platform::wait_until(Duration::from_secs(5), || vm.is_ready())
            .ok_or("a machine is not ready")?;
    }
    Ok(())
}

/// Returns the versions of the events that a requester received over its tries.
fn versions(answers: &[Answer]) -> BTreeSet<String> {
    answers.iter().flat_map(|answer| words(answer, 0)).collect()
}

/// Records the streams that hold events of two versions, and returns their number.
fn count_joined(case: &Case, streams: &[(String, Vec<Answer>)]) -> usize {
    let joined = streams.iter().filter(|(_, answers)| versions(answers).len() > 1);
    let joined =
        joined.inspect(|(id, a)| case.record.line(&format!("JOINED: {id}: {:?}", versions(a)))).count();
    case.record.line(&format!("{} streams, {joined} joined from two versions", streams.len()));
    joined
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
    resumed: Option<(&str, &str)>,
) -> Answer {
    let mut fields = prompt(id, subject);
    if let Some((begun_by, text)) = resumed {
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
