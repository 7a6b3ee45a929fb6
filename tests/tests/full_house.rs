//! Requests that wait for room, and those that are turned away.

use std::collections::HashMap;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::queue::QueuedRequest;
use jujubedoor_routing::queue::RequestQueue;
use jujubedoor_routing::rejection::NotReadyCause;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::rejection::Rejection;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn entry(request: u64, priority: u8, workspace: &str) -> QueuedRequest {
    QueuedRequest { request, priority, workspace: Some(workspace.into()), expires_at: Time(1_000 + request) }
}

#[test]
fn urgent_first() {
    let mut waiting = RequestQueue::default();
    for (request, priority) in [(1, 2), (2, 0), (3, 1), (4, 0)] {
        waiting.push(entry(request, priority, &format!("w{request}")));
    }
    assert_eq!(waiting.order(&HashMap::new()), [2, 4, 3, 1]);
}

#[test]
fn surge_delays_itself() {
    let mut waiting = RequestQueue::default();
    for request in 0..10 {
        waiting.push(entry(request, 1, "surge"));
    }
    waiting.push(entry(10, 1, "calm"));
    waiting.push(entry(11, 1, "calm"));
    let order = waiting.order(&HashMap::new());
    assert_eq!(order[..4], [0, 10, 1, 11], "the two take turns although one came first with ten");
    let running = HashMap::from([(Some(Name::from("surge")), 5)]);
    assert_eq!(waiting.order(&running)[..2], [10, 11], "what already runs counts");
}

#[test]
fn expiry_is_exact() {
    let mut waiting = RequestQueue::default();
    for request in 0..4 {
        waiting.push(entry(request, 1, "w"));
    }
    assert_eq!(waiting.expire(Time(1_001)), [0, 1]);
    assert_eq!(waiting.len(), 2);
}

#[test]
fn returns_are_spread() {
    let mut rng = SmallRng::seed_from_u64(1);
    let route = route("desk", Kind::Idempotent, 1);
    let call = call(&route, 0, 15_000, 1, 0);
    let mut times: Vec<u64> = (0..200)
        .map(|_| Rejection::new(RejectReason::NoCapacity, &call, Time(0), 1_000, &mut rng).retry_after_ms)
        .collect();
    times.sort_unstable();
    assert!(times[0] >= 1_000, "nobody is asked back before there is room");
    assert!(times[199] - times[0] >= 400, "callers come back over a while: {} to {}", times[0], times[199]);
}

#[test]
fn return_fits_patience() {
    let mut rng = SmallRng::seed_from_u64(2);
    let route = route("desk", Kind::Idempotent, 1);
    let call = call(&route, 0, 900, 1, 0);
    for _ in 0..50 {
        let refusal = Rejection::new(RejectReason::NoUpstream, &call, Time(0), 5_000, &mut rng);
        assert!(refusal.retry_after_ms <= 300, "callers wait at most a third of what is left");
    }
    for outlook in [NotReadyCause::Starting, NotReadyCause::RegistryUnreachable, NotReadyCause::Isolated] {
        assert!(Rejection::not_ready(1_500, outlook, &mut rng).retry_after_ms <= 500);
    }
}

#[test]
fn own_failure_is_delivered_at_once() {
    let mut fleet = Fleet::new(2, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 1);
    fleet.behave =
        Box::new(|_, _, _| Behaviour { runs: true, ended: AttemptOutcome::Failed(500), work_ms: 10 });
    // It may be sent to two upstreams, but there is no other one.
    let route = route("desk", Kind::Idempotent, 2);
    let call = call(&route, fleet.now, 1_500, 1, 0);
    fleet.call(0, 1, call);
    fleet.run(20);
    assert_eq!(fleet.replies[&1], Some(Reply::ForwardResponse));
}

#[test]
fn unknown_service_is_refused_at_once() {
    let mut fleet = Fleet::new(2, Tuning::default(), 3);
    set_up(&mut fleet, "llm", 2);
    let route = route("desk", Kind::Idempotent, 1);
    let call = call(&route, fleet.now, 1_500, 1, 0);
    fleet.call(0, 1, call);
    let Some(Some(Reply::Rejected(refusal))) = fleet.replies.get(&1) else { panic!("it waits for nothing") };
    assert_eq!(refusal.reason, RejectReason::NoUpstream);
}

#[test]
fn burst_waits_and_is_served() {
    let mut fleet = Fleet::new(2, Tuning::default(), 4);
    set_up(&mut fleet, "llm", 1);
    fleet.behave =
        Box::new(|_, _, _| Behaviour { runs: true, ended: AttemptOutcome::Complete, work_ms: 200 });
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..100 {
        let call = call(&route, fleet.now, 5_000, id, 100);
        fleet.call(0, id, call);
    }
    fleet.run(2_000);
    let served = fleet.replies.values().filter(|r| **r == Some(Reply::ForwardResponse)).count();
    assert_eq!(served, 100, "64 at once, the others as soon as there is room");
    assert!(fleet.peaks["llm-0"] <= 64, "the engine is never over its slots: {}", fleet.peaks["llm-0"]);
}

#[test]
fn dead_pool_refuses_in_time() {
    let mut fleet = Fleet::new(2, Tuning::default(), 5);
    set_up(&mut fleet, "llm", 3);
    fleet.behave =
        Box::new(|_, _, _| Behaviour { runs: false, ended: AttemptOutcome::Unreachable, work_ms: 1 });
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..20 {
        let call = call(&route, fleet.now, 5_000, id, 100);
        fleet.call(0, id, call);
    }
    fleet.run(600);
    for (id, reply) in &fleet.replies {
        assert!(matches!(reply, Some(Reply::Rejected(_))), "call {id}: {reply:?}");
    }
    assert!(fleet.runs.is_empty());
}
