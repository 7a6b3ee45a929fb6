//! A request that crashes every upstream that runs it is recognized and rejected by the whole fleet.
//!
//! Its caller retries it at one VM after another. If each VM had to recognize it by itself, it would
//! crash the upstreams of a service many times. Other requests that ran at the same upstreams must not be
//! rejected.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use jujubedoor::ids::Fingerprint;
use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::ProbeOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Number of the first call that crashes the upstream that runs it. All calls with higher numbers do so too.
const FIRST_CRASHING_CALL: u64 = 10_000;

/// Delay of heartbeats that arrive after streams have gone on elsewhere, in milliseconds.
const LATE_HEARTBEAT_MS: u64 = 100;

/// Sends the crashing request to one VM after another, between harmless requests. Returns the fleet and the
/// number of times that the crashing request ran.
fn send_crashing_request(vms: usize) -> (Fleet, usize) {
    let mut fleet = Fleet::new(vms, Tuning::default(), 3);
    set_up(&mut fleet, "desk", 4);
    fleet.run(2_000);
    let down: Rc<RefCell<HashSet<Name>>> = Rc::default();
    let unreachable = down.clone();
    fleet.reachable = Box::new(move |_, upstream| !unreachable.borrow().contains(upstream));
    fleet.upstream_behavior = Box::new(move |upstream, id, _| {
        if id >= FIRST_CRASHING_CALL {
            down.borrow_mut().insert(upstream.clone());
            return Behavior { runs: true, outcome: AttemptOutcome::ConnectionLost, work_ms: 5 };
        }
        if down.borrow_mut().remove(upstream) {
            return Behavior { runs: false, outcome: AttemptOutcome::Unreachable, work_ms: 1 };
        }
        Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 5 }
    });
    let route = route("desk", Kind::NonIdempotent, 1);
    let vm_count = u64::try_from(vms).expect("few");
    for round in 0..20 {
        let mut crashing = call(&route, fleet.now, 1_500, 1, 0);
        crashing.fingerprint = Fingerprint(77);
        fleet.call(usize::try_from(round % vm_count).expect("few"), FIRST_CRASHING_CALL + round, crashing);
        for n in 0..40 {
            let id = round * 100 + n;
            let harmless = call(&route, fleet.now, 1_500, id + 500, 0);
            fleet.call(usize::try_from(id % vm_count).expect("few"), id, harmless);
            fleet.run(20);
        }
    }
    fleet.run(2_000);
    let ran = fleet.runs.keys().filter(|id| **id >= FIRST_CRASHING_CALL).count();
    (fleet, ran)
}

#[test]
fn crashing_request_is_rejected() {
    for vms in [4, 9] {
        let (fleet, ran) = send_crashing_request(vms);
        assert!((2..=5).contains(&ran), "{vms} VMs: the request ran {ran} times");
        let last = fleet.replies.get(&(FIRST_CRASHING_CALL + 19)).copied().flatten();
        let Some(Reply::Rejected(rejection)) = last else {
            panic!("{vms} VMs: the request is not rejected: {last:?}")
        };
        assert_eq!(rejection.reason, RejectReason::CrashSuspect);
    }
}

/// A fleet of 20 VMs is too large for a full mesh, so that crash reports pass through relays.
#[test]
fn relays_forward_crash_reports() {
    let (_, ran) = send_crashing_request(20);
    assert!((2..=5).contains(&ran), "the request ran {ran} times");
}

#[test]
fn other_requests_are_not_rejected() {
    let (fleet, _) = send_crashing_request(9);
    let rejected =
        |r: &Option<Reply>| matches!(r, Some(Reply::Rejected(r)) if r.reason == RejectReason::CrashSuspect);
    let wrongly_rejected =
        fleet.replies.iter().filter(|(id, reply)| **id < FIRST_CRASHING_CALL && rejected(reply)).count();
    assert_eq!(wrongly_rejected, 0, "other requests that ran at the same upstreams should not be rejected");
}

/// Half of the engines end at once, or are cut off with resets. Guards against streams that count as crashing because they moved
/// from one of these engines to the next.
#[test]
fn engines_that_end_together() {
    for probe_failure in [ProbeOutcome::Refused, ProbeOutcome::Unreachable] {
        assert_moved_streams_go_on(probe_failure);
    }
}

fn assert_moved_streams_go_on(probe_failure: ProbeOutcome) {
    const STREAMS: u64 = 24;
    let mut fleet = Fleet::new(6, Tuning::default(), 4);
    set_up(&mut fleet, "llm", 24);
    let ended: Rc<RefCell<HashSet<Name>>> = Rc::default();
    let (unreachable, lost) = (ended.clone(), ended.clone());
    fleet.reachable = Box::new(move |_, upstream| !unreachable.borrow().contains(upstream));
    fleet.probe_failure = probe_failure;
    fleet.upstream_behavior = Box::new(move |upstream, id, _| {
        if lost.borrow().contains(upstream) {
            // A request on a connection that was open before is lost.
            let was_open = id < STREAMS;
            let outcome = if was_open { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Refused };
            return Behavior { runs: false, outcome, work_ms: 1 };
        }
        Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 2_000 }
    });
    fleet.run(2_000);
    let route = Arc::new(Route { resumable: true, ..(*route("llm", Kind::Streaming, 3)).clone() });
    let ask =
        |now: u64, id: u64| Call { fingerprint: Fingerprint(id), ..call(&route, now, 9_000, id, 1_000) };
    for id in 0..STREAMS {
        let vm = usize::try_from(id % 6).expect("few");
        fleet.call(vm, id, ask(fleet.now, id));
    }
    fleet.run(500);
    // Streams move before VMs learn from each other which engines have ended.
    fleet.heartbeat_delay_ms = LATE_HEARTBEAT_MS;
    let engines: Vec<Name> = fleet.arrivals.keys().step_by(2).cloned().collect();
    ended.borrow_mut().extend(engines.iter().cloned());
    for engine in &engines {
        fleet.crash_upstream(engine);
    }
    fleet.run(1_000);
    // Callers come back at other VMs.
    for id in 0..STREAMS {
        let vm = usize::try_from((id + 1) % 6).expect("few");
        fleet.call(vm, 100 + id, ask(fleet.now, id));
    }
    fleet.run(1_000);
    let is_ended = |engine: &Name| engines.contains(engine);
    let has_moved = |id: &u64| fleet.path_of(*id).iter().filter(|engine| is_ended(engine)).count() > 1;
    let moved: Vec<u64> = (0..STREAMS).filter(has_moved).collect();
    assert!(!moved.is_empty(), "no stream moved from one of these engines to the next");
    for id in moved {
        let went_on = fleet.path_of(100 + id).last().is_some_and(|engine| !is_ended(engine));
        assert!(went_on, "{probe_failure:?}: stream {id} does not go on: {:?}", fleet.replies[&(100 + id)]);
    }
}
