//! The choice of an upstream for a request.
//!
//! Answers the load of many returning chats: a prompt that shares parts with others goes where those have
//! been read, unless that upstream holds more than its part of the load. All VMs compute the same first
//! choice for parts that nobody has read.

use std::net::SocketAddr;

use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use rand::Rng;

use crate::call::Call;
use crate::state::State;
use crate::upstream::Upstream;

/// Estimates that differ by less than this count as equal, in milliseconds.
const TIE_MARGIN_MS: f64 = 15.0;

/// Estimates that differ by less than this share of the best count as equal too, so that all VMs choose the
/// same second upstream for a long prompt.
const TIE_MARGIN_SHARE: f64 = 0.25;

/// The least part of the room above the mean load that a drawn bound allows.
const MIN_BOUND_SHARE: f64 = 0.4;

/// The fewest prompt tokens that are taken from the cache of another upstream.
const MIN_TRANSFER_TOKENS: u32 = 64;

/// How long upstreams of a failure domain that was taken out give others what they have read, in milliseconds.
const EVACUATED_TRANSFER_MS: u64 = 3_000;

/// How far a plain service's upstream may be filled beyond its slots, as a multiple.
const PLAIN_SERVICE_FILL: f64 = 3.0;

/// An upstream that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: Name,
    /// The prompt tokens that it has to read.
    pub prefill_tokens: u32,
    /// The requests that are known to be there.
    pub load: u32,
    /// The estimate that decided, in milliseconds.
    pub estimate_ms: f64,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementError {
    /// None of the service is registered.
    NoneRegistered,
    /// All that are registered are leaving or in evacuated failure domains.
    NoneUsable,
    /// All that can be used are full, cold or out of reach.
    NoCapacity,
}

struct Candidate<'a> {
    id: &'a Name,
    prefill_tokens: u32,
    load: u32,
    estimate_ms: f64,
}

/// Chooses an upstream of a service for a call, other than those that were tried.
pub fn choose(
    state: &mut State,
    call: &Call,
    service: &Name,
    tried_upstreams: &[Name],
) -> Result<Choice, PlacementError> {
    let (jitter, random_share): (u64, f64) = (state.rng.random(), state.rng.random());
    let registered: Vec<(&Name, &Upstream)> =
        state.upstreams.iter().filter(|(_, u)| u.registration.service == *service).collect();
    if registered.is_empty() {
        return Err(PlacementError::NoneRegistered);
    }
    // The mean counts all that are registered, so that the bound falls when a failure domain is taken out.
    let bound = load_bound(state, &registered, random_share);
    let usable: Vec<(&Name, &Upstream)> =
        registered.into_iter().filter(|(_, u)| is_usable(state, u)).collect();
    if usable.is_empty() {
        return Err(PlacementError::NoneUsable);
    }
    let engine = state.service(service).is_some_and(|s| s.engine);
    let available = usable
        .into_iter()
        .filter(|(id, u)| !tried_upstreams.contains(id) && has_capacity(state, id, u, engine));
    let candidates: Vec<Candidate<'_>> =
        available.map(|(id, u)| estimate(state, call, id, u, engine)).collect();
    let within_bound: Vec<&Candidate<'_>> =
        candidates.iter().filter(|c| !engine || f64::from(c.load) < bound).collect();
    let eligible = if within_bound.is_empty() { candidates.iter().collect() } else { within_bound };
    let best =
        eligible.iter().map(|c| c.estimate_ms).min_by(f64::total_cmp).ok_or(PlacementError::NoCapacity)?;
    let key = if engine { call.affinity_key().unwrap_or(jitter) } else { jitter };
    let tie_margin = if engine { TIE_MARGIN_MS.max(best * TIE_MARGIN_SHARE) } else { 0.0 };
    let tied = eligible.into_iter().filter(|c| c.estimate_ms <= best + tie_margin);
    let chosen = tied
        .min_by_key(|c| (c.prefill_tokens, u64::MAX - rendezvous::score(key, c.id)))
        .ok_or(PlacementError::NoCapacity)?;
    Ok(Choice {
        upstream: chosen.id.clone(),
        prefill_tokens: chosen.prefill_tokens,
        load: chosen.load,
        estimate_ms: chosen.estimate_ms,
    })
}

/// Tells whether new requests may go to an upstream at all.
pub fn is_usable(state: &State, upstream: &Upstream) -> bool {
    let registration = &upstream.registration;
    !registration.draining && !state.directory.evacuated.contains(&registration.domain)
}

/// Returns an upstream that has read more of a call's shared parts than the chosen one, if taking them
/// from there is worth it.
pub fn cache_source(state: &State, call: &Call, chosen: &Name) -> Option<(Name, SocketAddr)> {
    let (now, cache_lifetime_ms) = (state.now, state.tuning.cache_lifetime_ms);
    let prefill_tokens = state.cache_index.uncached_tokens(call, chosen, now, cache_lifetime_ms);
    for part in call.shared_parts().iter().rev() {
        for id in state.cache_index.holders(part.key, now, cache_lifetime_ms) {
            let Some(upstream) = state.upstreams.get(id).filter(|u| can_transfer(state, u)) else { continue };
            let saved_tokens = prefill_tokens.saturating_sub(state.cache_index.uncached_tokens(
                call,
                id,
                now,
                cache_lifetime_ms,
            ));
            let is_prefilled =
                !call.shared_parts().iter().any(|part| state.cache_index.is_prefilling(*part, id, now));
            if id != chosen && saved_tokens >= MIN_TRANSFER_TOKENS && is_prefilled {
                return Some((id.clone(), upstream.registration.address));
            }
        }
    }
    None
}

/// Tells whether cached parts can be taken from an upstream; one that leaves can still give, and one whose failure
/// domain was taken out a short time ago.
fn can_transfer(state: &State, upstream: &Upstream) -> bool {
    let domain = &upstream.registration.domain;
    let has_expired = |since: &Time| state.now.since(*since) >= EVACUATED_TRANSFER_MS;
    let evacuated = state.directory.evacuated.contains(domain);
    let is_available = !evacuated || state.evacuated_at.get(domain).is_some_and(|since| !has_expired(since));
    upstream.is_reachable(state.now) && is_available
}

/// Returns when an upstream of a service other than those that were tried may have room, if any can be used.
pub fn capacity_at(state: &State, service: &Name, tried_upstreams: &[Name]) -> Option<Time> {
    let of_service = state.upstreams.iter().filter(|(_, u)| u.registration.service == *service);
    let usable = of_service.filter(|(id, u)| is_usable(state, u) && !tried_upstreams.contains(id));
    usable.map(|(_, u)| u.retry_at().unwrap_or(state.now).max(state.now)).min()
}

fn load_bound(state: &State, registered: &[(&Name, &Upstream)], random_share: f64) -> f64 {
    let load_lifetime_ms = state.tuning.load_lifetime_ms;
    let total: u32 = registered.iter().map(|(_, u)| u.load(state.now, load_lifetime_ms)).sum();
    let count = f64::from(u32::try_from(registered.len()).unwrap_or(u32::MAX));
    let mean = f64::from(total) / count;
    let tuning = &state.tuning;
    if state.peers.is_mesh() {
        return tuning.load_factor * mean + tuning.load_slack;
    }
    // Many VMs that act on the same late news would all send to an upstream until they hear that it is full.
    // Each request draws a bound of its own, so that fewer go there the fuller it is.
    let part = MIN_BOUND_SHARE + (1.0 - MIN_BOUND_SHARE) * random_share;
    mean + part * ((tuning.load_factor - 1.0) * mean + tuning.relayed_load_slack)
}

fn has_capacity(state: &State, id: &Name, upstream: &Upstream, engine: bool) -> bool {
    let now = state.now;
    if !upstream.is_reachable(now) {
        return false;
    }
    if upstream.is_cold(now) && !state.may_send_cold(id, upstream) {
        return false;
    }
    if upstream.running >= state.connection_share(&upstream.registration.service) {
        return false;
    }
    let slots = f64::from(upstream.registration.slots.max(1));
    let fill = if engine { 1.0 } else { PLAIN_SERVICE_FILL };
    f64::from(upstream.load(now, state.tuning.load_lifetime_ms)) < slots * fill
}

fn estimate<'a>(
    state: &State,
    call: &Call,
    id: &'a Name,
    upstream: &Upstream,
    engine: bool,
) -> Candidate<'a> {
    let tuning = &state.tuning;
    let now = state.now;
    let load = upstream.load(now, tuning.load_lifetime_ms);
    let prefill_tokens =
        if engine { state.cache_index.uncached_tokens(call, id, now, tuning.cache_lifetime_ms) } else { 0 };
    let tokens_ahead = f64::from(upstream.pending_tokens(now, tuning.load_lifetime_ms));
    let prefill_ms =
        (tokens_ahead + f64::from(prefill_tokens) * tuning.uncached_weight) / tuning.prefill_tokens_per_ms;
    let load_cost_ms =
        f64::from(load) * if engine { tuning.running_request_ms } else { slot_cost_ms(call, upstream) };
    let failure_cost_ms = upstream.failure_rate(now) * tuning.failure_penalty_ms;
    let domain_cost_ms =
        if upstream.registration.domain == state.domain { 0.0 } else { tuning.remote_domain_penalty_ms };
    Candidate {
        id,
        prefill_tokens,
        load,
        estimate_ms: prefill_ms + load_cost_ms + failure_cost_ms + domain_cost_ms,
    }
}

/// Returns what one running request of a plain service adds to the wait of the next, in milliseconds.
fn slot_cost_ms(call: &Call, upstream: &Upstream) -> f64 {
    let target = f64::from(u32::try_from(call.route.target_ms).unwrap_or(u32::MAX));
    target / f64::from(upstream.registration.slots.max(1))
}
