//! The highest accepted revision is in force everywhere and never reverts.

use jujubedoor::ids::Revision;
use jujubedoor_tests::net::Net;
use jujubedoor_tests::net::document;

fn revisions(net: &Net) -> Vec<u64> {
    let states = net.vms.iter().filter_map(|vm| vm.state.as_ref());
    states.map(|state| state.documents.revision("t").0).collect()
}

#[test]
fn peers_pass_on() {
    let mut net = Net::new(6, &document(1, 4, 4), 1);
    net.platform_up = false;
    net.publish(&document(2, 4, 4), 2, &[3]);
    net.run(3_000);
    assert_eq!(revisions(&net), [2; 6], "all VMs have it although the platform told one of them only");
}

#[test]
fn lower_is_refused() {
    let mut net = Net::new(3, &document(1, 4, 4), 2);
    net.publish(&document(2, 4, 4), 5, &[0, 1, 2]);
    net.publish(&document(1, 4, 4), 4, &[0, 1, 2]);
    net.run(2_000);
    assert_eq!(revisions(&net), [5; 3]);
}

#[test]
fn restart_keeps_highest() {
    let mut net = Net::new(4, &document(1, 4, 4), 3);
    net.publish(&document(2, 4, 4), 7, &[0]);
    net.run(2_000);
    net.kill(2);
    net.platform_goes_back(&document(1, 4, 4), 1);
    net.start(2);
    assert!(!net.vms[2].state.as_ref().expect("up").is_ready(), "it has not asked the others yet");
    net.run(2_500);
    assert_eq!(revisions(&net), [7; 4]);
    assert!(net.vms[2].state.as_ref().expect("up").is_ready());
}

#[test]
fn mistakes_keep_last() {
    let mut net = Net::new(3, &document(1, 4, 4), 4);
    net.publish("team: t\nmodles: []\n", 2, &[0, 1]);
    net.run(2_000);
    assert_eq!(revisions(&net), [1; 3]);
    let state = net.vms[0].state.as_ref().expect("up");
    let (_, team) = state.documents.teams().next().expect("the team is known");
    let (revision, diagnostics) = team.rejected.as_ref().expect("the rejected revision is shown");
    assert_eq!(*revision, Revision(2));
    assert_eq!(diagnostics[0].hint.as_deref(), Some("did you mean `models`?"));
    net.publish(&document(2, 4, 4), 3, &[0, 1, 2]);
    net.run(2_000);
    assert_eq!(revisions(&net), [3; 3]);
}

#[test]
fn two_in_a_second() {
    let mut net = Net::new(6, &document(1, 4, 4), 5);
    net.publish(&document(2, 4, 4), 2, &[0, 1, 2]);
    net.publish(&document(3, 4, 4), 3, &[3]);
    net.run(3_000);
    assert_eq!(revisions(&net), [3; 6]);
}

#[test]
fn sleeper_obeys_latest() {
    let mut net = Net::new(3, &document(2, 4, 4), 6);
    net.network.delay_ms = 1;
    let request = net.chat(0, 1);
    net.pause(0, 5_000);
    let out = document(2, 4, 4).replace("region: home\n", "region: home\n    state: out\n");
    net.publish(&out, 2, &[1, 2]);
    net.run(5_000);
    let late = net.chat(0, 2);
    let sent = |net: &Net, id| net.in_flight.values().any(|calls| calls.iter().any(|(r, _)| *r == id));
    assert!(!sent(&net, late), "the woken VM acts on nothing older than the freshness limit");
    net.run(8_000);
    assert!(!sent(&net, late));
    assert!(net.replies_to(request).len() <= 1);
    assert_eq!(net.replies_to(late).len(), 1, "the caller is told that no upstream takes work");
}

#[test]
fn split_heals() {
    let mut net = Net::new(6, &document(1, 4, 4), 7);
    net.split(2);
    net.platform_up = false;
    net.publish(&document(2, 4, 4), 2, &[0]);
    net.publish(&document(3, 4, 4), 3, &[5]);
    net.run(6_000);
    assert_eq!(revisions(&net), [2, 2, 3, 3, 3, 3]);
    net.heal();
    net.run(70_000);
    assert_eq!(revisions(&net), [3; 6]);
}
