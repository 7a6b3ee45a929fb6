//! The platform's store is restored from an older copy: documents that were published since are gone, and the
//! revisions of new ones are lower than before.

use std::time::Duration;

use jujubedoor::ids::Revision;
use jujubedoor::ids::StoreRevision;
use jujubedoor_cli::local::FleetConfig;
use jujubedoor_cli::local::LocalFleet;
use jujubedoor_cli::local::TEAM;
use jujubedoor_node::admin::Status;
use jujubedoor_tests::simulation::Simulation;
use jujubedoor_tests::simulation::document;

/// Time within which a published document is in force on all VMs, in seconds.
const IN_FORCE_S: u64 = 5;

/// Returns the last rejected revision of the team's document on each VM. A rejection shows that the VM has read it.
async fn rejected(fleet: &LocalFleet) -> Vec<Option<u64>> {
    let responses =
        fleet.operator().send_to_all::<Status>("/v1/status").await.expect("the platform responds");
    responses.into_iter().map(|(_, s)| s.expect("the VM responds").documents[0].rejected).collect()
}

/// A document that is published after the restore must be read, although its revision is lower than earlier ones.
#[tokio::test]
async fn document_after_restore_is_read() {
    let config = FleetConfig { engines: 2, ..FleetConfig::default() };
    let fleet = LocalFleet::start(config).await.expect("the fleet starts");
    let copy = fleet.platform.copy();
    let mistaken = "team: local\nmodles: []\n";
    let before = (0..5).map(|_| fleet.platform.publish_document(TEAM, mistaken)).max();
    tokio::time::sleep(Duration::from_secs(IN_FORCE_S)).await;
    assert_eq!(rejected(&fleet).await, vec![before; 3], "before the restore");
    fleet.platform.restore(copy);
    let after = fleet.platform.publish_document(TEAM, mistaken);
    assert!(Some(after) < before, "the revision is lower");
    tokio::time::sleep(Duration::from_secs(IN_FORCE_S)).await;
    assert_eq!(rejected(&fleet).await, vec![Some(after); 3], "after the restore");
}

/// Returns a revision of the store in an epoch.
fn at(epoch: u64, number: u64) -> StoreRevision {
    StoreRevision { epoch, number }
}

/// Returns the number of engines in the active document of each VM, by which the tests tell documents apart, and its
/// revision.
fn active(sim: &Simulation) -> Vec<(usize, Revision)> {
    let states = sim.vms.iter().filter_map(|vm| vm.state.as_ref());
    let engines = |state: &jujubedoor::State| {
        let document = state.documents.active().next().expect("a document is active");
        document.published.text.matches("serves: [m]").count()
    };
    states.map(|state| (engines(state), state.documents.revision("t"))).collect()
}

/// Starts three VMs that have watched a store in which the document with `n` engines has the revision `n`, up to 7.
fn watched_fleet(seed: u64) -> Simulation {
    let mut sim = Simulation::new(3, &document(1, 4, 4), seed);
    for vm in 0..3 {
        sim.read_store(vm, at(0, 1), true, &[(1, &document(1, 4, 4))]);
        for (number, engines) in (2..=7).zip(2..) {
            sim.read_store(vm, at(0, number), false, &[(number, &document(engines, 4, 4))]);
        }
    }
    sim.platform_available = false;
    sim
}

/// The store is restored, and the first read finds a new document under a number that had another text before. Only the
/// VM that reads it knows that it is new; the others must get it, too.
#[test]
fn new_text_wins() {
    let mut sim = watched_fleet(1);
    sim.read_store(0, at(1, 3), true, &[(3, &document(9, 4, 4))]);
    sim.advance(3_000);
    assert_eq!(active(&sim), [(9, Revision::in_epoch(1, 3)); 3]);
}

/// A document that is published after a VM has read the restored store is new, whatever its number and text were before.
#[test]
fn later_change_wins() {
    let mut sim = watched_fleet(2);
    sim.read_store(0, at(1, 2), true, &[(2, &document(2, 4, 4))]);
    sim.read_store(0, at(1, 3), false, &[(3, &document(3, 4, 4))]);
    sim.advance(3_000);
    assert_eq!(active(&sim), [(3, Revision::in_epoch(1, 3)); 3]);
}

/// The older copy would replace the latest document if its number were labelled with the new epoch.
#[test]
fn copy_loses() {
    let mut sim = watched_fleet(3);
    for vm in 0..3 {
        sim.read_store(vm, at(1, 4), true, &[(4, &document(4, 4, 4))]);
    }
    sim.advance(3_000);
    assert_eq!(active(&sim), [(7, Revision(7)); 3]);
    // The writer of the latest document writes it again.
    sim.read_store(1, at(1, 5), false, &[(5, &document(7, 4, 4))]);
    sim.advance(3_000);
    assert_eq!(active(&sim), [(7, Revision::in_epoch(1, 5)); 3]);
}

/// A text is published again under its number, between the restore and the first read. It looks like an item of the copy,
/// which must not replace the latest document. A later one is read as usual.
#[test]
fn same_number_and_text() {
    let mut sim = watched_fleet(4);
    for vm in 0..3 {
        sim.read_store(vm, at(1, 3), true, &[(3, &document(3, 4, 4))]);
    }
    sim.advance(3_000);
    assert_eq!(active(&sim), [(7, Revision(7)); 3]);
    sim.read_store(2, at(1, 4), false, &[(4, &document(4, 4, 4))]);
    sim.advance(3_000);
    assert_eq!(active(&sim), [(4, Revision::in_epoch(1, 4)); 3]);
}

/// A VM that starts after the restore knows only the copy. It must not pass the copy on as new, and must get the latest
/// document.
#[test]
fn late_start() {
    let mut sim = watched_fleet(5);
    sim.kill(2);
    sim.start(2);
    sim.read_store(2, at(1, 4), true, &[(4, &document(4, 4, 4))]);
    assert_eq!(active(&sim)[2], (4, Revision(4)), "the copy is all that the VM knows at first");
    sim.advance(3_000);
    assert_eq!(active(&sim), [(7, Revision(7)); 3]);
}

/// A VM that was away has not read the latest documents of the earlier epoch. An item of the copy that is new to this VM
/// must not replace the later one that the others know.
#[test]
fn away_at_restore() {
    let mut sim = watched_fleet(6);
    for vm in 0..2 {
        sim.read_store(vm, at(0, 9), false, &[(8, &document(8, 4, 4)), (9, &document(9, 4, 4))]);
    }
    sim.read_store(2, at(1, 8), true, &[(8, &document(8, 4, 4))]);
    sim.advance(3_000);
    assert_eq!(active(&sim), [(9, Revision(9)); 3]);
}

/// The same if the VM missed a whole epoch: the copy may be one of that epoch, whose documents it has not read.
#[test]
fn missed_epoch() {
    let mut sim = watched_fleet(7);
    for vm in 0..2 {
        sim.read_store(vm, at(1, 2), true, &[(2, &document(2, 4, 4))]);
        sim.read_store(vm, at(1, 4), false, &[(3, &document(13, 4, 4)), (4, &document(14, 4, 4))]);
    }
    sim.read_store(2, at(2, 3), true, &[(3, &document(13, 4, 4))]);
    sim.advance(3_000);
    assert_eq!(active(&sim), [(14, Revision::in_epoch(1, 4)); 3]);
}

/// After two restores, the copy may be one of the first epoch. Its items must not count as new because the VM has read
/// other documents under their numbers in the second.
#[test]
fn copy_of_earlier_epoch() {
    let mut sim = watched_fleet(8);
    for vm in 0..3 {
        sim.read_store(vm, at(1, 2), true, &[(2, &document(2, 4, 4))]);
        sim.read_store(vm, at(1, 4), false, &[(3, &document(13, 4, 4)), (4, &document(14, 4, 4))]);
        sim.read_store(vm, at(2, 4), true, &[(4, &document(4, 4, 4))]);
    }
    sim.advance(3_000);
    assert_eq!(active(&sim), [(14, Revision::in_epoch(1, 4)); 3]);
}
