//! The urgency of requests at the engines: whether the routes call for it, and which one a request gets.
//!
//! An engine admits more urgent requests first and lets them preempt others. This serves the latency targets only if more
//! urgent routes have tighter ones. A service whose routes disagree gets no urgency, since an engine would sacrifice a
//! tight target for a loose one.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubedoor_config::Name;

use crate::routes::Route;
use crate::routes::Routes;
use crate::state::State;
use crate::upstream::Upstream;

/// Number of an engine's slots of which one is kept for the most urgent requests.
const SLOTS_PER_RESERVED: u32 = 16;

/// The least urgent value that engines know.
const LEAST_URGENT: u8 = 9;

/// The services at which requests have an urgency, derived from the routes in force.
#[derive(Clone, Debug, Default)]
pub struct Urgency {
    /// The routes from which the services were derived.
    routes: Option<Arc<Routes>>,
    /// The most urgent priority of the routes of each service.
    first_priorities: BTreeMap<Name, u8>,
}

impl Urgency {
    /// Derives the services from routes.
    pub fn new(routes: Option<Arc<Routes>>) -> Self {
        let mut first_priorities = BTreeMap::new();
        for (name, service) in routes.iter().flat_map(|routes| &routes.services) {
            let sharing: Vec<&Route> = routes.iter().flat_map(|routes| routes.sharing(name)).collect();
            if service.engine && calls_for_urgency(&sharing) {
                let first = sharing.iter().map(|route| route.priority).min();
                first_priorities.insert(name.clone(), first.unwrap_or_default());
            }
        }
        Self { routes, first_priorities }
    }

    /// Returns whether requests to a service have an urgency.
    pub fn applies_to(&self, service: &Name) -> bool {
        self.first_priorities.contains_key(service)
    }

    /// Returns the urgency of a request to a service, from 0, the most urgent, to 9.
    pub fn of(&self, service: &Name, priority: u8) -> Option<u8> {
        self.applies_to(service).then(|| priority.min(LEAST_URGENT))
    }

    /// Returns whether more urgent routes share the engines of a service with requests of a priority.
    pub fn has_more_urgent(&self, service: &Name, priority: u8) -> bool {
        self.first_priorities.get(service).is_some_and(|first| priority > *first)
    }
}

/// Derives the services at which requests have an urgency again, if the routes have changed.
pub fn update(state: &mut State) {
    let routes = &state.directory.routes;
    let is_same = match (routes, &state.urgency.routes) {
        (Some(routes), Some(known)) => Arc::ptr_eq(routes, known),
        (None, None) => true,
        _ => false,
    };
    if is_same {
        return;
    }
    let urgency = Urgency::new(routes.clone());
    if urgency.first_priorities != state.urgency.first_priorities {
        let services: Vec<&str> = urgency.first_priorities.keys().map(|name| &**name).collect();
        let inputs =
            vec![("services", services.join(" ")), ("revision", state.directory.revision.number.to_string())];
        state.service_flows.clear();
        state.log(None, "urgency_services", inputs);
    }
    state.urgency = urgency;
}

/// Returns the number of slots of an engine up to which less urgent requests are sent there. The others are kept for the most
/// urgent requests of all VMs: a VM does not know whether such requests wait at another one, and would take the next free
/// slot before them.
pub fn slots_for_less_urgent(upstream: &Upstream) -> u32 {
    let slots = upstream.registration.slots;
    slots.saturating_sub(slots.div_ceil(SLOTS_PER_RESERVED)).max(1)
}

/// Returns whether some of the routes that share a service have different priorities, and no route has a longer target
/// than a less urgent one.
fn calls_for_urgency(routes: &[&Route]) -> bool {
    let mut has_order = false;
    for first in routes {
        for second in routes.iter().filter(|second| first.priority < second.priority) {
            if first.target_ms > second.target_ms {
                return false;
            }
            has_order = true;
        }
    }
    has_order
}
