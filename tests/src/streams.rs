//! Streams of engines of several software versions, in a fleet in virtual time.

use std::sync::Arc;

use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::Event;
use jujubedoor_routing::State;
use jujubedoor_routing::Tuning;
use jujubedoor_routing::call::StreamRef;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Reply;
use jujubedoor_routing::rejection::RejectReason;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::routes::Routes;

use crate::router::Behavior;
use crate::router::Fleet;
use crate::router::call;
use crate::router::registration;
use crate::router::route;
use crate::router::routes;

/// Time for which a stream can go on, in milliseconds, which is the timeout of the route.
pub const STREAM_MS: u64 = 10_000;

/// Time for which an upstream works on a long stream, in milliseconds.
pub const LONG_STREAM_MS: u64 = 6_000;

/// Time within which all VMs know of a stream, in milliseconds.
pub const ANNOUNCEMENT_MS: u64 = 600;

/// Number of streams that one VM can begin at once in a fleet of 90.
pub const STREAMS: u64 = 30;

/// Number of engines of each version.
pub const ENGINES: usize = 4;

/// Returns a route whose streams may be resumed.
pub fn stream_route() -> Arc<Route> {
    Arc::new(Route { resumable: true, ..(*route("llm", Kind::Streaming, 3)).clone() })
}

/// Returns routes, one of which streams.
pub fn stream_routes() -> Arc<Routes> {
    Arc::new(Routes { routes: vec![stream_route()], ..(*routes(1)).clone() })
}

/// Returns an engine of a version of the software.
pub fn engine(version: &str, n: usize) -> (Name, Registration) {
    let registration = Registration { version: version.into(), ..registration("llm", n % 3) };
    (format!("{version}-{n}").into(), registration)
}

/// Publishes engines of a version to all VMs.
pub fn publish_version(fleet: &mut Fleet, version: &str) {
    let all: Vec<usize> = (0..fleet.vms.len()).collect();
    for n in 0..ENGINES {
        let (id, registration) = engine(version, n);
        fleet.publish(&Change::Registered(id, registration), &all);
    }
}

/// Starts a fleet with engines of some versions, whose streams last for two seconds.
pub fn fleet_with(vms: usize, versions: &[&str], seed: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, Tuning::default(), seed);
    let all: Vec<usize> = (0..vms).collect();
    fleet.publish(&Change::Routes(stream_routes()), &[]);
    for version in versions {
        for n in 0..ENGINES {
            let (id, registration) = engine(version, n);
            fleet.publish(&Change::Registered(id, registration), &[]);
        }
    }
    fleet.load_directory(&all);
    fleet.upstream_behavior =
        Box::new(|_, _, _| Behavior { runs: true, outcome: AttemptOutcome::Complete, work_ms: 2_000 });
    fleet.run(2_000);
    fleet
}

/// Starts a fleet whose long streams begin over connections that have just been opened.
pub fn fleet_with_new_connections(vms: usize, versions: &[&str], seed: u64) -> Fleet {
    let mut fleet = fleet_with(vms, versions, seed);
    fleet.upstream_behavior = Box::new(|_, _, _| Behavior {
        runs: true,
        outcome: AttemptOutcome::Complete,
        work_ms: LONG_STREAM_MS,
    });
    run_with_registry(&mut fleet, 500);
    fleet.connection_age_ms = 0;
    fleet
}

/// Crashes an upstream, which cannot be reached any more.
pub fn crash(fleet: &mut Fleet, upstream: &Name) {
    let crashed = upstream.clone();
    fleet.reachable = Box::new(move |_, id| *id != crashed);
    let crashed = upstream.clone();
    fleet.upstream_behavior = Box::new(move |id, _, _| {
        let is_up = *id != crashed;
        let outcome = if is_up { AttemptOutcome::Complete } else { AttemptOutcome::Refused };
        Behavior { runs: is_up, outcome, work_ms: if is_up { LONG_STREAM_MS } else { 1 } }
    });
    fleet.crash_upstream(upstream);
}

/// Returns the identifier of a call.
pub fn attempt(id: u64) -> String {
    format!("attempt-{id}")
}

/// Begins a stream.
pub fn begin(fleet: &mut Fleet, vm: usize, id: u64) {
    let stream = StreamRef::begun_by(&attempt(id));
    let call = Call { stream, ..call(&stream_route(), fleet.now, 9_000, id, 1_000) };
    fleet.call(vm, id, call);
}

/// Resumes a stream under the identifier of a new call.
pub fn resume(fleet: &mut Fleet, vm: usize, id: u64, begun_by: u64) {
    let stream = StreamRef::resumed(Some(&attempt(begun_by)));
    let call = Call { stream, ..call(&stream_route(), fleet.now, 9_000, begun_by, 1_000) };
    fleet.call(vm, id, call);
}

/// Returns the version of an engine.
pub fn version_of(upstream: &Name) -> &str {
    upstream.split('-').next().expect("the identifier begins with the version")
}

/// Returns the versions at which a call ran.
pub fn versions(fleet: &Fleet, id: u64) -> Vec<String> {
    fleet.path_of(id).iter().map(|upstream| version_of(upstream).to_owned()).collect()
}

/// Returns the state of a VM that is up.
pub fn state(fleet: &Fleet, vm: usize) -> &State {
    fleet.vms[vm].as_ref().expect("the VM is up")
}

/// Returns whether a call was rejected since nobody knows the version of its stream.
pub fn is_rejected(fleet: &Fleet, id: u64) -> bool {
    let reply = fleet.replies[&id];
    matches!(reply, Some(Reply::Rejected(rejection)) if rejection.reason == RejectReason::UnknownVersion)
}

/// Keeps the directories of all VMs current for some time.
pub fn run_with_registry(fleet: &mut Fleet, duration_ms: u64) {
    let until = fleet.now + duration_ms;
    let all: Vec<usize> = (0..fleet.vms.len()).collect();
    while fleet.now < until {
        for vm in &all {
            fleet.send_event(*vm, Event::ChangesPublished(fleet.directory.revision, Vec::new()));
        }
        fleet.run(500);
    }
}
