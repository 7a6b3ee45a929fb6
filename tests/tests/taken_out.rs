//! Upstreams that leave, failure domains that are taken out, and addresses that change hands.

use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

const ALL: [usize; 4] = [0, 1, 2, 3];

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(4, Tuning::default(), 3);
    set_up(&mut fleet, "desk", 3);
    fleet
}

fn serve(fleet: &mut Fleet, calls: u64) {
    let route = route("desk", Kind::Idempotent, 2);
    let first = u64::try_from(fleet.replies.len()).expect("few");
    for id in first..first + calls {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id % 4).expect("few"), id, call);
        fleet.run(10);
    }
}

fn arrivals_after(fleet: &Fleet, upstream: &str, at: u64) -> usize {
    fleet.arrivals.get(upstream).map_or(0, |a| a.iter().filter(|(t, _)| *t > at + 5).count())
}

#[test]
fn draining_gets_nothing() {
    let mut fleet = fleet();
    serve(&mut fleet, 40);
    let mut leaving = registration("desk", 1);
    leaving.draining = true;
    fleet.publish(&Change::Registered("desk-1".into(), leaving), &ALL);
    let at = fleet.now;
    serve(&mut fleet, 100);
    assert_eq!(arrivals_after(&fleet, "desk-1", at), 0);
}

#[test]
fn evacuated_gets_nothing() {
    let mut fleet = fleet();
    serve(&mut fleet, 40);
    fleet.publish(&Change::Evacuated("domain-1".into()), &ALL);
    let at = fleet.now;
    serve(&mut fleet, 100);
    assert_eq!(arrivals_after(&fleet, "desk-1", at), 0);
    fleet.publish(&Change::Restored("domain-1".into()), &ALL);
    let at = fleet.now;
    serve(&mut fleet, 100);
    assert!(arrivals_after(&fleet, "desk-1", at) > 0, "it serves again once it is back");
}

#[test]
fn evacuation_reaches_waiting() {
    let mut fleet = fleet();
    fleet.publish(&Change::Evacuated("domain-0".into()), &ALL);
    fleet.publish(&Change::Evacuated("domain-1".into()), &ALL);
    fleet.publish(&Change::Evacuated("domain-2".into()), &ALL);
    let at = fleet.now;
    serve(&mut fleet, 4);
    for reply in fleet.replies.values() {
        let Some(Reply::Rejected(refusal)) = reply else { panic!("refused at once, but: {reply:?}") };
        assert_eq!(refusal.reason, RejectReason::NoUpstream);
    }
    for upstream in ["desk-0", "desk-1", "desk-2"] {
        assert_eq!(arrivals_after(&fleet, upstream, at), 0);
    }
}

#[test]
fn lapse_is_no_leaving() {
    let mut fleet = fleet();
    for vm in ALL {
        fleet.event(vm, Event::RegistryUnreachable);
    }
    fleet.run(3_000);
    // All registrations ended while the registry was away; one upstream registers again.
    for upstream in 0..3 {
        fleet.publish(&Change::Unregistered(Name::from(format!("desk-{upstream}"))), &ALL);
    }
    serve(&mut fleet, 40);
    assert!(fleet.replies.values().all(|r| *r != Some(Reply::OutcomeUnknown)));
    let refused = fleet.replies.values().filter(|r| matches!(r, Some(Reply::Rejected(_)))).count();
    assert_eq!(refused, 0, "they are used although their registrations ended");
    fleet.publish(&Change::Registered("desk-0".into(), registration("desk", 0)), &ALL);
    fleet.run(3_000);
    let at = fleet.now;
    serve(&mut fleet, 40);
    assert_eq!(arrivals_after(&fleet, "desk-1", at) + arrivals_after(&fleet, "desk-2", at), 0);
    assert!(arrivals_after(&fleet, "desk-0", at) > 0);
}

#[test]
fn leaving_is_at_once() {
    let mut fleet = fleet();
    serve(&mut fleet, 10);
    fleet.publish(&Change::Unregistered("desk-2".into()), &ALL);
    let at = fleet.now;
    serve(&mut fleet, 50);
    assert_eq!(arrivals_after(&fleet, "desk-2", at), 0);
}

#[test]
fn wrong_upstream_is_left() {
    let mut fleet = fleet();
    fleet.behave = Box::new(|upstream, _, _| {
        let wrong = **upstream == *"desk-0";
        let ended = if wrong { AttemptOutcome::WrongUpstream } else { AttemptOutcome::Complete };
        Behaviour { runs: !wrong, ended, work_ms: 5 }
    });
    serve(&mut fleet, 100);
    fleet.run(2_000);
    assert!(
        fleet.replies.values().all(|r| *r == Some(Reply::ForwardResponse)),
        "all are served by the others"
    );
    let asked = fleet.arrivals.get("desk-0").map_or(0, Vec::len);
    assert!(asked <= 8, "{asked} requests reached an upstream that gave its address to another");
}

#[test]
fn restart_counts_as_cold() {
    let mut fleet = Fleet::new(4, Tuning::default(), 8);
    set_up(&mut fleet, "llm", 2);
    let mut again = registration("llm", 0);
    again.started = 2;
    again.cold_ms = 2_500;
    fleet.publish(&Change::Registered("llm-0".into(), again), &ALL);
    let state = fleet.vms[1].as_ref().expect("up");
    assert!(state.upstreams["llm-0"].is_cold(state.now));
    assert!(!state.upstreams["llm-1"].is_cold(state.now));
}
