//! Upstreams that close idle connections after any time are as well known as others.

use std::collections::BTreeSet;

use jujubedoor_config::Name;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::streams::ENGINES;
use jujubedoor_tests::streams::STREAMS;
use jujubedoor_tests::streams::begin;
use jujubedoor_tests::streams::crash;
use jujubedoor_tests::streams::engine;
use jujubedoor_tests::streams::fleet_with_new_connections;
use jujubedoor_tests::streams::is_rejected;
use jujubedoor_tests::streams::resume;
use jujubedoor_tests::streams::run_with_registry;
use jujubedoor_tests::streams::versions;

/// Times after which upstreams close idle connections, in milliseconds. Some are shorter than what shows a run, and some are
/// close to the time after which a VM replaces a connection itself.
const IDLE_TIMEOUTS_MS: [u64; 9] = [1_000, 1_300, 1_900, 2_000, 2_500, 3_000, 3_500, 4_000, 60_000];

/// Time in which the connections of a VM show the run of each upstream, in milliseconds.
const SHOWN_MS: u64 = 8_000;

/// Time within which streams go on that broke off, in milliseconds.
const RESUMED_MS: u64 = 1_500;

/// Time within which a stream goes on whose run has to be observed first, in milliseconds.
const OBSERVED_MS: u64 = 3_500;

/// Returns a fleet that has served no requests for a time, with upstreams that close idle connections.
fn idle_fleet(vms: usize, idle_timeout_ms: u64, seed: u64) -> Fleet {
    let mut fleet = fleet_with_new_connections(vms, &["v1", "v2"], seed);
    fleet.idle_timeout_ms = Some(idle_timeout_ms);
    run_with_registry(&mut fleet, SHOWN_MS);
    fleet
}

fn begun_at(fleet: &Fleet, upstream: &Name) -> Vec<u64> {
    (0..STREAMS).filter(|id| fleet.path_of(*id).first() == Some(upstream)).collect()
}

fn vm_of(id: u64, vms: usize) -> usize {
    usize::try_from(id).expect("few") % vms
}

/// An upstream ends soon after its first requests. Guards against a closed idle connection that is taken for the end of a process,
/// so that nothing shows the run (LOST).
#[test]
fn first_streams_go_on() {
    for idle_timeout_ms in IDLE_TIMEOUTS_MS {
        for (vms, seed) in [(3, 1), (9, 2), (60, 3)] {
            let mut fleet = idle_fleet(vms, idle_timeout_ms, seed);
            for id in 0..STREAMS {
                begin(&mut fleet, vm_of(id, vms), id);
            }
            run_with_registry(&mut fleet, 800);
            let ended = fleet.path_of(0)[0].clone();
            crash(&mut fleet, &ended);
            run_with_registry(&mut fleet, RESUMED_MS);
            for id in begun_at(&fleet, &ended) {
                let path = versions(&fleet, id);
                assert!(path.len() > 1, "{vms} VMs, {idle_timeout_ms} ms: stream {id} could have gone on");
                assert_eq!(path.iter().collect::<BTreeSet<_>>().len(), 1, "stream {id}: {path:?}");
            }
        }
    }
}

/// The VM that began the streams ends, and no other one has watched the upstreams. Guards against callers whose VM finds no evidence,
/// since upstreams close the connection that it opens for that.
#[test]
fn callers_resume_without_a_watch() {
    for idle_timeout_ms in IDLE_TIMEOUTS_MS {
        let mut fleet = fleet_with_new_connections(2, &["v1", "v2"], 4);
        fleet.idle_timeout_ms = Some(idle_timeout_ms);
        for id in 0..STREAMS {
            begin(&mut fleet, 1, id);
        }
        run_with_registry(&mut fleet, 2_500);
        fleet.kill(1);
        for id in 0..STREAMS {
            resume(&mut fleet, 0, 100 + id, id);
        }
        run_with_registry(&mut fleet, OBSERVED_MS);
        for id in 0..STREAMS {
            let (began, after) = (versions(&fleet, id), versions(&fleet, 100 + id));
            assert_eq!(after, began, "{idle_timeout_ms} ms: stream {id}");
        }
    }
}

/// An upstream is replaced by a run that has not registered, between two of its connections. Guards against connections of two
/// processes that are taken for those of one (ORDER).
#[test]
fn replaced_run_is_not_joined() {
    for idle_timeout_ms in IDLE_TIMEOUTS_MS {
        for (vms, seed) in [(3, 5), (9, 6), (60, 7)] {
            let mut fleet = idle_fleet(vms, idle_timeout_ms, seed);
            let (replaced, _) = engine("v1", 0);
            fleet.close_idle_connections(&replaced);
            run_with_registry(&mut fleet, 100);
            for id in 0..STREAMS {
                begin(&mut fleet, vm_of(id, vms), id);
            }
            run_with_registry(&mut fleet, 1_200);
            let streams = begun_at(&fleet, &replaced);
            assert!(!streams.is_empty(), "no stream began at the upstream");
            crash(&mut fleet, &replaced);
            run_with_registry(&mut fleet, OBSERVED_MS);
            for id in &streams {
                assert_eq!(fleet.path_of(*id).len(), 1, "{idle_timeout_ms} ms: stream {id} is joined");
                resume(&mut fleet, vm_of(id + 1, vms), 100 + id, *id);
            }
            run_with_registry(&mut fleet, OBSERVED_MS);
            for id in &streams {
                assert!(is_rejected(&fleet, 100 + id), "{idle_timeout_ms} ms: stream {id} is joined");
            }
        }
    }
}

/// Guards against VMs that open connections without end to upstreams which close them soon.
#[test]
fn connections_are_bounded() {
    for idle_timeout_ms in [0, 50, 300, 600, 1_000, 1_300, 60_000] {
        let mut fleet = idle_fleet(9, idle_timeout_ms, 8);
        let before = fleet.watches;
        run_with_registry(&mut fleet, 10_000);
        let per_second = (fleet.watches - before).div_ceil(10 * 2 * ENGINES);
        // Two VMs watch each upstream, each with four new connections a second at most.
        assert!(per_second <= 8, "{idle_timeout_ms} ms: {per_second} connections per second and upstream");
    }
}

/// An upstream that closed a connection early once keeps the later ones open. Guards against connections that go on following each
/// other fast.
#[test]
fn early_closing_is_forgotten() {
    let mut fleet = idle_fleet(9, 1_000, 9);
    fleet.idle_timeout_ms = None;
    run_with_registry(&mut fleet, 10_000);
    let before = fleet.watches;
    run_with_registry(&mut fleet, 30_000);
    let opened = fleet.watches - before;
    assert!(opened <= 2 * ENGINES * 22, "{opened} connections to {} upstreams", 2 * ENGINES);
}

/// Streams break off, each for itself, at upstreams that close idle connections soon. Guards against streams that end although
/// their upstream is still there.
#[test]
fn broken_streams_go_on() {
    for idle_timeout_ms in IDLE_TIMEOUTS_MS {
        let mut fleet = fleet_with_new_connections(3, &["v1", "v2"], 10);
        fleet.idle_timeout_ms = Some(idle_timeout_ms);
        fleet.upstream_behavior = Box::new(|_, id, _| {
            let outcome = if id < 6 { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Complete };
            Behavior { runs: true, outcome, work_ms: 300 }
        });
        for id in 0..STREAMS {
            begin(&mut fleet, 0, id);
        }
        run_with_registry(&mut fleet, 2 * OBSERVED_MS);
        for id in 0..6 {
            let path = versions(&fleet, id);
            assert!(path.len() > 1, "{idle_timeout_ms} ms: stream {id} could have gone on");
            assert_eq!(path.iter().collect::<BTreeSet<_>>().len(), 1, "stream {id}: {path:?}");
        }
    }
}

/// The same at VMs that have just joined, and at VMs that have stood still. Guards against evidence that only VMs have which were
/// there all the time.
#[test]
fn vms_that_join_or_stood_still() {
    for idle_timeout_ms in IDLE_TIMEOUTS_MS {
        let mut fleet = idle_fleet(9, idle_timeout_ms, 11);
        for id in 0..STREAMS {
            begin(&mut fleet, 1, id);
        }
        run_with_registry(&mut fleet, 600);
        let standing = fleet.vms[3].take();
        fleet.kill(5);
        run_with_registry(&mut fleet, 600);
        fleet.vms[3] = standing;
        fleet.start(5);
        fleet.load_directory(&[5]);
        run_with_registry(&mut fleet, 1_500);
        fleet.kill(1);
        let ended = fleet.path_of(0)[0].clone();
        crash(&mut fleet, &ended);
        let streams = begun_at(&fleet, &ended);
        for id in &streams {
            resume(&mut fleet, if id % 2 == 0 { 3 } else { 5 }, 100 + id, *id);
        }
        run_with_registry(&mut fleet, RESUMED_MS);
        for id in streams {
            let (began, after) = (versions(&fleet, id), versions(&fleet, 100 + id));
            assert_eq!(after, began[..1], "{idle_timeout_ms} ms: stream {id}");
        }
    }
}
