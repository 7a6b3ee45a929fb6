//! A machine loses power, and another run of its upstream serves before anything shows that the one before has ended.
//!
//! No end of a connection arrives, so the connections that watch the upstream look open all the time.

use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_tests::streams::ANNOUNCEMENT_MS;
use jujubedoor_tests::streams::STREAMS;
use jujubedoor_tests::streams::begin;
use jujubedoor_tests::streams::crash;
use jujubedoor_tests::streams::engine;
use jujubedoor_tests::streams::fleet_with_new_connections;
use jujubedoor_tests::streams::is_rejected;
use jujubedoor_tests::streams::resume;
use jujubedoor_tests::streams::run_with_registry;

/// Time after which the VMs know all runs, in milliseconds.
const SHOWN_MS: u64 = 8_000;

/// Time from the start of a run until its registration arrives, in milliseconds.
const REGISTRATION_MS: u64 = 800;

/// Time from the registration to the crash of the run, in milliseconds.
const REGISTERED_MS: u64 = 900;

/// Time within which streams go on that broke off, in milliseconds.
const RESUMED_MS: u64 = 4_000;

/// Streams begin at the next run before its registration arrives. Guards against a connection that looks open and counts as
/// evidence of the run before, so that the streams go on at that run's version (ORDER).
#[test]
fn streams_are_not_joined() {
    replace_silently(0);
}

/// The same over connections that have served other requests of the next run for a while. Guards against evidence of two processes that is
/// combined: what arrived over one connection, and that another one looks open (ORDER).
#[test]
fn streams_over_used_connections_are_not_joined() {
    replace_silently(1_100);
}

/// Begins streams over connections of an age at a run that has not registered, and crashes it after it has.
fn replace_silently(connection_age_ms: u64) {
    for (vms, seed) in [(3, 1), (9, 2), (60, 3)] {
        // The connections are replaced at any time before the streams begin.
        for idle_ms in [0, 500, 1_000, 1_500, 2_000, 2_500] {
            let mut fleet = fleet_with_new_connections(vms, &["v1"], seed);
            run_with_registry(&mut fleet, SHOWN_MS + idle_ms);
            fleet.connection_age_ms = connection_age_ms;
            let (replaced, registration) = engine("v1", 0);
            for id in 0..STREAMS {
                begin(&mut fleet, usize::try_from(id).expect("few") % vms, id);
            }
            run_with_registry(&mut fleet, REGISTRATION_MS);
            let streams: Vec<u64> =
                (0..STREAMS).filter(|id| fleet.path_of(*id).first() == Some(&replaced)).collect();
            assert!(!streams.is_empty(), "no stream began at the upstream");
            let next = Registration { version: "v2".into(), started: 2, ..registration };
            let all: Vec<usize> = (0..vms).collect();
            fleet.publish(&Change::Registered(replaced.clone(), next), &all);
            run_with_registry(&mut fleet, REGISTERED_MS);
            crash(&mut fleet, &replaced);
            run_with_registry(&mut fleet, ANNOUNCEMENT_MS);
            for id in &streams {
                assert_eq!(fleet.path_of(*id).len(), 1, "{vms} VMs, {idle_ms} ms: stream {id} is joined");
                resume(&mut fleet, usize::try_from(id + 1).expect("few") % vms, 100 + id, *id);
            }
            run_with_registry(&mut fleet, RESUMED_MS);
            for id in &streams {
                assert!(is_rejected(&fleet, 100 + id), "{vms} VMs, {idle_ms} ms: stream {id} is joined");
            }
        }
    }
}
