//! Requests that are queued while no upstream has capacity, and requests that are rejected.
//!
//! In a burst, the requests of one workspace must not delay those of others. Callers whose requests are
//! rejected must not all be asked to retry at the same time, which would repeat the burst, or so late
//! that their deadline passes. A request that no upstream can serve must be rejected long before its
//! deadline.

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
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn queued_request(request: u64, priority: u8, workspace: &str) -> QueuedRequest {
    QueuedRequest { request, priority, workspace: Some(workspace.into()), expires_at: Time(1_000 + request) }
}

#[test]
fn urgent_requests_are_first() {
    let mut queue = RequestQueue::default();
    for (request, priority) in [(1, 2), (2, 0), (3, 1), (4, 0)] {
        queue.push(queued_request(request, priority, &format!("w{request}")));
    }
    assert_eq!(queue.order(&HashMap::new()), [2, 4, 3, 1]);
}

#[test]
fn surge_delays_only_itself() {
    let mut queue = RequestQueue::default();
    for request in 0..10 {
        queue.push(queued_request(request, 1, "surge"));
    }
    queue.push(queued_request(10, 1, "calm"));
    queue.push(queued_request(11, 1, "calm"));
    let order = queue.order(&HashMap::new());
    assert_eq!(
        order[..4],
        [0, 10, 1, 11],
        "the workspaces should take turns, although ten requests of one of them arrived first"
    );
    let running = HashMap::from([(Some(Name::from("surge")), 5)]);
    assert_eq!(
        queue.order(&running)[..2],
        [10, 11],
        "the workspace with fewer running requests should go first"
    );
}

#[test]
fn expiry_is_exact() {
    let mut queue = RequestQueue::default();
    for request in 0..4 {
        queue.push(queued_request(request, 1, "w"));
    }
    assert_eq!(queue.expire(Time(1_001)), [0, 1]);
    assert_eq!(queue.len(), 2);
}

#[test]
fn retry_times_are_spread() {
    let mut rng = SmallRng::seed_from_u64(1);
    let route = route("desk", Kind::Idempotent, 1);
    let call = call(&route, 0, 15_000, 1, 0);
    let mut retry_times: Vec<u64> = (0..200)
        .map(|_| Rejection::new(RejectReason::NoCapacity, &call, Time(0), 1_000, &mut rng).retry_after_ms)
        .collect();
    retry_times.sort_unstable();
    assert!(retry_times[0] >= 1_000, "no caller should be asked to retry before capacity is expected");
    assert!(
        retry_times[199] - retry_times[0] >= 400,
        "retry times should be spread, but are {} to {} ms",
        retry_times[0],
        retry_times[199]
    );
}

#[test]
fn retry_time_fits_deadline() {
    let mut rng = SmallRng::seed_from_u64(2);
    let route = route("desk", Kind::Idempotent, 1);
    let call = call(&route, 0, 900, 1, 0);
    for _ in 0..50 {
        let rejection = Rejection::new(RejectReason::NoUpstream, &call, Time(0), 5_000, &mut rng);
        assert!(
            rejection.retry_after_ms <= 300,
            "no caller should be asked to wait for more than a third of the remaining time"
        );
    }
    for cause in [NotReadyCause::Starting, NotReadyCause::RegistryUnreachable, NotReadyCause::Isolated] {
        assert!(Rejection::not_ready(1_500, cause, &mut rng).retry_after_ms <= 500);
    }
}

#[test]
fn error_without_alternative_is_forwarded_at_once() {
    let mut fleet = Fleet::new(2, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 1);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Failed(500), work_ms: 10 });
    // The request may be sent to two upstreams, but there is only one.
    let route = route("desk", Kind::Idempotent, 2);
    let call = call(&route, fleet.now, 1_500, 1, 0);
    fleet.call(0, 1, call);
    fleet.run(20);
    assert_eq!(fleet.replies[&1], Some(Reply::ForwardResponse));
}

#[test]
fn service_without_upstreams_rejects_at_once() {
    let mut fleet = Fleet::new(2, Tuning::default(), 3);
    set_up(&mut fleet, "llm", 2);
    let route = route("desk", Kind::Idempotent, 1);
    let call = call(&route, fleet.now, 1_500, 1, 0);
    fleet.call(0, 1, call);
    let Some(Some(Reply::Rejected(rejection))) = fleet.replies.get(&1) else {
        panic!("the request is queued although no upstream is registered")
    };
    assert_eq!(rejection.reason, RejectReason::NoUpstream);
}

#[test]
fn burst_is_queued_and_served() {
    let mut fleet = Fleet::new(2, Tuning::default(), 4);
    set_up(&mut fleet, "llm", 1);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 200 });
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..100 {
        let call = call(&route, fleet.now, 5_000, id, 100);
        fleet.call(0, id, call);
    }
    fleet.run(2_000);
    let served = fleet.replies.values().filter(|r| **r == Some(Reply::ForwardResponse)).count();
    assert_eq!(served, 100, "64 requests should run at once, and the others as soon as there is capacity");
    assert!(
        fleet.peaks["llm-0"] <= 64,
        "the engine ran more requests than it has slots: {}",
        fleet.peaks["llm-0"]
    );
}

#[test]
fn unreachable_pool_rejects_in_time() {
    let mut fleet = Fleet::new(2, Tuning::default(), 5);
    set_up(&mut fleet, "llm", 3);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: false, outcome: AttemptOutcome::Unreachable, work_ms: 1 });
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
