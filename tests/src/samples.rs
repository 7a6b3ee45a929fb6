//! Routes, upstreams and calls for the simulated fleets of tests.

use std::sync::Arc;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use jujubedoor_routing::Call;
use jujubedoor_routing::call::Part;
use jujubedoor_routing::call::StreamRef;
use jujubedoor_routing::directory::Change;
use jujubedoor_routing::directory::Registration;
use jujubedoor_routing::routes::Kind;
use jujubedoor_routing::routes::Route;
use jujubedoor_routing::routes::Routes;
use jujubedoor_routing::routes::Service;

use crate::router::Fleet;
use crate::router::NO_ADDRESS;

/// Returns the registration of an upstream of a service, without an address, in the failure domain with a number.
pub fn registration(service: &str, domain: usize) -> Registration {
    Registration {
        service: service.into(),
        address: NO_ADDRESS,
        domain: Name::from(format!("domain-{domain}")),
        version: "v1".into(),
        slots: 64,
        draining: false,
        cold_ms: 0,
        started: 1,
        sequence: 1,
        revision: StoreRevision::default(),
    }
}

/// Returns routes with the engine service `llm` and the plain service `desk`.
pub fn routes(version: u64) -> Arc<Routes> {
    let llm = Service { cold_start_ms: 3_000, cold_per_s: 12.0, connections: 400, engine: true };
    let services =
        [(Name::from("llm"), llm), (Name::from("desk"), Service { connections: 400, ..Service::default() })];
    Arc::new(Routes { version, services: services.into_iter().collect(), ..Routes::default() })
}

/// Returns a route to a service.
pub fn route(service: &str, kind: Kind, attempts: u32) -> Arc<Route> {
    Arc::new(Route {
        name: "r".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind,
        timeout_ms: 10_000,
        target_ms: 500,
        services: vec![(service.into(), 1)],
        attempts,
        ..Route::default()
    })
}

/// Returns a call on a route, whose deadline is a number of milliseconds after `now`.
///
/// Its prompt starts with a part that every third context shares, followed by a part of `tokens` tokens that
/// all calls with the same context share, and a part that also depends on `now`.
pub fn call(route: &Arc<Route>, now: u64, remaining_ms: u64, context: u64, tokens: u32) -> Call {
    Call {
        route: route.clone(),
        workspace: None,
        priority: route.priority,
        parts: vec![
            Part { key: context % 3 + 1, tokens: 500 },
            Part { key: context + 1_000, tokens },
            Part { key: context * 7_919 + now, tokens: 100 },
        ],
        stream: StreamRef::default(),
        deadline: Time(now + remaining_ms),
        fingerprint: Fingerprint(context * 31 + now),
    }
}

/// Publishes routes and upstreams of a service to all VMs. The upstreams are spread over three failure
/// domains.
pub fn set_up(fleet: &mut Fleet, service: &str, upstreams: usize) {
    let all: Vec<usize> = (0..fleet.vms.len()).collect();
    fleet.publish(&Change::Routes(routes(1)), &[]);
    for upstream in 0..upstreams {
        let id = Name::from(format!("{service}-{upstream}"));
        fleet.publish(&Change::Registered(id, registration(service, upstream % 3)), &[]);
    }
    fleet.load_directory(&all);
    fleet.run(1_000);
}
