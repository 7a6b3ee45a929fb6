//! A failure domain that is cut off from the registry and from all others, while callers still reach its VMs.

use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::Ended;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// The VMs of the domain that is cut off, of nine in three domains.
const CUT: [usize; 3] = [1, 4, 7];

fn is_cut(vm: usize) -> bool {
    vm % 3 == 1
}

/// Cuts the domain off; the registry refuses its VMs.
fn cut(fleet: &mut Fleet) {
    fleet.linked = Box::new(|from, to| is_cut(from) == is_cut(to));
    fleet.behave = Box::new(|upstream, _, _| {
        // Upstreams stand in the domains in turn, so that the number tells the domain.
        let number: usize = upstream.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number");
        let ended = if is_cut(number) { Ended::Whole } else { Ended::Unreachable };
        Behaviour { runs: is_cut(number), ended, work_ms: 30 }
    });
    for vm in CUT {
        fleet.event(vm, Event::RegistryLost);
    }
}

fn state(fleet: &Fleet, vm: usize) -> &State {
    fleet.vms[vm].as_ref().expect("it is up")
}

/// Sends calls to the VMs that are cut off for a while.
fn send(fleet: &mut Fleet, service: &str) {
    let route = route(service, Kind::NonIdempotent, 1);
    for id in 0..60 {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(CUT[usize::try_from(id % 3).expect("small")], id, call);
        fleet.run(40);
    }
}

#[test]
fn domain_without_upstreams_is_unready() {
    let mut fleet = Fleet::new(9, Tuning::default(), 1);
    // One upstream, in the first domain.
    set_up(&mut fleet, "desk", 1);
    fleet.run(3_000);
    assert!((0..9).all(|vm| state(&fleet, vm).is_ready()));
    cut(&mut fleet);
    send(&mut fleet, "desk");
    for vm in 0..9 {
        assert_eq!(state(&fleet, vm).is_ready(), !is_cut(vm), "VM {vm}");
    }
}

#[test]
fn domain_with_upstreams_serves() {
    let mut fleet = Fleet::new(9, Tuning::default(), 2);
    set_up(&mut fleet, "desk", 3);
    fleet.run(3_000);
    cut(&mut fleet);
    send(&mut fleet, "desk");
    assert!((0..9).all(|vm| state(&fleet, vm).is_ready()));
}

#[test]
fn outage_alone_is_no_cut() {
    for vms in [9, 60] {
        let mut fleet = Fleet::new(vms, Tuning::default(), 3);
        set_up(&mut fleet, "desk", 1);
        fleet.run(4_000);
        (0..vms).for_each(|vm| fleet.event(vm, Event::RegistryLost));
        fleet.run(2_000);
        assert!((0..vms).all(|vm| !state(&fleet, vm).is_cut_off()), "{vms} VMs");
    }
}

#[test]
fn callers_are_sent_elsewhere() {
    let mut fleet = Fleet::new(9, Tuning::default(), 4);
    (0..9).for_each(|vm| fleet.kill(vm));
    fleet.linked = Box::new(|from, to| is_cut(from) == is_cut(to));
    (0..9).for_each(|vm| fleet.start(vm));
    (0..9).for_each(|vm| fleet.event(vm, Event::RegistryLost));
    fleet.run(500);
    for vm in 0..9 {
        let left_ms = 12_000;
        let refusal = fleet.vms[vm].as_mut().expect("it is up").refuse_unready(left_ms);
        if is_cut(vm) {
            assert!(refusal.retry_after_ms <= 1_500, "VM {vm}: others may serve the caller soon");
        } else {
            assert_eq!(refusal.retry_after_ms, left_ms / 3, "VM {vm}: no VM can serve the caller");
        }
    }
}
