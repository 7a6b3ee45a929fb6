//! The registry is restored from an older copy, whose entries are older than what the VMs know.
//!
//! Until operators and upstreams have written their entries again, the VMs must not go back to the copy: an upstream
//! that left would get requests, one that came would be dropped, and an evacuated failure domain would be used.

use jujubedoor::ids::StoreRevision;
use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::routes::Kind;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::routes;
use jujubedoor_tests::router::set_up;

/// Sizes of the fleets: a full mesh, and one whose VMs exchange changes through relays.
const FLEETS: [usize; 2] = [4, 24];

fn all_vms(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.vms.len()).collect()
}

fn state(fleet: &Fleet, vm: usize) -> &State {
    fleet.vms[vm].as_ref().expect("the VM is up")
}

/// Starts a fleet with six upstreams of the service `desk`.
fn fleet(vms: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, Tuning::default(), seed);
    set_up(&mut fleet, "desk", 6);
    fleet.run(3_000);
    fleet
}

/// Publishes a change to the first VM, and waits until all know it.
fn publish(fleet: &mut Fleet, change: &Change) {
    fleet.publish(change, &[0]);
    fleet.run(600);
}

/// Restores the registry from a copy. The first VM reads it.
fn restore(fleet: &mut Fleet, copy: &jujubedoor_routing::Directory) {
    fleet.restore_registry(copy.clone());
    fleet.load_directory(&[0]);
}

/// Sends calls to all VMs in turn for a number of milliseconds, one every 10 ms.
fn send_calls(fleet: &mut Fleet, duration_ms: u64) {
    let route = route("desk", Kind::Idempotent, 2);
    let (vms, first) = (fleet.vms.len(), u64::try_from(fleet.replies.len()).expect("few"));
    for id in first..first + duration_ms / 10 {
        let call = call(&route, fleet.now, 1_500, id, 0);
        fleet.call(usize::try_from(id).expect("few") % vms, id, call);
        fleet.run(10);
    }
}

/// Returns the number of requests that reached an upstream after a time, except those already on their way.
fn arrivals_after(fleet: &Fleet, upstream: &str, since: u64) -> usize {
    let arrivals = fleet.arrivals.get(upstream).map(Vec::as_slice).unwrap_or_default();
    arrivals.iter().filter(|(at, _)| *at > since + 5).count()
}

/// The registration with which the first upstream announces that it leaves.
fn leaving() -> Change {
    Change::Registered(
        "desk-0".into(),
        Registration { draining: true, sequence: 2, ..registration("desk", 0) },
    )
}

#[test]
fn leaving_upstream_stays_leaving() {
    for vms in FLEETS {
        let mut fleet = fleet(vms, 1);
        let copy = fleet.directory.clone();
        publish(&mut fleet, &leaving());
        let changed_at = fleet.now;
        restore(&mut fleet, &copy);
        send_calls(&mut fleet, 3_000);
        assert_eq!(arrivals_after(&fleet, "desk-0", changed_at), 0, "{vms} VMs");
    }
}

#[test]
fn gone_upstream_stays_gone() {
    for vms in FLEETS {
        let mut fleet = fleet(vms, 2);
        let copy = fleet.directory.clone();
        publish(&mut fleet, &Change::Unregistered("desk-0".into()));
        let changed_at = fleet.now;
        restore(&mut fleet, &copy);
        send_calls(&mut fleet, 3_000);
        assert_eq!(arrivals_after(&fleet, "desk-0", changed_at), 0, "{vms} VMs");
    }
}

/// What the registry contains about other upstreams must not bring back one that left, whichever VM reads it and
/// however often.
#[test]
fn gone_upstream_stays_gone_with_all_reads() {
    let mut fleet = fleet(24, 3);
    let copy = fleet.directory.clone();
    publish(&mut fleet, &leaving());
    publish(&mut fleet, &Change::Unregistered("desk-0".into()));
    let changed_at = fleet.now;
    restore(&mut fleet, &copy);
    let vms = all_vms(&fleet);
    fleet.load_directory(&vms);
    send_calls(&mut fleet, 1_000);
    fleet.publish(&Change::Registered("desk-9".into(), registration("desk", 2)), &[]);
    fleet.load_directory(&vms);
    send_calls(&mut fleet, 1_000);
    let copy = fleet.directory.clone();
    restore(&mut fleet, &copy);
    send_calls(&mut fleet, 1_000);
    assert_eq!(arrivals_after(&fleet, "desk-0", changed_at), 0);
}

/// An upstream whose registration merely expired, and one that started again, are used when they register.
#[test]
fn returning_upstream_is_used() {
    for vms in FLEETS {
        let mut fleet = fleet(vms, 4);
        let copy = fleet.directory.clone();
        for upstream in ["desk-0", "desk-1"] {
            publish(&mut fleet, &Change::Unregistered(upstream.into()));
        }
        restore(&mut fleet, &copy);
        send_calls(&mut fleet, 1_000);
        let alive = Registration { sequence: 3, ..registration("desk", 0) };
        let restarted = Registration { started: 2, ..registration("desk", 1) };
        publish(&mut fleet, &Change::Registered("desk-0".into(), alive));
        publish(&mut fleet, &Change::Registered("desk-1".into(), restarted));
        let changed_at = fleet.now;
        send_calls(&mut fleet, 3_000);
        assert!(arrivals_after(&fleet, "desk-0", changed_at) > 0, "{vms} VMs");
        assert!(arrivals_after(&fleet, "desk-1", changed_at) > 0, "{vms} VMs");
    }
}

/// An upstream that registered after the copy was made registers again within two seconds.
#[test]
fn new_upstream_stays_in_use() {
    for vms in FLEETS {
        let mut fleet = Fleet::new(vms, Tuning::default(), 5);
        fleet.publish(&Change::Routes(routes(1)), &[]);
        fleet.load_directory(&[0]);
        fleet.run(3_000);
        let copy = fleet.directory.clone();
        publish(&mut fleet, &Change::Registered("desk-7".into(), registration("desk", 0)));
        restore(&mut fleet, &copy);
        send_calls(&mut fleet, 1_200);
        let again = Registration { sequence: 2, ..registration("desk", 0) };
        publish(&mut fleet, &Change::Registered("desk-7".into(), again));
        send_calls(&mut fleet, 2_000);
        fleet.run(2_000);
        let rejected = fleet.replies.values().filter(|r| !matches!(r, Some(Reply::ForwardResponse))).count();
        assert_eq!(rejected, 0, "{vms} VMs");
    }
}

/// If it does not register again, it counts as gone.
#[test]
fn missing_upstream_counts_as_gone() {
    let mut fleet = fleet(4, 6);
    let copy = fleet.directory.clone();
    publish(&mut fleet, &Change::Registered("desk-7".into(), registration("desk", 0)));
    restore(&mut fleet, &copy);
    fleet.run(2_500);
    let since = fleet.now;
    send_calls(&mut fleet, 2_000);
    assert_eq!(arrivals_after(&fleet, "desk-7", since), 0);
}

/// The copy names an earlier run of an upstream that has started again since. It did not crash now, and is as warm
/// as before.
#[test]
fn earlier_run_is_ignored() {
    let mut fleet = fleet(4, 7);
    let copy = fleet.directory.clone();
    let restarted = Registration { started: 2, ..registration("desk", 0) };
    publish(&mut fleet, &Change::Registered("desk-0".into(), restarted));
    restore(&mut fleet, &copy);
    fleet.run(500);
    for vm in all_vms(&fleet) {
        assert_eq!(state(&fleet, vm).upstreams["desk-0"].registration.started, 2, "VM {vm}");
    }
}

#[test]
fn evacuated_domain_stays_evacuated() {
    for vms in FLEETS {
        let mut fleet = fleet(vms, 8);
        let copy = fleet.directory.clone();
        publish(&mut fleet, &Change::Evacuated("domain-0".into()));
        let changed_at = fleet.now;
        restore(&mut fleet, &copy);
        send_calls(&mut fleet, 1_500);
        // The operators order it again, and take it back later.
        publish(&mut fleet, &Change::Evacuated("domain-0".into()));
        send_calls(&mut fleet, 15_000);
        assert_eq!(arrivals_after(&fleet, "desk-0", changed_at), 0, "{vms} VMs");
        publish(&mut fleet, &Change::Restored("domain-0".into()));
        let changed_at = fleet.now;
        send_calls(&mut fleet, 2_000);
        assert!(arrivals_after(&fleet, "desk-0", changed_at) > 0, "{vms} VMs");
    }
}

/// If the operators do not order it again, the evacuation was taken back while the registry was restored.
#[test]
fn forgotten_evacuation_ends() {
    let mut fleet = fleet(4, 9);
    let copy = fleet.directory.clone();
    publish(&mut fleet, &Change::Evacuated("domain-0".into()));
    restore(&mut fleet, &copy);
    fleet.run(15_000);
    let since = fleet.now;
    send_calls(&mut fleet, 3_000);
    assert!(arrivals_after(&fleet, "desk-0", since) > 0);
}

/// A VM that starts after the restore reads the copy, but the other VMs know better.
#[test]
fn starting_vm_asks_others() {
    for vms in FLEETS {
        let mut fleet = fleet(vms, 10);
        let copy = fleet.directory.clone();
        publish(&mut fleet, &Change::Routes(routes(7)));
        publish(&mut fleet, &leaving());
        publish(&mut fleet, &Change::Unregistered("desk-1".into()));
        publish(&mut fleet, &Change::Evacuated("domain-2".into()));
        restore(&mut fleet, &copy);
        fleet.run(500);
        fleet.start(vms - 1);
        fleet.load_directory(&[vms - 1]);
        fleet.run(800);
        let started = state(&fleet, vms - 1);
        assert_eq!(started.directory.routes.as_ref().map(|r| r.version), Some(7), "{vms} VMs");
        let since = fleet.now;
        send_calls(&mut fleet, 3_000);
        for upstream in ["desk-0", "desk-1", "desk-2", "desk-5"] {
            assert_eq!(arrivals_after(&fleet, upstream, since), 0, "{vms} VMs, {upstream}");
        }
    }
}

/// The registry is restored in an instant: no call of a VM fails meanwhile.
#[test]
fn unnoticed_restore_rejects_nothing() {
    let mut fleet = fleet(4, 11);
    let copy = Box::new(fleet.directory.clone());
    for upstream in 0..6 {
        let name = Name::from(format!("desk-{upstream}"));
        let again = Registration { sequence: 2, ..registration("desk", upstream % 3) };
        publish(&mut fleet, &Change::Registered(name, again));
    }
    restore(&mut fleet, &copy);
    let vms = all_vms(&fleet);
    fleet.load_directory(&vms);
    send_calls(&mut fleet, 2_000);
    fleet.run(2_000);
    assert!(fleet.replies.values().all(|reply| matches!(reply, Some(Reply::ForwardResponse))));
}

/// Registrations that expired in an outage may be missing in the copy, too. Their upstreams stay in use until they have
/// had time to register again.
#[test]
fn expired_upstreams_stay_in_use() {
    let mut fleet = fleet(4, 12);
    let copy = fleet.directory.clone();
    for vm in all_vms(&fleet) {
        fleet.send_event(vm, Event::RegistryUnreachable);
    }
    fleet.run(1_000);
    for upstream in 0..6 {
        fleet.publish(&Change::Unregistered(Name::from(format!("desk-{upstream}"))), &[0]);
    }
    fleet.run(200);
    restore(&mut fleet, &copy);
    send_calls(&mut fleet, 700);
    for upstream in 0..6 {
        let name = Name::from(format!("desk-{upstream}"));
        let again = Registration { sequence: 2, ..registration("desk", upstream % 3) };
        fleet.publish(&Change::Registered(name, again), &[0]);
    }
    send_calls(&mut fleet, 2_000);
    fleet.run(2_000);
    assert!(fleet.replies.values().all(|reply| matches!(reply, Some(Reply::ForwardResponse))));
}

/// A VM that has started gets the directory of another one that has just started, too, and knows no more.
#[test]
fn starting_vms_ask_those_that_know() {
    let mut fleet = fleet(4, 13);
    let copy = fleet.directory.clone();
    publish(&mut fleet, &Change::Unregistered("desk-1".into()));
    restore(&mut fleet, &copy);
    fleet.run(500);
    fleet.linked = Box::new(|from, to| (from < 2) == (to < 2));
    fleet.start(2);
    fleet.start(3);
    fleet.load_directory(&[2]);
    fleet.run(1_000);
    fleet.linked = Box::new(|_, _| true);
    fleet.run(2_500);
    let since = fleet.now;
    send_calls(&mut fleet, 3_000);
    assert_eq!(arrivals_after(&fleet, "desk-1", since), 0);
}

/// A VM that starts late keeps an evacuation for longer than the others. They must not get it back from that VM.
#[test]
fn ended_evacuation_stays_ended() {
    let mut fleet = fleet(4, 14);
    let copy = fleet.directory.clone();
    publish(&mut fleet, &Change::Evacuated("domain-0".into()));
    restore(&mut fleet, &copy);
    fleet.run(8_000);
    fleet.start(3);
    fleet.load_directory(&[3]);
    fleet.run(4_000);
    fleet.events.clear();
    for vm in [0, 1, 2] {
        let delta = state(&fleet, 3).delta(StoreRevision::default(), true);
        fleet.send_event(vm, Event::DeltaReceived(Box::new(delta)));
    }
    fleet.run(500);
    for vm in [0, 1, 2] {
        assert!(state(&fleet, vm).directory.evacuated.is_empty(), "VM {vm}");
    }
    assert!(!fleet.events.iter().any(|(_, event)| *event == "domain_restored"));
}

/// Many upstreams of a large deployment left after the copy was made.
#[test]
fn many_departures_are_kept() {
    const UPSTREAMS: usize = 1_000;
    let mut fleet = Fleet::new(2, Tuning::default(), 15);
    set_up(&mut fleet, "desk", UPSTREAMS);
    let copy = fleet.directory.clone();
    for upstream in 0..UPSTREAMS / 2 {
        fleet.publish(&Change::Unregistered(Name::from(format!("desk-{upstream}"))), &[0, 1]);
    }
    fleet.run(5_000);
    restore(&mut fleet, &copy);
    fleet.run(3_000);
    for vm in 0..2 {
        assert_eq!(state(&fleet, vm).directory.upstreams.len(), UPSTREAMS / 2, "VM {vm}");
    }
}
