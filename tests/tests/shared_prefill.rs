//! When several requests with the same new context arrive at once, its long part is prefilled only once.
//!
//! An engine shares a part only after its prefill has finished. If all requests were sent at once, each
//! would cause a prefill of the same part. The others therefore wait at their VMs, but not for too long,
//! not if their deadline is near, and not for a prefill that was lost or has already finished.

use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// The context that all calls share.
const CONTEXT: u64 = 7;

/// Number of tokens of the context.
const CONTEXT_TOKENS: u32 = 8_000;

/// Starts six VMs and four engines, each of which spends a time on the prefill of any prompt.
fn fleet(prefill_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(6, Tuning::default(), 1);
    set_up(&mut fleet, "llm", 4);
    fleet.run(2_000);
    fleet.prefill_ms = prefill_ms;
    fleet
}

/// Sends a call with the context to each VM, 5 ms apart.
fn send_burst(fleet: &mut Fleet) {
    let route = route("llm", Kind::Streaming, 1);
    for vm in 0..6 {
        let call = call(&route, fleet.now, 5_000, CONTEXT, CONTEXT_TOKENS);
        fleet.call(vm, vm as u64, call);
        fleet.run(5);
    }
}

fn arrival_count(fleet: &Fleet) -> usize {
    fleet.arrivals.values().map(Vec::len).sum()
}

fn served_count(fleet: &Fleet) -> usize {
    fleet.replies.values().filter(|r| **r == Some(Reply::ForwardResponse)).count()
}

#[test]
fn burst_is_prefilled_once() {
    let mut fleet = fleet(150);
    send_burst(&mut fleet);
    fleet.run(100);
    assert_eq!(arrival_count(&fleet), 1, "the other calls should wait at their VMs");
    fleet.run(100);
    assert_eq!(
        arrival_count(&fleet),
        6,
        "the other calls should be sent as soon as the prefill has finished"
    );
    fleet.run(1_000);
    assert_eq!(served_count(&fleet), 6);
    let engines = fleet.arrivals.values().filter(|a| !a.is_empty()).count();
    assert_eq!(engines, 1, "all calls should be sent to the engine that prefilled the context");
}

#[test]
fn wait_is_limited() {
    let mut fleet = fleet(3_000);
    send_burst(&mut fleet);
    // Half of the latency target of 500 ms, and one tick of 50 ms.
    fleet.run(300);
    assert_eq!(arrival_count(&fleet), 6);
}

#[test]
fn short_deadline_is_not_spent_waiting() {
    let mut fleet = fleet(150);
    let route = route("llm", Kind::Streaming, 1);
    let first = call(&route, fleet.now, 5_000, CONTEXT, CONTEXT_TOKENS);
    fleet.call(0, 0, first);
    // The remaining time is shorter than the prefill.
    let urgent = call(&route, fleet.now, 100, CONTEXT, CONTEXT_TOKENS);
    fleet.call(0, 1, urgent);
    fleet.run(100);
    assert_eq!(arrival_count(&fleet), 2);
}

#[test]
fn lost_prefill_is_repeated() {
    let mut fleet = fleet(150);
    fleet.upstream_behavior = Box::new(|_, call, _| {
        let outcome = if call == 0 { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Complete };
        Behavior { runs: call != 0, outcome, work_ms: 10 }
    });
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..2 {
        let call = call(&route, fleet.now, 5_000, CONTEXT, CONTEXT_TOKENS);
        fleet.call(0, id, call);
    }
    fleet.run(200);
    assert_eq!(arrival_count(&fleet), 2, "the second call should be sent after the first was lost");
    fleet.run(400);
    assert_eq!(fleet.replies[&1], Some(Reply::ForwardResponse));
}

#[test]
fn cached_context_delays_no_call() {
    let mut fleet = fleet(150);
    send_burst(&mut fleet);
    fleet.run(2_000);
    let before = arrival_count(&fleet);
    send_burst(&mut fleet);
    fleet.run(5);
    assert_eq!(arrival_count(&fleet), before + 6);
}

#[test]
fn cache_source_has_finished_prefill() {
    let mut fleet = fleet(150);
    let route = route("llm", Kind::Streaming, 1);
    let first = call(&route, fleet.now, 5_000, CONTEXT, CONTEXT_TOKENS);
    fleet.call(0, 0, first.clone());
    fleet.run(20);
    let engine = fleet.arrivals.keys().next().expect("the call arrived").clone();
    let other = Name::from(if *engine == *"llm-0" { "llm-1" } else { "llm-0" });
    let source = |fleet: &Fleet| {
        let state = fleet.vms[0].as_ref().expect("the VM is up");
        jujubedoor_routing::placement::cache_source(state, &first, &other).map(|(id, _)| id)
    };
    assert_eq!(source(&fleet), None, "no transfer should be possible before the prefill has finished");
    fleet.run(300);
    assert_eq!(source(&fleet), Some(engine));
}
