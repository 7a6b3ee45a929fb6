//! Streams whose run is not certain yet go on only at the version that began them.
//!
//! An upstream may have crashed and started again unnoticed, as another version whose registration has not arrived. The VM
//! takes the streams that it begins there for those of the registered version.

use std::collections::BTreeSet;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Event;
use jujubedoor_routing::call::StreamRef;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::software::Software;
use jujubedoor_routing::stream_origins::StreamOrigin;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::streams::ANNOUNCEMENT_MS;
use jujubedoor_tests::streams::ENGINES;
use jujubedoor_tests::streams::STREAMS;
use jujubedoor_tests::streams::attempt;
use jujubedoor_tests::streams::begin;
use jujubedoor_tests::streams::crash;
use jujubedoor_tests::streams::engine;
use jujubedoor_tests::streams::fleet_with;
use jujubedoor_tests::streams::fleet_with_new_connections;
use jujubedoor_tests::streams::is_rejected;
use jujubedoor_tests::streams::resume;
use jujubedoor_tests::streams::run_with_registry;
use jujubedoor_tests::streams::state;
use jujubedoor_tests::streams::versions;

/// Number of streams that are broken off, as many as may be retried at once.
const BROKEN: u64 = 6;

/// Time within which a stream goes on whose run has to be observed first, in milliseconds.
const OBSERVED_MS: u64 = 3_000;

/// Lets an upstream end and start again while it serves no requests, as a run that has not registered yet. Returns it.
fn restart_idle(fleet: &mut Fleet) -> Name {
    let (restarted, _) = engine("v1", 0);
    fleet.close_idle_connections(&restarted);
    restarted
}

/// Returns the streams that began at an upstream.
fn begun_at(fleet: &Fleet, upstream: &Name) -> Vec<u64> {
    (0..STREAMS).filter(|id| fleet.path_of(*id).first() == Some(upstream)).collect()
}

fn assert_one_version(fleet: &Fleet, id: u64) {
    let began = versions(fleet, id);
    let all: BTreeSet<String> = began.iter().cloned().chain(versions(fleet, 100 + id)).collect();
    assert!(all.len() <= 1, "stream {id} is joined from {all:?}");
}

/// An upstream has started again unnoticed, as another version, begins streams and crashes before its registration arrives.
/// Guards against streams that go on at the registered version, in the same response or for callers who resume them.
#[test]
fn unregistered_run_crashes() {
    let mut fleet = fleet_with_new_connections(9, &["v1"], 1);
    let restarted = restart_idle(&mut fleet);
    for id in 0..STREAMS {
        begin(&mut fleet, 1, id);
    }
    run_with_registry(&mut fleet, 600);
    let streams = begun_at(&fleet, &restarted);
    assert!(streams.len() > 2, "too few streams began at the upstream that started again");
    crash(&mut fleet, &restarted);
    run_with_registry(&mut fleet, 4_000);
    for id in &streams {
        assert_eq!(fleet.path_of(*id).len(), 1, "stream {id} goes on at another run");
        resume(&mut fleet, usize::try_from(*id).expect("few") % 9, 100 + id, *id);
    }
    run_with_registry(&mut fleet, 4_000);
    for id in &streams {
        assert!(is_rejected(&fleet, 100 + id), "stream {id} is resumed at another run");
    }
}

/// The VM ends before the upstream crashes. Guards against other VMs that take its assumption for certain.
#[test]
fn unregistered_run_crashes_after_the_vm() {
    let mut fleet = fleet_with_new_connections(9, &["v1"], 2);
    let restarted = restart_idle(&mut fleet);
    for id in 0..STREAMS {
        begin(&mut fleet, 1, id);
    }
    run_with_registry(&mut fleet, ANNOUNCEMENT_MS);
    fleet.kill(1);
    let streams = begun_at(&fleet, &restarted);
    assert!(streams.len() > 2, "too few streams began at the upstream that started again");
    crash(&mut fleet, &restarted);
    for id in &streams {
        resume(&mut fleet, 2 + usize::try_from(*id).expect("few") % 7, 100 + id, *id);
    }
    run_with_registry(&mut fleet, 5_000);
    for id in &streams {
        assert!(is_rejected(&fleet, 100 + id), "stream {id} is resumed at another run");
    }
}

/// Upstreams of two versions crash after their streams have gone on for a while. Guards against streams that end although
/// their connections show which run began them.
#[test]
fn known_run_crashes() {
    let mut fleet = fleet_with_new_connections(9, &["v1", "v2"], 3);
    for id in 0..STREAMS {
        begin(&mut fleet, 1, id);
    }
    run_with_registry(&mut fleet, 3_000);
    let crashed = fleet.path_of(0)[0].clone();
    crash(&mut fleet, &crashed);
    run_with_registry(&mut fleet, 500);
    for id in begun_at(&fleet, &crashed) {
        assert!(fleet.path_of(id).len() == 2, "stream {id} could have gone on");
        assert_one_version(&fleet, id);
    }
    assert_eq!(fleet.searches, 0, "the connections of the streams are enough");
}

/// An upstream crashes that has served streams of one VM for long, and of another one for a short time. Guards against the
/// latter's end, although the former show the run.
#[test]
fn other_vms_show_the_run() {
    for (vms, seed) in [(9, 13), (90, 14)] {
        let mut fleet = fleet_with_new_connections(vms, &["v1", "v2"], seed);
        for id in 1_000..1_030 {
            begin(&mut fleet, 3, id);
        }
        run_with_registry(&mut fleet, 4_000);
        for id in 0..STREAMS {
            begin(&mut fleet, 1, id);
        }
        run_with_registry(&mut fleet, 500);
        let crashed = fleet.path_of(0)[0].clone();
        assert!((1_000..1_030).any(|id| fleet.path_of(id)[0] == crashed), "no stream shows the run");
        let streams = begun_at(&fleet, &crashed);
        crash(&mut fleet, &crashed);
        run_with_registry(&mut fleet, 1_500);
        for id in &streams {
            let stream = StreamRef::begun_by(&attempt(*id)).key.expect("the attempt has an identifier");
            let origin = state(&fleet, 1)
                .stream_origins
                .record_of(stream, Time(fleet.now))
                .expect("the stream has begun");
            let is_known = origin.run.is_none() && origin.software != Software::UNKNOWN;
            assert!(is_known, "{vms} VMs: {origin:?} of stream {id}");
            assert_one_version(&fleet, *id);
        }
        // The retry budget of a VM in a large fleet does not suffice for all.
        assert!(
            streams.iter().any(|id| fleet.path_of(*id).len() == 2),
            "{vms} VMs: none of {streams:?} went on"
        );
    }
}

/// The VM that began the streams ends at once, while upstreams of two versions serve. Guards against streams that end
/// although the upstreams that began them are still there.
#[test]
fn vm_ends_early() {
    for (vms, seed) in [(9, 4), (90, 5)] {
        let mut fleet = fleet_with_new_connections(vms, &["v1", "v2"], seed);
        for id in 0..STREAMS {
            begin(&mut fleet, 1, id);
        }
        run_with_registry(&mut fleet, ANNOUNCEMENT_MS);
        fleet.kill(1);
        for id in 0..STREAMS {
            resume(&mut fleet, 2 + usize::try_from(id).expect("few") % (vms - 2), 100 + id, id);
        }
        run_with_registry(&mut fleet, OBSERVED_MS);
        for id in 0..STREAMS {
            assert!(!versions(&fleet, 100 + id).is_empty(), "{vms} VMs: stream {id} could have gone on");
            assert_one_version(&fleet, id);
        }
        assert!(fleet.searches <= usize::try_from(STREAMS).expect("few"), "{} searches", fleet.searches);
    }
}

/// Begins streams while the registry does not respond to anyone, ends their VM after a time, and resumes them at others.
fn resumed_without_a_registry(age_ms: u64) -> Fleet {
    let mut fleet = fleet_with_new_connections(9, &["v1", "v2"], 15);
    fleet.registry_reachable = Box::new(|_| false);
    let lose_registry = |fleet: &mut Fleet, duration_ms: u64| {
        let until = fleet.now + duration_ms;
        while fleet.now < until {
            (0..9).for_each(|vm| fleet.send_event(vm, Event::RegistryUnreachable));
            fleet.run(400);
        }
    };
    lose_registry(&mut fleet, 4_000);
    for id in 0..STREAMS {
        begin(&mut fleet, 1, id);
    }
    lose_registry(&mut fleet, age_ms);
    fleet.kill(1);
    for id in 0..STREAMS {
        resume(&mut fleet, 2 + usize::try_from(id).expect("few") % 7, 100 + id, id);
    }
    fleet.run(OBSERVED_MS);
    fleet
}

/// Guards against streams that end although nothing can have replaced their upstream since they began.
#[test]
fn vm_ends_without_a_registry() {
    let fleet = resumed_without_a_registry(800);
    for id in 0..STREAMS {
        assert!(!versions(&fleet, 100 + id).is_empty(), "stream {id} could have gone on");
        assert_eq!(fleet.path_of(100 + id)[0], fleet.path_of(id)[0], "stream {id} goes on at its upstream");
    }
}

/// Guards against streams that go on at an upstream which may have ended and started again as another version meanwhile:
/// the registry shows that to nobody, and VMs without a connection to it do not notice.
#[test]
fn upstream_may_have_been_replaced_without_a_registry() {
    let mut fleet = resumed_without_a_registry(4_000);
    fleet.run(OBSERVED_MS);
    for id in 0..STREAMS {
        assert!(is_rejected(&fleet, 100 + id), "stream {id}: {:?}", fleet.path_of(100 + id));
    }
}

/// Upstreams write their registrations in longer intervals. Guards against a run that counts as shown after a time that is
/// long enough in another deployment only.
#[test]
fn late_registrations() {
    let mut fleet = fleet_with_new_connections(9, &["v1"], 1);
    for vm in fleet.vms.iter_mut().flatten() {
        vm.tuning.registration_delay_ms = 4_000;
    }
    let restarted = restart_idle(&mut fleet);
    for id in 0..STREAMS {
        begin(&mut fleet, 1, id);
    }
    run_with_registry(&mut fleet, 3_000);
    let streams = begun_at(&fleet, &restarted);
    assert!(!streams.is_empty(), "no stream began at the upstream that started again");
    crash(&mut fleet, &restarted);
    run_with_registry(&mut fleet, 6_000);
    for id in &streams {
        assert_eq!(fleet.path_of(*id).len(), 1, "stream {id} goes on at another run");
    }
}

/// Upstreams break off some of their streams at once and go on serving. Guards against streams that end although their
/// upstream is still there.
#[test]
fn streams_break_early() {
    let mut fleet = fleet_with_new_connections(3, &["v1", "v2"], 6);
    fleet.upstream_behavior = Box::new(|_, id, _| {
        let outcome = if id < BROKEN { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Complete };
        Behavior { runs: true, outcome, work_ms: 300 }
    });
    for id in 0..STREAMS {
        begin(&mut fleet, 0, id);
    }
    run_with_registry(&mut fleet, 2 * OBSERVED_MS);
    for id in 0..BROKEN {
        assert!(fleet.path_of(id).len() > 1, "stream {id} could have gone on");
        assert_one_version(&fleet, id);
    }
    assert!((1..=8).contains(&fleet.searches), "{} searches for 8 upstreams", fleet.searches);
}

/// A VM is out of step: it has the announcement of streams, but not the registration that shows the run that began them.
/// Guards against streams that it resumes at the version which was assumed, when others know that this is wrong.
#[test]
fn vm_missed_the_registration() {
    for registry_reachable in [true, false] {
        let mut fleet = fleet_with_new_connections(9, &["v1"], 7);
        for id in 0..STREAMS {
            begin(&mut fleet, 1, id);
        }
        run_with_registry(&mut fleet, ANNOUNCEMENT_MS);
        fleet.linked = Box::new(|from, to| from != 2 && to != 2);
        fleet.registry_reachable = Box::new(move |_| registry_reachable);
        let (restarted, registration) = engine("v1", 0);
        let streams = begun_at(&fleet, &restarted);
        let again = Registration { version: "v2".into(), started: 2, ..registration };
        fleet.publish(&Change::Registered(restarted, again), &[0, 1, 3, 4, 5, 6, 7, 8]);
        fleet.run(ANNOUNCEMENT_MS);
        for id in &streams {
            resume(&mut fleet, 2, 100 + id, *id);
        }
        fleet.run(5_000);
        for id in &streams {
            assert!(is_rejected(&fleet, 100 + id), "stream {id}, registry: {registry_reachable}");
        }
    }
}

/// A VM stands still, and then reads what arrived before its upstream crashed. Guards against old bytes and responses of the
/// registry that count as evidence because they are read late.
#[test]
fn vm_stood_still() {
    let mut fleet = fleet_with_new_connections(3, &["v1"], 8);
    for id in 0..STREAMS {
        begin(&mut fleet, 0, id);
    }
    run_with_registry(&mut fleet, 500);
    let (restarted, _) = engine("v1", 0);
    let streams = begun_at(&fleet, &restarted);
    let standing = fleet.vms[0].take();
    fleet.run(3_000);
    fleet.vms[0] = standing;
    for id in &streams {
        fleet.send_event(0, Event::StreamContinued { request: *id, open_ms: 3_500, quiet_ms: 0 });
    }
    fleet.send_event(0, Event::ChangesPublished(fleet.directory.revision, Vec::new()));
    fleet.send_event(0, Event::Tick);
    crash(&mut fleet, &restarted);
    for _ in 0..80 {
        fleet.run(50);
        fleet.send_event(0, Event::Tick);
    }
    for id in streams {
        assert_eq!(fleet.path_of(id).len(), 1, "stream {id} goes on at another run");
    }
}

/// The records of the same stream arrive in different orders. Guards against VMs that do not agree, and against an
/// assumption that replaces what is certain.
#[test]
fn records_are_combined() {
    let stream = StreamRef::begun_by(&attempt(1)).key.expect("the attempt has an identifier");
    let mut fleet = fleet_with_new_connections(1, &["v1", "v2"], 9);
    begin(&mut fleet, 0, 1);
    fleet.run(100);
    let assumed =
        state(&fleet, 0).stream_origins.record_of(stream, Time(fleet.now)).expect("the stream has begun");
    assert!(assumed.run.is_some(), "nothing shows the run yet");
    let certain = StreamOrigin::certain(stream, assumed.software);
    let other = Software::new(&"llm".into(), &"v3".into());
    let differs = StreamOrigin::certain(stream, other);
    let unknown = StreamOrigin::certain(stream, Software::UNKNOWN);
    let orders = [
        (vec![assumed, certain], certain),
        (vec![certain, assumed], certain),
        (vec![assumed, assumed], assumed),
        (vec![assumed, differs], unknown),
        (vec![differs, assumed, certain], unknown),
        (vec![unknown, certain], unknown),
    ];
    for (records, expected) in orders {
        let mut fleet = fleet_with_new_connections(1, &["v1", "v2"], 10);
        for record in &records {
            fleet.send_event(0, Event::StreamOriginsReceived(vec![*record]));
        }
        assert_eq!(
            state(&fleet, 0).stream_origins.record_of(stream, Time(fleet.now)),
            Some(expected),
            "{records:?}"
        );
    }
}

/// Returns a fleet of one VM that has begun a stream, and whose upstreams of that version are back after an outage.
fn back_after_an_outage(seed: u64) -> Fleet {
    let mut fleet = fleet_with(1, &["v1", "v2"], seed);
    run_with_registry(&mut fleet, 1_000);
    begin(&mut fleet, 0, 0);
    fleet.run(500);
    let version = versions(&fleet, 0)[0].clone();
    let state = fleet.vms[0].as_mut().expect("the VM is up");
    let now = state.now;
    for (id, upstream) in &mut state.upstreams {
        if id.starts_with(&version) {
            upstream.record_unreachable(now, 1, 1);
            upstream.record_reachable(now);
        }
    }
    fleet
}

/// The VM reads the complete registry after the outage, with the registrations that it knows. Guards against a stream that goes
/// on at a run which is not registered yet.
#[test]
fn complete_read_shows_nothing() {
    let mut fleet = back_after_an_outage(11);
    fleet.load_directory(&[0]);
    resume(&mut fleet, 0, 100, 0);
    fleet.run(500);
    assert!(versions(&fleet, 100).is_empty(), "the stream went on at a run that is not known");
    run_with_registry(&mut fleet, 3_000);
    resume(&mut fleet, 0, 101, 0);
    fleet.run(500);
    assert_eq!(versions(&fleet, 101), versions(&fleet, 0), "no other registration has arrived");
}

/// The upstreams wrote their entries again before the outage, and the VM learns of it afterwards. Guards against a stream that
/// goes on at a run which is not registered yet.
#[test]
fn late_registration_shows_nothing() {
    let mut fleet = back_after_an_outage(12);
    let version = versions(&fleet, 0)[0].clone();
    for n in 0..ENGINES {
        let (id, registration) = engine(&version, n);
        let again = Registration { sequence: 2, ..registration };
        fleet.publish(&Change::Registered(id, again), &[]);
    }
    fleet.load_directory(&[0]);
    resume(&mut fleet, 0, 100, 0);
    fleet.run(500);
    assert!(versions(&fleet, 100).is_empty(), "the stream went on at a run that is not known");
}
