//! The arrival of a request and its search for an upstream that grants a permit.

use std::collections::VecDeque;
use std::sync::Arc;

use jujubedoor_config::Admission;
use jujubedoor_config::PoolKind;
use jujubedoor_config::WithoutTicket;

use super::active_request::ActiveRequest;
use super::active_request::Candidate;
use super::active_request::RetryPolicy;
use super::active_request::Stage;
use crate::baseline;
use crate::call::Arrival;
use crate::crash_suspects::REJECT_AFTER_CRASHES;
use crate::event::Effect;
use crate::event::Reply;
use crate::event::TimelineEvent;
use crate::executor;
use crate::ids::PermitId;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::message::Acquire;
use crate::message::Message;
use crate::message::Wait;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::outcome::RequestError;
use crate::placement;
use crate::state::State;

/// Number of most preferred upstreams at which a chat may be queued if its prompt is cached there.
const CACHED_WAIT_CANDIDATES: usize = 1;

/// Delay before a request searches for an upstream again, in milliseconds.
const SEARCH_RETRY_DELAY_MS: u64 = 100;

/// Maximum time that a call is queued at one upstream before it looks for the least loaded upstream again, in
/// milliseconds.
const QUEUE_SLICE_MS: u64 = 200;

/// Time that is added to the takeover wait to obtain the minimum search time of a request, in milliseconds.
const TAKEOVER_MARGIN_MS: u64 = 500;

/// Handles the arrival of a caller's request.
pub fn arrive(state: &mut State, arrival: Arrival) {
    let request = arrival.request;
    state.record(Some(request), None, TimelineEvent::RequestArrived);
    if let Err(error) = start(state, arrival) {
        reject(state, request, error);
    }
}

/// Adds a request whose pool is known, and starts the search for an upstream.
pub(crate) fn launch(state: &mut State, active: ActiveRequest) {
    let request = active.request;
    state.entry.requests.insert(request, active);
    add_candidates(state, request);
    advance(state, request);
}

/// Continues the search: requests a permit from the next owner, pauses, or fails the request.
pub(super) fn advance(state: &mut State, request: RequestId) {
    let now = state.now;
    loop {
        let Some(active) = state.entry.requests.get_mut(&request) else { return };
        if now >= active.deadline {
            fail(state, request, Reason::Timeout);
            return;
        }
        if let Some(candidate) = active.candidates.pop_front() {
            if request_permit(state, request, &candidate) {
                return;
            }
            continue;
        }
        if now >= active.search_deadline {
            fail(state, request, Reason::Overloaded);
            return;
        }
        let slice_elapsed = now.since(active.queued_at) >= QUEUE_SLICE_MS;
        if let Some((_, probed)) = active.least_loaded_probed.take().filter(|_| slice_elapsed) {
            active.queued_at = now;
            // The time in a queue is limited, because another upstream may get capacity meanwhile.
            let upstream = active.least_loaded_reported.take().unwrap_or(probed);
            let wait = Wait::Always(active.search_deadline.since(now).min(QUEUE_SLICE_MS));
            active.candidates.push_back(Candidate { upstream, wait, ignore_placement: true });
            continue;
        }
        active.stage = Stage::Pausing { until: now.after(SEARCH_RETRY_DELAY_MS) };
        return;
    }
}

/// Adds the most preferred upstreams to the candidates, or fails the request if no upstream is available.
pub(super) fn add_candidates(state: &mut State, request: RequestId) {
    let Some(active) = state.entry.requests.get(&request) else { return };
    let ranked = placement::rank_upstreams(&state.catalog, &active.pool, active.key, &state.region);
    if ranked.is_empty() {
        fail(state, request, Reason::NoUpstream);
        return;
    }
    let if_cached = Wait::IfCached(state.catalog.pools[&active.pool].pool.warm_wait_ms);
    let candidate = |(i, upstream): (usize, &UpstreamId)| Candidate {
        upstream: upstream.clone(),
        wait: if i < CACHED_WAIT_CANDIDATES { if_cached } else { Wait::NotAllowed },
        ignore_placement: i > 0,
    };
    let preferred: VecDeque<_> =
        ranked.iter().enumerate().take(state.tuning.max_probes).map(candidate).collect();
    if let Some(active) = state.entry.requests.get_mut(&request) {
        active.first_choice = ranked.first().cloned();
        active.candidates.extend(preferred);
    }
}

/// Ends a request without a response.
///
/// The outcome is unknown if the request may have reached an upstream.
pub(super) fn fail(state: &mut State, request: RequestId, reason: Reason) {
    let Some(active) = state.entry.requests.remove(&request) else { return };
    let mut error = RequestError::not_run(reason);
    if active.reached_upstream {
        error.outcome = Outcome::Unknown;
    }
    if matches!(reason, Reason::Overloaded | Reason::NoUpstream | Reason::NotReady) {
        error = error.retry_after(state.tuning.retry_after_ms);
    }
    if active.ticket_call.is_some() {
        executor::finish_run(state, request, &Err(error));
        return;
    }
    reject(state, request, error);
}

fn reject(state: &mut State, request: RequestId, error: RequestError) {
    state.record(Some(request), None, TimelineEvent::RequestFailed(error.clone()));
    state.effects.push(Effect::Reply(request, Reply::Error(error)));
}

/// Validates a request, and starts it here or forwards it to the executor of its ticket.
fn start(state: &mut State, arrival: Arrival) -> Result<(), RequestError> {
    let not_run = |reason| RequestError::not_run(reason);
    if let Some(ticket) = &arrival.ticket {
        return executor::forward(state, &arrival, ticket);
    }
    let retry_after_ms = state.tuning.retry_after_ms;
    if !state.can_serve() {
        return Err(not_run(Reason::NotReady).retry_after(retry_after_ms));
    }
    let pool = find_pool(state, &arrival)?;
    state.entry.retry_budget.deposit();
    let retry_policy =
        if arrival.service_call.is_some() { RetryPolicy::BeforeDelivery } else { RetryPolicy::Resumable };
    let mut active = ActiveRequest { retry_policy, ..new_request(state, &arrival, &pool) };
    if state.crash_suspects.crashes(arrival.fingerprint, state.now) >= REJECT_AFTER_CRASHES {
        return Err(not_run(Reason::CrashesUpstreams));
    }
    if let Some(call) = &arrival.service_call {
        let path = call.path.split('?').next().unwrap_or_default();
        let declaration = &state.catalog.pools[&pool].pool;
        match declaration.non_repeatable_call(&call.method, path).map(|c| c.without_ticket) {
            Some(WithoutTicket::Refuse) => {
                let ticket = executor::issue(state, &arrival.workspace, &pool);
                let error = not_run(Reason::TicketRequired);
                return Err(RequestError { ticket, ..error });
            }
            Some(WithoutTicket::RunOnce) => active.retry_policy = RetryPolicy::Never,
            None => {}
        }
    }
    let hint = arrival.hint.filter(|hint| is_serving(state, hint, &pool));
    let if_cached = Wait::IfCached(state.catalog.pools[&pool].pool.warm_wait_ms);
    active.candidates.extend(hint.map(|upstream| Candidate {
        upstream,
        wait: if_cached,
        ignore_placement: true,
    }));
    launch(state, active);
    Ok(())
}

/// Looks up the pool that a request names.
pub(crate) fn find_pool(state: &State, arrival: &Arrival) -> Result<PoolId, RequestError> {
    if !state.catalog.workspaces.contains_key(&arrival.workspace) {
        return Err(RequestError::not_run(Reason::UnknownWorkspace));
    }
    let pool = state.catalog.pool_of(&arrival.workspace, &arrival.pool);
    let pool = pool.ok_or_else(|| RequestError::not_run(Reason::UnknownPool))?;
    let kind = if arrival.service_call.is_some() { PoolKind::Service } else { PoolKind::Model };
    if state.catalog.pools[&pool].pool.kind != kind {
        return Err(RequestError::not_run(Reason::UnknownPool));
    }
    Ok(pool)
}

fn new_request(state: &State, arrival: &Arrival, pool: &PoolId) -> ActiveRequest {
    let tuning = &state.tuning;
    let queue_ms = state.catalog.pools[pool].pool.queue_ms;
    let search_deadline = state.now.after(queue_ms.max(tuning.takeover_wait_ms + TAKEOVER_MARGIN_MS));
    ActiveRequest {
        request: arrival.request,
        pool: pool.clone(),
        workspace: arrival.workspace.clone(),
        key: arrival.key,
        fingerprint: arrival.fingerprint,
        arrived_at: state.now,
        deadline: arrival.deadline,
        search_deadline: search_deadline.min(arrival.deadline),
        ..ActiveRequest::default()
    }
}

/// Creates the request that runs the call of a ticket.
pub(crate) fn new_ticket_request(
    state: &State,
    arrival: &Arrival,
    pool: &PoolId,
    call: Arc<crate::call::ServiceCall>,
) -> ActiveRequest {
    ActiveRequest { ticket_call: Some(call), ..new_request(state, arrival, pool) }
}

fn is_serving(state: &State, upstream: &UpstreamId, pool: &PoolId) -> bool {
    let entry = state.catalog.upstreams.get(upstream);
    entry.is_some_and(|entry| entry.pools.contains(pool)) && state.catalog.takes_work(upstream)
}

/// Requests a permit for an upstream, or sends the request if its admission policy does not require a permit.
///
/// Returns whether the search is done for now: the request waits for a response, was sent, or has ended.
fn request_permit(state: &mut State, request: RequestId, candidate: &Candidate) -> bool {
    let Some(active) = state.entry.requests.get(&request) else { return true };
    let admission_policy = state.catalog.pools.get(&active.pool).map(|entry| entry.pool.admission);
    if admission_policy != Some(Admission::Owner) {
        return send_without_permit(state, request);
    }
    let Some(owner) = state.admissions.owner(&candidate.upstream).cloned() else { return false };
    let until = state.now.after(candidate.wait.max_ms() + state.tuning.acquire_timeout_ms);
    let Some(active) = state.entry.requests.get_mut(&request) else { return true };
    active.attempt += 1;
    let acquire = Acquire {
        request,
        attempt: active.attempt,
        upstream: candidate.upstream.clone(),
        pool: active.pool.clone(),
        workspace: active.workspace.clone(),
        key: active.key,
        fingerprint: active.fingerprint,
        lost_attempts: active.lost_attempts,
        wait: candidate.wait,
        age_ms: state.now.since(active.arrived_at),
        ignore_placement: candidate.ignore_placement,
    };
    active.stage = Stage::Acquiring { upstream: candidate.upstream.clone(), owner: owner.clone(), until };
    state.record(Some(request), Some(&candidate.upstream), TimelineEvent::PermitRequested(owner.clone()));
    state.send(&owner, Message::Acquire(acquire));
    true
}

/// Sends a request whose admission policy does not require a permit.
fn send_without_permit(state: &mut State, request: RequestId) -> bool {
    let Some(active) = state.entry.requests.get_mut(&request) else { return true };
    active.candidates.clear();
    let (pool, key) = (active.pool.clone(), active.key);
    let ranked = placement::rank_upstreams(&state.catalog, &pool, key, &state.region);
    let Some(upstream) = baseline::choose_upstream(state, &pool, &ranked) else {
        fail(state, request, Reason::Overloaded);
        return true;
    };
    if let Some(active) = state.entry.requests.get_mut(&request) {
        active.attempt += 1;
    }
    send(state, request, &upstream, None);
    true
}

/// Sends a request to an upstream.
pub(super) fn send(state: &mut State, request: RequestId, upstream: &UpstreamId, permit: Option<PermitId>) {
    let Some(entry) = state.catalog.upstreams.get(upstream) else { return };
    let address = entry.upstream.address;
    let Some(active) = state.entry.requests.get_mut(&request) else { return };
    active.stage = Stage::Sending { upstream: upstream.clone(), permit };
    let dispatch = active.dispatch(upstream, address, false);
    let effect = match &active.ticket_call {
        Some(call) => Effect::Run(dispatch, call.clone()),
        None => Effect::Dispatch(dispatch),
    };
    let attempt = active.attempt;
    state.record(Some(request), Some(upstream), TimelineEvent::AttemptSent(attempt));
    state.effects.push(effect);
}
