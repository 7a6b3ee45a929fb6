//! A failure domain that is cut off from the registry and from all others, while callers still reach its VMs.

use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::event::Ended;
use jujubedoor_routing::event::Reply;
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

/// Returns the number of an upstream; they stand in the domains in turn.
fn number(id: &Name) -> usize {
    id.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number")
}

/// Cuts the domain off; the registry refuses its VMs.
fn cut(fleet: &mut Fleet) {
    fleet.linked = Box::new(|from, to| is_cut(from) == is_cut(to));
    fleet.behave = Box::new(|upstream, _, _| {
        let ended = if is_cut(number(upstream)) { Ended::Whole } else { Ended::Unreachable };
        Behaviour { runs: is_cut(number(upstream)), ended, work_ms: 30 }
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

/// Counts the calls that were handed to an upstream beyond the cut.
fn handed_over(fleet: &Fleet) -> usize {
    let beyond = fleet.arrivals.iter().filter(|(id, _)| !is_cut(number(id)));
    beyond.map(|(_, arrivals)| arrivals.len()).sum()
}

#[test]
fn reset_connections_cost_few() {
    let mut fleet = Fleet::new(9, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 12);
    fleet.run(3_000);
    cut(&mut fleet);
    // Kept connections break only once something is sent, and nothing tells whether it arrived.
    fleet.behave = Box::new(|id, _, _| {
        let ended = if is_cut(number(id)) { Ended::Whole } else { Ended::Broken };
        Behaviour { runs: is_cut(number(id)), ended, work_ms: 30 }
    });
    fleet.reachable = Box::new(|id| is_cut(number(id)));
    send(&mut fleet, "desk");
    // Each of three VMs loses up to three requests in each of two domains.
    assert!(handed_over(&fleet) <= 18, "{} requests were lost", handed_over(&fleet));
}

#[test]
fn silence_tells_of_cut() {
    let mut fleet = Fleet::new(9, Tuning::default(), 6);
    set_up(&mut fleet, "desk", 12);
    fleet.run(3_000);
    cut(&mut fleet);
    // What is sent beyond the cut ends nowhere.
    fleet.behave = Box::new(|id, _, _| {
        let ended = if is_cut(number(id)) { Ended::Whole } else { Ended::Silent };
        Behaviour { runs: is_cut(number(id)), ended, work_ms: if is_cut(number(id)) { 30 } else { 1_400 } }
    });
    fleet.reachable = Box::new(|id| is_cut(number(id)));
    fleet.run(1_000);
    let before = handed_over(&fleet);
    send(&mut fleet, "desk");
    assert_eq!(handed_over(&fleet), before, "the silent domains are known");
}

#[test]
fn lost_vms_cost_nothing() {
    let mut fleet = Fleet::new(9, Tuning::default(), 7);
    set_up(&mut fleet, "desk", 12);
    fleet.run(3_000);
    for vm in [0, 3, 6] {
        fleet.kill(vm);
    }
    fleet.run(1_000);
    send(&mut fleet, "desk");
    let tried = fleet.notes.iter().any(|(_, what)| *what == "domain_doubted");
    assert!(tried, "their domain is silent");
    let state = state(&fleet, 1);
    assert!(state.upstreams.values().all(|u| u.is_reachable(state.now)), "its upstreams are still used");
    assert!(fleet.replies.values().all(|r| *r == Some(Reply::Deliver)));
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
