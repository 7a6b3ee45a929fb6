//! Responses of admission owners, and the ends of attempts.

use jujubedoor_config::Name;
use rand::Rng;

use super::active_request::ActiveRequest;
use super::active_request::Candidate;
use super::active_request::RetryPolicy;
use super::active_request::Stage;
use super::search;
use crate::event::AttemptEnded;
use crate::event::CountedEvent;
use crate::event::Effect;
use crate::event::TimelineEvent;
use crate::executor;
use crate::ids::PermitId;
use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::Abandon;
use crate::message::AttemptOutcome;
use crate::message::Denied;
use crate::message::DenyReason;
use crate::message::Granted;
use crate::message::Message;
use crate::message::Placed;
use crate::message::Release;
use crate::message::Wait;
use crate::outcome::Reason;
use crate::outcome::RequestError;
use crate::state::State;

/// Number of attempts with a lost connection after which a request is not retried.
const MAX_LOST_ATTEMPTS: u8 = 2;

/// Handles a granted permit: sends the request, or returns the permit if the request may not be sent.
pub fn handle_granted(state: &mut State, from: &VmRef, granted: &Granted) {
    let Granted { request, attempt, ref upstream, permit } = *granted;
    let is_expected = state.entry.requests.get(&request).is_some_and(|active| {
        // If this process was paused, a grant received late may come from a former owner. A new owner may
        // have completed its takeover without knowledge of this permit.
        let is_in_time = matches!(active.stage, Stage::Acquiring { until, .. } if state.now < until);
        active.attempt == attempt && is_in_time
    });
    let has_permit =
        |sent: &ActiveRequest| matches!(sent.stage, Stage::Sending { permit: Some(p), .. } if p == permit);
    if state.entry.requests.get(&request).is_some_and(has_permit) {
        state.count(CountedEvent::MessageDropped);
        return;
    }
    // If this process was paused, the document may be outdated, so the upstream is checked again.
    let may_send = state.catalog.takes_work(upstream) && state.is_view_confirmed();
    if is_expected && may_send {
        search::send(state, request, upstream, Some(permit));
        return;
    }
    let release = Release { permit, upstream: upstream.clone(), outcome: AttemptOutcome::Cancelled };
    state.send(&from.name, Message::Release(release));
    if is_expected {
        search::advance(state, request);
    } else {
        // A request whose grant arrived too late continues its search at the next tick.
        state.count(CountedEvent::MessageDropped);
    }
}

/// Handles a denied permit: tries the next upstream, or the one that the owner names.
pub fn handle_denied(state: &mut State, denied: Denied) {
    let Denied { request, attempt, reason } = denied;
    let if_cached = Wait::IfCached(warm_wait_ms(state, request));
    let Some(active) = state.entry.requests.get_mut(&request) else {
        state.count(CountedEvent::MessageDropped);
        return;
    };
    let Stage::Acquiring { upstream, .. } = &active.stage else { return };
    if active.attempt != attempt {
        state.count(CountedEvent::MessageDropped);
        return;
    }
    let upstream = upstream.clone();
    match reason {
        DenyReason::Busy(busy) => {
            active.least_loaded_reported = busy
                .least_loaded_upstream
                .filter(|least| *least != upstream)
                .or(active.least_loaded_reported.take());
            let is_less_loaded =
                active.least_loaded_probed.as_ref().is_none_or(|(best, _)| busy.load_percent < *best);
            if is_less_loaded {
                active.least_loaded_probed = Some((busy.load_percent, upstream));
            }
        }
        DenyReason::PlacedElsewhere(placed_on) => {
            let fallback = Candidate { upstream, wait: Wait::NotAllowed, ignore_placement: true };
            active.candidates.push_front(fallback);
            active.candidates.push_front(Candidate {
                upstream: placed_on,
                wait: if_cached,
                ignore_placement: true,
            });
        }
        DenyReason::CrashSuspect => {
            search::fail(state, request, Reason::CrashesUpstreams);
            return;
        }
        DenyReason::NotOwner(_) | DenyReason::OwnerNotReady | DenyReason::UpstreamUnavailable => {}
    }
    search::advance(state, request);
}

/// Handles the end of an attempt: completes, resumes, retries or fails the request.
pub fn handle_attempt_ended(state: &mut State, ended: AttemptEnded) {
    let request = ended.request;
    let Some(active) = state.entry.requests.get_mut(&request) else {
        state.count(CountedEvent::MessageDropped);
        return;
    };
    let Stage::Sending { upstream, permit } = active.stage.clone() else { return };
    if active.attempt != ended.attempt {
        state.count(CountedEvent::MessageDropped);
        return;
    }
    if ended.outcome == AttemptOutcome::ConnectionLost
        && ended.delivered
        && active.retry_policy == RetryPolicy::Resumable
    {
        active.retry_policy = RetryPolicy::BeforeDelivery;
        active.reached_upstream = true;
        resume(state, request, &upstream);
        return;
    }
    return_permit(state, &upstream, permit, ended.outcome);
    state.record(Some(request), Some(&upstream), TimelineEvent::AttemptFinished(outcome_name(ended.outcome)));
    match ended.outcome {
        AttemptOutcome::Completed(_) => complete(state, ended, &upstream),
        // A partially delivered response cannot be continued with the start of another one.
        AttemptOutcome::Unsent if ended.delivered => search::fail(state, request, Reason::UpstreamLost),
        AttemptOutcome::Unsent => search::advance(state, request),
        AttemptOutcome::Busy => retry(state, request, ended.delivered, Reason::Overloaded),
        AttemptOutcome::ConnectionLost => retry(state, request, ended.delivered, Reason::UpstreamLost),
        AttemptOutcome::Cancelled => {
            state.entry.requests.remove(&request);
        }
    }
}

/// Cancels a request whose caller has disconnected, unless it was already sent.
pub fn handle_caller_gone(state: &mut State, request: RequestId) {
    let Some(active) = state.entry.requests.get(&request) else { return };
    match active.stage.clone() {
        Stage::Acquiring { upstream, owner, .. } => {
            abandon(state, request, upstream, &owner);
            state.entry.requests.remove(&request);
        }
        Stage::New | Stage::Pausing { .. } => {
            state.entry.requests.remove(&request);
        }
        // The I/O layer ends the attempt, which returns the permit.
        Stage::Sending { .. } => {}
    }
}

/// Continues the search of the requests that wait for an unreachable owner.
pub fn handle_owner_unreachable(state: &mut State, name: &Name) {
    let awaits_owner =
        |active: &&ActiveRequest| matches!(&active.stage, Stage::Acquiring { owner, .. } if owner == name);
    let affected: Vec<_> =
        state.entry.requests.values().filter(awaits_owner).map(|active| active.request).collect();
    for request in affected {
        search::advance(state, request);
    }
}

/// Reports to an owner which of the given permits this VM does not hold.
pub fn check_permits(state: &mut State, from: &VmRef, upstream: UpstreamId, permits: Vec<PermitId>) {
    let permits_here = state.entry.declared_permits(&upstream, state.fleet.local_vm());
    let is_held = |permit: &PermitId| permits_here.iter().any(|declared| declared.permit == *permit);
    let not_held: Vec<_> = permits.into_iter().filter(|permit| !is_held(permit)).collect();
    if !not_held.is_empty() {
        state.send(&from.name, Message::PermitsGone(upstream, not_held));
    }
}

/// Continues the search of the requests whose owner has timed out or whose pause has ended.
pub fn tick(state: &mut State) {
    let now = state.now;
    let mut timed_out = Vec::new();
    let mut pause_ended = Vec::new();
    for active in state.entry.requests.values() {
        match &active.stage {
            Stage::Acquiring { upstream, owner, until } if now >= *until => {
                timed_out.push((active.request, upstream.clone(), owner.clone()));
            }
            Stage::Pausing { until } if now >= *until => pause_ended.push(active.request),
            _ => {}
        }
    }
    for (request, upstream, owner) in timed_out {
        abandon(state, request, upstream, &owner);
        crate::gossip::send_heartbeat(state, &owner);
        search::advance(state, request);
    }
    for request in pause_ended {
        search::add_candidates(state, request);
        search::advance(state, request);
    }
}

fn warm_wait_ms(state: &State, request: RequestId) -> u64 {
    let active = state.entry.requests.get(&request);
    let pool = active.and_then(|active| state.catalog.pools.get(&active.pool));
    pool.map_or(0, |entry| entry.pool.warm_wait_ms)
}

fn abandon(state: &mut State, request: RequestId, upstream: UpstreamId, owner: &Name) {
    let Some(active) = state.entry.requests.get(&request) else { return };
    let abandon = Abandon { request, attempt: active.attempt, upstream };
    state.send(owner, Message::Abandon(abandon));
}

/// Returns a permit to the current owner.
fn return_permit(
    state: &mut State,
    upstream: &UpstreamId,
    permit: Option<PermitId>,
    outcome: AttemptOutcome,
) {
    let Some(permit) = permit else { return };
    let Some(owner) = state.admissions.owner(upstream).cloned() else { return };
    let release = Release { permit, upstream: upstream.clone(), outcome };
    state.send(&owner, Message::Release(release));
}

/// Ends a request with a complete response.
///
/// If its chat was placed on another upstream than the first choice, the owner of the first choice is
/// notified.
fn complete(state: &mut State, ended: AttemptEnded, upstream: &UpstreamId) {
    let Some(active) = state.entry.requests.remove(&ended.request) else { return };
    if active.ticket_call.is_some() {
        let result = ended.answer.ok_or_else(|| RequestError::unknown(Reason::UpstreamLost));
        executor::finish_run(state, ended.request, &result);
        return;
    }
    let Some(first_choice) = active.first_choice.filter(|choice| choice != upstream) else { return };
    let Some(owner) = state.admissions.owner(&first_choice).cloned() else { return };
    let placed = Placed { first_choice, key: active.key, placed_on: upstream.clone() };
    state.send(&owner, Message::Placed(placed));
}

/// Resumes an interrupted stream at the same upstream, from the point of the interruption.
fn resume(state: &mut State, request: RequestId, upstream: &UpstreamId) {
    let Some(entry) = state.catalog.upstreams.get(upstream) else { return };
    let address = entry.upstream.address;
    let Some(active) = state.entry.requests.get_mut(&request) else { return };
    active.attempt += 1;
    let dispatch = active.dispatch(upstream, address, true);
    let attempt = active.attempt;
    state.record(Some(request), Some(upstream), TimelineEvent::AttemptSent(attempt));
    state.effects.push(Effect::Dispatch(dispatch));
}

/// Retries a request after a delay if its retry policy and the retry budget allow it, or else fails it.
fn retry(state: &mut State, request: RequestId, delivered: bool, reason: Reason) {
    let backoff_ms = state.tuning.retry_backoff_ms;
    let delay_ms = backoff_ms + state.rng.random_range(0..=backoff_ms);
    let until = state.now.after(delay_ms);
    let Some(active) = state.entry.requests.get_mut(&request) else { return };
    active.reached_upstream = true;
    if reason == Reason::UpstreamLost {
        active.lost_attempts += 1;
    }
    let allowed =
        active.retry_policy != RetryPolicy::Never && !delivered && active.lost_attempts < MAX_LOST_ATTEMPTS;
    if !allowed || !state.entry.retry_budget.withdraw() {
        search::fail(state, request, reason);
        return;
    }
    active.candidates.clear();
    active.stage = Stage::Pausing { until };
    state.count(CountedEvent::RequestRetried);
}

fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed(_) => "completed",
        AttemptOutcome::Unsent => "unsent",
        AttemptOutcome::ConnectionLost => "lost",
        AttemptOutcome::Busy => "busy",
        AttemptOutcome::Cancelled => "cancelled",
    }
}
