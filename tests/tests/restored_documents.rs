//! The platform's store is restored from an older copy: documents that were published since are gone, and the
//! revisions of new ones are lower than before.

use std::time::Duration;

use jujubedoor_cli::local::FleetConfig;
use jujubedoor_cli::local::LocalFleet;
use jujubedoor_cli::local::TEAM;
use jujubedoor_node::admin::Status;

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
