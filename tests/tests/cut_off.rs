//! A failure domain that is cut off from the registry and from all others, while callers still reach its VMs.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
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
        let ended =
            if is_cut(number(upstream)) { AttemptOutcome::Complete } else { AttemptOutcome::Unreachable };
        Behaviour { runs: is_cut(number(upstream)), ended, work_ms: 30 }
    });
    for vm in CUT {
        fleet.event(vm, Event::RegistryUnreachable);
    }
}

fn state(fleet: &Fleet, vm: usize) -> &State {
    fleet.vms[vm].as_ref().expect("it is up")
}

/// Returns the VM that is cut off to which a call is sent.
fn vm_of(call: u64) -> usize {
    CUT[usize::try_from(call % 3).expect("small")]
}

/// Sends calls to the VMs that are cut off for a while.
fn send(fleet: &mut Fleet, service: &str) {
    let route = route(service, Kind::NonIdempotent, 1);
    for id in 0..120 {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(vm_of(id), id, call);
        fleet.run(20);
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

/// Publishes twenty upstreams, none of them in the domain that will be cut off.
fn set_up_elsewhere(fleet: &mut Fleet) {
    set_up(fleet, "desk", 1);
    for upstream in (2..30).filter(|n| !is_cut(*n)) {
        let id = Name::from(format!("desk-{upstream}"));
        fleet.publish(&Change::Registered(id, registration("desk", upstream % 3)), &[]);
    }
    fleet.read_registry(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

/// Lets requests beyond the cut end in a way as long as their VM has connections from before the cut; those are
/// closed when a new one is tried.
fn break_kept(fleet: &mut Fleet, ended: AttemptOutcome, work_ms: u64) {
    let tried: Rc<RefCell<HashSet<(usize, Name)>>> = Rc::default();
    let known = tried.clone();
    fleet.reachable = Box::new(move |vm, id| {
        known.borrow_mut().insert((vm, id.clone()));
        is_cut(vm) == is_cut(number(id))
    });
    fleet.behave = Box::new(move |id, call, _| {
        if is_cut(number(id)) {
            return Behaviour { runs: true, ended: AttemptOutcome::Complete, work_ms: 30 };
        }
        let is_new = tried.borrow().contains(&(vm_of(call), id.clone()));
        let ended = if is_new { AttemptOutcome::Unreachable } else { ended };
        Behaviour { runs: false, ended, work_ms: if is_new { 2 } else { work_ms } }
    });
}

#[test]
fn reset_connections_cost_few() {
    let mut fleet = Fleet::new(9, Tuning::default(), 5);
    set_up_elsewhere(&mut fleet);
    fleet.run(3_000);
    cut(&mut fleet);
    // They break only once something is sent, and nothing tells whether it arrived.
    break_kept(&mut fleet, AttemptOutcome::ConnectionLost, 2);
    send(&mut fleet, "desk");
    // Each of three VMs loses up to three requests in each of two domains.
    assert!(handed_over(&fleet) <= 18, "{} requests were lost", handed_over(&fleet));
}

#[test]
fn silence_tells_of_cut() {
    let mut fleet = Fleet::new(9, Tuning::default(), 6);
    set_up_elsewhere(&mut fleet);
    fleet.run(3_000);
    cut(&mut fleet);
    break_kept(&mut fleet, AttemptOutcome::NoResponse, 1_400);
    fleet.run(1_000);
    send(&mut fleet, "desk");
    assert_eq!(handed_over(&fleet), 0, "the silent domains are known");
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
    fleet.run(200);
    let tried = fleet.notes.iter().any(|(_, what)| *what == "domain_doubted");
    assert!(tried, "their domain is silent");
    let state = state(&fleet, 1);
    assert!(state.upstreams.values().all(|u| u.is_reachable(state.now)), "its upstreams are still used");
    assert!(fleet.replies.values().all(|r| *r == Some(Reply::ForwardResponse)));
}

#[test]
fn outage_alone_is_no_cut() {
    for vms in [9, 60] {
        let mut fleet = Fleet::new(vms, Tuning::default(), 3);
        set_up(&mut fleet, "desk", 1);
        fleet.run(4_000);
        (0..vms).for_each(|vm| fleet.event(vm, Event::RegistryUnreachable));
        fleet.run(2_000);
        assert!((0..vms).all(|vm| !state(&fleet, vm).is_isolated()), "{vms} VMs");
    }
}

#[test]
fn callers_are_sent_elsewhere() {
    let mut fleet = Fleet::new(9, Tuning::default(), 4);
    (0..9).for_each(|vm| fleet.kill(vm));
    fleet.linked = Box::new(|from, to| is_cut(from) == is_cut(to));
    (0..9).for_each(|vm| fleet.start(vm));
    (0..9).for_each(|vm| fleet.event(vm, Event::RegistryUnreachable));
    fleet.run(500);
    for vm in 0..9 {
        let left_ms = 12_000;
        let refusal = fleet.vms[vm].as_mut().expect("it is up").reject_not_ready(left_ms);
        if is_cut(vm) {
            assert!(refusal.retry_after_ms <= 1_500, "VM {vm}: others may serve the caller soon");
        } else {
            assert_eq!(refusal.retry_after_ms, left_ms / 3, "VM {vm}: no VM can serve the caller");
        }
    }
}
