//! Streams that begin while it is in doubt whether an upstream is still the same run go on once there is evidence of it.
//!
//! After an outage in which nothing showed the end of an upstream, another run may serve at its address whose registration has
//! not arrived.

use std::collections::BTreeSet;

use jujubedoor_config::Name;
use jujubedoor_routing::event::ProbeOutcome;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::streams::ANNOUNCEMENT_MS;
use jujubedoor_tests::streams::STREAMS;
use jujubedoor_tests::streams::begin;
use jujubedoor_tests::streams::crash;
use jujubedoor_tests::streams::engine;
use jujubedoor_tests::streams::fleet_with_new_connections;
use jujubedoor_tests::streams::is_rejected;
use jujubedoor_tests::streams::resume;
use jujubedoor_tests::streams::run_with_registry;
use jujubedoor_tests::streams::versions;

/// Time for which an upstream is cut off, in milliseconds.
const CUT_MS: u64 = 2_000;

/// Time after which every VM has found that an upstream can be reached again, in milliseconds.
const REACHED_MS: u64 = 500;

/// Time in which connections that were opened after a cut show the run, in milliseconds.
const SHOWN_MS: u64 = 4_000;

/// Time within which streams go on that broke off, in milliseconds.
const RESUMED_MS: u64 = 2_500;

/// Returns a fleet that has been cut off from an upstream for a time, and has just found that it can be reached again.
fn fleet_after_cut(vms: usize, versions: &[&str], seed: u64) -> (Fleet, Name) {
    let mut fleet = fleet_with_new_connections(vms, versions, seed);
    run_with_registry(&mut fleet, 5_000);
    let (cut, _) = engine("v1", 0);
    let is_cut = cut.clone();
    fleet.probe_failure = ProbeOutcome::Unreachable;
    fleet.reachable = Box::new(move |_, id| *id != is_cut);
    fleet.close_idle_connections(&cut);
    for state in fleet.vms.iter_mut().flatten() {
        let now = state.now;
        state.upstreams.get_mut(&cut).expect("the engine is registered").record_unreachable(now, 250, 500);
    }
    run_with_registry(&mut fleet, CUT_MS);
    fleet.reachable = Box::new(|_, _| true);
    run_with_registry(&mut fleet, REACHED_MS);
    (fleet, cut)
}

/// Begins streams at all VMs, and returns those that an upstream runs.
fn begin_streams(fleet: &mut Fleet, upstream: &Name) -> Vec<u64> {
    for id in 0..STREAMS {
        let vm = usize::try_from(id).expect("few") % fleet.vms.len();
        begin(fleet, vm, id);
    }
    fleet.run(ANNOUNCEMENT_MS);
    let begun = (0..STREAMS).filter(|id| fleet.path_of(*id).first() == Some(upstream)).collect();
    assert!(!Vec::is_empty(&begun), "no stream began at the upstream after the cut");
    begun
}

/// An upstream crashes some seconds after a cut has healed. Guards against streams that count as unknown for good because they
/// began soon after the cut (LOST).
#[test]
fn run_crashes_after_a_healed_cut() {
    for (vms, seed) in [(3, 1), (9, 2), (60, 3)] {
        let (mut fleet, cut) = fleet_after_cut(vms, &["v1", "v2"], seed);
        let streams = begin_streams(&mut fleet, &cut);
        run_with_registry(&mut fleet, SHOWN_MS);
        crash(&mut fleet, &cut);
        run_with_registry(&mut fleet, RESUMED_MS);
        for id in streams {
            let path = versions(&fleet, id);
            assert!(path.len() > 1, "{vms} VMs: stream {id} could have gone on");
            assert_eq!(path.iter().collect::<BTreeSet<_>>().len(), 1, "stream {id} is joined from {path:?}");
        }
    }
}

/// The same for callers who resume their streams at other VMs, since the VM that began them has ended.
#[test]
fn callers_resume_after_a_healed_cut() {
    for (vms, seed) in [(9, 4), (60, 5)] {
        let (mut fleet, cut) = fleet_after_cut(vms, &["v1", "v2"], seed);
        for id in 0..STREAMS {
            begin(&mut fleet, 1, id);
        }
        run_with_registry(&mut fleet, SHOWN_MS);
        let streams: Vec<u64> = (0..STREAMS).filter(|id| fleet.path_of(*id).first() == Some(&cut)).collect();
        assert!(!streams.is_empty(), "no stream began at the upstream after the cut");
        fleet.kill(1);
        crash(&mut fleet, &cut);
        for id in &streams {
            resume(&mut fleet, 2 + usize::try_from(*id).expect("few") % (vms - 2), 100 + id, *id);
        }
        run_with_registry(&mut fleet, RESUMED_MS);
        for id in streams {
            assert_eq!(versions(&fleet, 100 + id), ["v1"], "{vms} VMs: stream {id} could have gone on");
        }
    }
}

/// Another run has replaced the upstream behind the cut, and crashes before its registration arrives. Guards against streams that
/// go on at the version of the run before (ORDER).
#[test]
fn replaced_run_crashes_after_a_healed_cut() {
    for (vms, seed) in [(3, 6), (9, 7), (60, 8)] {
        let (mut fleet, cut) = fleet_after_cut(vms, &["v1", "v2"], seed);
        let streams = begin_streams(&mut fleet, &cut);
        crash(&mut fleet, &cut);
        run_with_registry(&mut fleet, RESUMED_MS);
        for id in &streams {
            assert_eq!(fleet.path_of(*id).len(), 1, "stream {id} goes on at another run");
            resume(&mut fleet, (usize::try_from(*id).expect("few") + 1) % vms, 100 + id, *id);
        }
        run_with_registry(&mut fleet, 2 * RESUMED_MS);
        for id in &streams {
            assert!(is_rejected(&fleet, 100 + id), "{vms} VMs: stream {id} is resumed at another run");
        }
    }
}
