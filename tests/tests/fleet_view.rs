//! VMs discover each other through the seeds, and share the directory, the cache index and loads.
//!
//! Seeds may be down, datagrams may be lost, the registry may respond to only some of the VMs, and VMs
//! restart with an empty state. If the views of the VMs differed for long after that, requests would be
//! routed by old routes, to overloaded upstreams, or to engines that have to prefill a prompt again.

use std::sync::Arc;

use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Delta;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::routes::Routes;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::routes;
use jujubedoor_tests::router::set_up;

fn known_vms(fleet: &Fleet) -> Vec<usize> {
    fleet.vms.iter().flatten().map(|s| s.peers.count()).collect()
}

fn route_versions(fleet: &Fleet) -> Vec<u64> {
    let version_of = |s: &jujubedoor_routing::State| s.directory.routes.as_ref().map_or(0, |r| r.version);
    fleet.vms.iter().flatten().map(version_of).collect()
}

#[test]
fn all_vms_are_discovered() {
    let mut fleet = Fleet::new(12, Tuning::default(), 1);
    fleet.run(2_000);
    assert_eq!(known_vms(&fleet), [12; 12]);
}

#[test]
fn one_seed_is_down() {
    let mut fleet = Fleet::new(9, Tuning::default(), 2);
    fleet.kill(0);
    fleet.run(2_000);
    assert_eq!(known_vms(&fleet), [8; 8]);
}

#[test]
fn lost_datagrams() {
    let mut fleet = Fleet::new(9, Tuning::default(), 3);
    let random = std::cell::Cell::new(0_u32);
    fleet.linked = Box::new(move |_, _| {
        random.set(random.get().wrapping_mul(1_664_525).wrapping_add(1_013_904_223));
        random.get() >> 24 > 128
    });
    fleet.run(4_000);
    assert_eq!(known_vms(&fleet), [9; 9]);
}

#[test]
fn added_vm_is_discovered() {
    let mut fleet = Fleet::new(6, Tuning::default(), 4);
    fleet.run(2_000);
    fleet.vms.push(None);
    fleet.start(6);
    fleet.run(2_000);
    assert_eq!(known_vms(&fleet), [7; 7]);
}

#[test]
fn routes_reach_vms_without_registry() {
    let mut fleet = Fleet::new(6, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 2);
    for vm in 0..5 {
        fleet.send_event(vm, Event::RegistryUnreachable);
    }
    fleet.publish(&Change::Routes(routes(7)), &[5]);
    fleet.run(1_000);
    assert_eq!(
        route_versions(&fleet),
        [7; 6],
        "routes that the registry sent to one VM should reach all VMs"
    );
}

/// Returns more routes than one VM sends to all others of its failure domain.
fn many_routes(version: u64) -> Arc<Routes> {
    let mut routes = (*routes(version)).clone();
    routes.routes = (0..400).map(|_| route("desk", Kind::Idempotent, 1)).collect();
    Arc::new(routes)
}

#[test]
fn watchers_without_registry_are_replaced() {
    let mut fleet = Fleet::new(9, Tuning::default(), 21);
    set_up(&mut fleet, "desk", 2);
    let is_watcher =
        |fleet: &Fleet, vm: usize| fleet.vms[vm].as_ref().expect("the VM is up").watches_registry();
    let watchers: Vec<usize> = (0..9).filter(|vm| is_watcher(&fleet, *vm)).collect();
    assert_eq!(watchers.len(), 3, "there should be one watcher per failure domain");
    for vm in &watchers {
        fleet.send_event(*vm, Event::RegistryUnreachable);
    }
    fleet.run(100);
    let others: Vec<usize> = (0..9).filter(|vm| is_watcher(&fleet, *vm) && !watchers.contains(vm)).collect();
    assert_eq!(others.len(), 3, "the next VM of each failure domain should take over at once");
    fleet.publish(&Change::Routes(routes(9)), &others);
    fleet.run(300);
    assert_eq!(route_versions(&fleet), [9; 9]);
    for vm in &watchers {
        assert!(
            is_watcher(&fleet, *vm),
            "a replaced watcher should keep calling the registry, to notice its return"
        );
        fleet.send_event(*vm, Event::ChangesPublished(fleet.directory.revision, Vec::new()));
    }
    fleet.run(500);
    let again: Vec<usize> = (0..9).filter(|vm| is_watcher(&fleet, *vm)).collect();
    assert_eq!(again, watchers);
}

#[test]
fn many_routes_are_read_from_registry() {
    let mut fleet = Fleet::new(6, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 2);
    let idle = (0..6)
        .find(|vm| !fleet.vms[*vm].as_ref().expect("the VM is up").watches_registry())
        .expect("some VMs do not watch the registry");
    let others: Vec<usize> = (0..6).filter(|vm| *vm != idle).collect();
    fleet.publish(&Change::Routes(many_routes(8)), &others);
    fleet.run(300);
    let state = fleet.vms[idle].as_ref().expect("the VM is up");
    assert_eq!(
        state.directory.routes.as_ref().map(|r| r.version),
        Some(1),
        "other VMs should not send it that many routes"
    );
    assert!(state.watches_registry(), "it should read the registry itself");
    fleet.load_directory(&[idle]);
    assert_eq!(route_versions(&fleet), [8; 6]);
    assert!(
        !fleet.vms[idle].as_ref().expect("the VM is up").watches_registry(),
        "it should stop watching the registry afterwards"
    );
}

#[test]
fn many_routes_reach_vms_without_registry() {
    let mut fleet = Fleet::new(6, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 2);
    for vm in 0..5 {
        fleet.send_event(vm, Event::RegistryUnreachable);
    }
    fleet.publish(&Change::Routes(many_routes(7)), &[5]);
    fleet.run(1_000);
    assert_eq!(
        route_versions(&fleet),
        [7; 6],
        "VMs that cannot read the registry should fetch routes from another VM"
    );
}

#[test]
fn routes_are_never_downgraded() {
    let mut fleet = Fleet::new(3, Tuning::default(), 6);
    set_up(&mut fleet, "desk", 2);
    let before = fleet.vms[1].as_ref().expect("the VM is up").directory.clone();
    fleet.publish(&Change::Routes(routes(9)), &[0, 1, 2]);
    let delta = Delta::Full { directory: before.clone(), last_outage: None };
    fleet.send_event(1, Event::DeltaReceived(Box::new(delta)));
    assert_eq!(route_versions(&fleet), [9; 3]);
    // Nor do older routes that the registry returns with a higher revision replace newer ones.
    let mut older = before;
    older.revision.number += 100;
    fleet.send_event(1, Event::DirectoryLoaded(Box::new(older)));
    fleet.run(2_000);
    assert_eq!(route_versions(&fleet), [9; 3]);
}

#[test]
fn outdated_changes_are_ignored() {
    let mut fleet = Fleet::new(2, Tuning::default(), 7);
    set_up(&mut fleet, "desk", 2);
    let revision = fleet.directory.revision;
    let change = Change::Unregistered("desk-0".into());
    fleet.send_event(0, Event::ChangesPublished(revision, vec![(revision.with_number(1), change)]));
    assert!(fleet.vms[0].as_ref().expect("the VM is up").upstreams.contains_key("desk-0"));
}

/// Returns a fleet of four VMs whose engines have the prompts of eight chats cached, and the route of the chats.
fn fleet_with_chats() -> (Fleet, Arc<Route>) {
    let mut fleet = Fleet::new(4, Tuning::default(), 8);
    set_up(&mut fleet, "llm", 4);
    fleet.run(6_000);
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..80 {
        let call = call(&route, fleet.now, 5_000, id % 8, 3_000);
        fleet.call(usize::try_from(id % 4).expect("few"), id, call);
        fleet.run(20);
    }
    fleet.events.clear();
    (fleet, route)
}

#[test]
fn restarted_vm_fetches_cache_index() {
    let (mut fleet, route) = fleet_with_chats();
    fleet.start(3);
    fleet.load_directory(&[3]);
    fleet.run(1_500);
    let old = fleet.vms[0].as_ref().expect("the VM is up");
    let new = fleet.vms[3].as_ref().expect("the VM is up");
    for context in 0..8 {
        let call = call(&route, fleet.now, 5_000, context, 3_000);
        for upstream in old.upstreams.keys() {
            let uncached =
                |s: &jujubedoor_routing::State| s.cache_index.uncached_tokens(&call, upstream, s.now, 60_000);
            assert_eq!(uncached(new), uncached(old), "context {context} at {upstream}");
        }
    }
    assert!(
        !fleet.events.contains(&(3, "list_cache")),
        "no engine should list its cache if other VMs have the index"
    );
}

/// Guards against an index that arrives before the directory: its records would name upstreams that are not known yet,
/// and be lost. The streams would delay the directory on a slow link.
#[test]
fn late_directory_loses_no_index() {
    let (mut fleet, route) = fleet_with_chats();
    fleet.start(3);
    fleet.run(1_000);
    fleet.load_directory(&[3]);
    fleet.run(1_500);
    let new = fleet.vms[3].as_ref().expect("the VM is up");
    for context in 0..8 {
        let call = call(&route, fleet.now, 5_000, context, 3_000);
        let is_cached =
            |id| new.cache_index.uncached_tokens(&call, id, new.now, 60_000) < call.prompt_tokens();
        assert!(new.upstreams.keys().any(is_cached), "context {context}");
    }
}

#[test]
fn restarted_fleet_lists_each_cache_once() {
    let mut fleet = Fleet::new(4, Tuning::default(), 9);
    set_up(&mut fleet, "llm", 5);
    fleet.run(2_000);
    let listed = fleet.events.iter().filter(|(_, event)| *event == "list_cache").count();
    assert_eq!(listed, 5, "each engine should list its cache for one VM");
}

#[test]
fn large_fleet_lists_each_cache_once() {
    let mut fleet = Fleet::new(60, Tuning::default(), 14);
    set_up(&mut fleet, "llm", 20);
    fleet.run(2_000);
    (0..60).for_each(|vm| fleet.kill(vm));
    fleet.events.clear();
    // The seeds start last.
    for vm in (0..60).rev() {
        fleet.start(vm);
        fleet.load_directory(&[vm]);
        fleet.run(3);
    }
    fleet.run(3_000);
    let listed = fleet.events.iter().filter(|(_, event)| *event == "list_cache").count();
    assert_eq!(listed, 20, "each engine should list its cache for one VM");
}

#[test]
fn vms_without_seeds_list_all_caches() {
    let mut fleet = Fleet::new(9, Tuning::default(), 16);
    fleet.kill(0);
    fleet.kill(1);
    set_up(&mut fleet, "llm", 6);
    // Without seeds the VMs cannot discover each other, so each of them lists the cache of all engines.
    fleet.run(2_000);
    for vm in 2..9 {
        let listed = fleet.events.iter().filter(|entry| **entry == (vm, "list_cache")).count();
        assert_eq!(listed, 6, "VM {vm}");
    }
}

#[test]
fn lost_seed_is_replaced() {
    let mut fleet = Fleet::new(9, Tuning::default(), 17);
    fleet.kill(1);
    set_up(&mut fleet, "llm", 12);
    fleet.run(2_000);
    let listed = fleet.events.iter().filter(|(_, event)| *event == "list_cache").count();
    assert_eq!(listed, 12, "each engine should list its cache for one VM");
}

/// Starts long requests on all VMs, and returns the largest error of any VM's view of an upstream's load.
///
/// The error is a share of the true load, or of 4 requests if the true load is lower.
fn max_load_error(fleet: &mut Fleet, first: u64) -> f64 {
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 8_000 });
    let route = route("llm", Kind::Streaming, 1);
    let vms = u64::try_from(fleet.vms.len()).expect("few");
    for id in first..first + 3 * vms {
        let call = call(&route, fleet.now, 9_000, id % 40, 2_000);
        fleet.call(usize::try_from(id % vms).expect("few"), id, call);
        fleet.run(5);
    }
    fleet.run(1_000);
    let states: Vec<&jujubedoor_routing::State> = fleet.vms.iter().flatten().collect();
    let mut max_error = 0.0_f64;
    for upstream in states[0].upstreams.keys() {
        let true_load: u32 = states.iter().map(|s| s.upstreams[upstream].running).sum();
        for state in &states {
            let known_load = state.load(&state.upstreams[upstream]);
            max_error =
                max_error.max(f64::from(true_load.abs_diff(known_load)) / f64::from(true_load.max(4)));
        }
    }
    max_error
}

#[test]
fn relays_report_all_loads() {
    let mut fleet = Fleet::new(60, Tuning::default(), 12);
    set_up(&mut fleet, "llm", 20);
    fleet.run(6_000);
    let max_error = max_load_error(&mut fleet, 0);
    assert!(max_error <= 0.3, "a VM's view of an upstream's load is off by {max_error:.2} of the load");
}

#[test]
fn relays_change() {
    let mut fleet = Fleet::new(60, Tuning::default(), 13);
    set_up(&mut fleet, "llm", 20);
    fleet.run(6_000);
    for vm in 0..30 {
        fleet.send_event(vm * 2, Event::Leaving { exits_in_ms: 7_600 });
        fleet.run(300);
        fleet.start(vm * 2);
        fleet.load_directory(&[vm * 2]);
        fleet.run(300);
    }
    let max_error = max_load_error(&mut fleet, 0);
    assert!(max_error <= 0.3, "a VM's view of an upstream's load is off by {max_error:.2} of the load");
}
