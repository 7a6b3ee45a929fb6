//! The cases.

use std::process::exit;
use std::sync::mpsc;
use std::thread::sleep;
use std::time::Duration;

use crate::nodes;
use crate::nodes::Net;
use crate::nodes::Node;
use crate::nodes::WorkerSpec;
use crate::nodes::ZONES;
use crate::record;
use crate::requester;
use crate::requester::Ask;
use crate::requester::Outcome;
use crate::store::Store;

/// Maximum time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// Time between the events of a stream, in milliseconds.
const EVENT_MS: u64 = 50;

/// Number of nodes.
const NODES: usize = 9;

/// Number of workers.
const WORKERS: usize = 9;

/// Time for which a worker that crashes and starts again is away.
const AWAY: Duration = Duration::from_millis(100);

/// Time from the start of a worker until the store shows its first entry, in milliseconds.
const FIRST_ENTRY_MS: u64 = 800;

/// Time for which a worker is cold after its start during traffic, as the configuration says, in milliseconds.
const COLD_MS: u64 = 3_000;

/// Operator's configuration: one route for streams that may be resumed, as on the sheet of the small deployment.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"opening-query","host":"kapsuli.example","prefix":"/query/",
"kind":"streaming","timeoutMs":12000,"targetLatencyMs":300,"priority":0,"service":"ezik","maxAttempts":2,"public":false,
"sticky":true,"resumable":true,"gapAimMs":250}],"services":[{"name":"ezik","healthPath":"/healthz","maxConns":370,
"coldStartS":3.0,"coldPerS":12.0,"inferenceEngine":{"slotCount":64,"kvCapacityTokens":537879}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"schools","apiKeys":["key-1"]}]}"#;

/// Runs a case and returns its exit code: 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
pub fn run(case: &str, record_path: &str) -> i32 {
    if record::begin(record_path).is_err() {
        return 2;
    }
    std::thread::spawn(|| {
        sleep(TIME_LIMIT);
        record::tell("the case takes too long");
        nodes::end();
        exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    record::add(&format!("case {case}, with trouble: {has_trouble}"));
    let broken = match case {
        "new-version" => new_version(has_trouble),
        "young-streams" => young_streams(has_trouble),
        "killed-node" => killed_node(has_trouble),
        _ => None,
    };
    nodes::end();
    match broken {
        Some(true) => {
            record::tell("the rule is broken");
            1
        }
        Some(false) => {
            record::tell("the rule holds");
            0
        }
        None => {
            record::tell("the case could not run");
            2
        }
    }
}

/// A deployment with its workers.
struct Site {
    net: Net,
    store: Store,
    nodes: Vec<Node>,
    workers: Vec<(WorkerSpec, u32)>,
}

impl Site {
    fn start(workers: usize) -> Option<Self> {
        let net = Net::find()?;
        let store = Store::start(&net.ip(1)).ok()?;
        store.put("op/config", Some(&CONFIG.replace('\n', "")));
        let mut site = Self { net, store, nodes: Vec::new(), workers: Vec::new() };
        for number in 0..workers {
            let spec = WorkerSpec {
                id: format!("worker-{number}"),
                version: "v1".to_owned(),
                zone: ZONES[number % ZONES.len()],
                address: site.net.worker_address(number),
                first_entry_ms: 0,
                cold_ms: 0,
            };
            let pid = nodes::start_worker(&spec, site.store.address, EVENT_MS)?;
            site.workers.push((spec, pid));
        }
        sleep(Duration::from_millis(300));
        site.nodes = nodes::start_nodes(&site.net, NODES, site.store.address)?;
        // The nodes find each other, and hear from the store for longer than any stream lasts.
        sleep(Duration::from_secs(4));
        Some(site)
    }

    /// Kills a worker.
    fn kill(&self, number: usize) {
        let (spec, pid) = &self.workers[number];
        record::add(&format!("worker {} crashes", spec.id));
        nodes::kill(*pid);
    }

    /// Starts a worker again under its identifier, with a new version of its software.
    fn restart_as(&mut self, number: usize, version: &str, first_entry_ms: u64) -> Option<()> {
        let (spec, pid) = &mut self.workers[number];
        spec.version = version.to_owned();
        spec.first_entry_ms = first_entry_ms;
        spec.cold_ms = COLD_MS;
        *pid = nodes::start_worker(spec, self.store.address, EVENT_MS)?;
        Some(())
    }

    /// Lets all workers crash and start again, one after the other.
    fn restart_in_turn(&mut self, version: &str, gap: Duration) -> Option<()> {
        for number in 0..self.workers.len() {
            self.kill(number);
            sleep(AWAY);
            self.restart_as(number, version, FIRST_ENTRY_MS)?;
            sleep(gap - AWAY);
        }
        Some(())
    }

    /// Begins a stream in a thread of its own.
    fn ask(&self, number: usize, ask: Ask, done: &mpsc::Sender<Outcome>) {
        let first = self.nodes[number % self.nodes.len()].clone();
        let second = self.nodes[(number + 4) % self.nodes.len()].clone();
        let done = done.clone();
        std::thread::spawn(move || {
            let _ = done.send(requester::receive(&ask, [&first, &second]));
        });
    }
}

fn ask(name: String, number: usize, events: u64) -> Ask {
    Ask { name, events, shared_part: 0x100 + (number as u64 * 7) % 40 }
}

/// ORDER: the workers of a service crash one after the other and start again under their identifiers as a new version.
fn new_version(has_trouble: bool) -> Option<bool> {
    const STREAMS: usize = 54;
    const EVENTS: u64 = 220;
    let mut site = Site::start(WORKERS)?;
    let (tx, rx) = mpsc::channel();
    for number in 0..STREAMS {
        site.ask(number, ask(format!("s{number}"), number, EVENTS), &tx);
        sleep(Duration::from_millis(15));
    }
    sleep(Duration::from_millis(2_700));
    if has_trouble {
        site.restart_in_turn("v2", Duration::from_millis(800))?;
    }
    drop(tx);
    let outcomes: Vec<Outcome> = rx.iter().collect();
    let joined: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.versions().len() > 1).collect();
    for outcome in &joined {
        let versions: Vec<_> = outcome.attempts.iter().map(|attempt| &attempt.versions).collect();
        record::tell(&format!("stream {} holds events of two versions: {versions:?}", outcome.name));
    }
    record::tell(&format!(
        "{} of {} streams hold events of two versions; more than two break ORDER",
        joined.len(),
        outcomes.len()
    ));
    Some(joined.len() > 2)
}

/// LOST: two workers of nine crash a second after traffic has started.
fn young_streams(has_trouble: bool) -> Option<bool> {
    const STREAMS: usize = 76;
    const NEW_STREAMS: usize = 30;
    const EVENTS: u64 = 100;
    let site = Site::start(WORKERS)?;
    let (tx, rx) = mpsc::channel();
    for number in 0..STREAMS {
        site.ask(number, ask(format!("s{number}"), number, EVENTS), &tx);
        sleep(Duration::from_millis(23));
    }
    if has_trouble {
        site.kill(0);
        site.kill(1);
    }
    for number in STREAMS..STREAMS + NEW_STREAMS {
        site.ask(number, ask(format!("s{number}"), number, EVENTS), &tx);
        sleep(Duration::from_millis(50));
    }
    drop(tx);
    let outcomes: Vec<Outcome> = rx.iter().collect();
    Some(judge_taken_up(&outcomes))
}

/// LOST: a node is killed some time after traffic has started there.
fn killed_node(has_trouble: bool) -> Option<bool> {
    const STREAMS: usize = 24;
    const NEW_STREAMS: usize = 30;
    const EVENTS: u64 = 160;
    let kill_ms: u64 = std::env::var("KILL_MS").ok().and_then(|t| t.parse().ok()).unwrap_or(2_400);
    let site = Site::start(WORKERS)?;
    let (tx, rx) = mpsc::channel();
    for number in 0..STREAMS {
        // The hash of the platform is uneven: these requesters reach the same node.
        let (first, second) = (site.nodes[4].clone(), site.nodes[(5 + number % 8) % NODES].clone());
        let (ask, done) = (ask(format!("s{number}"), number, EVENTS), tx.clone());
        std::thread::spawn(move || {
            let _ = done.send(requester::receive(&ask, [&first, &second]));
        });
        sleep(Duration::from_millis(10));
    }
    sleep(Duration::from_millis(kill_ms - 10 * STREAMS as u64));
    if has_trouble {
        record::add("node 4 is killed");
        nodes::kill(site.nodes[4].pid);
    }
    for number in STREAMS..STREAMS + NEW_STREAMS {
        let (first, second) = (site.nodes[(5 + number % 8) % NODES].clone(), site.nodes[(7 + number % 7) % NODES].clone());
        let (ask, done) = (ask(format!("s{number}"), number, EVENTS), tx.clone());
        std::thread::spawn(move || {
            let _ = done.send(requester::receive(&ask, [&first, &second]));
        });
        sleep(Duration::from_millis(50));
    }
    drop(tx);
    let outcomes: Vec<Outcome> = rx.iter().collect();
    Some(judge_taken_up(&outcomes))
}

/// LOST: of 12 or more streams that requesters take up again while two workers of their version serve, the share that goes on
/// is under half of the share of new streams that begin.
fn judge_taken_up(outcomes: &[Outcome]) -> bool {
    let taken_up: Vec<_> = outcomes.iter().filter_map(|o| Some((o, o.taken_up()?))).collect();
    for (outcome, attempt) in &taken_up {
        record::tell(&format!(
            "stream {} broke off after event {} and was taken up at {}: status {}, {} events",
            outcome.name,
            outcome.attempts[0].last_id,
            attempt.node,
            attempt.status,
            attempt.versions.iter().map(|(_, count)| count).sum::<u64>()
        ));
    }
    let gone_on = taken_up.iter().filter(|(_, attempt)| attempt.last_id > 0).count();
    let begin = outcomes.iter().filter(|outcome| outcome.has_begun()).count();
    record::tell(&format!(
        "{gone_on} of {} streams that were taken up go on; {begin} of {} new streams begin at their first attempt",
        taken_up.len(),
        outcomes.len()
    ));
    // gone_on / taken_up < begin / new / 2
    taken_up.len() >= 12 && 2 * gone_on * outcomes.len() < begin * taken_up.len()
}
