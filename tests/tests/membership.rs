//! Each upstream has one owner, and ownership moves no more than needed when VMs fail, restart, leave or
//! have different views.
//!
//! Without an owner an upstream gets no calls. Each move costs a takeover, during which nothing is granted.

use jujubedoor::Event;
use jujubedoor::ids::Incarnation;
use jujubedoor_tests::simulation::Simulation;
use jujubedoor_tests::simulation::document;

/// Returns for each engine the VMs that own it and have completed their takeover.
fn owners(sim: &Simulation, engines: usize) -> Vec<Vec<usize>> {
    let is_owner = |vm: usize, engine: usize| {
        let Some(state) = sim.vms[vm].state.as_ref() else { return false };
        let name = format!("t/e{engine}");
        state
            .admissions
            .owned()
            .any(|(id, upstream_state)| *id.0 == *name && upstream_state.is_takeover_complete(state.now))
    };
    (0..engines).map(|e| (0..sim.vms.len()).filter(|vm| is_owner(*vm, e)).collect()).collect()
}

#[test]
fn one_owner_each() {
    let sim = Simulation::new(5, &document(6, 4, 4), 1);
    assert!(owners(&sim, 6).iter().all(|owners| owners.len() == 1));
}

/// A VM dies. Its engines need new owners, and the engines of the other VMs must stay where they are.
#[test]
fn death_moves_ownership() {
    let mut sim = Simulation::new(5, &document(6, 4, 4), 2);
    let before = owners(&sim, 6);
    let killed_vm = before[0][0];
    sim.kill(killed_vm);
    sim.advance(6_000);
    for (old, new) in before.iter().zip(owners(&sim, 6)) {
        assert_eq!(new.len(), 1);
        assert!(!new.contains(&killed_vm));
        assert!(old[0] == killed_vm || *old == new, "only the engines of the killed VM should move");
    }
}

/// A VM crashes and restarts again and again, every 3 s. Ownership may move at most once for each restart.
#[test]
fn flapping_is_damped() {
    let mut sim = Simulation::new(5, &document(6, 4, 4), 3);
    let flapping = owners(&sim, 6)[0][0];
    let mut moves = 0;
    let mut last = owners(&sim, 6);
    for _ in 0..20 {
        sim.kill(flapping);
        sim.advance(1_500);
        sim.start(flapping);
        sim.advance(1_500);
        let now = owners(&sim, 6);
        moves += usize::from(now != last);
        last = now;
    }
    assert!(moves <= 20, "ownership should move at most once for each restart, but moved {moves} times");
    sim.advance(5_000);
    assert!(owners(&sim, 6).iter().all(|owners| owners.len() == 1));
}

/// A VM restarts under the same name. Its peers must not take it for the previous daemon process, whose
/// tickets and permits it does not know.
#[test]
fn restart_changes_incarnation() {
    let mut sim = Simulation::new(3, &document(2, 4, 4), 4);
    let first = sim.incarnation(1);
    sim.kill(1);
    assert_eq!(sim.incarnation(1), Incarnation(0));
    sim.start(1);
    sim.advance(5_000);
    assert_ne!(sim.incarnation(1), first);
    let known = sim.vms[0].state.as_ref().expect("the VM is up").fleet.incarnation("vm-1");
    assert_eq!(known, Some(sim.incarnation(1)));
}

/// Another VM must own the upstreams of a leaving VM while that VM is still running.
#[test]
fn leaving_vm_owns_nothing() {
    let mut sim = Simulation::new(4, &document(6, 4, 4), 5);
    let leaving = owners(&sim, 6)[0][0];
    sim.handle_event(leaving, Event::Drain);
    sim.advance(500);
    let now = owners(&sim, 6);
    assert!(now.iter().all(|owners| owners.len() == 1 && owners[0] != leaving), "{now:?}");
    assert!(!sim.vms[leaving].state.as_ref().expect("the VM is up").is_ready());
}

/// The network is partitioned into three groups, and each VM gets a call. No caller may be told that the
/// outcome is unknown, and each engine must have one owner again after the partition.
#[test]
fn three_sides_serve() {
    let mut sim = Simulation::new(6, &document(3, 8, 8), 6);
    sim.partition_into(&[2, 4]);
    sim.advance(10_000);
    for vm in 0..6 {
        sim.send_chat_call(vm, vm as u64);
    }
    sim.advance(5_000);
    assert!(sim.replies.iter().all(|(_, reply)| !format!("{reply:?}").contains("Unknown")));
    sim.heal();
    sim.advance(130_000);
    let healed = owners(&sim, 3);
    assert!(healed.iter().all(|owners| owners.len() == 1), "{healed:?}");
}
