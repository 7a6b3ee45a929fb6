//! Upstreams that end and start again as another version, one after the other, before the registry shows it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jujubedoor_config::Name;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::ProbeOutcome;
use jujubedoor_tests::router::Behavior;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::streams::ENGINES;
use jujubedoor_tests::streams::STREAMS;
use jujubedoor_tests::streams::begin;
use jujubedoor_tests::streams::engine;
use jujubedoor_tests::streams::fleet_with;
use jujubedoor_tests::streams::resume;
use jujubedoor_tests::streams::run_with_registry;

/// Time for which the upstreams stream, in milliseconds.
const WORK_MS: u64 = 8_000;

/// Time for which an upstream is away, in milliseconds.
const AWAY_MS: u64 = 100;

/// Time from the start of an upstream until the registry shows it, in milliseconds.
const REGISTRATION_MS: u64 = 900;

/// Time between the ends of two upstreams, in milliseconds.
const GAP_MS: u64 = 700;

/// Identifiers of the calls that resume streams follow those of the calls that began them.
const FIRST_RESUMED: u64 = 1_000;

/// A fleet whose streams break off at one upstream, while another one has just started again as a new version.
struct Restarts {
    fleet: Fleet,
    /// Times at which upstreams started again.
    restarted_at: BTreeMap<Name, u64>,
}

impl Restarts {
    fn start(vms: usize, seed: u64) -> Self {
        let mut fleet = fleet_with(vms, &["v1"], seed);
        fleet.probe_failure = ProbeOutcome::Refused;
        fleet.upstream_behavior =
            Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: WORK_MS });
        run_with_registry(&mut fleet, 5_000);
        Self { fleet, restarted_at: BTreeMap::new() }
    }

    /// Ends an upstream and starts it again, and returns the streams that it was serving.
    fn restart(&mut self, upstream: &Name) -> Vec<u64> {
        let serves = |id: &u64| self.fleet.path_of(*id).last() == Some(upstream);
        let broken = (0..STREAMS).filter(serves).collect();
        let away = upstream.clone();
        self.fleet.reachable = Box::new(move |_, id| *id != away);
        self.fleet.crash_upstream(upstream);
        self.fleet.run(AWAY_MS);
        self.fleet.reachable = Box::new(|_, _| true);
        self.restarted_at.insert(upstream.clone(), self.fleet.now);
        broken
    }

    /// Publishes the registrations that are due.
    fn register(&mut self) {
        let all: Vec<usize> = (0..self.fleet.vms.len()).collect();
        for n in 0..ENGINES {
            let (id, registration) = engine("v1", n);
            let is_due = self.restarted_at.get(&id).is_some_and(|at| self.fleet.now >= at + REGISTRATION_MS);
            if is_due {
                let again = Registration { version: "v2".into(), started: 2, ..registration };
                self.fleet.publish(&Change::Registered(id, again), &all);
            }
        }
    }

    /// Returns the versions that really served a call.
    fn versions(&self, id: u64) -> BTreeSet<&'static str> {
        let mut versions = BTreeSet::new();
        for (upstream, arrivals) in &self.fleet.arrivals {
            let restarted_at = self.restarted_at.get(upstream).copied().unwrap_or(u64::MAX);
            let served = arrivals.iter().filter(|(_, call)| *call == id);
            versions.extend(served.map(|(at, _)| if *at < restarted_at { "v1" } else { "v2" }));
        }
        versions
    }
}

/// Streams that break off at one upstream must not go on at another one that has started again as a new version, in the same
/// response or for callers who resume them (ORDER). Most go on at the others.
#[test]
fn restarted_upstreams_are_avoided() {
    for (vms, seed) in [(9, 1), (9, 2), (60, 3)] {
        let mut restarts = Restarts::start(vms, seed);
        for id in 0..STREAMS {
            begin(&mut restarts.fleet, usize::try_from(id).expect("few") % vms, id);
        }
        run_with_registry(&mut restarts.fleet, 2_500);
        let mut broken = Vec::new();
        for n in 0..2 {
            let (upstream, _) = engine("v1", n);
            broken = restarts.restart(&upstream);
            for id in &broken {
                let vm = (usize::try_from(*id).expect("few") + 4) % vms;
                resume(&mut restarts.fleet, vm, FIRST_RESUMED + id, *id);
            }
            restarts.fleet.run(GAP_MS - AWAY_MS);
            restarts.register();
        }
        restarts.fleet.run(1_000);
        assert!(broken.len() > 2, "too few streams broke off");
        for id in 0..STREAMS {
            let mut served = restarts.versions(id);
            served.extend(restarts.versions(FIRST_RESUMED + id));
            assert_eq!(served, BTreeSet::from(["v1"]), "{vms} VMs: stream {id}");
        }
        let resumed = broken.iter().filter(|id| restarts.fleet.runs.contains_key(&(FIRST_RESUMED + **id)));
        let resumed = resumed.count();
        assert!(2 * resumed >= broken.len(), "{vms} VMs: {resumed} of {} streams went on", broken.len());
    }
}
