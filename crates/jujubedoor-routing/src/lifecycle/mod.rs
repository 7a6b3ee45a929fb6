//! Lifecycle of one request: placement, sending, retries, and the final response or rejection.

use std::sync::Arc;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use rand::Rng;

use crate::call::Call;
use crate::crash_attribution;
use crate::domain_crossing;
use crate::domain_crossing::Crossing;
use crate::event::Dispatch;
use crate::event::Effect;
use crate::event::Reply;
use crate::event::RequestId;
use crate::event::ResponseSignals;
use crate::placement;
use crate::placement::Choice;
use crate::placement::PlacementError;
use crate::placement::Scope;
use crate::prefill;
use crate::queue::WaitReason;
use crate::queue_service;
use crate::rejection::RejectReason;
use crate::resumed_streams;
use crate::routes::Kind;
use crate::run_evidence;
use crate::run_evidence::Assumption;
use crate::shutdown::Shutdown;
use crate::software::Software;
use crate::speed;
use crate::speed::Speed;
use crate::state::State;
use crate::upstream::AddressHolder;
use crate::upstream::LoadReport;
use crate::upstream_notices;

mod attempt_end;
mod failure;

pub use attempt_end::handle_attempt_end;
pub use failure::fail;

use failure::DEFAULT_CAPACITY_WAIT_MS;
use failure::REGISTRATION_WAIT_MS;
use failure::reject;

/// Minimum time that an upstream gets to respond before another one is tried, in milliseconds.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 50;

/// Minimum duration of an outage after which an upstream counts as cold, in milliseconds.
const MIN_COLD_OUTAGE_MS: u64 = 400;

/// A caller's request that has not finished.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// The request as received.
    pub call: Arc<Call>,
    /// The service to which the request goes.
    pub service: Name,
    /// The software at which the stream goes on, once it has begun.
    pub software: Option<Software>,
    /// The run on which `software` is based, until there is evidence that it began the stream. Until then, the stream goes
    /// on only there.
    pub(crate) assumption: Option<Assumption>,
    /// The current attempt.
    pub attempt: Option<Attempt>,
    /// Time of the request's arrival.
    pub arrived_at: Time,
    /// Time from which the time in the queue counts: the arrival, or the end of a wait for evidence of the stream's run.
    pub(crate) queued_from: Time,
    /// Time by which all attempts have to end, if this VM stops.
    pub(crate) attempts_end_at: Option<Time>,
    response_started_at: Option<Time>,
    sent_count: u32,
    /// The upstreams that did not serve the request.
    pub(crate) tried_upstreams: Vec<Name>,
    may_have_run: bool,
    /// What the request waits for while it is queued.
    pub(crate) waits_for: WaitReason,
    /// Whether the I/O layer keeps an error response of an upstream.
    has_error_response: bool,
    response_started: bool,
}

/// An attempt to serve a request at an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifier of the upstream.
    pub upstream: Name,
    /// Start time of the upstream's process, as registered.
    pub(crate) upstream_started: u64,
    /// The software of the registered run when the request was sent.
    pub(crate) software: Software,
    /// The process to which the request was sent.
    pub(crate) holder: AddressHolder,
    prefill_tokens: u32,
    /// Time at which the response began.
    pub response_started_at: Option<Time>,
    sent_at: Time,
    /// Number of prompt tokens whose prefill precedes the response, if it is known.
    tokens_to_response: Option<u32>,
    /// Whether the caller may have received a part of the response to a plain request.
    is_delivering: bool,
}

impl ActiveRequest {
    /// Returns the time at which the request expires.
    pub fn expires(&self) -> Time {
        let expires_at = self.call.deadline.min(self.arrived_at.after(self.call.route.timeout_ms));
        self.attempts_end_at.map_or(expires_at, |at| at.min(expires_at))
    }

    /// Returns whether some upstreams of the service cannot serve the request.
    pub fn is_restricted(&self) -> bool {
        !self.tried_upstreams.is_empty() || self.software.is_some()
    }

    /// Returns whether an upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the upstreams among which one is chosen for the next attempt.
    pub fn scope(&self) -> Scope<'_> {
        Scope {
            service: &self.service,
            software: self.software,
            run: self.assumption.map(|assumption| assumption.run),
            tried_upstreams: &self.tried_upstreams,
        }
    }
}

/// Accepts a new request, or rejects it at once if its route has no service or the request is suspected
/// of crashing upstreams.
pub fn handle_arrival(state: &mut State, request: RequestId, call: Call) {
    let now = state.now;
    let Some(service) = choose_service(state, &call) else {
        reject(state, request, &call, RejectReason::NoUpstream, REGISTRATION_WAIT_MS);
        return;
    };
    let window_ms = state.tuning.retry_window_ms;
    state.retry_budgets.entry(service.clone()).or_default().record_request(now, window_ms);
    if state.shutdown.is_some_and(|shutdown| shutdown.rejects(&call, now)) {
        reject(state, request, &call, RejectReason::Stopping, DEFAULT_CAPACITY_WAIT_MS);
        return;
    }
    if let Some(wait_ms) = crash_attribution::rejection_wait_ms(state, &call) {
        reject(state, request, &call, RejectReason::CrashSuspect, wait_ms);
        return;
    }
    let active = ActiveRequest {
        call: Arc::new(call),
        service,
        software: None,
        assumption: None,
        attempt: None,
        arrived_at: now,
        queued_from: now,
        attempts_end_at: state.shutdown.map(Shutdown::attempts_end_at),
        response_started_at: None,
        sent_count: 0,
        tried_upstreams: Vec::new(),
        may_have_run: false,
        waits_for: WaitReason::Capacity,
        has_error_response: false,
        response_started: false,
    };
    queue_service::record_arrival(state, &active);
    let resumes_stream = active.call.route.kind == Kind::Streaming && active.call.stream.is_resumed;
    state.requests.insert(request, active);
    if resumes_stream {
        resumed_streams::begin(state, request);
    } else {
        place(state, request);
    }
}

/// Chooses one of the services of a call's route at random, according to their weights.
fn choose_service(state: &mut State, call: &Call) -> Option<Name> {
    let total: u32 = call.route.services.iter().map(|(_, weight)| weight).sum();
    let mut drawn = state.rng.random_range(0..total.max(1));
    for (service, weight) in &call.route.services {
        if drawn < *weight {
            return Some(service.clone());
        }
        drawn -= weight;
    }
    call.route.services.first().map(|(service, _)| service.clone())
}

/// Sends a request to the best upstream, queues it or rejects it.
pub(crate) fn place(state: &mut State, request: RequestId) {
    let Some(active) = state.requests.get(&request).cloned() else { return };
    if state.now >= active.expires() {
        fail(state, request, RejectReason::DeadlineExceeded, Reply::TimedOut);
        return;
    }
    if crash_attribution::rejection_wait_ms(state, &active.call).is_some() {
        fail(state, request, RejectReason::CrashSuspect, Reply::OutcomeUnknown);
        return;
    }
    if queue_service::is_behind_others(state, request, &active) {
        queue_service::wait_behind_others(state, request, &active);
        return;
    }
    match placement::choose(state, &active.call, active.scope()) {
        Ok(choice) if queue_service::is_prefill_wait(state, &active, &choice) => {
            queue_service::wait_for_prefill(state, request, &active);
        }
        Ok(choice) => dispatch(state, request, choice),
        Err(PlacementError::NoCapacity) => queue_service::wait(state, request, &active),
        Err(PlacementError::NoneRegistered | PlacementError::NoneUsable) => {
            fail(state, request, RejectReason::NoUpstream, Reply::OutcomeUnknown);
        }
    }
}

/// Sends a request to an upstream.
pub fn dispatch(state: &mut State, request: RequestId, choice: Choice) {
    let now = state.now;
    let Choice { upstream: id, prefill_tokens, load, estimate_ms, crossing } = choice;
    let Some(active) = state.requests.get_mut(&request) else { return };
    let (call, service) = (active.call.clone(), active.service.clone());
    let allowed_ms = active.expires().since(now);
    active.sent_count += 1;
    let sent_count = active.sent_count;
    let resumes = active.software.is_some();
    let can_retry = call.route.is_repeatable() && sent_count < call.route.attempts;
    let cache_from = placement::cache_source(state, &call, &id);
    let tokens_ahead = state.upstreams.get(&id).map_or(0, |upstream| state.prefill_backlog(upstream));
    let speed_percent = state.upstreams.get(&id).and_then(|upstream| speed::percent(state, upstream));
    let load_age_ms = state.load_view.age_ms(now);
    let Some(holder) = state.upstreams.get(&id).map(|upstream| state.address_holder(upstream)) else {
        return;
    };
    let Some(upstream) = state.upstreams.get_mut(&id) else { return };
    let cold = upstream.is_cold(now);
    if cold {
        upstream.cold_rate.record(now);
    }
    let load_age_text = load_age_ms.map_or_else(|| "none".to_owned(), |age| age.to_string());
    upstream.rate_limiter.record_sent(now);
    upstream.record_sent(prefill_tokens);
    // A cache transfer replaces an unknown part of the prefill, and a slow moment says nothing about the service.
    let tokens_to_response = (cache_from.is_none() && speed::is_usual(speed_percent))
        .then(|| prefill_tokens.saturating_add(tokens_ahead));
    let attempt = Attempt {
        upstream: id.clone(),
        upstream_started: upstream.registration.started,
        software: upstream.software,
        holder,
        prefill_tokens,
        response_started_at: None,
        sent_at: now,
        tokens_to_response,
        is_delivering: false,
    };
    let (address, started) = (upstream.registration.address, upstream.registration.started);
    let version = upstream.registration.version.clone();
    let urgency = state.urgency.of(&service, call.priority);
    if let Some(active) = state.requests.get_mut(&request) {
        active.attempt = Some(attempt);
    }
    prefill::begin(state, &call, &id);
    let response_timeout_ms = if can_retry { response_timeout(&call, allowed_ms) } else { allowed_ms };
    let mut inputs = vec![
        ("upstream", id.to_string()),
        ("attempt", sent_count.to_string()),
        ("load", load.to_string()),
        ("load_age_ms", load_age_text),
        ("prompt_tokens", call.prompt_tokens().to_string()),
        ("unread_tokens", prefill_tokens.to_string()),
        ("subject", format!("{:016x}", call.affinity_key().unwrap_or_default())),
        ("cache_from", cache_from.as_ref().map(|(id, _)| id.to_string()).unwrap_or_default()),
        ("estimate_ms", format!("{estimate_ms:.0}")),
        ("cold", cold.to_string()),
        ("allowed_ms", allowed_ms.to_string()),
        ("revision", state.directory.revision.number.to_string()),
        ("version", version.to_string()),
        ("resumes", resumes.to_string()),
    ];
    inputs.extend(speed_percent.map(|percent| ("speed_percent", format!("{percent:.0}"))));
    inputs.extend(urgency.map(|urgency| ("urgency", urgency.to_string())));
    inputs.extend(passed_over(state, &service));
    inputs.extend(crossing.iter().flat_map(Crossing::inputs));
    state.log(Some(request), "sent", inputs);
    let cache_from = cache_from.map(|(_, address)| address);
    let crossing = crossing.map(|crossing| crossing.outcome);
    state.effects.push(Effect::Dispatch(
        request,
        Dispatch {
            upstream: id,
            address,
            started,
            cache_from,
            allowed_ms,
            response_timeout_ms,
            urgency,
            crossing,
        },
    ));
}

/// Returns the upstreams of a service that get no requests because of their notices, for the decision log.
fn passed_over(state: &State, service: &Name) -> Option<(&'static str, String)> {
    upstream_notices::describe(state, service).map(|text| ("passed_over", text))
}

/// Returns how long an upstream may take to respond while another one could still be tried, in
/// milliseconds.
fn response_timeout(call: &Call, allowed_ms: u64) -> u64 {
    let response_timeout = match call.route.kind {
        Kind::Streaming => call.route.target_ms * 3,
        Kind::Idempotent | Kind::NonIdempotent => allowed_ms / 2,
    };
    response_timeout.max(MIN_RESPONSE_TIMEOUT_MS).min(allowed_ms)
}

/// Handles the start of an upstream's response.
pub fn handle_response_start(state: &mut State, request: RequestId, signals: ResponseSignals) {
    let now = state.now;
    let Some(active) = state.requests.get_mut(&request) else { return };
    active.response_started = true;
    active.response_started_at.get_or_insert(now);
    let service = active.service.clone();
    let Some(attempt) = &mut active.attempt else { return };
    attempt.response_started_at.get_or_insert(now);
    let (id, prefill_tokens) = (attempt.upstream.clone(), attempt.prefill_tokens);
    let response_time_ms = now.since(attempt.sent_at);
    let is_usual_speed = signals.load.and_then(|load| load.speed).is_none_or(Speed::is_usual);
    let is_measurement = is_usual_speed && !active.call.parts.is_empty();
    if let Some(tokens) = attempt.tokens_to_response.filter(|_| is_measurement) {
        state.prefill_rates.entry(service.clone()).or_default().record(tokens, response_time_ms);
    }
    let call = active.call.clone();
    domain_crossing::record_response_time(state, &id, response_time_ms);
    prefill::finish(state, &call, &id);
    let cold_ms = state.service(&service).map_or(0, |s| s.cold_start_ms);
    let Some(upstream) = state.upstreams.get_mut(&id) else { return };
    upstream.record_response_start(prefill_tokens);
    if let Some(load) = signals.load {
        upstream.record_load_report(LoadReport { load: load.requests(), at: now });
    }
    if upstream.record_reachable(now).is_some_and(|outage| outage >= MIN_COLD_OUTAGE_MS) {
        // The upstream may have restarted without having registered again yet.
        upstream.cold_until = upstream.cold_until.max(now.after(cold_ms));
        state.log(None, "upstream_back", vec![("upstream", id.to_string())]);
    }
}

/// Records that the response of a plain request is passed on as it arrives.
pub fn record_delivery(state: &mut State, request: RequestId) {
    let attempt = state.requests.get_mut(&request).and_then(|active| active.attempt.as_mut());
    if let Some(attempt) = attempt {
        attempt.is_delivering = true;
    }
}

/// Handles that a stream went on some time ago over a connection that had been open for a time.
pub fn handle_stream_continued(state: &mut State, request: RequestId, open_ms: u64, quiet_ms: u64) {
    let attempt = state.requests.get(&request).and_then(|active| active.attempt.as_ref());
    let Some((id, started)) = attempt.map(|a| (a.upstream.clone(), a.upstream_started)) else { return };
    run_evidence::observe(state, &id, started, open_ms, quiet_ms);
}

/// Handles the end of a request for its caller, who may have disconnected before the response was
/// complete.
pub fn handle_close(state: &mut State, request: RequestId) {
    if let Some(Attempt { upstream, .. }) = end_attempt(state, request) {
        let age_ms = state.requests.get(&request).map_or(0, |r| state.now.since(r.arrived_at));
        let inputs = vec![("upstream", upstream.to_string()), ("age_ms", age_ms.to_string())];
        state.log(Some(request), "caller_left", inputs);
    }
    state.queue.remove(request);
    state.requests.remove(&request);
}

fn end_attempt(state: &mut State, request: RequestId) -> Option<Attempt> {
    let active = state.requests.get_mut(&request)?;
    let call = active.call.clone();
    let attempt = active.attempt.take()?;
    if attempt.response_started_at.is_none() {
        prefill::abandon(state, &call, &attempt.upstream);
    }
    if let Some(upstream) = state.upstreams.get_mut(&attempt.upstream) {
        if attempt.response_started_at.is_none() {
            upstream.record_response_start(attempt.prefill_tokens);
        }
        upstream.record_end();
    }
    Some(attempt)
}
