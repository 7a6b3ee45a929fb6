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
const NEAR_MS: f64 = 15.0;

/// Estimates that differ by less than this share of the best count as equal too, so that all VMs choose the
/// same second upstream for a long prompt.
const NEAR_SHARE: f64 = 0.25;

/// The least part of the room above the mean load that a drawn bound allows.
const LEAST_DRAWN: f64 = 0.4;

/// The fewest prompt tokens that are taken from the cache of another upstream.
const LEAST_TAKEN: u32 = 64;

/// How long upstreams of a failure domain that was taken out give others what they have read, in milliseconds.
const EVACUATED_GIVES_MS: u64 = 3_000;

/// How far a plain service's upstream may be filled beyond its slots, as a multiple.
const PLAIN_FILL: f64 = 3.0;

/// An upstream that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: Name,
    /// The prompt tokens that it has to read.
    pub unread: u32,
    /// The requests that are known to be there.
    pub load: u32,
    /// The estimate that decided, in milliseconds.
    pub estimate_ms: f64,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChoice {
    /// None of the service is registered.
    NoneRegistered,
    /// All that are registered are leaving or in evacuated failure domains.
    NoneUsable,
    /// All that can be used are full, cold or out of reach.
    NoRoom,
}

struct Candidate<'a> {
    id: &'a Name,
    unread: u32,
    load: u32,
    estimate_ms: f64,
}

/// Chooses an upstream of a service for a call, other than those that were tried.
pub fn choose(state: &mut State, call: &Call, service: &Name, tried: &[Name]) -> Result<Choice, NoChoice> {
    let (jitter, drawn): (u64, f64) = (state.rng.random(), state.rng.random());
    let registered: Vec<(&Name, &Upstream)> =
        state.upstreams.iter().filter(|(_, u)| u.registration.service == *service).collect();
    if registered.is_empty() {
        return Err(NoChoice::NoneRegistered);
    }
    // The mean counts all that are registered, so that the bound falls when a failure domain is taken out.
    let bound = load_bound(state, &registered, drawn);
    let usable: Vec<(&Name, &Upstream)> =
        registered.into_iter().filter(|(_, u)| is_usable(state, u)).collect();
    if usable.is_empty() {
        return Err(NoChoice::NoneUsable);
    }
    let engine = state.service(service).is_some_and(|s| s.engine);
    let open = usable.into_iter().filter(|(id, u)| !tried.contains(id) && has_room(state, id, u, engine));
    let candidates: Vec<Candidate<'_>> = open.map(|(id, u)| estimate(state, call, id, u, engine)).collect();
    let within: Vec<&Candidate<'_>> =
        candidates.iter().filter(|c| !engine || f64::from(c.load) < bound).collect();
    let pool = if within.is_empty() { candidates.iter().collect() } else { within };
    let best = pool.iter().map(|c| c.estimate_ms).min_by(f64::total_cmp).ok_or(NoChoice::NoRoom)?;
    let key = if engine { call.subject().unwrap_or(jitter) } else { jitter };
    let nearness = if engine { NEAR_MS.max(best * NEAR_SHARE) } else { 0.0 };
    let near = pool.into_iter().filter(|c| c.estimate_ms <= best + nearness);
    let chosen =
        near.min_by_key(|c| (c.unread, u64::MAX - rendezvous::score(key, c.id))).ok_or(NoChoice::NoRoom)?;
    Ok(Choice {
        upstream: chosen.id.clone(),
        unread: chosen.unread,
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
    let (now, warm_ms) = (state.now, state.tuning.warm_ms);
    let unread = state.warmth.unread_tokens(call, chosen, now, warm_ms);
    for part in call.shared_parts().iter().rev() {
        for id in state.warmth.homes(part.key, now, warm_ms) {
            let Some(upstream) = state.upstreams.get(id).filter(|u| can_give(state, u)) else { continue };
            let gain = unread.saturating_sub(state.warmth.unread_tokens(call, id, now, warm_ms));
            let is_read = !call.shared_parts().iter().any(|part| state.warmth.is_reading(*part, id, now));
            if id != chosen && gain >= LEAST_TAKEN && is_read {
                return Some((id.clone(), upstream.registration.address));
            }
        }
    }
    None
}

/// Tells whether cached parts can be taken from an upstream; one that leaves can still give, and one whose failure
/// domain was taken out a short time ago.
fn can_give(state: &State, upstream: &Upstream) -> bool {
    let domain = &upstream.registration.domain;
    let is_over = |since: &Time| state.now.since(*since) >= EVACUATED_GIVES_MS;
    let evacuated = state.directory.evacuated.contains(domain);
    let gives = !evacuated || state.evacuated_at.get(domain).is_some_and(|since| !is_over(since));
    upstream.is_reachable(state.now) && gives
}

/// Returns when an upstream of a service other than those that were tried may have room, if any can be used.
pub fn room_at(state: &State, service: &Name, tried: &[Name]) -> Option<Time> {
    let of_service = state.upstreams.iter().filter(|(_, u)| u.registration.service == *service);
    let usable = of_service.filter(|(id, u)| is_usable(state, u) && !tried.contains(id));
    usable.map(|(_, u)| u.tried_again_at().unwrap_or(state.now).max(state.now)).min()
}

fn load_bound(state: &State, registered: &[(&Name, &Upstream)], drawn: f64) -> f64 {
    let told_ms = state.tuning.told_ms;
    let total: u32 = registered.iter().map(|(_, u)| u.load(state.now, told_ms)).sum();
    let count = f64::from(u32::try_from(registered.len()).unwrap_or(u32::MAX));
    let mean = f64::from(total) / count;
    let tuning = &state.tuning;
    if state.peers.is_mesh() {
        return tuning.load_factor * mean + tuning.load_slack;
    }
    // Many VMs that act on the same late news would all send to an upstream until they hear that it is full.
    // Each request draws a bound of its own, so that fewer go there the fuller it is.
    let part = LEAST_DRAWN + (1.0 - LEAST_DRAWN) * drawn;
    mean + part * ((tuning.load_factor - 1.0) * mean + tuning.relayed_load_slack)
}

fn has_room(state: &State, id: &Name, upstream: &Upstream, engine: bool) -> bool {
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
    let fill = if engine { 1.0 } else { PLAIN_FILL };
    f64::from(upstream.load(now, state.tuning.told_ms)) < slots * fill
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
    let load = upstream.load(now, tuning.told_ms);
    let unread = if engine { state.warmth.unread_tokens(call, id, now, tuning.warm_ms) } else { 0 };
    let ahead = f64::from(upstream.waiting_tokens(now, tuning.told_ms));
    let reading = (ahead + f64::from(unread) * tuning.reread_weight) / tuning.read_tokens_per_ms;
    let occupied = f64::from(load) * if engine { tuning.load_ms } else { slot_ms(call, upstream) };
    let failing = upstream.failure_share(now) * tuning.failure_ms;
    let distance = if upstream.registration.domain == state.domain { 0.0 } else { tuning.distance_ms };
    Candidate { id, unread, load, estimate_ms: reading + occupied + failing + distance }
}

/// Returns what one running request of a plain service adds to the wait of the next, in milliseconds.
fn slot_ms(call: &Call, upstream: &Upstream) -> f64 {
    let target = f64::from(u32::try_from(call.route.target_ms).unwrap_or(u32::MAX));
    target / f64::from(upstream.registration.slots.max(1))
}
