//! The registry is restored from an older copy: numbers of revisions are given out again in a new epoch.

use jujubedoor::ids::StoreRevision;
use jujubedoor_routing::Event;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::directory::Change;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::routes;
use jujubedoor_tests::router::set_up;

/// Number of VMs in a fleet whose VMs exchange changes through relays.
const LARGE_FLEET: usize = 24;

/// Returns the version of the routes of each VM.
fn versions(fleet: &Fleet) -> Vec<u64> {
    let version = |vm: &jujubedoor_routing::State| vm.directory.routes.as_ref().map_or(0, |r| r.version);
    fleet.vms.iter().flatten().map(version).collect()
}

/// Publishes changes, restores the registry from a copy without them, and publishes other routes with a number
/// that was given out before. Only one VM reads the registry after that.
fn restore_and_publish(vms: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, Tuning::default(), seed);
    set_up(&mut fleet, "desk", 3);
    fleet.run(3_000);
    let copy = fleet.directory.clone();
    for version in 2..9 {
        fleet.publish(&Change::Routes(routes(version)), &[0]);
        fleet.run(200);
    }
    fleet.run(1_000);
    assert_eq!(versions(&fleet), vec![8; vms], "before the restore");
    fleet.restore_registry(copy);
    fleet.publish(&Change::Routes(routes(9)), &[]);
    fleet.load_directory(&[0]);
    fleet
}

#[test]
fn reused_numbers_reach_all() {
    for vms in [3, LARGE_FLEET] {
        let mut fleet = restore_and_publish(vms, 1);
        fleet.run(500);
        assert_eq!(versions(&fleet), vec![9; vms]);
    }
}

#[test]
fn changes_after_restore_reach_all() {
    for vms in [3, LARGE_FLEET] {
        let mut fleet = restore_and_publish(vms, 2);
        fleet.run(500);
        for version in 10..20 {
            fleet.publish(&Change::Routes(routes(version)), &[0]);
            fleet.run(500);
            assert_eq!(versions(&fleet), vec![version; vms]);
        }
    }
}

#[test]
fn second_restore_reaches_all() {
    for vms in [3, LARGE_FLEET] {
        let mut fleet = restore_and_publish(vms, 3);
        let copy = fleet.directory.clone();
        fleet.run(500);
        fleet.publish(&Change::Routes(routes(10)), &[0]);
        fleet.run(500);
        fleet.restore_registry(copy);
        fleet.publish(&Change::Routes(routes(11)), &[]);
        fleet.load_directory(&[vms - 1]);
        fleet.run(500);
        assert_eq!(versions(&fleet), vec![11; vms]);
    }
}

/// A VM that missed the restore has a higher number than the others.
#[test]
fn paused_vm_follows() {
    let mut fleet = Fleet::new(3, Tuning::default(), 4);
    set_up(&mut fleet, "desk", 3);
    fleet.run(3_000);
    let copy = fleet.directory.clone();
    for version in 2..9 {
        fleet.publish(&Change::Routes(routes(version)), &[0, 1, 2]);
    }
    fleet.linked = Box::new(|from, to| from != 2 && to != 2);
    fleet.run(500);
    fleet.restore_registry(copy);
    fleet.publish(&Change::Routes(routes(9)), &[]);
    fleet.load_directory(&[0]);
    fleet.run(1_000);
    fleet.linked = Box::new(|_, _| true);
    fleet.run(1_000);
    assert_eq!(versions(&fleet), [9; 3]);
}

/// Responses of the time before the restore may arrive late.
#[test]
fn late_responses_are_ignored() {
    let mut fleet = Fleet::new(1, Tuning::default(), 5);
    set_up(&mut fleet, "desk", 3);
    let copy = fleet.directory.clone();
    fleet.publish(&Change::Registered("desk-7".into(), registration("desk", 0)), &[0]);
    let late_directory = fleet.directory.clone();
    let late_revision = late_directory.revision;
    fleet.restore_registry(copy);
    fleet.publish(&Change::Registered("desk-8".into(), registration("desk", 1)), &[]);
    fleet.load_directory(&[0]);
    let revision = fleet.directory.revision;
    fleet.send_event(0, Event::DirectoryLoaded(Box::new(late_directory)));
    let change = Change::Unregistered("desk-8".into());
    let late_changes = vec![(late_revision.with_number(late_revision.number + 9), change)];
    fleet.send_event(0, Event::ChangesPublished(late_revision, late_changes));
    let directory = &fleet.vms[0].as_ref().expect("the VM is up").directory;
    assert_eq!(directory.revision, revision);
    assert!(directory.upstreams.contains_key("desk-8"));
}

/// Changes of an epoch that this VM has not read are not based on what it knows.
#[test]
fn changes_of_unknown_epoch_wait() {
    let mut fleet = Fleet::new(1, Tuning::default(), 6);
    set_up(&mut fleet, "desk", 3);
    let known = fleet.directory.revision;
    let next = StoreRevision { epoch: known.epoch + 1, number: known.number + 1 };
    fleet.send_event(0, Event::ChangesPublished(next, vec![(next, Change::Routes(routes(9)))]));
    assert_eq!(versions(&fleet), [1]);
    assert_eq!(fleet.vms[0].as_ref().expect("the VM is up").directory.revision, known);
}
