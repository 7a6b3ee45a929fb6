//! The highest accepted revision of a document becomes active on all VMs and is never replaced by a lower
//! one.
//!
//! VMs would act on different documents if a VM did not get a revision from its peers, or if it accepted an
//! older revision from a stale platform after a restart.

use jujubedoor::ids::Revision;
use jujubedoor_tests::simulation::Simulation;
use jujubedoor_tests::simulation::document;

fn revisions(sim: &Simulation) -> Vec<u64> {
    let states = sim.vms.iter().filter_map(|vm| vm.state.as_ref());
    states.map(|state| state.documents.revision("t").0).collect()
}

/// The platform sends a revision to one VM only and does not respond to the others. They would keep the old
/// revision if peers did not pass on the new one.
#[test]
fn peers_pass_on_documents() {
    let mut sim = Simulation::new(6, &document(1, 4, 4), 1);
    sim.platform_available = false;
    sim.publish(&document(2, 4, 4), 2, &[3]);
    sim.advance(3_000);
    assert_eq!(
        revisions(&sim),
        [2; 6],
        "all VMs should have the revision, although the platform sent it to one VM only"
    );
}

/// The platform sends an older revision after a newer one. It must not replace the active document.
#[test]
fn lower_revision_is_ignored() {
    let mut sim = Simulation::new(3, &document(1, 4, 4), 2);
    sim.publish(&document(2, 4, 4), 5, &[0, 1, 2]);
    sim.publish(&document(1, 4, 4), 4, &[0, 1, 2]);
    sim.advance(2_000);
    assert_eq!(revisions(&sim), [5; 3]);
}

/// A VM restarts while the platform serves an old revision. The VM would act on that revision if it became
/// ready before it had compared revisions with its peers.
#[test]
fn restart_keeps_highest() {
    let mut sim = Simulation::new(4, &document(1, 4, 4), 3);
    sim.publish(&document(2, 4, 4), 7, &[0]);
    sim.advance(2_000);
    sim.kill(2);
    sim.revert_platform(&document(1, 4, 4), 1);
    sim.start(2);
    assert!(
        !sim.vms[2].state.as_ref().expect("the VM is up").is_ready(),
        "a restarted VM should not be ready before it has compared revisions with its peers"
    );
    sim.advance(2_500);
    assert_eq!(revisions(&sim), [7; 4]);
    assert!(sim.vms[2].state.as_ref().expect("the VM is up").is_ready());
}

/// A document with mistakes must not replace the active one, and must not block a later correct one.
#[test]
fn mistakes_keep_active_document() {
    let mut sim = Simulation::new(3, &document(1, 4, 4), 4);
    sim.publish("team: t\nmodles: []\n", 2, &[0, 1]);
    sim.advance(2_000);
    assert_eq!(revisions(&sim), [1; 3]);
    let state = sim.vms[0].state.as_ref().expect("the VM is up");
    let (_, team) = state.documents.teams().next().expect("the team is known");
    let (revision, diagnostics) = team.rejected.as_ref().expect("the rejected revision is recorded");
    assert_eq!(*revision, Revision(2));
    assert_eq!(diagnostics[0].hint.as_deref(), Some("did you mean `models`?"));
    sim.publish(&document(2, 4, 4), 3, &[0, 1, 2]);
    sim.advance(2_000);
    assert_eq!(revisions(&sim), [3; 3]);
}

/// Two revisions are published at the same time to different VMs. All VMs must end with the higher one.
#[test]
fn two_revisions_at_once() {
    let mut sim = Simulation::new(6, &document(1, 4, 4), 5);
    sim.publish(&document(2, 4, 4), 2, &[0, 1, 2]);
    sim.publish(&document(3, 4, 4), 3, &[3]);
    sim.advance(3_000);
    assert_eq!(revisions(&sim), [3; 6]);
}

/// While a VM is paused, a new document takes the failure domain of all upstreams out of use. The resumed
/// VM must not send calls there based on the old document.
#[test]
fn resumed_vm_obeys_latest() {
    let mut sim = Simulation::new(3, &document(2, 4, 4), 6);
    sim.network.max_delay_ms = 1;
    let request = sim.send_chat_call(0, 1);
    sim.pause(0, 5_000);
    let domain_out = document(2, 4, 4).replace("region: home\n", "region: home\n    state: out\n");
    sim.publish(&domain_out, 2, &[1, 2]);
    sim.advance(5_000);
    let late = sim.send_chat_call(0, 2);
    let is_sent =
        |sim: &Simulation, id| sim.active_calls.values().any(|calls| calls.iter().any(|(r, _)| *r == id));
    assert!(!is_sent(&sim, late), "a resumed VM should send nothing based on a view older than the limit");
    sim.advance(8_000);
    assert!(!is_sent(&sim, late));
    assert!(sim.replies_to(request).len() <= 1);
    assert_eq!(
        sim.replies_to(late).len(),
        1,
        "the caller should get a reply, although no upstream takes calls"
    );
}

/// The sides of a partition got different revisions. After the partition, all VMs must have the higher one.
#[test]
fn partition_heals() {
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
