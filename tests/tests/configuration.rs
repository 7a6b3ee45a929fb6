//! The highest accepted revision is in force everywhere and never reverts.

use jujubedoor::ids::Revision;
use jujubedoor_tests::simulation::Simulation;
use jujubedoor_tests::simulation::document;

fn revisions(sim: &Simulation) -> Vec<u64> {
    let states = sim.vms.iter().filter_map(|vm| vm.state.as_ref());
    states.map(|state| state.documents.revision("t").0).collect()
}

#[test]
fn peers_pass_on() {
    let mut sim = Simulation::new(6, &document(1, 4, 4), 1);
    sim.platform_available = false;
    sim.publish(&document(2, 4, 4), 2, &[3]);
    sim.advance(3_000);
    assert_eq!(revisions(&sim), [2; 6], "all VMs have it although the platform told one of them only");
}

#[test]
fn lower_is_refused() {
    let mut sim = Simulation::new(3, &document(1, 4, 4), 2);
    sim.publish(&document(2, 4, 4), 5, &[0, 1, 2]);
    sim.publish(&document(1, 4, 4), 4, &[0, 1, 2]);
    sim.advance(2_000);
    assert_eq!(revisions(&sim), [5; 3]);
}

#[test]
fn restart_keeps_highest() {
    let mut sim = Simulation::new(4, &document(1, 4, 4), 3);
    sim.publish(&document(2, 4, 4), 7, &[0]);
    sim.advance(2_000);
    sim.kill(2);
    sim.revert_platform(&document(1, 4, 4), 1);
    sim.start(2);
    assert!(!sim.vms[2].state.as_ref().expect("up").is_ready(), "it has not asked the others yet");
    sim.advance(2_500);
    assert_eq!(revisions(&sim), [7; 4]);
    assert!(sim.vms[2].state.as_ref().expect("up").is_ready());
}

#[test]
fn mistakes_keep_last() {
    let mut sim = Simulation::new(3, &document(1, 4, 4), 4);
    sim.publish("team: t\nmodles: []\n", 2, &[0, 1]);
    sim.advance(2_000);
    assert_eq!(revisions(&sim), [1; 3]);
    let state = sim.vms[0].state.as_ref().expect("up");
    let (_, team) = state.documents.teams().next().expect("the team is known");
    let (revision, diagnostics) = team.rejected.as_ref().expect("the rejected revision is shown");
    assert_eq!(*revision, Revision(2));
    assert_eq!(diagnostics[0].hint.as_deref(), Some("did you mean `models`?"));
    sim.publish(&document(2, 4, 4), 3, &[0, 1, 2]);
    sim.advance(2_000);
    assert_eq!(revisions(&sim), [3; 3]);
}

#[test]
fn two_in_a_second() {
    let mut sim = Simulation::new(6, &document(1, 4, 4), 5);
    sim.publish(&document(2, 4, 4), 2, &[0, 1, 2]);
    sim.publish(&document(3, 4, 4), 3, &[3]);
    sim.advance(3_000);
    assert_eq!(revisions(&sim), [3; 6]);
}

#[test]
fn sleeper_obeys_latest() {
    let mut sim = Simulation::new(3, &document(2, 4, 4), 6);
    sim.network.max_delay_ms = 1;
    let request = sim.send_chat_call(0, 1);
    sim.pause(0, 5_000);
    let out = document(2, 4, 4).replace("region: home\n", "region: home\n    state: out\n");
    sim.publish(&out, 2, &[1, 2]);
    sim.advance(5_000);
    let late = sim.send_chat_call(0, 2);
    let sent =
        |sim: &Simulation, id| sim.active_calls.values().any(|calls| calls.iter().any(|(r, _)| *r == id));
    assert!(!sent(&sim, late), "the woken VM acts on nothing older than the freshness limit");
    sim.advance(8_000);
    assert!(!sent(&sim, late));
    assert!(sim.replies_to(request).len() <= 1);
    assert_eq!(sim.replies_to(late).len(), 1, "the caller is told that no upstream takes work");
}

#[test]
fn split_heals() {
    let mut sim = Simulation::new(6, &document(1, 4, 4), 7);
    sim.partition(2);
    sim.platform_available = false;
    sim.publish(&document(2, 4, 4), 2, &[0]);
    sim.publish(&document(3, 4, 4), 3, &[5]);
    sim.advance(6_000);
    assert_eq!(revisions(&sim), [2, 2, 3, 3, 3, 3]);
    sim.heal();
    sim.advance(70_000);
    assert_eq!(revisions(&sim), [3; 6]);
}
