//! Streams go on only at the software version that began them.
//!
//! After a crash of engines or VMs, hundreds of callers resume their streams at once, at VMs that did not begin them, and
//! versions come and go meanwhile. A stream that is joined from two versions is worse than a rejection, but most streams
//! have to go on.

use std::collections::BTreeMap;

use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::call::StreamRef;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::software::Software;
use jujubedoor_routing::stream_origins::StreamOrigin;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::streams::ANNOUNCEMENT_MS;
use jujubedoor_tests::streams::ENGINES;
use jujubedoor_tests::streams::STREAM_MS;
use jujubedoor_tests::streams::STREAMS;
use jujubedoor_tests::streams::attempt;
use jujubedoor_tests::streams::begin;
use jujubedoor_tests::streams::engine;
use jujubedoor_tests::streams::fleet_with;
use jujubedoor_tests::streams::is_rejected;
use jujubedoor_tests::streams::publish_version;
use jujubedoor_tests::streams::resume;
use jujubedoor_tests::streams::run_with_registry;
use jujubedoor_tests::streams::state;
use jujubedoor_tests::streams::version_of;
use jujubedoor_tests::streams::versions;

/// The VM that began the streams ends, and their callers resume them at the others.
#[test]
fn vm_ends() {
    for (vms, seed) in [(9, 1), (90, 2)] {
        let mut fleet = fleet_with(vms, &["v1", "v2"], seed);
        for id in 0..STREAMS {
            begin(&mut fleet, 1, id);
        }
        fleet.run(ANNOUNCEMENT_MS);
        fleet.kill(1);
        for id in 0..STREAMS {
            let vm = usize::try_from(id).expect("few") % (vms - 2) + 2;
            resume(&mut fleet, vm, 100 + id, id);
        }
        fleet.run(1_000);
        let mut went_on = BTreeMap::new();
        for id in 0..STREAMS {
            let (began, after) = (versions(&fleet, id), versions(&fleet, 100 + id));
            assert!(after.iter().all(|version| *version == began[0]), "{vms} VMs: stream {id} is joined");
            assert!(!after.is_empty(), "{vms} VMs: stream {id} could have gone on");
            *went_on.entry(began[0].clone()).or_insert(0) += 1;
        }
        assert_eq!(went_on.len(), 2, "both versions began streams: {went_on:?}");
    }
}

/// Half of the engines of each version crash while they stream; the VMs continue the streams.
#[test]
fn engines_crash() {
    let mut fleet = fleet_with(9, &["v1", "v2"], 3);
    for id in 0..90 {
        begin(&mut fleet, usize::try_from(id).expect("few") % 9, id);
    }
    fleet.run(500);
    for version in ["v1", "v2"] {
        for n in 0..ENGINES / 2 {
            fleet.crash_upstream(&engine(version, n).0);
        }
    }
    fleet.run(1_000);
    let mut continued = 0;
    for id in 0..90 {
        let versions = versions(&fleet, id);
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "stream {id} is joined: {versions:?}"
        );
        continued += usize::from(versions.len() > 1);
    }
    assert!(continued > 10, "only {continued} streams were continued");
}

/// A VM that has just started knows the streams that others began before.
#[test]
fn started_vm_learns_streams() {
    let mut fleet = fleet_with(9, &["v1", "v2"], 4);
    run_with_registry(&mut fleet, 6_000);
    for id in 0..40 {
        begin(&mut fleet, 1, id);
    }
    fleet.run(ANNOUNCEMENT_MS);
    fleet.start(5);
    fleet.load_directory(&[5]);
    fleet.run(300);
    for id in 0..40 {
        resume(&mut fleet, 5, 100 + id, id);
    }
    fleet.run(1_000);
    for id in 0..40 {
        assert_eq!(versions(&fleet, 100 + id), versions(&fleet, id)[..1], "stream {id}");
    }
}

/// VMs start again one after the other, each before those that started earlier are established.
#[test]
fn vms_start_in_turn() {
    let mut fleet = fleet_with(3, &["v1", "v2"], 12);
    let mut begun = 0;
    for vm in [0, 1, 2, 0, 1, 2] {
        for id in begun..begun + 10 {
            begin(&mut fleet, (vm + 1) % 3, id);
        }
        fleet.run(ANNOUNCEMENT_MS);
        fleet.start(vm);
        fleet.load_directory(&[vm]);
        fleet.run(ANNOUNCEMENT_MS);
        for id in begun..begun + 10 {
            resume(&mut fleet, vm, 1_000 + id, id);
        }
        fleet.run(200);
        for id in begun..begun + 10 {
            assert_eq!(versions(&fleet, 1_000 + id), versions(&fleet, id)[..1], "stream {id}, VM {vm}");
        }
        begun += 10;
    }
}

/// All VMs miss changes of the registry for a while: no stream began with a version that none of them knew.
#[test]
fn missed_changes_end_no_certainty() {
    let mut fleet = fleet_with(3, &["v1"], 13);
    run_with_registry(&mut fleet, STREAM_MS + 1_000);
    fleet.run(4_000);
    fleet.load_directory(&[0, 1, 2]);
    fleet.run(300);
    resume(&mut fleet, 0, 100, 1);
    fleet.run(100);
    assert_eq!(versions(&fleet, 100), ["v1"]);
}

/// A VM that was cut off from the registry and from the others reaches the registry first. The others may have begun streams
/// with a version that has come and gone.
#[test]
fn version_passes_unseen() {
    let mut fleet = fleet_with(3, &["v1"], 17);
    run_with_registry(&mut fleet, STREAM_MS + 1_000);
    fleet.linked = Box::new(|from, to| from != 0 && to != 0);
    let (id, registration) = engine("v2", 0);
    fleet.publish(&Change::Registered(id.clone(), registration), &[1, 2]);
    fleet.run(2_500);
    fleet.publish(&Change::Unregistered(id), &[1, 2]);
    fleet.run(200);
    fleet.load_directory(&[0]);
    resume(&mut fleet, 0, 100, 1);
    fleet.run(10);
    assert!(is_rejected(&fleet, 100), "another VM may have begun the stream with v2");
    fleet.linked = Box::new(|_, _| true);
    run_with_registry(&mut fleet, 1_000);
    resume(&mut fleet, 0, 101, 2);
    fleet.run(10);
    assert!(is_rejected(&fleet, 101), "another VM reports v2");
    run_with_registry(&mut fleet, STREAM_MS + 4_000);
    resume(&mut fleet, 0, 102, 3);
    fleet.run(10);
    assert_eq!(versions(&fleet, 102), ["v1"]);
}

/// Hundreds of streams begin at once on all VMs of a large fleet, and all VMs know them within a second.
#[test]
fn many_streams_at_once() {
    let mut fleet = fleet_with(90, &["v1", "v2"], 15);
    let all: Vec<usize> = (0..90).collect();
    for n in ENGINES..30 {
        let (id, registration) = engine("v1", n);
        fleet.publish(&Change::Registered(id, registration), &all);
    }
    for id in 0..1_800 {
        begin(&mut fleet, usize::try_from(id).expect("few") % 90, id);
    }
    fleet.run(1_000);
    let begun = (0..1_800).filter(|id| !fleet.path_of(*id).is_empty()).count();
    assert!(begun > 1_000, "only {begun} streams have begun");
    for vm in 0..90 {
        let known = state(&fleet, vm).stream_origins.known_count();
        assert!(known >= begun, "VM {vm} knows {known} of {begun} streams");
    }
    // Each of the two relays of the domain tells the two relays of each other domain.
    let max_announcements = begun * 2 * 4;
    assert!(
        fleet.remote_announcements <= max_announcements,
        "{begun} streams were announced {} times to other domains",
        fleet.remote_announcements
    );
}

/// What is known of a stream is dropped when it cannot go on any more.
#[test]
fn old_streams_are_dropped() {
    let mut fleet = fleet_with(9, &["v1", "v2"], 16);
    for id in 0..60 {
        begin(&mut fleet, 0, id);
    }
    fleet.run(STREAM_MS);
    assert!((0..9).all(|vm| state(&fleet, vm).stream_origins.known_count() == 60));
    fleet.run(STREAM_MS + ANNOUNCEMENT_MS);
    assert!((0..9).all(|vm| state(&fleet, vm).stream_origins.known_count() == 0));
}

/// All VMs end while two versions serve: nobody knows which began a stream.
#[test]
fn all_vms_end() {
    let mut fleet = fleet_with(9, &["v1", "v2"], 5);
    for vm in 0..9 {
        fleet.start(vm);
    }
    fleet.load_directory(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    fleet.run(200);
    for id in 0..9 {
        resume(&mut fleet, usize::try_from(id).expect("few"), 100 + id, id);
    }
    fleet.run(2_000);
    for id in 0..9 {
        assert!(is_rejected(&fleet, 100 + id), "call {}: {:?}", 100 + id, fleet.replies[&(100 + id)]);
    }
}

/// All VMs end, and the registry's history shows a single version. Streams that are resumed before a VM has learned of it
/// wait for it.
#[test]
fn history_shows_one_version() {
    let mut fleet = fleet_with(9, &["v1"], 6);
    for vm in 0..9 {
        fleet.start(vm);
    }
    fleet.load_directory(&[0, 1, 2, 3, 4, 5, 6, 7, 8]);
    fleet.run(100);
    for vm in 0..9 {
        resume(&mut fleet, vm, 100 + vm as u64, vm as u64);
    }
    fleet.run(100);
    fleet.send_event(0, Event::SoftwareHistoryRead { period_ms: 20_000, versions: Vec::new() });
    fleet.run(1_000);
    for id in 100..109 {
        assert_eq!(versions(&fleet, id), ["v1"], "call {id}");
    }
}

/// Another version left a short time before all VMs ended, as the registry's history shows.
#[test]
fn history_shows_another_version() {
    let mut fleet = fleet_with(3, &["v1"], 7);
    for vm in 0..3 {
        fleet.start(vm);
    }
    fleet.load_directory(&[0, 1, 2]);
    let gone = Software::new(&"llm".into(), &"v0".into());
    fleet.send_event(0, Event::SoftwareHistoryRead { period_ms: 20_000, versions: vec![gone] });
    fleet.run(500);
    for vm in 0..3 {
        resume(&mut fleet, vm, 100 + vm as u64, vm as u64);
    }
    fleet.run(2_000);
    assert!((100..103).all(|id| is_rejected(&fleet, id)));
    // By now, no stream of that version can still go on.
    run_with_registry(&mut fleet, STREAM_MS);
    resume(&mut fleet, 1, 200, 50);
    fleet.run(500);
    assert_eq!(versions(&fleet, 200), ["v1"]);
}

/// The last engines of a version leave; nobody else may go on with its streams.
#[test]
fn version_leaves() {
    let mut fleet = fleet_with(9, &["v1"], 8);
    for id in 0..9 {
        begin(&mut fleet, 0, id);
    }
    fleet.run(ANNOUNCEMENT_MS);
    publish_version(&mut fleet, "v2");
    for n in 0..ENGINES {
        let all: Vec<usize> = (0..9).collect();
        fleet.publish(&Change::Unregistered(engine("v1", n).0), &all);
    }
    run_with_registry(&mut fleet, 1_000);
    for id in 0..9 {
        resume(&mut fleet, 3, 100 + id, id);
        resume(&mut fleet, 4, 200 + id, 1_000 + id);
    }
    fleet.run(1_000);
    for id in (100..109).chain(200..209) {
        assert!(versions(&fleet, id).is_empty(), "call {id} ran at {:?}", versions(&fleet, id));
        assert!(matches!(fleet.replies[&id], Some(Reply::Rejected(_))), "call {id}");
    }
}

/// A VM that has not heard from the registry for a while does not know which versions serve.
#[test]
fn outdated_directory_decides_nothing() {
    let mut fleet = fleet_with(1, &["v1"], 9);
    run_with_registry(&mut fleet, STREAM_MS + 1_000);
    let sole = |fleet: &Fleet| state(fleet, 0).sole_software(&"llm".into(), None);
    assert_eq!(sole(&fleet), Some(Software::new(&"llm".into(), &"v1".into())));
    fleet.run(3_000);
    assert_eq!(sole(&fleet), None);
    fleet.registry_reachable = Box::new(|_| false);
    resume(&mut fleet, 0, 100, 1);
    fleet.run(1_100);
    assert!(is_rejected(&fleet, 100));
    // It has noticed meanwhile that the registry does not respond.
    fleet.send_event(0, Event::RegistryUnreachable);
    resume(&mut fleet, 0, 101, 2);
    fleet.run(100);
    assert!(is_rejected(&fleet, 101));
}

/// An engine starts again under its identifier, with another version, while streams are open there.
#[test]
fn run_changes_version() {
    let mut fleet = fleet_with(3, &["v1"], 10);
    // Nothing has shown yet which run is behind the connections.
    fleet.connection_age_ms = 0;
    for id in 0..30 {
        begin(&mut fleet, 0, id);
    }
    fleet.run(500);
    let (restarted, registration) = engine("v1", 0);
    let streams: Vec<u64> = (0..30).filter(|id| fleet.path_of(*id)[0] == restarted).collect();
    assert!(!streams.is_empty(), "no stream runs at the engine that starts again");
    let again = Registration { version: "v2".into(), started: 2, ..registration };
    fleet.publish(&Change::Registered(restarted.clone(), again), &[0, 1, 2]);
    fleet.run(ANNOUNCEMENT_MS);
    fleet.crash_upstream(&restarted);
    fleet.run(500);
    for id in streams {
        assert_eq!(fleet.path_of(id).len(), 1, "nobody knows which run began stream {id}");
        resume(&mut fleet, 2, 100 + id, id);
        fleet.run(10);
        assert!(is_rejected(&fleet, 100 + id), "stream {id}");
    }
}

/// Two relays have different records of a stream, which each announces to the other.
#[test]
fn records_that_differ() {
    let mut fleet = fleet_with(90, &["v1", "v2"], 14);
    let stream = StreamRef::begun_by(&attempt(1)).key.expect("the attempt has an identifier");
    for (vm, version) in [(1, "v1"), (2, "v2")] {
        let software = Software::new(&"llm".into(), &version.into());
        fleet.send_event(vm, Event::StreamOriginsReceived(vec![StreamOrigin::certain(stream, software)]));
        begin(&mut fleet, vm, 1);
        fleet.run(100);
    }
    fleet.run(3_000);
    let known = |fleet: &Fleet| -> Vec<Option<Software>> {
        (0..90).map(|vm| state(fleet, vm).stream_origins.get(stream)).collect()
    };
    assert_eq!(known(&fleet), vec![Some(Software::UNKNOWN); 90], "the VMs do not agree");
    let announced = |fleet: &mut Fleet| -> usize {
        let vms = fleet.vms.iter_mut().flatten();
        vms.map(|state| state.stream_origins.take_pending(1_000).len()).sum()
    };
    assert_eq!(announced(&mut fleet), 0, "the VMs go on announcing the stream");
}

/// An engine is back after an outage, and its registration has not arrived: another version may serve there.
#[test]
fn engine_back_without_registration() {
    let mut fleet = fleet_with(1, &["v1", "v2"], 11);
    run_with_registry(&mut fleet, 1_000);
    for id in 0..20 {
        begin(&mut fleet, 0, id);
    }
    fleet.run(500);
    let version = version_of(&fleet.path_of(0)[0]).to_owned();
    let engines: Vec<Name> = (0..ENGINES).map(|n| engine(&version, n).0).collect();
    for id in &engines {
        let state = fleet.vms[0].as_mut().expect("the VM is up");
        let now = state.now;
        let upstream = state.upstreams.get_mut(id).expect("the engine is registered");
        upstream.record_unreachable(now, 1, 1);
        upstream.record_reachable(now);
    }
    resume(&mut fleet, 0, 100, 0);
    fleet.run(100);
    assert!(versions(&fleet, 100).is_empty(), "the stream went on at a run that is not known");
    begin(&mut fleet, 0, 102);
    fleet.run(100);
    let is_in_doubt = version_of(&fleet.path_of(102)[0]) == version;
    if is_in_doubt {
        resume(&mut fleet, 0, 103, 102);
        fleet.run(100);
        assert!(versions(&fleet, 103).is_empty(), "the stream began at a run that is not known");
    }
    // The registry does not contain the next registration yet, so that it is written after the outage.
    fleet.send_event(0, Event::ChangesPublished(fleet.directory.revision, Vec::new()));
    let (id, registration) = engine(&version, 1);
    let again = Registration { sequence: 2, ..registration };
    fleet.publish(&Change::Registered(id.clone(), again), &[0]);
    resume(&mut fleet, 0, 101, 0);
    fleet.run(100);
    assert_eq!(fleet.path_of(101), [id], "its registration shows that the run is the same");
    run_with_registry(&mut fleet, 3_000);
    resume(&mut fleet, 0, 104, 0);
    fleet.run(100);
    assert_eq!(versions(&fleet, 104), [version.as_str()], "no other registration has arrived");
    run_with_registry(&mut fleet, 1_000);
    if is_in_doubt {
        let after = versions(&fleet, 103);
        assert!(after == [version.as_str()] || is_rejected(&fleet, 103), "went on at {after:?}");
    }
}
