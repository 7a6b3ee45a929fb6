//! What the registrations of upstreams and the evacuations of failure domains mean for the upstreams of this VM.

use jujubedoor_config::Name;

use crate::crash_attribution;
use crate::directory::Registration;
use crate::restored_registry;
use crate::run_evidence;
use crate::state::State;
use crate::stream_origins;
use crate::upstream::Upstream;

/// Time for which an upstream whose registration ended without notice can still serve cache transfers,
/// in milliseconds.
const CACHE_TRANSFER_MS: u64 = 2_000;

/// Records the registration of an upstream.
pub fn register(state: &mut State, id: &Name, registration: Registration) {
    let now = state.now;
    if !claim_address(state, id, &registration) {
        return;
    }
    let Some(current) = state.upstreams.get_mut(id) else {
        let upstream = Upstream::new(id, registration, now);
        state.ids_by_key.insert(upstream.key, id.clone());
        state.software_history.add(upstream.software);
        state.upstreams.insert(id.clone(), upstream);
        return;
    };
    current.expires_at = None;
    if current.registration.started != registration.started {
        let (running, earlier) = (current.running, current.software);
        *current = Upstream::new(id, registration, now);
        current.running = running;
        if current.software != earlier {
            state.software_history.add(current.software);
            state.software_history.remove(earlier, now);
            stream_origins::forget_run(state, id);
        }
        state.cache_index.remove_upstream(id);
        crash_attribution::attribute(state, id, true);
        return;
    }
    if !registration.is_repeated(&current.registration) {
        current.cold_until = now.after(registration.cold_ms).max(current.cold_until);
    }
    current.record_registration(registration, run_evidence::confirmed_at(&state.run_checks));
}

/// Records that an upstream has an address. Another one that had it has ended, although its registration has
/// not expired yet, and is taken out of use.
///
/// Returns `false` if the other one started later, so that it is the registering upstream that has ended. A registration for
/// a service that is not configured names no upstream to use, and takes the address from none.
fn claim_address(state: &mut State, id: &Name, registration: &Registration) -> bool {
    let now = state.now;
    if state.directory.routes.is_some() && state.service(&registration.service).is_none() {
        return true;
    }
    let address = registration.address;
    if let Some(previous) = state.ids_by_address.get(&address).filter(|previous| *previous != id).cloned()
        && let Some(upstream) = state.upstreams.get_mut(&previous)
        && upstream.registration.address == address
    {
        if upstream.registration.started > registration.started {
            return false;
        }
        upstream.registration.draining = true;
        upstream.expires_at = Some(now);
        let inputs = vec![("upstream", previous.to_string()), ("successor", id.to_string())];
        state.log(None, "upstream_replaced", inputs);
    }
    state.ids_by_address.insert(address, id.clone());
    true
}

/// Handles the end of an upstream's registration.
///
/// An upstream that was draining is removed with the next tick. If the registration may merely have expired during an outage
/// of the registry, the upstream stays in use for a while. Otherwise it counts as draining, and can only
/// serve cache transfers.
pub fn unregister(state: &mut State, id: &Name) {
    let now = state.now;
    let tuning = &state.tuning;
    let in_use_until =
        state.registry_outages.in_use_until(now, tuning.registration_grace_ms, tuning.drain_ms);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    if upstream.registration.draining {
        upstream.expires_at = Some(now);
        return;
    }
    if upstream.expires_at.is_some() {
        // Its registration has ended before.
        return;
    }
    let in_use_until = in_use_until.filter(|_| !restored_registry::has_left(&state.directory, id));
    upstream.registration.draining = in_use_until.is_none();
    upstream.expires_at = Some(in_use_until.unwrap_or(now.after(CACHE_TRANSFER_MS)));
}

/// Removes the upstreams whose registration ended and that have not registered again in time. While the
/// registry is away, all are kept.
pub fn remove_expired(state: &mut State) {
    let now = state.now;
    if state.registry_outages.is_away() {
        return;
    }
    let has_expired = |u: &Upstream| u.expires_at.is_some_and(|at| now >= at);
    let (ids_by_key, ids_by_address) = (&mut state.ids_by_key, &mut state.ids_by_address);
    let software_history = &mut state.software_history;
    state.upstreams.retain(|id, upstream| {
        let expired = has_expired(upstream);
        if expired {
            software_history.remove(upstream.software, now);
            ids_by_key.remove(&upstream.key);
            let address = upstream.registration.address;
            if ids_by_address.get(&address) == Some(id) {
                ids_by_address.remove(&address);
            }
        }
        !expired
    });
}

/// Ends evacuations that a restored registry does not contain and that were not ordered again.
pub fn end_unconfirmed_evacuations(state: &mut State) {
    for domain in restored_registry::drop_unconfirmed(state) {
        let inputs = vec![("subject", domain.to_string()), ("cause", "unconfirmed".to_owned())];
        state.log(None, "domain_restored", inputs);
        end_evacuation(state, &domain);
    }
}

/// Treats the upstreams of a failure domain as cold after an evacuation.
pub fn end_evacuation(state: &mut State, domain: &Name) {
    let now = state.now;
    let services: Vec<(Name, u64)> = state
        .services()
        .into_iter()
        .map(|s| (s.clone(), state.service(&s).map_or(0, |s| s.cold_start_ms)))
        .collect();
    for upstream in state.upstreams.values_mut().filter(|u| u.registration.domain == *domain) {
        let cold_ms =
            services.iter().find(|(s, _)| *s == upstream.registration.service).map_or(0, |(_, ms)| *ms);
        upstream.cold_until = upstream.cold_until.max(now.after(cold_ms));
    }
}
