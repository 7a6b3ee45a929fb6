//! Routes that were moved to other services lately.
//!
//! A stream without a record is taken for one of the service to which its route leads. It may have begun before the route was
//! moved there, at a service whose streams do not fit.

use std::collections::HashMap;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::state::State;

/// Minimum time by which a report has to be later than what is known, in milliseconds. An age that VMs report to each other
/// would become younger each time by the time that heartbeats take.
const MIN_NEWS_MS: u64 = 1_000;

/// The services of the routes, including those that were removed lately, and when a service was taken from a route last.
#[derive(Clone, Debug, Default)]
pub struct RouteMoves {
    routes: HashMap<Name, KnownRoute>,
    moved_at: Option<Time>,
}

/// The services of a route.
#[derive(Clone, Debug)]
struct KnownRoute {
    services: Vec<Name>,
    /// Time at which the route was removed, if it was.
    removed_at: Option<Time>,
}

impl State {
    /// Returns whether a stream that began at most some time ago, or as long ago as a stream can, may have begun at a service
    /// to which its route does not lead any more.
    pub fn may_have_moved(&self, max_age_ms: Option<u64>) -> bool {
        let Some(lifetime_ms) = self.stream_lifetime_ms else { return true };
        let age_ms = max_age_ms.unwrap_or(lifetime_ms).min(lifetime_ms);
        // Other VMs apply new routes within this time.
        let moved_ms = age_ms.saturating_add(self.tuning.change_ms);
        self.route_moves.moved_at.is_some_and(|at| self.now.since(at) < moved_ms)
    }
}

/// Records the routes that are in force now.
pub fn record_routes(state: &mut State) {
    let Some(routes) = state.directory.routes.clone() else { return };
    let now = state.now;
    // A route that was removed may come back at another service while its streams can still be resumed.
    let kept_ms = state.stream_lifetime_ms.unwrap_or_default().saturating_add(state.tuning.change_ms);
    let moves = &mut state.route_moves;
    for known in moves.routes.values_mut() {
        known.removed_at.get_or_insert(now);
    }
    for route in &routes.routes {
        let services: Vec<Name> = route.services.iter().map(|(service, _)| service.clone()).collect();
        let known = KnownRoute { services: services.clone(), removed_at: None };
        let before = moves.routes.insert(route.name.clone(), known);
        if before.is_some_and(|before| before.services.iter().any(|service| !services.contains(service))) {
            moves.moved_at = Some(now);
        }
    }
    moves.routes.retain(|_, known| known.removed_at.is_none_or(|at| now.since(at) < kept_ms));
}

/// Returns the time since a route was moved, in milliseconds, as this VM reports it to others, if that may still matter.
pub fn report(state: &State) -> Option<u64> {
    let moved_at = state.route_moves.moved_at.filter(|_| state.may_have_moved(None))?;
    Some(state.now.since(moved_at))
}

/// Records the time since a route was moved that another VM reports. A VM that has started since then does not know it.
pub fn receive(state: &mut State, moved_ms: Option<u64>) {
    let Some(moved_ms) = moved_ms else { return };
    let at = Time(state.now.0.saturating_sub(moved_ms));
    let known = &mut state.route_moves.moved_at;
    if known.is_none_or(|known| at.since(known) >= MIN_NEWS_MS) {
        *known = Some(at);
    }
}
