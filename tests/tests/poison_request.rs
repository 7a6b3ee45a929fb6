//! A request that crashes each upstream that runs it is found by the whole fleet and refused.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use jujubedoor::ids::Fingerprint;
use jujubedoor_config::Name;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// Calls from this number on crash the upstream that runs them.
const POISON: u64 = 10_000;

/// Sends the poisoned call to one VM after another among calm calls, and returns how often it ran.
fn spread(vms: usize) -> (Fleet, usize) {
    let mut fleet = Fleet::new(vms, Tuning::default(), 3);
    set_up(&mut fleet, "desk", 4);
    fleet.run(2_000);
    let down: Rc<RefCell<HashSet<Name>>> = Rc::default();
    let gone = down.clone();
    fleet.reachable = Box::new(move |_, upstream| !gone.borrow().contains(upstream));
    fleet.behave = Box::new(move |upstream, id, _| {
        if id >= POISON {
            down.borrow_mut().insert(upstream.clone());
            return Behaviour { runs: true, ended: AttemptOutcome::ConnectionLost, work_ms: 5 };
        }
        if down.borrow_mut().remove(upstream) {
            return Behaviour { runs: false, ended: AttemptOutcome::Unreachable, work_ms: 1 };
        }
        Behaviour { runs: true, ended: AttemptOutcome::Complete, work_ms: 5 }
    });
    let route = route("desk", Kind::NonIdempotent, 1);
    let vm_count = u64::try_from(vms).expect("few");
    for round in 0..20 {
        let mut poison = call(&route, fleet.now, 1_500, 1, 0);
        poison.fingerprint = Fingerprint(77);
        fleet.call(usize::try_from(round % vm_count).expect("few"), POISON + round, poison);
        for n in 0..40 {
            let id = round * 100 + n;
            let calm = call(&route, fleet.now, 1_500, id + 500, 0);
            fleet.call(usize::try_from(id % vm_count).expect("few"), id, calm);
            fleet.run(20);
        }
    }
    fleet.run(2_000);
    let ran = fleet.runs.keys().filter(|id| **id >= POISON).count();
    (fleet, ran)
}

#[test]
fn fleet_refuses_it() {
    for vms in [4, 9] {
        let (fleet, ran) = spread(vms);
        assert!((2..=5).contains(&ran), "{vms} VMs: it ran {ran} times");
        let last = fleet.replies.get(&(POISON + 19)).copied().flatten();
        let Some(Reply::Rejected(refusal)) = last else { panic!("{vms} VMs: it is still sent: {last:?}") };
        assert_eq!(refusal.reason, RejectReason::SuspectedCrash);
    }
}

#[test]
fn relays_pass_it_on() {
    let (_, ran) = spread(20);
    assert!((2..=5).contains(&ran), "it ran {ran} times");
}

#[test]
fn others_are_served() {
    let (fleet, _) = spread(9);
    let refused =
        |r: &Option<Reply>| matches!(r, Some(Reply::Rejected(r)) if r.reason == RejectReason::SuspectedCrash);
    let wrong = fleet.replies.iter().filter(|(id, reply)| **id < POISON && refused(reply)).count();
    assert_eq!(wrong, 0, "calls that shared an upstream with it");
}
