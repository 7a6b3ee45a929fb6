//! Differing views, flapping VMs and restarts move ownership in a bounded way.

use jujubedoor::Event;
use jujubedoor::ids::Incarnation;
use jujubedoor_tests::net::Net;
use jujubedoor_tests::net::document;

/// Returns which VM is the settled owner of each engine, in order.
fn owners(net: &Net, engines: usize) -> Vec<Vec<usize>> {
    let owns = |vm: usize, engine: usize| {
        let Some(state) = net.vms[vm].state.as_ref() else { return false };
        let name = format!("t/e{engine}");
        state
            .admissions
            .owned()
            .any(|(id, upstream_state)| *id.0 == *name && upstream_state.is_takeover_complete(state.now))
    };
    (0..engines).map(|e| (0..net.vms.len()).filter(|vm| owns(*vm, e)).collect()).collect()
}

#[test]
fn one_owner_each() {
    let net = Net::new(5, &document(6, 4, 4), 1);
    assert!(owners(&net, 6).iter().all(|owners| owners.len() == 1));
}

#[test]
fn death_moves_ownership() {
    let mut net = Net::new(5, &document(6, 4, 4), 2);
    let before = owners(&net, 6);
    let dead = before[0][0];
    net.kill(dead);
    net.run(6_000);
    for (old, new) in before.iter().zip(owners(&net, 6)) {
        assert_eq!(new.len(), 1);
        assert!(!new.contains(&dead));
        assert!(old[0] == dead || *old == new, "only what the dead VM owned has moved");
    }
}

#[test]
fn flapping_is_damped() {
    let mut net = Net::new(5, &document(6, 4, 4), 3);
    let flapping = owners(&net, 6)[0][0];
    let mut moves = 0;
    let mut last = owners(&net, 6);
    for _ in 0..20 {
        net.kill(flapping);
        net.run(1_500);
        net.start(flapping);
        net.run(1_500);
        let now = owners(&net, 6);
        moves += usize::from(now != last);
        last = now;
    }
    assert!(moves <= 20, "one move for each restart at most, {moves} were seen");
    net.run(5_000);
    assert!(owners(&net, 6).iter().all(|owners| owners.len() == 1));
}

#[test]
fn restart_is_another_run() {
    let mut net = Net::new(3, &document(2, 4, 4), 4);
    let first = net.incarnation(1);
    net.kill(1);
    assert_eq!(net.incarnation(1), Incarnation(0));
    net.start(1);
    net.run(5_000);
    assert_ne!(net.incarnation(1), first);
    let known = net.vms[0].state.as_ref().expect("up").fleet.incarnation("vm-1");
    assert_eq!(known, Some(net.incarnation(1)));
}

#[test]
fn leaving_owns_nothing() {
    let mut net = Net::new(4, &document(6, 4, 4), 5);
    let leaving = owners(&net, 6)[0][0];
    net.give(leaving, Event::Drain);
    net.run(500);
    let now = owners(&net, 6);
    assert!(now.iter().all(|owners| owners.len() == 1 && owners[0] != leaving), "{now:?}");
    assert!(!net.vms[leaving].state.as_ref().expect("up").is_ready());
}

#[test]
fn three_sides_serve() {
    let mut net = Net::new(6, &document(3, 8, 8), 6);
    net.split_into(&[2, 4]);
    net.run(10_000);
    for vm in 0..6 {
        net.chat(vm, vm as u64);
    }
    net.run(5_000);
    assert!(net.replies.iter().all(|(_, reply)| !format!("{reply:?}").contains("Unknown")));
    net.heal();
    net.run(130_000);
    let healed = owners(&net, 3);
    assert!(healed.iter().all(|owners| owners.len() == 1), "{healed:?}");
}
