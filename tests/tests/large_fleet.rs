//! Fleets of hundreds of VMs: what each VM sends and how fast all of them know what one of them knows.
//!
//! The cost of a VM must not grow with the fleet beyond its own failure domain, and a change must reach all
//! VMs within a second although most of them never call the registry.

use std::collections::BTreeMap;

use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::set_up;

/// Number of VMs of a large fleet, in three failure domains.
const VMS: usize = 360;

fn large_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(VMS, Tuning::default(), seed);
    set_up(&mut fleet, "llm", 60);
    fleet
}

fn revisions_behind(fleet: &Fleet) -> usize {
    let newest = fleet.directory.revision;
    fleet.vms.iter().flatten().filter(|vm| vm.directory.revision < newest).count()
}

/// Returns the VMs that watch the registry.
fn watchers(fleet: &Fleet) -> Vec<usize> {
    let watches = |vm: &usize| fleet.vms[*vm].as_ref().is_some_and(State::watches_registry);
    (0..fleet.vms.len()).filter(watches).collect()
}

#[test]
fn cold_start_finds_all() {
    let mut fleet = large_fleet(3);
    fleet.run(5_000);
    for vm in fleet.vms.iter().flatten() {
        assert_eq!(vm.peers.count(), VMS, "{} does not know all VMs", vm.peers.local_vm.name);
    }
}

#[test]
fn changes_reach_all() {
    let mut fleet = large_fleet(4);
    fleet.run(5_000);
    for n in 0..5 {
        let mut leaving = registration("llm", n % 3);
        leaving.draining = true;
        let change = Change::Registered(format!("llm-{n}").into(), leaving);
        let recipients = watchers(&fleet);
        assert!(recipients.len() <= 6, "{} VMs watch the registry", recipients.len());
        fleet.publish(&change, &recipients);
        fleet.run(500);
        assert_eq!(revisions_behind(&fleet), 0, "VMs lack a change after half a second");
    }
}

#[test]
fn changes_are_not_fetched() {
    let mut fleet = large_fleet(5);
    fleet.run(5_000);
    fleet.fetches = 0;
    for n in 0..10 {
        let change = Change::Registered(format!("new-{n}").into(), registration("llm", n % 3));
        let recipients = watchers(&fleet);
        fleet.publish(&change, &recipients);
        fleet.run(300);
    }
    assert!(fleet.fetches < VMS / 10, "{} VMs fetched changes in place of receiving them", fleet.fetches);
}

#[test]
fn few_heartbeats_for_most() {
    let mut fleet = large_fleet(6);
    fleet.run(5_000);
    fleet.heartbeats = BTreeMap::new();
    fleet.run(2_000);
    let mut sent: Vec<u32> = fleet.heartbeats.values().copied().collect();
    sent.sort_unstable();
    let (median, most) = (sent[sent.len() / 2], sent[sent.len() - 1]);
    assert!(median <= 2 * 20, "most VMs send {median} heartbeats in two seconds");
    // A relay sends eight a second to each VM of its domain.
    let limit = u32::try_from(2 * 9 * (VMS / 3 + 8)).expect("few");
    assert!(most <= limit, "a VM sends {most} heartbeats in two seconds");
}

#[test]
fn half_of_the_fleet_is_killed() {
    let mut fleet = large_fleet(7);
    fleet.run(5_000);
    for vm in (0..VMS).step_by(2) {
        fleet.kill(vm);
    }
    fleet.run(2_000);
    let change = Change::Unregistered("llm-7".into());
    let recipients = watchers(&fleet);
    assert!(!recipients.is_empty(), "no VM watches the registry");
    fleet.publish(&change, &recipients);
    fleet.run(1_000);
    assert_eq!(revisions_behind(&fleet), 0, "VMs lack a change although half of the fleet is up");
    for vm in (0..VMS).step_by(2) {
        fleet.start(vm);
        fleet.load_directory(&[vm]);
    }
    fleet.run(3_000);
    let change = Change::Unregistered("llm-8".into());
    let recipients = watchers(&fleet);
    fleet.publish(&change, &recipients);
    fleet.run(1_000);
    assert_eq!(revisions_behind(&fleet), 0, "VMs lack a change after the others are back");
}

#[test]
fn failure_domain_is_lost() {
    let mut fleet = large_fleet(8);
    fleet.run(5_000);
    for vm in (0..VMS).filter(|vm| vm % 3 == 1) {
        fleet.kill(vm);
    }
    fleet.run(2_000);
    let recipients = watchers(&fleet);
    fleet.publish(&Change::Evacuated("domain-1".into()), &recipients);
    fleet.run(1_000);
    assert_eq!(revisions_behind(&fleet), 0, "VMs of the other domains lack a change");
}

#[test]
fn third_is_cut_off_from_registry() {
    let mut fleet = large_fleet(9);
    fleet.run(5_000);
    for vm in (0..VMS).step_by(3) {
        fleet.send_event(vm, Event::RegistryUnreachable);
    }
    for n in 0..6 {
        fleet.run(1_500);
        let change = Change::Registered(format!("late-{n}").into(), registration("llm", 1));
        let recipients: Vec<usize> = watchers(&fleet).into_iter().filter(|vm| vm % 3 != 0).collect();
        assert!(!recipients.is_empty(), "no VM that reaches the registry watches it");
        fleet.publish(&change, &recipients);
        fleet.run(1_000);
        assert_eq!(revisions_behind(&fleet), 0, "VMs lack a change after {n}");
    }
}
