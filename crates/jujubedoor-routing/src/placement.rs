//! The choice of an upstream for a request.
//!
//! Chats come back with prompts that extend earlier ones, so it pays to send a request to an upstream
//! that has the shared parts of its prompt cached. Always doing so would overload a few upstreams; an
//! upstream whose load reaches a bound above the mean is therefore passed over. For parts that are
//! cached nowhere, all VMs compute the same first choice by rendezvous hashing.

use std::net::SocketAddr;

use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use rand::Rng;

use crate::call::Call;
use crate::domain_crossing;
use crate::domain_crossing::Comparison;
use crate::domain_crossing::Crossing;
use crate::domain_crossing::Destination;
use crate::domain_crossing::Side;
use crate::domain_crossing::Terms;
use crate::run_evidence::AssumedRun;
use crate::software::Software;
use crate::speed;
use crate::state::State;
use crate::upstream::Upstream;
use crate::urgency;

/// Estimates that differ by at most this time count as tied, in milliseconds.
const TIE_MARGIN_MS: f64 = 15.0;

/// Estimates that differ by at most this share of the best one also count as tied, so that all VMs
/// choose the same second upstream for a long prompt.
const TIE_MARGIN_SHARE: f64 = 0.25;

/// Minimum of the random factor that scales the load allowed above the mean.
const MIN_SLACK_SHARE: f64 = 0.4;

/// The same in a small fleet, each of whose VMs sends a larger part of what an engine receives.
const MIN_SLACK_SHARE_SMALL_FLEET: f64 = 0.0;

/// Minimum number of prompt tokens for which a cache transfer between upstreams is worthwhile.
const MIN_TRANSFER_TOKENS: u32 = 64;

/// Number of requests by which an engine may exceed the maximum multiple of the mean load, so that low loads do not
/// count.
const HARD_LOAD_SLACK: f64 = 2.0;

/// Time for which upstreams of an evacuated failure domain still serve cache transfers, in milliseconds.
const EVACUATED_TRANSFER_MS: u64 = 3_000;

/// Time for which a response or registration shows that an upstream is up, in milliseconds.
const CONFIRMATION_LIFETIME_MS: u64 = 2_000;

/// Multiple of its slots up to which an upstream of a plain service, which is no model engine, is filled.
const PLAIN_SERVICE_FILL: f64 = 3.0;

/// The upstream that was chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Identifier of the upstream.
    pub upstream: Name,
    /// Number of prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u32,
    /// Number of requests known to be at the upstream.
    pub load: u32,
    /// The estimate on which the choice was based, in milliseconds.
    pub estimate_ms: f64,
    /// Whether the request leaves its failure domain, if that was weighed.
    pub crossing: Option<Crossing>,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementError {
    /// No upstream of the service is registered.
    NoneRegistered,
    /// All registered upstreams are draining or in evacuated failure domains.
    NoneUsable,
    /// All usable upstreams are at capacity, limited while cold, or unreachable.
    NoCapacity,
}

/// The upstreams among which one is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// The service to which they belong.
    pub service: &'a Name,
    /// The software that they run, if a stream goes on only there.
    pub software: Option<Software>,
    /// The run that began the stream, if it goes on only there.
    pub run: Option<AssumedRun>,
    /// Those that were tried already and are not chosen again.
    pub tried_upstreams: &'a [Name],
}

impl Scope<'_> {
    /// Returns whether an upstream runs the required software.
    fn includes(&self, state: &State, upstream: &Upstream) -> bool {
        let runs = |software| upstream.software == software && state.is_registered_run(upstream);
        self.software.is_none_or(runs) && self.run.is_none_or(|run| run.is_of(upstream))
    }
}

struct Candidate<'a> {
    id: &'a Name,
    prefill_tokens: u32,
    load: u32,
    estimate_ms: f64,
    failure_ms: f64,
    /// Cost of leaving the failure domain, if the upstream is in one that is far.
    crossing_ms: Option<f64>,
}

/// Chooses an upstream for a call.
pub fn choose(state: &mut State, call: &Call, scope: Scope<'_>) -> Result<Choice, PlacementError> {
    let Scope { service, tried_upstreams, .. } = scope;
    let (jitter, random_share): (u64, f64) = (state.rng.random(), state.rng.random());
    let terms = domain_crossing::terms(state);
    // Without the costs, the sequence of random numbers stays as it is.
    let drawn: f64 = if terms.is_some() { state.rng.random() } else { 0.0 };
    let registered: Vec<(&Name, &Upstream)> =
        state.upstreams.iter().filter(|(_, u)| u.registration.service == *service).collect();
    if registered.is_empty() {
        return Err(PlacementError::NoneRegistered);
    }
    // The mean includes all registered upstreams, so that the bound falls when a failure domain is
    // evacuated.
    let bound = load_bound(state, &registered, random_share);
    let usable_of = |is_usable: fn(&State, &Upstream) -> bool| -> Vec<(&Name, &Upstream)> {
        let in_scope = registered.iter().copied().filter(|(_, u)| scope.includes(state, u));
        in_scope.filter(|(_, u)| is_usable(state, u)).collect()
    };
    let mut usable = usable_of(is_usable);
    if usable.is_empty() {
        usable = usable_of(accepts_last_requests);
    }
    if usable.is_empty() {
        return Err(PlacementError::NoneUsable);
    }
    let is_engine = state.service(service).is_some_and(|s| s.engine);
    let has_more_urgent = state.urgency.has_more_urgent(service, call.priority);
    let leaves_reserve = |u: &Upstream| !has_more_urgent || state.load(u) < urgency::slots_for_less_urgent(u);
    let available = usable.iter().copied().filter(|(id, u)| {
        !tried_upstreams.contains(id) && has_capacity(state, id, u, is_engine) && leaves_reserve(u)
    });
    let tokens_per_ms = is_engine.then(|| state.prefill_tokens_per_ms(service));
    let candidates: Vec<Candidate<'_>> =
        available.map(|(id, u)| estimate(state, call, id, u, tokens_per_ms, terms.as_ref())).collect();
    let below = |max_load: f64| -> Vec<&Candidate<'_>> {
        candidates.iter().filter(|c| !is_engine || f64::from(c.load) < max_load).collect()
    };
    let mut eligible = below(bound);
    if eligible.is_empty() {
        eligible = below(hard_load_bound(state, &usable));
    }
    if !tried_upstreams.is_empty() {
        prefer_confirmed(state, &mut eligible);
    }
    let weighed = terms.as_ref().map(|terms| {
        let [home, away] =
            [false, true].map(|is_far| best_side(state, terms, &eligible, tokens_per_ms, is_far));
        let is_retry = !tried_upstreams.is_empty();
        let comparison = Comparison { call, service, home, away, tokens_per_ms, is_retry, drawn };
        let (destination, reason) = domain_crossing::decide(state, &comparison);
        eligible.retain(|c| match destination {
            Destination::Home => c.crossing_ms.is_none(),
            Destination::Away => c.crossing_ms.is_some(),
            Destination::Either => true,
        });
        (terms, comparison, reason)
    });
    let best =
        eligible.iter().map(|c| c.estimate_ms).min_by(f64::total_cmp).ok_or(PlacementError::NoCapacity)?;
    let key = if is_engine { call.affinity_key().unwrap_or(jitter) } else { jitter };
    let tie_margin = if is_engine { TIE_MARGIN_MS.max(best * TIE_MARGIN_SHARE) } else { 0.0 };
    let tied = eligible.into_iter().filter(|c| c.estimate_ms <= best + tie_margin);
    let chosen = tied
        .min_by_key(|c| (c.prefill_tokens, u64::MAX - rendezvous::score(key, c.id)))
        .ok_or(PlacementError::NoCapacity)?;
    let crossing = weighed.map(|(terms, comparison, reason)| {
        domain_crossing::describe(state, terms, &comparison, reason, chosen.crossing_ms.is_some())
    });
    Ok(Choice {
        crossing,
        upstream: chosen.id.clone(),
        prefill_tokens: chosen.prefill_tokens,
        load: chosen.load,
        estimate_ms: chosen.estimate_ms,
    })
}

/// Returns the best candidate of one side, with what is compared.
fn best_side(
    state: &State,
    terms: &Terms,
    eligible: &[&Candidate<'_>],
    tokens_per_ms: Option<f64>,
    is_far: bool,
) -> Option<Side> {
    let of_side = eligible.iter().filter(|c| c.crossing_ms.is_some() == is_far);
    let best = of_side.min_by(|a, b| f64::total_cmp(&a.estimate_ms, &b.estimate_ms))?;
    let wait_ms = state.upstreams.get(best.id).and_then(|u| domain_crossing::expected_wait_ms(state, u));
    let prefill_ms =
        tokens_per_ms.map_or(0.0, |tokens_per_ms| f64::from(best.prefill_tokens) / tokens_per_ms);
    let round_trip_ms = best.crossing_ms.map_or(0.0, |crossing_ms| crossing_ms - terms.cost_ms);
    Some(Side {
        estimate_ms: best.estimate_ms,
        start_ms: wait_ms.unwrap_or_default() + prefill_ms + round_trip_ms,
        failure_ms: best.failure_ms,
        crossing_ms: best.crossing_ms.unwrap_or_default(),
        prefill_tokens: best.prefill_tokens,
    })
}

/// Returns whether there is an upstream that a request may be sent to which has not been tried.
pub fn has_untried(state: &State, scope: Scope<'_>) -> bool {
    state.upstreams.iter().any(|(id, upstream)| {
        upstream.registration.service == *scope.service
            && !scope.tried_upstreams.contains(id)
            && scope.includes(state, upstream)
            && is_usable(state, upstream)
    })
}

/// Leaves only upstreams that registered or responded recently, if there are any.
///
/// When many upstreams have ended and their registrations have not expired yet, a retry, of which there are
/// few, would otherwise reach another one of them.
fn prefer_confirmed(state: &State, eligible: &mut Vec<&Candidate<'_>>) {
    let is_confirmed = |c: &&Candidate<'_>| {
        let upstream = state.upstreams.get(c.id);
        upstream.is_some_and(|u| state.now.since(u.confirmed_at) < CONFIRMATION_LIFETIME_MS)
    };
    if eligible.iter().any(is_confirmed) {
        eligible.retain(is_confirmed);
    }
}

/// Returns whether an upstream may receive new requests at all.
pub fn is_usable(state: &State, upstream: &Upstream) -> bool {
    is_registered_usable(state, upstream) && !state.upstream_notices.is_leaving(upstream)
}

/// Returns whether an upstream may receive new requests because all others of its service leave, too.
fn accepts_last_requests(state: &State, upstream: &Upstream) -> bool {
    let drain_ms = state.tuning.drain_ms;
    is_registered_usable(state, upstream)
        && state.upstream_notices.accepts_last_requests(upstream, state.now, drain_ms)
}

/// Returns whether an upstream may receive new requests according to the registry.
fn is_registered_usable(state: &State, upstream: &Upstream) -> bool {
    let registration = &upstream.registration;
    !registration.draining && !state.directory.evacuated.contains_key(&registration.domain)
}

/// Returns an upstream that has more of a call's shared parts cached than the chosen one, if a cache
/// transfer from it is worthwhile.
pub fn cache_source(state: &State, call: &Call, chosen: &Name) -> Option<(Name, SocketAddr)> {
    let (now, cache_lifetime_ms) = (state.now, state.tuning.cache_lifetime_ms);
    let terms = domain_crossing::terms(state);
    let chosen_domain = state.upstreams.get(chosen).map(|u| &u.registration.domain);
    let mut far_source = None;
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
                let registration = &upstream.registration;
                let source = (id.clone(), registration.address);
                let (Some(terms), Some(chosen_domain)) = (&terms, chosen_domain) else { return Some(source) };
                if !terms.are_far(&registration.domain, chosen_domain) {
                    return Some(source);
                }
                let saved_ms = f64::from(saved_tokens) / state.prefill_tokens_per_ms(&registration.service);
                if terms.allows_transfer(&registration.domain, chosen_domain, saved_ms) {
                    far_source.get_or_insert(source);
                }
            }
        }
    }
    far_source
}

/// Returns whether an upstream can serve cache transfers.
///
/// A draining upstream still can, and so can one whose failure domain was evacuated a short time ago.
fn can_transfer(state: &State, upstream: &Upstream) -> bool {
    let domain = &upstream.registration.domain;
    let has_expired = |since: &Time| state.now.since(*since) >= EVACUATED_TRANSFER_MS;
    let evacuated = state.directory.evacuated.contains_key(domain);
    let is_available = !evacuated || state.evacuated_at.get(domain).is_some_and(|since| !has_expired(since));
    upstream.is_reachable(state.now) && is_available
}

/// Returns the earliest time at which a usable upstream may have capacity. Returns `None` if none is usable.
pub fn capacity_at(state: &State, scope: Scope<'_>) -> Option<Time> {
    let of_service = state.upstreams.iter().filter(|(_, u)| u.registration.service == *scope.service);
    let in_scope = of_service.filter(|(_, u)| scope.includes(state, u));
    let usable = in_scope.filter(|(id, u)| is_usable(state, u) && !scope.tried_upstreams.contains(id));
    usable.map(|(id, u)| available_at(state, id, u)).min()
}

/// Returns when most upstreams of a service are expected to accept requests again, if most do not now.
pub fn recovery_at(state: &State, service: &Name) -> Option<Time> {
    let of_service = state.upstreams.iter().filter(|(_, u)| u.registration.service == *service);
    let usable = of_service.filter(|(_, u)| is_usable(state, u));
    let mut times: Vec<Time> = usable.map(|(id, u)| available_at(state, id, u)).collect();
    if times.is_empty() {
        return None;
    }
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    Some(*median).filter(|median| *median > state.now)
}

/// Returns the earliest time at which an upstream accepts a request of this VM.
fn available_at(state: &State, id: &Name, upstream: &Upstream) -> Time {
    let reachable_at = upstream.retry_at().unwrap_or(state.now);
    let paused_until = state.upstream_notices.paused_until(upstream, state.now).unwrap_or(state.now);
    reachable_at.max(paused_until).max(state.allowed_at(id, upstream))
}

/// Returns whether no pause of an upstream stands against a request now: it has ended, and this VM has few requests
/// there if it ended a short time ago.
fn is_past_pause(state: &State, upstream: &Upstream) -> bool {
    let vms = u32::try_from(state.fleet_size()).unwrap_or(u32::MAX);
    let share = upstream.registration.slots / vms.max(1);
    let ramp_limit = state.upstream_notices.ramp_limit(upstream, share, state.now);
    state.upstream_notices.paused_until(upstream, state.now).is_none()
        && ramp_limit.is_none_or(|limit| upstream.running < limit)
}

fn load_bound(state: &State, registered: &[(&Name, &Upstream)], random_share: f64) -> f64 {
    let total: f64 = registered.iter().map(|(_, u)| f64::from(state.load(u))).sum();
    let count = f64::from(u32::try_from(registered.len()).unwrap_or(u32::MAX));
    let mean = total / count;
    let (factor, slack) = load_bound_terms(state);
    if state.peers.is_mesh() {
        return factor * mean + slack;
    }
    // In a large fleet, load reports arrive late through relays. If all VMs used the same bound, they
    // would all send to a lightly loaded upstream until the first report of its new load arrived. A
    // random bound for each request lets fewer requests through the fuller an upstream is.
    let min_share = if state.is_small_fleet() { MIN_SLACK_SHARE_SMALL_FLEET } else { MIN_SLACK_SHARE };
    let slack_share = min_share + (1.0 - min_share) * random_share;
    mean + slack_share * ((factor - 1.0) * mean + slack)
}

/// Returns the multiple of the mean load, and the number of requests beyond it, that an engine may run.
pub fn load_bound_terms(state: &State) -> (f64, f64) {
    let tuning = &state.tuning;
    let slack = if state.peers.is_mesh() { tuning.load_slack } else { tuning.relayed_load_slack };
    (tuning.load_factor, slack)
}

/// Returns the load above which an engine gets no requests even if no other one has capacity, for example because most
/// are cold. Engines that cannot be reached or limit their requests themselves do not count, since the others have to
/// serve in their place.
fn hard_load_bound(state: &State, usable: &[(&Name, &Upstream)]) -> f64 {
    let limits_itself = |u: &Upstream| u.rate_limiter.limit().is_some() || !is_past_pause(state, u);
    let counted = usable.iter().filter(|(_, u)| u.is_reachable(state.now) && !limits_itself(u));
    let loads: Vec<f64> = counted.map(|(_, u)| f64::from(state.load(u))).collect();
    let count = f64::from(u32::try_from(loads.len().max(1)).unwrap_or(u32::MAX));
    state.tuning.max_load_factor * loads.iter().sum::<f64>() / count + HARD_LOAD_SLACK
}

fn has_capacity(state: &State, id: &Name, upstream: &Upstream, is_engine: bool) -> bool {
    let now = state.now;
    if !upstream.is_reachable(now) {
        return false;
    }
    if upstream.is_cold(now) && !state.may_send_cold(id, upstream) {
        return false;
    }
    if state.allowed_at(id, upstream) > now || !is_past_pause(state, upstream) {
        return false;
    }
    if upstream.running >= state.connection_share(&upstream.registration.service) {
        return false;
    }
    let slots = f64::from(upstream.registration.slots.max(1));
    let fill = if is_engine { 1.0 } else { PLAIN_SERVICE_FILL };
    f64::from(state.load(upstream)) < slots * fill
}

/// Estimates when an upstream would start to respond. `tokens_per_ms` is the prefill rate if the upstream is
/// an engine.
fn estimate<'a>(
    state: &State,
    call: &Call,
    id: &'a Name,
    upstream: &Upstream,
    tokens_per_ms: Option<f64>,
    terms: Option<&Terms>,
) -> Candidate<'a> {
    let tuning = &state.tuning;
    let now = state.now;
    let load = state.load(upstream);
    let (prefill_tokens, prefill_ms) = match tokens_per_ms {
        Some(tokens_per_ms) => {
            let uncached = state.cache_index.uncached_tokens(call, id, now, tuning.cache_lifetime_ms);
            let ahead = f64::from(state.prefill_backlog(upstream));
            (uncached, (ahead + f64::from(uncached) * tuning.uncached_weight) / tokens_per_ms)
        }
        None => (0, 0.0),
    };
    let request_cost_ms =
        if tokens_per_ms.is_some() { tuning.running_request_ms } else { slot_cost_ms(call, upstream) };
    let load_cost_ms = f64::from(load) * request_cost_ms;
    let work_cost_ms = slowed_cost_ms(state, upstream, prefill_ms + load_cost_ms, || match tokens_per_ms {
        Some(_) => state.base_response_ms(&upstream.registration.service),
        None => request_cost_ms,
    });
    let failure_cost_ms = upstream.failure_rate(now) * tuning.failure_penalty_ms;
    let domain = &upstream.registration.domain;
    let crossing_ms = terms.and_then(|terms| terms.crossing_ms(domain));
    let penalty_ms = if *domain == state.domain { 0.0 } else { tuning.remote_domain_penalty_ms };
    let domain_cost_ms = crossing_ms.unwrap_or(penalty_ms);
    Candidate {
        id,
        prefill_tokens,
        load,
        estimate_ms: work_cost_ms + failure_cost_ms + domain_cost_ms,
        failure_ms: failure_cost_ms,
        crossing_ms,
    }
}

/// Returns the cost of the work before a response at the present speed of an upstream, given the usual one, in
/// milliseconds.
///
/// `base_ms` returns the part of a response time that is the same at all upstreams and therefore not in the usual cost.
fn slowed_cost_ms<F>(state: &State, upstream: &Upstream, usual_ms: f64, base_ms: F) -> f64
where
    F: FnOnce() -> f64,
{
    let slowdown = speed::slowdown(state, upstream);
    if slowdown > 1.0 { usual_ms * slowdown + base_ms() * (slowdown - 1.0) } else { usual_ms }
}

/// Returns the time that one running request of a plain service adds to the wait of the next, in
/// milliseconds.
fn slot_cost_ms(call: &Call, upstream: &Upstream) -> f64 {
    let target = f64::from(u32::try_from(call.route.target_ms).unwrap_or(u32::MAX));
    target / f64::from(upstream.registration.slots.max(1))
}
