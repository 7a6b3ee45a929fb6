//! Requests for which there is no usable response: they are rejected, or end with an unknown outcome.

use crate::call::Call;
use crate::crash_attribution;
use crate::event::Effect;
use crate::event::Reply;
use crate::event::RequestId;
use crate::placement;
use crate::placement::Scope;
use crate::queue_service;
use crate::rejection::RejectReason;
use crate::rejection::Rejection;
use crate::state::State;

use super::passed_over;

/// Expected time until there is capacity, if there is no better estimate, in milliseconds.
pub(super) const DEFAULT_CAPACITY_WAIT_MS: u64 = 200;

/// Expected time until there is capacity, if no upstream is registered, in milliseconds.
pub(super) const REGISTRATION_WAIT_MS: u64 = 700;

/// Finishes a request for which there is no usable response.
///
/// If the request has certainly not run, it is rejected. Otherwise the caller receives the upstream's
/// error response if there is one, or else `fallback`.
pub fn fail(state: &mut State, request: RequestId, reason: RejectReason, fallback: Reply) {
    let Some(active) = state.requests.get(&request).cloned() else { return };
    if active.may_have_run {
        let reply = if active.has_error_response { Reply::ForwardResponse } else { fallback };
        let inputs =
            vec![("why", reason.as_str().to_owned()), ("delivers", active.has_error_response.to_string())];
        state.log(Some(request), "given_up", inputs);
        state.effects.push(Effect::Reply(request, reply));
        return;
    }
    let capacity_wait_ms = match reason {
        RejectReason::NoUpstream => REGISTRATION_WAIT_MS,
        RejectReason::NoCapacity => {
            placement::capacity_at(state, Scope { tried_upstreams: &[], ..active.scope() })
                .map_or(REGISTRATION_WAIT_MS, |at| at.since(state.now))
                .max(queue_service::expected_wait(state, request, &active).map_or(0, |wait| wait.ms))
        }
        RejectReason::CrashSuspect => {
            crash_attribution::rejection_wait_ms(state, &active.call).unwrap_or(DEFAULT_CAPACITY_WAIT_MS)
        }
        RejectReason::NotRun => placement::recovery_at(state, &active.service)
            .map_or(DEFAULT_CAPACITY_WAIT_MS, |at| at.since(state.now)),
        RejectReason::NotReady
        | RejectReason::UnknownVersion
        | RejectReason::Stopping
        | RejectReason::DeadlineExceeded => DEFAULT_CAPACITY_WAIT_MS,
    };
    reject(state, request, &active.call, reason, capacity_wait_ms);
}

/// Rejects a request, which has not run.
pub(super) fn reject(
    state: &mut State,
    request: RequestId,
    call: &Call,
    reason: RejectReason,
    capacity_wait_ms: u64,
) {
    let rejection = Rejection::new(reason, call, state.now, capacity_wait_ms, &mut state.rng);
    let mut inputs = vec![
        ("why", reason.as_str().to_owned()),
        ("retry_after_ms", rejection.retry_after_ms.to_string()),
        ("route", call.route.name.to_string()),
        ("revision", state.directory.revision.number.to_string()),
        ("upstreams", state.upstreams.len().to_string()),
    ];
    let service = state.requests.get(&request).map(|active| &active.service);
    inputs.extend(service.and_then(|service| passed_over(state, service)));
    if reason == RejectReason::NoCapacity && service.is_some_and(|s| state.urgency.applies_to(s)) {
        inputs.push(("priority", call.priority.to_string()));
        inputs.push(("capacity_wait_ms", capacity_wait_ms.to_string()));
        inputs.push(("queued", state.queue.len().to_string()));
    }
    state.log(Some(request), "refused", inputs);
    state.effects.push(Effect::Reply(request, Reply::Rejected(rejection)));
}
