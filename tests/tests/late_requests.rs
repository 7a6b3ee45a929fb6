//! Callers go on sending to a VM that stops: a burst just after the stop was requested, and stragglers until its end.
//!
//! What arrives while the load balancer still sends callers is served. What arrives later, or could be cut off and must not
//! be repeated elsewhere, is rejected at once. Nothing is open when the process exits.

use jujubedoor::ids::Time;
use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::lifecycle::ActiveRequest;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Time from the request to stop until the process exits, in milliseconds.
const EXITS_IN_MS: u64 = 7_600;

/// Time limit of the requests, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

fn stopping_fleet(work_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(3, Tuning::default(), 1);
    set_up(&mut fleet, "desk", 6);
    fleet.upstream_behavior =
        Box::new(move |_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms });
    fleet.send_event(0, Event::Leaving { exits_in_ms: EXITS_IN_MS });
    fleet
}

fn is_stopping(reply: Option<Reply>) -> bool {
    matches!(reply, Some(Reply::Rejected(rejection)) if rejection.reason == RejectReason::Stopping)
}

#[test]
fn served_while_callers_are_sent() {
    for kind in [Kind::Idempotent, Kind::NonIdempotent] {
        let mut fleet = stopping_fleet(200);
        let route = route("desk", kind, 1);
        for id in 0..100 {
            let call = call(&route, fleet.now, TIMEOUT_MS, id, 0);
            fleet.call(0, id, call);
            fleet.run(24);
        }
        fleet.run(1_000);
        let served = |id: &u64| fleet.replies[id] == Some(Reply::ForwardResponse);
        assert_eq!((0..100).filter(served).count(), 100, "{kind:?}");
    }
}

#[test]
fn rejected_afterwards() {
    let mut fleet = stopping_fleet(200);
    let route = route("desk", Kind::NonIdempotent, 1);
    fleet.run(2_500);
    for id in 0..100 {
        let call = call(&route, fleet.now, TIMEOUT_MS, id, 0);
        fleet.call(0, id, call);
        assert!(is_stopping(fleet.replies[&id]), "call {id}: {:?}", fleet.replies[&id]);
        fleet.run(50);
    }
    assert!(fleet.runs.is_empty(), "a rejected request ran");
}

/// A request that may run for longer than the VM does, and that must not be repeated elsewhere, is rejected at once; one
/// that may be repeated is served.
#[test]
fn too_long_to_finish() {
    let mut fleet = stopping_fleet(200);
    for (id, kind) in [(1, Kind::NonIdempotent), (2, Kind::Idempotent)] {
        let call = call(&route("desk", kind, 1), fleet.now, EXITS_IN_MS + 1_000, id, 0);
        fleet.call(0, id, call);
    }
    fleet.run(500);
    assert!(is_stopping(fleet.replies[&1]));
    assert_eq!(fleet.replies[&2], Some(Reply::ForwardResponse));
}

/// No attempt is allowed to last until after the last answers are sent.
#[test]
fn attempts_end_before_exit() {
    let mut fleet = stopping_fleet(60_000);
    let route = route("desk", Kind::Idempotent, 3);
    fleet.run(2_000);
    for id in 0..30 {
        let call = call(&route, fleet.now, 60_000, id, 0);
        fleet.call(0, id, call);
    }
    let state = fleet.vms[0].as_ref().expect("the VM is up");
    let expiries: Vec<Time> = state.requests.values().map(ActiveRequest::expires).collect();
    let exits_at = fleet.now - 2_000 + EXITS_IN_MS;
    assert_eq!(expiries.len(), 30);
    assert!(
        expiries.iter().all(|at| at.0 < exits_at),
        "attempts last until {expiries:?}, exit at {exits_at}"
    );
}
