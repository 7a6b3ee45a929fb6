//! VMs find each other through seeds, and what one knows reaches the others.

use std::sync::Arc;

use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Delta;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Routes;
use jujubedoor_tests::router::Behaviour;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::route;
use jujubedoor_tests::router::routes;
use jujubedoor_tests::router::set_up;

fn counts(fleet: &Fleet) -> Vec<usize> {
    fleet.vms.iter().flatten().map(|s| s.peers.count()).collect()
}

fn versions(fleet: &Fleet) -> Vec<u64> {
    let of = |s: &jujubedoor_routing::State| s.directory.routes.as_ref().map_or(0, |r| r.version);
    fleet.vms.iter().flatten().map(of).collect()
}

#[test]
fn all_are_found() {
    let mut fleet = Fleet::new(12, Tuning::default(), 1);
    fleet.run(2_000);
    assert_eq!(counts(&fleet), [12; 12]);
}

#[test]
fn one_seed_is_down() {
    let mut fleet = Fleet::new(9, Tuning::default(), 2);
    fleet.kill(0);
    fleet.run(2_000);
    assert_eq!(counts(&fleet), [8; 8]);
}

#[test]
fn lost_datagrams() {
    let mut fleet = Fleet::new(9, Tuning::default(), 3);
    let drawn = std::cell::Cell::new(0_u32);
    fleet.linked = Box::new(move |_, _| {
        drawn.set(drawn.get().wrapping_mul(1_664_525).wrapping_add(1_013_904_223));
        drawn.get() >> 24 > 128
    });
    fleet.run(4_000);
    assert_eq!(counts(&fleet), [9; 9]);
}

#[test]
fn added_vm_is_found() {
    let mut fleet = Fleet::new(6, Tuning::default(), 4);
    fleet.run(2_000);
    fleet.vms.push(None);
    fleet.start(6);
    fleet.run(2_000);
    assert_eq!(counts(&fleet), [7; 7]);
}

#[test]
fn routes_reach_the_cut_off() {
    let mut fleet = Fleet::new(6, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 2);
    for vm in 0..5 {
        fleet.event(vm, Event::RegistryUnreachable);
    }
    fleet.publish(&Change::Routes(routes(7)), &[5]);
    fleet.run(1_000);
    assert_eq!(versions(&fleet), [7; 6], "the registry told one VM only");
}

/// Returns routes that are too many to be passed on to a whole domain.
fn many_routes(version: u64) -> Arc<Routes> {
    let mut routes = (*routes(version)).clone();
    routes.routes = (0..400).map(|_| route("desk", Kind::Idempotent, 1)).collect();
    Arc::new(routes)
}

#[test]
fn refused_readers_are_replaced() {
    let mut fleet = Fleet::new(9, Tuning::default(), 21);
    set_up(&mut fleet, "desk", 2);
    let is_reader = |fleet: &Fleet, vm: usize| fleet.vms[vm].as_ref().expect("up").watches_registry();
    let readers: Vec<usize> = (0..9).filter(|vm| is_reader(&fleet, *vm)).collect();
    assert_eq!(readers.len(), 3, "one of each failure domain");
    for vm in &readers {
        fleet.event(*vm, Event::RegistryUnreachable);
    }
    fleet.run(100);
    let others: Vec<usize> = (0..9).filter(|vm| is_reader(&fleet, *vm) && !readers.contains(vm)).collect();
    assert_eq!(others.len(), 3, "the next of each failure domain takes over at once");
    fleet.publish(&Change::Routes(routes(9)), &others);
    fleet.run(300);
    assert_eq!(versions(&fleet), [9; 9]);
    for vm in &readers {
        assert!(is_reader(&fleet, *vm), "it goes on asking, to notice that the registry is back");
        fleet.event(*vm, Event::ChangesPublished(fleet.directory.revision, Vec::new()));
    }
    fleet.run(500);
    let again: Vec<usize> = (0..9).filter(|vm| is_reader(&fleet, *vm)).collect();
    assert_eq!(again, readers);
}

#[test]
fn many_routes_are_read() {
    let mut fleet = Fleet::new(6, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 2);
    let idle =
        (0..6).find(|vm| !fleet.vms[*vm].as_ref().expect("up").watches_registry()).expect("not all read");
    let others: Vec<usize> = (0..6).filter(|vm| *vm != idle).collect();
    fleet.publish(&Change::Routes(many_routes(8)), &others);
    fleet.run(300);
    let state = fleet.vms[idle].as_ref().expect("up");
    assert_eq!(state.directory.routes.as_ref().map(|r| r.version), Some(1), "nobody sends it so much");
    assert!(state.watches_registry(), "it reads the registry itself");
    fleet.read_registry(&[idle]);
    assert_eq!(versions(&fleet), [8; 6]);
    assert!(!fleet.vms[idle].as_ref().expect("up").watches_registry(), "and leaves it to others again");
}

#[test]
fn many_routes_reach_the_cut_off() {
    let mut fleet = Fleet::new(6, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 2);
    for vm in 0..5 {
        fleet.event(vm, Event::RegistryUnreachable);
    }
    fleet.publish(&Change::Routes(many_routes(7)), &[5]);
    fleet.run(1_000);
    assert_eq!(versions(&fleet), [7; 6], "who cannot read gets them from others");
}

#[test]
fn routes_never_go_back() {
    let mut fleet = Fleet::new(3, Tuning::default(), 6);
    set_up(&mut fleet, "desk", 2);
    let before = fleet.vms[1].as_ref().expect("up").directory.clone();
    fleet.publish(&Change::Routes(routes(9)), &[0, 1, 2]);
    let delta = Delta::Full { directory: before.clone(), restored_age_ms: None };
    fleet.event(1, Event::DeltaReceived(Box::new(delta)));
    assert_eq!(versions(&fleet), [9; 3]);
    // Even a registry that shows a higher revision with older routes does not bring them back.
    let mut older = before;
    older.revision += 100;
    fleet.event(1, Event::DirectoryLoaded(Box::new(older)));
    fleet.run(2_000);
    assert_eq!(versions(&fleet), [9; 3]);
}

#[test]
fn late_changes_are_ignored() {
    let mut fleet = Fleet::new(2, Tuning::default(), 7);
    set_up(&mut fleet, "desk", 2);
    let revision = fleet.directory.revision;
    fleet.event(0, Event::ChangesPublished(revision, vec![(1, Change::Unregistered("desk-0".into()))]));
    assert!(fleet.vms[0].as_ref().expect("up").upstreams.contains_key("desk-0"));
}

#[test]
fn restarted_vm_learns_caches() {
    let mut fleet = Fleet::new(4, Tuning::default(), 8);
    set_up(&mut fleet, "llm", 4);
    fleet.run(6_000);
    let route = route("llm", Kind::Streaming, 1);
    for id in 0..80 {
        let call = call(&route, fleet.now, 5_000, id % 8, 3_000);
        fleet.call(usize::try_from(id % 4).expect("few"), id, call);
        fleet.run(20);
    }
    fleet.notes.clear();
    fleet.start(3);
    fleet.read_registry(&[3]);
    fleet.run(1_500);
    let old = fleet.vms[0].as_ref().expect("up");
    let new = fleet.vms[3].as_ref().expect("up");
    for subject in 0..8 {
        let call = call(&route, fleet.now, 5_000, subject, 3_000);
        for upstream in old.upstreams.keys() {
            let unread =
                |s: &jujubedoor_routing::State| s.cache_index.uncached_tokens(&call, upstream, s.now, 60_000);
            assert_eq!(unread(new), unread(old), "subject {subject} at {upstream}");
        }
    }
    assert!(!fleet.notes.contains(&(3, "list_cache")), "no engine is asked while others know");
}

#[test]
fn restarted_fleet_asks_engines() {
    let mut fleet = Fleet::new(4, Tuning::default(), 9);
    set_up(&mut fleet, "llm", 5);
    fleet.run(2_000);
    let asked = fleet.notes.iter().filter(|(_, what)| *what == "list_cache").count();
    assert_eq!(asked, 5, "each engine is asked by one VM");
}

#[test]
fn large_fleet_asks_engines_once() {
    let mut fleet = Fleet::new(60, Tuning::default(), 14);
    set_up(&mut fleet, "llm", 20);
    fleet.run(2_000);
    (0..60).for_each(|vm| fleet.kill(vm));
    fleet.notes.clear();
    // The VMs that the others look for first come last.
    for vm in (0..60).rev() {
        fleet.start(vm);
        fleet.read_registry(&[vm]);
        fleet.run(3);
    }
    fleet.run(3_000);
    let asked = fleet.notes.iter().filter(|(_, what)| *what == "list_cache").count();
    assert_eq!(asked, 20, "each engine is asked by one VM");
}

#[test]
fn lost_seeds_are_replaced() {
    let mut fleet = Fleet::new(9, Tuning::default(), 16);
    fleet.kill(0);
    fleet.kill(1);
    set_up(&mut fleet, "llm", 6);
    // Without any seed the VMs cannot find each other, so that each asks for itself.
    fleet.run(2_000);
    for vm in 2..9 {
        let asked = fleet.notes.iter().filter(|note| **note == (vm, "list_cache")).count();
        assert_eq!(asked, 6, "VM {vm}");
    }
}

#[test]
fn lost_seed_is_replaced() {
    let mut fleet = Fleet::new(9, Tuning::default(), 17);
    fleet.kill(1);
    set_up(&mut fleet, "llm", 12);
    fleet.run(2_000);
    let asked = fleet.notes.iter().filter(|(_, what)| *what == "list_cache").count();
    assert_eq!(asked, 12, "each engine is asked by one VM");
}

/// Starts long requests on all VMs of a large fleet and returns how far each VM is off the true load.
fn worst_view(fleet: &mut Fleet, first: u64) -> f64 {
    fleet.behave =
        Box::new(|_, _, _| Behaviour { runs: true, ended: AttemptOutcome::Complete, work_ms: 8_000 });
    let route = route("llm", Kind::Streaming, 1);
    let vms = u64::try_from(fleet.vms.len()).expect("few");
    for id in first..first + 3 * vms {
        let call = call(&route, fleet.now, 9_000, id % 40, 2_000);
        fleet.call(usize::try_from(id % vms).expect("few"), id, call);
        fleet.run(5);
    }
    fleet.run(1_000);
    let states: Vec<&jujubedoor_routing::State> = fleet.vms.iter().flatten().collect();
    let mut worst = 0.0_f64;
    for upstream in states[0].upstreams.keys() {
        let truth: u32 = states.iter().map(|s| s.upstreams[upstream].running).sum();
        for state in &states {
            let seen = state.upstreams[upstream].load(state.now, state.tuning.load_lifetime_ms);
            worst = worst.max(f64::from(truth.abs_diff(seen)) / f64::from(truth.max(4)));
        }
    }
    worst
}

#[test]
fn relays_tell_all_loads() {
    let mut fleet = Fleet::new(60, Tuning::default(), 12);
    set_up(&mut fleet, "llm", 20);
    fleet.run(6_000);
    let worst = worst_view(&mut fleet, 0);
    assert!(worst <= 0.3, "a VM is off by {worst:.2} of an upstream's load");
}

#[test]
fn relays_change() {
    let mut fleet = Fleet::new(60, Tuning::default(), 13);
    set_up(&mut fleet, "llm", 20);
    fleet.run(6_000);
    for vm in 0..30 {
        fleet.event(vm * 2, Event::Leaving);
        fleet.run(300);
        fleet.start(vm * 2);
        fleet.read_registry(&[vm * 2]);
        fleet.run(300);
    }
    let worst = worst_view(&mut fleet, 0);
    assert!(worst <= 0.3, "a VM is off by {worst:.2} of an upstream's load");
}
