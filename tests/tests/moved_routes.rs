//! A stream without a record goes on only at a service where it can have begun.
//!
//! While its route leads to a service, the streams of the route are taken for streams of that service. Those that began before
//! the route was moved there are not.

use std::sync::Arc;

use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::call::StreamRef;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::routes::Routes;
use jujubedoor_tests::router::Fleet;
use jujubedoor_tests::router::call;
use jujubedoor_tests::router::registration;
use jujubedoor_tests::streams::STREAM_MS;
use jujubedoor_tests::streams::attempt;
use jujubedoor_tests::streams::fleet_with;
use jujubedoor_tests::streams::is_rejected;
use jujubedoor_tests::streams::run_with_registry;
use jujubedoor_tests::streams::stream_route;
use jujubedoor_tests::streams::stream_routes;
use jujubedoor_tests::streams::versions;

/// Time within which all VMs apply new routes, in milliseconds.
const IN_FORCE_MS: u64 = 3_000;

/// Returns the route of the streams, which leads to another service.
fn moved_route() -> Arc<Route> {
    Arc::new(Route { services: vec![("other".into(), 1)], ..(*stream_route()).clone() })
}

/// Moves the route of the streams to another service, which has one version.
fn move_route(fleet: &mut Fleet) {
    let all: Vec<usize> = (0..fleet.vms.len()).collect();
    for n in 0..3 {
        fleet.publish(
            &Change::Registered(Name::from(format!("v1-other-{n}")), registration("other", n)),
            &all,
        );
    }
    let earlier = stream_routes();
    let mut services = earlier.services.clone();
    let other = services[&Name::from("llm")].clone();
    services.insert("other".into(), other);
    let routes = Routes { version: 2, routes: vec![moved_route()], services, ..(*earlier).clone() };
    fleet.publish(&Change::Routes(Arc::new(routes)), &all);
}

/// Resumes a stream without a record on the moved route. The caller names the time for which it goes on waiting.
fn resume_without_record(fleet: &mut Fleet, vm: usize, id: u64, remaining_ms: Option<u64>) {
    let stream = StreamRef::resumed(Some(&attempt(10_000 + id))).with_remaining(remaining_ms);
    let call = call(&moved_route(), fleet.now, 9_000, id, 1_000);
    fleet.call(vm, id, Call { stream, ..call });
}

/// Guards against a stream of the earlier service that goes on at the later one.
#[test]
fn stream_is_from_before() {
    let mut fleet = fleet_with(3, &["v1"], 1);
    run_with_registry(&mut fleet, STREAM_MS + 1_000);
    move_route(&mut fleet);
    run_with_registry(&mut fleet, 1_000);
    resume_without_record(&mut fleet, 1, 100, None);
    run_with_registry(&mut fleet, 2_000);
    assert!(is_rejected(&fleet, 100), "the stream may have begun at the other service");
}

/// A VM starts after the move. Guards against a stream that goes on there, because that VM does not know the earlier route.
#[test]
fn vm_starts_after_the_move() {
    let mut fleet = fleet_with(3, &["v1"], 2);
    run_with_registry(&mut fleet, STREAM_MS + 1_000);
    move_route(&mut fleet);
    run_with_registry(&mut fleet, 500);
    fleet.start(2);
    fleet.load_directory(&[2]);
    run_with_registry(&mut fleet, 2_000);
    resume_without_record(&mut fleet, 2, 100, None);
    run_with_registry(&mut fleet, 2_000);
    assert!(is_rejected(&fleet, 100), "the stream may have begun at the other service");
}

/// Guards against streams that are rejected although they can only have begun after the move, as their age shows, or as it is
/// long ago.
#[test]
fn stream_is_from_afterwards() {
    let mut fleet = fleet_with(3, &["v1"], 3);
    run_with_registry(&mut fleet, STREAM_MS + 1_000);
    move_route(&mut fleet);
    run_with_registry(&mut fleet, IN_FORCE_MS + 4_000);
    resume_without_record(&mut fleet, 1, 100, Some(STREAM_MS - 1_000));
    run_with_registry(&mut fleet, 500);
    assert_eq!(versions(&fleet, 100), ["v1"]);
    run_with_registry(&mut fleet, STREAM_MS);
    for vm in 0..3 {
        resume_without_record(&mut fleet, vm, 200 + vm as u64, None);
    }
    run_with_registry(&mut fleet, 500);
    for id in 200..203 {
        assert_eq!(versions(&fleet, id), ["v1"], "call {id}");
    }
}
