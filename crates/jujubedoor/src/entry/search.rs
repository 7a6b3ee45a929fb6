//! Arrival of a request, and the order in which it asks for permits.

use std::collections::VecDeque;
use std::sync::Arc;

use jujubedoor_config::Admission;
use jujubedoor_config::PoolKind;
use jujubedoor_config::WithoutTicket;

use super::request::ActiveRequest;
use super::request::Candidate;
use super::request::RetryPolicy;
use super::request::Stage;
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

/// At how many of the first upstreams a chat may wait if they are warm for it.
const WARM_WAITS: usize = 1;

/// The pause before a request looks for an upstream again, in milliseconds.
const PAUSE_MS: u64 = 100;

/// How long a call waits at one full upstream before it asks which is the least loaded now, in
/// milliseconds.
const SLICE_MS: u64 = 200;

/// How much longer than a new owner's settle time a request looks for an upstream, in milliseconds.
const SETTLE_MARGIN_MS: u64 = 500;

/// Receives a caller's request.
pub fn arrive(state: &mut State, arrival: Arrival) {
    let request = arrival.request;
    state.record(Some(request), None, TimelineEvent::RequestArrived);
    if let Err(refusal) = start(state, arrival) {
        refuse(state, request, refusal);
    }
}

/// Starts a request whose pool is known, and looks for an upstream.
pub(crate) fn launch(state: &mut State, flight: ActiveRequest) {
    let request = flight.request;
    state.entry.requests.insert(request, flight);
    fill(state, request);
    advance(state, request);
}

/// Asks the next owner for a permit, waits, or gives up.
pub(super) fn advance(state: &mut State, request: RequestId) {
    let now = state.now;
    loop {
        let Some(flight) = state.entry.requests.get_mut(&request) else { return };
        if now >= flight.deadline {
            give_up(state, request, Reason::Timeout);
            return;
        }
        if let Some(candidate) = flight.next.pop_front() {
            if ask(state, request, &candidate) {
                return;
            }
            continue;
        }
        if now >= flight.patience {
            give_up(state, request, Reason::Overloaded);
            return;
        }
        let rested = now.since(flight.queued_at) >= SLICE_MS;
        if let Some((_, busy)) = flight.best.take().filter(|_| rested) {
            flight.queued_at = now;
            // In slices, since meanwhile another upstream may have room.
            let upstream = flight.least.take().unwrap_or(busy);
            let wait = Wait::Always(flight.patience.since(now).min(SLICE_MS));
            flight.next.push_back(Candidate { upstream, wait, here: true });
            continue;
        }
        flight.stage = Stage::Pausing { until: now.after(PAUSE_MS) };
        return;
    }
}

/// Lists the upstreams to ask.
pub(super) fn fill(state: &mut State, request: RequestId) {
    let Some(flight) = state.entry.requests.get(&request) else { return };
    let order = placement::rank_upstreams(&state.catalog, &flight.pool, flight.key, &state.region);
    if order.is_empty() {
        give_up(state, request, Reason::NoUpstream);
        return;
    }
    let warm = Wait::IfCached(state.catalog.pools[&flight.pool].pool.warm_wait_ms);
    let candidate = |(i, upstream): (usize, &UpstreamId)| Candidate {
        upstream: upstream.clone(),
        wait: if i < WARM_WAITS { warm } else { Wait::NotAllowed },
        here: i > 0,
    };
    let candidates: VecDeque<_> =
        order.iter().enumerate().take(state.tuning.max_probes).map(candidate).collect();
    if let Some(flight) = state.entry.requests.get_mut(&request) {
        flight.first = order.first().cloned();
        flight.next.extend(candidates);
    }
}

/// Ends a request without an answer, with the outcome that is true for it.
pub(super) fn give_up(state: &mut State, request: RequestId, reason: Reason) {
    let Some(flight) = state.entry.requests.remove(&request) else { return };
    let mut refusal = RequestError::not_run(reason);
    if flight.handed {
        refusal.outcome = Outcome::Unknown;
    }
    if matches!(reason, Reason::Overloaded | Reason::NoUpstream | Reason::NotReady) {
        refusal = refusal.retry_after(state.tuning.retry_after_ms);
    }
    if flight.run.is_some() {
        executor::finish_run(state, request, &Err(refusal));
        return;
    }
    refuse(state, request, refusal);
}

fn refuse(state: &mut State, request: RequestId, refusal: RequestError) {
    state.record(Some(request), None, TimelineEvent::RequestFailed(refusal.clone()));
    state.effects.push(Effect::Reply(request, Reply::Error(refusal)));
}

/// Checks a request and starts it here or at the executor of its ticket.
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
    state.entry.retry_budget.earn();
    let repeat =
        if arrival.service_call.is_some() { RetryPolicy::Undelivered } else { RetryPolicy::Resumable };
    let mut flight = ActiveRequest { repeat, ..new_flight(state, &arrival, &pool) };
    if state.suspects.crashes(arrival.fingerprint, state.now) >= REJECT_AFTER_CRASHES {
        return Err(not_run(Reason::CrashesUpstreams));
    }
    if let Some(call) = &arrival.service_call {
        let path = call.path.split('?').next().unwrap_or_default();
        let declared = &state.catalog.pools[&pool].pool;
        match declared.non_repeatable_call(&call.method, path).map(|c| c.without_ticket) {
            Some(WithoutTicket::Refuse) => {
                let ticket = executor::issue(state, &arrival.workspace, &pool);
                let refusal = not_run(Reason::TicketRequired);
                return Err(RequestError { ticket, ..refusal });
            }
            Some(WithoutTicket::RunOnce) => flight.repeat = RetryPolicy::Never,
            None => {}
        }
    }
    let hint = arrival.hint.filter(|hint| serves(state, hint, &pool));
    let warm = Wait::IfCached(state.catalog.pools[&pool].pool.warm_wait_ms);
    flight.next.extend(hint.map(|upstream| Candidate { upstream, wait: warm, here: true }));
    launch(state, flight);
    Ok(())
}

/// Finds the pool that a request names.
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

fn new_flight(state: &State, arrival: &Arrival, pool: &PoolId) -> ActiveRequest {
    let tuning = &state.tuning;
    let queue_ms = state.catalog.pools[pool].pool.queue_ms;
    let patience = state.now.after(queue_ms.max(tuning.takeover_wait_ms + SETTLE_MARGIN_MS));
    ActiveRequest {
        request: arrival.request,
        pool: pool.clone(),
        workspace: arrival.workspace.clone(),
        key: arrival.key,
        fingerprint: arrival.fingerprint,
        arrived_at: state.now,
        deadline: arrival.deadline,
        patience: patience.min(arrival.deadline),
        ..ActiveRequest::default()
    }
}

/// Creates the flight of a ticket's call.
pub(crate) fn run_flight(
    state: &State,
    arrival: &Arrival,
    pool: &PoolId,
    call: Arc<crate::call::ServiceCall>,
) -> ActiveRequest {
    ActiveRequest { run: Some(call), ..new_flight(state, arrival, pool) }
}

fn serves(state: &State, upstream: &UpstreamId, pool: &PoolId) -> bool {
    let entry = state.catalog.upstreams.get(upstream);
    entry.is_some_and(|entry| entry.pools.contains(pool)) && state.catalog.takes_work(upstream)
}

/// Asks for a permit on one upstream and tells whether the request now waits for an answer.
fn ask(state: &mut State, request: RequestId, candidate: &Candidate) -> bool {
    let Some(flight) = state.entry.requests.get(&request) else { return true };
    let policy = state.catalog.pools.get(&flight.pool).map(|entry| entry.pool.admission);
    if policy != Some(Admission::Owner) {
        return send_unasked(state, request);
    }
    let Some(owner) = state.admissions.owner(&candidate.upstream).cloned() else { return false };
    let until = state.now.after(candidate.wait.max_ms() + state.tuning.acquire_timeout_ms);
    let Some(flight) = state.entry.requests.get_mut(&request) else { return true };
    flight.attempt += 1;
    let acquire = Acquire {
        request,
        attempt: flight.attempt,
        upstream: candidate.upstream.clone(),
        pool: flight.pool.clone(),
        workspace: flight.workspace.clone(),
        key: flight.key,
        fingerprint: flight.fingerprint,
        lost_attempts: flight.losses,
        wait: candidate.wait,
        age_ms: state.now.since(flight.arrived_at),
        ignore_placement: candidate.here,
    };
    flight.stage = Stage::Acquiring { upstream: candidate.upstream.clone(), owner: owner.clone(), until };
    state.record(Some(request), Some(&candidate.upstream), TimelineEvent::PermitRequested(owner.clone()));
    state.send(&owner, Message::Acquire(acquire));
    true
}

/// Sends a request by a policy that needs no permit.
fn send_unasked(state: &mut State, request: RequestId) -> bool {
    let Some(flight) = state.entry.requests.get_mut(&request) else { return true };
    flight.next.clear();
    let (pool, key) = (flight.pool.clone(), flight.key);
    let order = placement::rank_upstreams(&state.catalog, &pool, key, &state.region);
    let Some(upstream) = baseline::choose_upstream(state, &pool, &order) else {
        give_up(state, request, Reason::Overloaded);
        return true;
    };
    if let Some(flight) = state.entry.requests.get_mut(&request) {
        flight.attempt += 1;
    }
    send(state, request, &upstream, None);
    true
}

/// Sends a request to an upstream.
pub(super) fn send(state: &mut State, request: RequestId, upstream: &UpstreamId, permit: Option<PermitId>) {
    let Some(entry) = state.catalog.upstreams.get(upstream) else { return };
    let address = entry.upstream.address;
    let Some(flight) = state.entry.requests.get_mut(&request) else { return };
    flight.stage = Stage::Sending { upstream: upstream.clone(), permit };
    let dial = flight.dial(upstream, address, false);
    let effect = match &flight.run {
        Some(call) => Effect::Run(dial, call.clone()),
        None => Effect::Dispatch(dial),
    };
    let attempt = flight.attempt;
    state.record(Some(request), Some(upstream), TimelineEvent::AttemptSent(attempt));
    state.effects.push(effect);
}
