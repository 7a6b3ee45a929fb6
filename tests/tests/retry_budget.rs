//! The number of retries in the whole fleet is limited to a share of the requests plus a fixed number per
//! window.
//!
//! When many requests fail at once, for example because all upstreams are overloaded, retries would
//! multiply the load and prolong the failure. A few failures must still be retried.

use jujubedoor::ids::Time;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::retry_budget::RetryBudget;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

#[test]
fn storm_is_bounded() {
    let tuning = Tuning { retry_ratio: 0.2, retry_slack: 58.0, ..Tuning::default() };
    let mut fleet = Fleet::new(9, tuning, 5);
    set_up(&mut fleet, "desk", 3);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::ConnectionLost, work_ms: 5 });
    let route = route("desk", Kind::Idempotent, 3);
    for id in 0..1_000 {
        // Nine tenths of the requests reach the same VM, which is the worst case of the load balancer.
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id % 10 / 9).expect("two VMs"), id, call);
        fleet.run(9);
    }
    fleet.run(2_000);
    let arrivals: usize = fleet.arrivals.values().map(Vec::len).sum();
    let retries = arrivals - 1_000;
    assert!(retries <= 200 + 58, "{retries} retries of 1000 requests within ten seconds");
    assert!(retries >= 190, "only {retries} retries, although the budget allows more");
}

#[test]
fn failures_of_one_upstream_are_retried() {
    let mut fleet = Fleet::new(9, Tuning::default(), 6);
    set_up(&mut fleet, "desk", 3);
    fleet.upstream_behavior = Box::new(|upstream, _, _| {
        let outcome =
            if **upstream == *"desk-1" { AttemptOutcome::Failed(500) } else { AttemptOutcome::Complete };
        Behavior { runs: true, outcome, work_ms: 5 }
    });
    let route = route("desk", Kind::Idempotent, 2);
    for id in 0..200 {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id).expect("few") % 9, id, call);
        fleet.run(50);
    }
    fleet.run(2_000);
    for (id, reply) in &fleet.replies {
        assert_eq!(*reply, Some(Reply::ForwardResponse), "call {id}");
        assert_ne!(
            fleet.path_of(*id).last().map(ToString::to_string).as_deref(),
            Some("desk-1"),
            "call {id}"
        );
    }
}

#[test]
fn window_slides() {
    let mut budget = RetryBudget::default();
    for ms in 0..10 {
        budget.record_request(Time(ms), 10_000);
    }
    assert!(budget.try_spend(Time(20), 10_000, 0.1, 0.0), "a tenth of ten requests should allow one retry");
    assert!(
        !budget.try_spend(Time(21), 10_000, 0.1, 0.0),
        "a tenth of ten requests should allow no second retry"
    );
    assert!(
        !budget.try_spend(Time(11_000), 10_000, 0.1, 0.0),
        "requests outside the window should allow no retry"
    );
}
