//! The end of an attempt: the request is finished, tried again or failed.

use jujubedoor_config::Name;

use crate::crash_attribution;
use crate::event::AttemptOutcome;
use crate::event::Reply;
use crate::event::RequestId;
use crate::health;
use crate::rejection::RejectReason;
use crate::resumed_streams;
use crate::run_evidence;
use crate::state::ConnectionLoss;
use crate::state::State;

use super::end_attempt;
use super::failure::fail;

/// Handles the end of an attempt: finishes the request, retries it or fails it.
pub fn handle_attempt_end(state: &mut State, request: RequestId, outcome: AttemptOutcome) {
    let Some(attempt) = end_attempt(state, request) else { return };
    let id = attempt.upstream.clone();
    health::record_outcome(state, &id, outcome);
    let Some(active) = state.requests.get_mut(&request) else { return };
    let call = active.call.clone();
    match outcome {
        AttemptOutcome::Complete => {
            let duration_ms = state.now.since(attempt.sent_at);
            if let Some(urgency) = state.urgency.of(&active.service, call.priority)
                && let Some(flow) = state.service_flows.get_mut(&active.service)
            {
                flow.record_duration(urgency, duration_ms);
            }
            state.request_suspects.discard(&[call.fingerprint.0]);
            let began_at = attempt.response_started_at.unwrap_or(attempt.sent_at);
            crash_attribution::record_survival(state, &call, began_at);
            log_answered(state, request, &id);
            return;
        }
        AttemptOutcome::Unsent => active.sent_count -= 1,
        AttemptOutcome::Unreachable | AttemptOutcome::Refused | AttemptOutcome::WrongUpstream => {
            active.sent_count -= 1;
            active.tried_upstreams.push(id.clone());
        }
        AttemptOutcome::NotRun(_) | AttemptOutcome::NotSuitable => active.tried_upstreams.push(id.clone()),
        AttemptOutcome::Failed(_) | AttemptOutcome::ConnectionLost | AttemptOutcome::NoResponse => {
            active.tried_upstreams.push(id.clone());
            active.may_have_run = true;
        }
    }
    active.has_error_response |= matches!(outcome, AttemptOutcome::Failed(_));
    let began = active.response_started;
    state.log(
        Some(request),
        "attempt_ended",
        vec![("upstream", id.to_string()), ("how", outcome.log_text()), ("began", began.to_string())],
    );
    if outcome == AttemptOutcome::ConnectionLost {
        health::probe(state, &id);
        run_evidence::record_loss(state, &id);
        state.connection_losses.push(ConnectionLoss {
            at: state.now,
            request,
            upstream: id,
            upstream_started: attempt.upstream_started,
            sent_at: attempt.sent_at,
            call: call.clone(),
        });
    }
    if !attempt.is_delivering && may_retry(state, request, outcome) {
        resumed_streams::retry(state, request);
        return;
    }
    match outcome {
        AttemptOutcome::NoResponse => fail(state, request, RejectReason::DeadlineExceeded, Reply::TimedOut),
        _ => fail(state, request, RejectReason::NotRun, Reply::OutcomeUnknown),
    }
}

/// Returns whether a request may be sent again. If an upstream may have received it, this takes a retry
/// from the budget.
fn may_retry(state: &mut State, request: RequestId, outcome: AttemptOutcome) -> bool {
    let Some(active) = state.requests.get(&request) else { return false };
    let route = &active.call.route;
    let reached_upstream =
        !matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::Refused | AttemptOutcome::Unsent);
    let confirmed_not_run = matches!(
        outcome,
        AttemptOutcome::NotRun(_) | AttemptOutcome::WrongUpstream | AttemptOutcome::NotSuitable
    );
    if reached_upstream && !confirmed_not_run && !route.is_repeatable() {
        return false;
    }
    if active.sent_count >= route.attempts.max(1) || state.now >= active.expires() {
        return false;
    }
    if !reached_upstream {
        return true;
    }
    let service = active.service.clone();
    let slack = state.tuning.retry_slack / f64::from(u32::try_from(state.fleet_size()).unwrap_or(u32::MAX));
    let (window_ms, ratio) = (state.tuning.retry_window_ms, state.tuning.retry_ratio);
    state.retry_budgets.entry(service).or_default().try_spend(state.now, window_ms, ratio, slack)
}

/// Logs the response times of a completed request.
fn log_answered(state: &mut State, request: RequestId, upstream: &Name) {
    let Some(active) = state.requests.get(&request) else { return };
    let first_ms = active.response_started_at.map_or(0, |at| at.since(active.arrived_at));
    let inputs = vec![
        ("upstream", upstream.to_string()),
        ("route", active.call.route.name.to_string()),
        ("first_ms", first_ms.to_string()),
        ("target_ms", active.call.route.target_ms.to_string()),
        ("total_ms", state.now.since(active.arrived_at).to_string()),
        ("attempts", active.sent_count.to_string()),
    ];
    state.log(Some(request), "answered", inputs);
}
