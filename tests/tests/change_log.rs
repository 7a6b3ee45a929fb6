//! The log of changes that VMs keep for each other.
//!
//! Operators may publish a long list of routes several times a second. If the log kept each version, a VM would hold
//! tens of them, which takes several times the memory of everything else.

use std::sync::Arc;

use jujubedoor::ids::StoreRevision;
use jujubedoor_routing::Directory;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::ChangeLog;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::router::routes;

/// Number of versions of the routes that are published.
const VERSIONS: u64 = 30;

fn revision(number: u64) -> StoreRevision {
    StoreRevision { epoch: 0, number }
}

/// Returns versions of the routes, each followed by the registration of an upstream.
fn changes() -> Vec<(StoreRevision, Change)> {
    let of_version = |version: u64| {
        let registered = Change::Registered(format!("desk-{version}").into(), registration("desk", 0));
        [(revision(version * 2), Change::Routes(routes(version))), (revision(version * 2 + 1), registered)]
    };
    (1..=VERSIONS).flat_map(of_version).collect()
}

/// Returns the directory after some changes.
fn directory_after(changes: Vec<(StoreRevision, Change)>) -> Directory {
    let mut directory = Directory::default();
    for (at, change) in changes {
        directory.apply(at, change);
    }
    directory
}

/// Guards against a log that keeps routes which nobody needs any more.
#[test]
fn replaced_routes_are_dropped() {
    let first = routes(1);
    let mut log = ChangeLog::default();
    log.push(revision(1), Change::Routes(first.clone()));
    log.push(revision(2), Change::Routes(routes(2)));
    assert_eq!(Arc::strong_count(&first), 1);
}

/// Guards against a VM that lacks changes because the log has dropped some of them: from each revision on, the rest of
/// the log leads to the same directory.
#[test]
fn rest_of_log_is_complete() {
    let mut log = ChangeLog::default();
    for (at, change) in changes() {
        log.push(at, change);
    }
    for known in 0..=VERSIONS * 2 + 1 {
        let mut received: Vec<(StoreRevision, Change)> = changes();
        received.retain(|(at, _)| *at <= revision(known));
        received.extend(log.since(revision(known)).expect("the log reaches back to the start"));
        assert_eq!(directory_after(received), directory_after(changes()), "from revision {known}");
    }
}

/// Guards against the loss of the routes in force if an older version is published again after them.
#[test]
fn older_routes_replace_nothing() {
    let mut log = ChangeLog::default();
    for (at, version) in [(1, 8), (2, 7)] {
        log.push(revision(at), Change::Routes(routes(version)));
    }
    let directory = directory_after(log.since(revision(0)).expect("the log reaches back to the start"));
    assert_eq!(directory.routes.map(|r| r.version), Some(8));
}
