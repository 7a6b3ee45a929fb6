//! A part of a prompt that crashes every engine that begins to respond to it is recognized by the whole fleet.
//!
//! No two requests with the part are alike, and sound requests share all their other parts. A fleet that
//! recognizes only repeated requests would lose one engine after the other.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use jujubedoor::ids::Fingerprint;
use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::call::Part;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::ProbeOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Part that crashes engines.
const DEADLY_PART: Part = Part { key: 0xDEAD, tokens: 2_000 };

/// Number of the context whose parts the crashing requests share with sound ones.
const SHARED_CONTEXT: u64 = 2;

/// Number of the first crashing request. All with higher numbers crash their engines too.
const FIRST_CRASHING: u64 = 1_000_000;

/// Time within which all VMs know what one of them knows, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Time from the start of a response to the crash, in milliseconds.
const CRASH_DELAY_MS: u64 = 90;

/// Time from a crash until the engine is back, in milliseconds.
const RESTART_MS: u64 = 3_200;

/// A fleet before engines of which some crash.
struct Scenario {
    vms: usize,
    engines: usize,
    /// Interval between requests with the deadly part, in milliseconds.
    crashing_interval_ms: u64,
    /// Interval between sound requests, in milliseconds.
    sound_interval_ms: u64,
    /// Position of the deadly part among the shared parts.
    depth: usize,
    seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self { vms: 6, engines: 18, crashing_interval_ms: 700, sound_interval_ms: 14, depth: 2, seed: 1 }
    }
}

/// Crashes that were requested by the upstreams' behavior and are still to come, by time.
type Pending = Rc<RefCell<Vec<(u64, Name)>>>;

struct Played {
    fleet: Fleet,
    /// Times of the crashes, without those that hit an engine that was down already.
    crashes: Vec<u64>,
    /// Times at which requests with the deadly part reached engines.
    crashing_arrivals: Vec<u64>,
    /// Sound requests of the shared context: time of arrival at the VM and number.
    shared_calls: Vec<(u64, u64)>,
    next_id: u64,
    next_crashing: u64,
    rng: SmallRng,
    pending: Pending,
    down: Rc<RefCell<BTreeSet<Name>>>,
    restarts: BTreeMap<u64, Vec<Name>>,
    scenario: Scenario,
}

/// Starts a fleet whose engines crash while they respond to a request with the deadly part.
fn start(scenario: Scenario) -> Played {
    let mut fleet = Fleet::new(scenario.vms, Tuning::default(), scenario.seed);
    set_up(&mut fleet, "llm", scenario.engines);
    fleet.run(2_000);
    let down: Rc<RefCell<BTreeSet<Name>>> = Rc::default();
    let pending = Pending::default();
    let unreachable = down.clone();
    fleet.probe_failure = ProbeOutcome::Refused;
    fleet.reachable = Box::new(move |_, upstream| !unreachable.borrow().contains(upstream));
    let (unreachable, crashing) = (down.clone(), pending.clone());
    fleet.upstream_behavior = Box::new(move |upstream, id, random| {
        if unreachable.borrow().contains(upstream) {
            return Behavior { runs: false, outcome: AttemptOutcome::Refused, work_ms: 1 };
        }
        if id >= FIRST_CRASHING {
            crashing.borrow_mut().push((0, upstream.clone()));
            return Behavior { runs: true, outcome: AttemptOutcome::ConnectionLost, work_ms: 10_000 };
        }
        Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 200 + random % 2_300 }
    });
    let rng = SmallRng::seed_from_u64(scenario.seed);
    Played {
        fleet,
        crashes: Vec::new(),
        crashing_arrivals: Vec::new(),
        shared_calls: Vec::new(),
        next_id: 1,
        next_crashing: FIRST_CRASHING,
        rng,
        pending,
        down,
        restarts: BTreeMap::new(),
        scenario,
    }
}

fn sound_call(route: &std::sync::Arc<Route>, now: u64, context: u64, id: u64) -> Call {
    let mut sound = call(route, now, 10_000, context, 2_000);
    if let Some(last) = sound.parts.last_mut() {
        last.key = (1 << 40) + id;
    }
    sound.fingerprint = Fingerprint(id);
    sound
}

impl Played {
    /// Sends sound requests and, while `crashing` is set, requests with the deadly part.
    fn play(&mut self, duration_ms: u64, crashing: bool) {
        let route = route("llm", Kind::Streaming, 1);
        let until = self.fleet.now + duration_ms;
        let mut sound_due = self.fleet.now;
        let mut crashing_due = self.fleet.now + self.scenario.crashing_interval_ms;
        while self.fleet.now < until {
            let now = self.fleet.now;
            if now >= sound_due {
                sound_due = now + self.scenario.sound_interval_ms;
                let (context, id) = (self.rng.random_range(1..60), self.next_id);
                self.next_id += 1;
                if context == SHARED_CONTEXT {
                    self.shared_calls.push((now, id));
                }
                let vm = self.rng.random_range(0..self.scenario.vms);
                self.fleet.call(vm, id, sound_call(&route, now, context, id));
            }
            if crashing && now >= crashing_due {
                crashing_due = now + self.scenario.crashing_interval_ms;
                let id = self.next_crashing;
                self.next_crashing += 1;
                let mut call = sound_call(&route, now, SHARED_CONTEXT, id);
                call.parts.insert(self.scenario.depth, DEADLY_PART);
                let vm = self.rng.random_range(0..self.scenario.vms);
                self.fleet.call(vm, id, call);
            }
            self.fleet.run(2);
            self.crash_and_restart();
        }
    }

    fn crash_and_restart(&mut self) {
        let now = self.fleet.now;
        let mut due = Vec::new();
        self.pending.borrow_mut().retain_mut(|(at, upstream)| {
            if *at == 0 {
                *at = now + CRASH_DELAY_MS;
                self.crashing_arrivals.push(now);
            }
            let is_due = *at <= now;
            if is_due {
                due.push(upstream.clone());
            }
            !is_due
        });
        for upstream in due {
            if self.down.borrow_mut().insert(upstream.clone()) {
                self.crashes.push(now);
                self.fleet.crash_upstream(&upstream);
                self.restarts.entry(now + RESTART_MS).or_default().push(upstream);
            }
        }
        while let Some(entry) = self.restarts.first_entry().filter(|entry| *entry.key() <= now) {
            for upstream in entry.remove() {
                self.down.borrow_mut().remove(&upstream);
                let mut restarted = registration("llm", 0);
                restarted.started = now;
                let all: Vec<usize> = (0..self.scenario.vms).collect();
                self.fleet.publish(&Change::Registered(upstream, restarted), &all);
            }
        }
    }

    /// Returns the number of requests with the deadly part that reached engines later than the fleet may need
    /// after the fifth crash.
    fn late_arrivals(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        self.crashing_arrivals.iter().filter(|at| **at > fifth + CONTACT_MS).count()
    }

    /// Returns how many sound requests of the shared context arrived since a time, and how many of them were
    /// not rejected as suspected of crashing engines.
    fn shared_admitted(&self, since: u64) -> (usize, usize) {
        let calls = self.shared_calls.iter().filter(|(at, _)| *at >= since);
        let rejected = |id: &u64| {
            matches!(self.fleet.replies.get(id), Some(Some(Reply::Rejected(r)))
                if r.reason == RejectReason::CrashSuspect)
        };
        let admitted = calls.clone().filter(|(_, id)| !rejected(id)).count();
        (calls.count(), admitted)
    }
}

/// The part is recognized for any position, rate and fleet size, and sound requests go on.
fn check(scenario: Scenario) {
    let name =
        format!("{} VMs, every {} ms, seed {}", scenario.vms, scenario.crashing_interval_ms, scenario.seed);
    let mut played = start(scenario);
    played.play(4_000, false);
    let began = played.fleet.now;
    played.play(30_000, true);
    let late = played.late_arrivals();
    assert!(late <= 3, "{name}: {late} requests reached engines late; crashes: {:?}", played.crashes);
    let (arrived, admitted) = played.shared_admitted(began);
    assert!(admitted * 2 >= arrived, "{name}: {admitted} of {arrived} sound requests were admitted");
}

#[test]
fn crashing_part_is_blocked() {
    for seed in 1..=6 {
        for crashing_interval_ms in [200, 700, 2_500] {
            check(Scenario { crashing_interval_ms, seed, ..Scenario::default() });
        }
    }
}

#[test]
fn any_position_is_recognized() {
    for depth in [0, 1] {
        for seed in 1..=3 {
            check(Scenario { depth, seed, ..Scenario::default() });
        }
    }
}

/// A fleet of 24 VMs is too large for a full mesh, so that reports pass through relays.
#[test]
fn relays_forward_crashing_parts() {
    for seed in 1..=2 {
        check(Scenario { vms: 24, engines: 36, sound_interval_ms: 7, seed, ..Scenario::default() });
    }
}

/// With many engines, crashes follow each other so closely that most coincide with others.
#[test]
fn frequent_crashes_are_recognized() {
    for seed in 1..=3 {
        let scenario = Scenario {
            vms: 24,
            engines: 72,
            crashing_interval_ms: 36,
            sound_interval_ms: 7,
            seed,
            ..Scenario::default()
        };
        check(scenario);
    }
}

/// A VM that starts later receives what the others know, and doesn't crash engines once more.
#[test]
fn restarted_vms_know_crashing_parts() {
    let mut played = start(Scenario::default());
    played.play(4_000, false);
    played.play(12_000, true);
    for vm in 0..6 {
        played.fleet.start(vm);
        played.fleet.load_directory(&[vm]);
        played.play(3_000, true);
    }
    assert!(played.late_arrivals() <= 3, "{} late requests", played.late_arrivals());
}

/// Engines crash for another reason, several at the same moment and again later. No part is to blame.
#[test]
fn other_crashes_block_no_part() {
    for seed in 1..=20 {
        let mut played = start(Scenario { seed, ..Scenario::default() });
        played.play(3_000, false);
        for round in 0..8_u64 {
            for engine in 0..6 {
                let upstream = Name::from(format!("llm-{}", (round * 5 + engine) % 18));
                played.pending.borrow_mut().push((1, upstream));
            }
            played.play(1_500, false);
        }
        let suspected = |r: &Option<Reply>| matches!(r, Some(Reply::Rejected(r)) if r.reason == RejectReason::CrashSuspect);
        let rejected = played.fleet.replies.values().filter(|r| suspected(r)).count();
        assert_eq!(rejected, 0, "seed {seed}");
    }
}

/// A block ends after a minute. The VMs must not all try the part at once then.
#[test]
fn trials_are_few() {
    for (vms, engines) in [(6, 18), (24, 36)] {
        for seed in 1..=4 {
            let mut played = start(Scenario { vms, engines, seed, ..Scenario::default() });
            played.play(4_000, false);
            let began = played.fleet.now;
            played.play(110_000, true);
            let late = played.late_arrivals();
            assert!(late <= 3, "{vms} VMs, seed {seed}: {late} late requests; crashes: {:?}", played.crashes);
            let is_trial = |at: &u64| *at > began + 50_000;
            let has_trial = played.crashing_arrivals.iter().any(is_trial);
            assert!(has_trial, "{vms} VMs, seed {seed}: the part is never tried again");
        }
    }
}

/// Engines no longer crash on a blocked part, such as after a new release.
#[test]
fn harmless_part_is_unblocked() {
    let mut played = start(Scenario::default());
    played.play(4_000, false);
    played.play(10_000, true);
    let is_down = played.down.clone();
    played.fleet.upstream_behavior = Box::new(move |upstream, _, random| {
        let is_down = is_down.borrow().contains(upstream);
        let outcome = if is_down { AttemptOutcome::Refused } else { AttemptOutcome::Complete };
        Behavior { runs: !is_down, outcome, work_ms: 200 + random % 800 }
    });
    played.play(75_000, true);
    let first = played.next_crashing;
    played.play(5_000, true);
    let served = |id: &u64| matches!(played.fleet.replies.get(id), Some(Some(Reply::ForwardResponse) | None));
    let calls = (first..played.next_crashing).collect::<Vec<u64>>();
    assert!(calls.len() > 5 && calls.iter().all(served), "the part is still blocked");
}
