//! Several requests about one new subject at once: its long part is read once, and the others wait for that.

use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// The subject that all calls are about.
const SUBJECT: u64 = 7;

/// The tokens of the subject's part.
const TOKENS: u32 = 8_000;

/// Returns a fleet of six VMs before four engines that read a prompt for a time.
fn fleet(reads_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(6, Tuning::default(), 1);
    set_up(&mut fleet, "llm", 4);
    fleet.run(2_000);
    fleet.reads_ms = reads_ms;
    fleet
}

/// Sends a call about the subject to each VM, a few milliseconds apart.
fn send_burst(fleet: &mut Fleet) {
    let route = route("llm", Kind::Streaming, 1);
    for vm in 0..6 {
        let call = call(&route, fleet.now, 5_000, SUBJECT, TOKENS);
        fleet.call(vm, vm as u64, call);
        fleet.run(5);
    }
}

fn arrived(fleet: &Fleet) -> usize {
    fleet.arrivals.values().map(Vec::len).sum()
}

fn served(fleet: &Fleet) -> usize {
    fleet.replies.values().filter(|r| **r == Some(Reply::ForwardResponse)).count()
}

#[test]
fn burst_is_read_once() {
    let mut fleet = fleet(150);
    send_burst(&mut fleet);
    fleet.run(100);
    assert_eq!(arrived(&fleet), 1, "the others wait at their VMs");
    fleet.run(100);
    assert_eq!(arrived(&fleet), 6, "they follow as soon as it has been read");
    fleet.run(1_000);
    assert_eq!(served(&fleet), 6);
    let homes = fleet.arrivals.values().filter(|a| !a.is_empty()).count();
    assert_eq!(homes, 1, "where it has been read");
}

#[test]
fn wait_is_limited() {
    let mut fleet = fleet(3_000);
    send_burst(&mut fleet);
    // Half of the latency target of 500 ms, and a tick.
    fleet.run(300);
    assert_eq!(arrived(&fleet), 6);
}

#[test]
fn short_time_is_not_waited_away() {
    let mut fleet = fleet(150);
    let route = route("llm", Kind::Streaming, 1);
    let first = call(&route, fleet.now, 5_000, SUBJECT, TOKENS);
    fleet.call(0, 0, first);
    // It has less time left than the part may take to be read.
    let hurried = call(&route, fleet.now, 100, SUBJECT, TOKENS);
    fleet.call(0, 1, hurried);
    fleet.run(100);
    assert_eq!(arrived(&fleet), 2);
}

#[test]
fn lost_reader_holds_nobody() {
    let mut fleet = fleet(150);
    fleet.behave = Box::new(|_, call, _| {
        let ended = if call == 0 { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Complete };
        Behaviour { runs: call != 0, ended, work_ms: 10 }
    });
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..2 {
        let call = call(&route, fleet.now, 5_000, SUBJECT, TOKENS);
        fleet.call(0, id, call);
    }
    fleet.run(200);
    assert_eq!(arrived(&fleet), 2, "the second is read in place of the first");
    fleet.run(400);
    assert_eq!(fleet.replies[&1], Some(Reply::ForwardResponse));
}

#[test]
fn read_subject_holds_nobody() {
    let mut fleet = fleet(150);
    send_burst(&mut fleet);
    fleet.run(2_000);
    let before = arrived(&fleet);
    send_burst(&mut fleet);
    fleet.run(5);
    assert_eq!(arrived(&fleet), before + 6);
}

#[test]
fn source_has_read() {
    let mut fleet = fleet(150);
    let route = route("llm", Kind::Streaming, 1);
    let first = call(&route, fleet.now, 5_000, SUBJECT, TOKENS);
    fleet.call(0, 0, first.clone());
    fleet.run(20);
    let home = fleet.arrivals.keys().next().expect("it arrived").clone();
    let other = Name::from(if *home == *"llm-0" { "llm-1" } else { "llm-0" });
    let source = |fleet: &Fleet| {
        let state = fleet.vms[0].as_ref().expect("it is up");
        jujubedoor_routing::placement::cache_source(state, &first, &other).map(|(id, _)| id)
    };
    assert_eq!(source(&fleet), None, "an engine that is still reading has nothing to give");
    fleet.run(300);
    assert_eq!(source(&fleet), Some(home));
}
