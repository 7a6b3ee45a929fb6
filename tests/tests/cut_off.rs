//! A failure domain is cut off from the registry and from the other domains, but callers still reach its VMs.
//!
//! Every request that such a VM sends over a pooled connection into another domain is lost, and may not
//! be retried. The VM must notice this after a few requests. It must report that it is not ready if its
//! domain cannot serve all services, and stay ready if it can. Outages that only look similar, of the
//! registry or of the other VMs, must not have these consequences.

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
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::set_up;

/// The VMs in the isolated domain, of nine VMs in three domains.
const ISOLATED_VMS: [usize; 3] = [1, 4, 7];

fn is_in_isolated_domain(vm: usize) -> bool {
    vm % 3 == 1
}

/// Returns the number of an upstream. Upstreams are assigned to the domains in turn, like VMs.
fn upstream_number(id: &Name) -> usize {
    id.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number")
}

/// Cuts the domain off from the registry, from the VMs of other domains and from their upstreams.
fn isolate_domain(fleet: &mut Fleet) {
    fleet.linked = Box::new(|from, to| is_in_isolated_domain(from) == is_in_isolated_domain(to));
    fleet.upstream_behavior = Box::new(|upstream, _, _| {
        let outcome = if is_in_isolated_domain(upstream_number(upstream)) {
            AttemptOutcome::Complete
        } else {
            AttemptOutcome::Unreachable
        };
        Behavior { runs: is_in_isolated_domain(upstream_number(upstream)), outcome, work_ms: 30 }
    });
    for vm in ISOLATED_VMS {
        fleet.send_event(vm, Event::RegistryUnreachable);
    }
}

fn state(fleet: &Fleet, vm: usize) -> &State {
    fleet.vms[vm].as_ref().expect("the VM is up")
}

/// Returns the VM in the isolated domain to which a call is sent.
fn vm_of(call: u64) -> usize {
    ISOLATED_VMS[usize::try_from(call % 3).expect("small")]
}

/// Sends calls to the VMs in the isolated domain, one every 20 ms.
fn send_calls(fleet: &mut Fleet, service: &str) {
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
    // The only upstream is in the first domain.
    set_up(&mut fleet, "desk", 1);
    fleet.run(3_000);
    assert!((0..9).all(|vm| state(&fleet, vm).is_ready()));
    isolate_domain(&mut fleet);
    send_calls(&mut fleet, "desk");
    for vm in 0..9 {
        assert_eq!(state(&fleet, vm).is_ready(), !is_in_isolated_domain(vm), "VM {vm}");
    }
}

#[test]
fn domain_with_upstreams_serves() {
    let mut fleet = Fleet::new(9, Tuning::default(), 2);
    set_up(&mut fleet, "desk", 3);
    fleet.run(3_000);
    isolate_domain(&mut fleet);
    send_calls(&mut fleet, "desk");
    assert!((0..9).all(|vm| state(&fleet, vm).is_ready()));
}

/// Returns the number of requests that were sent to upstreams in other domains.
fn remote_arrivals(fleet: &Fleet) -> usize {
    let remote = fleet.arrivals.iter().filter(|(id, _)| !is_in_isolated_domain(upstream_number(id)));
    remote.map(|(_, arrivals)| arrivals.len()).sum()
}

/// Publishes twenty upstreams, none of them in the domain that will be isolated.
fn set_up_other_domains(fleet: &mut Fleet) {
    set_up(fleet, "desk", 1);
    for upstream in (2..30).filter(|n| !is_in_isolated_domain(*n)) {
        let id = Name::from(format!("desk-{upstream}"));
        fleet.publish(&Change::Registered(id, registration("desk", upstream % 3)), &[]);
    }
    fleet.load_directory(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

/// Simulates pooled connections into other domains that were opened before the isolation.
///
/// Requests to an upstream there end with `outcome` after `work_ms`, until the VM tries to open a new
/// connection to that upstream. This attempt fails, and the pooled connections are closed.
fn simulate_pooled_connections(fleet: &mut Fleet, outcome: AttemptOutcome, work_ms: u64) {
    let reconnected: Rc<RefCell<HashSet<(usize, Name)>>> = Rc::default();
    let reconnects = reconnected.clone();
    fleet.reachable = Box::new(move |vm, id| {
        reconnects.borrow_mut().insert((vm, id.clone()));
        is_in_isolated_domain(vm) == is_in_isolated_domain(upstream_number(id))
    });
    fleet.upstream_behavior = Box::new(move |id, call, _| {
        if is_in_isolated_domain(upstream_number(id)) {
            return Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 30 };
        }
        let is_pool_closed = reconnected.borrow().contains(&(vm_of(call), id.clone()));
        let outcome = if is_pool_closed { AttemptOutcome::Unreachable } else { outcome };
        Behavior { runs: false, outcome, work_ms: if is_pool_closed { 2 } else { work_ms } }
    });
}

#[test]
fn reset_connections_lose_few_requests() {
    let mut fleet = Fleet::new(9, Tuning::default(), 5);
    set_up_other_domains(&mut fleet);
    fleet.run(3_000);
    isolate_domain(&mut fleet);
    // A pooled connection is reset only when a request is sent over it, so the VM cannot know whether the
    // request arrived.
    simulate_pooled_connections(&mut fleet, AttemptOutcome::ConnectionLost, 2);
    send_calls(&mut fleet, "desk");
    // Each of the three VMs may lose three requests in each of the two other domains.
    assert!(remote_arrivals(&fleet) <= 18, "{} requests were lost", remote_arrivals(&fleet));
}

#[test]
fn silent_domains_get_no_requests() {
    let mut fleet = Fleet::new(9, Tuning::default(), 6);
    set_up_other_domains(&mut fleet);
    fleet.run(3_000);
    isolate_domain(&mut fleet);
    simulate_pooled_connections(&mut fleet, AttemptOutcome::NoResponse, 1_400);
    fleet.run(1_000);
    send_calls(&mut fleet, "desk");
    assert_eq!(remote_arrivals(&fleet), 0, "silent domains should get no requests");
}

#[test]
fn killed_vms_lose_no_requests() {
    let mut fleet = Fleet::new(9, Tuning::default(), 7);
    set_up(&mut fleet, "desk", 12);
    fleet.run(3_000);
    for vm in [0, 3, 6] {
        fleet.kill(vm);
    }
    fleet.run(1_000);
    send_calls(&mut fleet, "desk");
    fleet.run(200);
    let probed = fleet.events.iter().any(|(_, event)| *event == "domain_doubted");
    assert!(probed, "a domain without heartbeats should be probed");
    let state = state(&fleet, 1);
    assert!(
        state.upstreams.values().all(|u| u.is_reachable(state.now)),
        "upstreams that are reachable should remain in use"
    );
    assert!(fleet.replies.values().all(|r| *r == Some(Reply::ForwardResponse)));
}

#[test]
fn registry_outage_is_not_isolation() {
    for vms in [9, 60] {
        let mut fleet = Fleet::new(vms, Tuning::default(), 3);
        set_up(&mut fleet, "desk", 1);
        fleet.run(4_000);
        (0..vms).for_each(|vm| fleet.send_event(vm, Event::RegistryUnreachable));
        fleet.run(2_000);
        assert!((0..vms).all(|vm| !state(&fleet, vm).is_isolated()), "{vms} VMs");
    }
}

#[test]
fn retry_time_depends_on_isolation() {
    let mut fleet = Fleet::new(9, Tuning::default(), 4);
    (0..9).for_each(|vm| fleet.kill(vm));
    fleet.linked = Box::new(|from, to| is_in_isolated_domain(from) == is_in_isolated_domain(to));
    (0..9).for_each(|vm| fleet.start(vm));
    (0..9).for_each(|vm| fleet.send_event(vm, Event::RegistryUnreachable));
    fleet.run(500);
    for vm in 0..9 {
        let remaining_ms = 12_000;
        let rejection = fleet.vms[vm].as_mut().expect("the VM is up").reject_not_ready(remaining_ms);
        if is_in_isolated_domain(vm) {
            assert!(
                rejection.retry_after_ms <= 1_500,
                "VM {vm}: the caller should retry soon, since other VMs may serve it"
            );
        } else {
            assert_eq!(
                rejection.retry_after_ms,
                remaining_ms / 3,
                "VM {vm}: the caller should retry late, since no VM can serve it"
            );
        }
    }
}

/// Starts a fleet with relays and many upstreams. Domain 1 loses power: its VMs stop, and requests to its
/// upstreams get no response over pooled connections. New connections, which a VM opens once it has probed an
/// upstream, fail.
fn lose_domain_of_large_fleet() -> Fleet {
    let mut fleet = Fleet::new(60, Tuning::default(), 14);
    set_up(&mut fleet, "desk", 150);
    fleet.run(5_000);
    for vm in (0..60).filter(|vm| is_in_isolated_domain(*vm)) {
        fleet.kill(vm);
    }
    let probed: Rc<RefCell<HashSet<Name>>> = Rc::default();
    let newly_probed = probed.clone();
    fleet.upstream_behavior = Box::new(move |upstream, _, _| {
        if probed.borrow().contains(upstream) {
            Behavior { runs: false, outcome: AttemptOutcome::Unreachable, work_ms: 400 }
        } else if is_in_isolated_domain(upstream_number(upstream)) {
            Behavior { runs: false, outcome: AttemptOutcome::NoResponse, work_ms: 2_400 }
        } else {
            Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 2_000 }
        }
    });
    fleet.reachable = Box::new(move |_, upstream| {
        let is_lost = is_in_isolated_domain(upstream_number(upstream));
        if is_lost {
            newly_probed.borrow_mut().insert(upstream.clone());
        }
        !is_lost
    });
    fleet
}

/// Sends calls to the VMs of one of the other domains, one every 20 ms. They take so long that the upstreams
/// of one domain are not enough.
fn send_calls_to_others(fleet: &mut Fleet, first: u64, calls: u64) {
    let route = route("desk", Kind::NonIdempotent, 1);
    for id in first..first + calls {
        let vm = usize::try_from(id % 20).expect("small") * 3;
        let call = call(&route, fleet.now, 3_000, id, 0);
        fleet.call(vm, id, call);
        fleet.run(20);
    }
}

/// Returns the number of requests that reached upstreams of the lost domain.
fn arrivals_in_lost_domain(fleet: &Fleet) -> usize {
    let lost = fleet.arrivals.iter().filter(|(id, _)| is_in_isolated_domain(upstream_number(id)));
    lost.map(|(_, arrivals)| arrivals.len()).sum()
}

/// Each VM of a large fleet has few requests, and would find out about the domain only with some of them.
#[test]
fn relays_report_lost_domain() {
    let mut fleet = lose_domain_of_large_fleet();
    fleet.run(1_500);
    send_calls_to_others(&mut fleet, 0, 400);
    let lost = arrivals_in_lost_domain(&fleet);
    assert_eq!(lost, 0, "{lost} of 400 requests were sent into a domain without power");
}

#[test]
fn probes_are_few() {
    let mut fleet = lose_domain_of_large_fleet();
    fleet.probes.clear();
    send_calls_to_others(&mut fleet, 0, 100);
    let most = fleet.probes.values().max().copied().unwrap_or_default();
    assert!(most <= 3 * 16, "a VM opened {most} probe connections in two seconds");
}

#[test]
fn returned_domain_is_used() {
    let mut fleet = lose_domain_of_large_fleet();
    fleet.run(3_000);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 4_000 });
    fleet.reachable = Box::new(|_, _| true);
    for vm in (0..60).filter(|vm| is_in_isolated_domain(*vm)) {
        fleet.start(vm);
        fleet.load_directory(&[vm]);
    }
    fleet.run(2_500);
    send_calls_to_others(&mut fleet, 0, 300);
    let used: HashSet<usize> =
        fleet.arrivals.keys().map(upstream_number).filter(|number| is_in_isolated_domain(*number)).collect();
    assert!(used.len() > 25, "only {} of 50 upstreams of the domain are used again", used.len());
}
