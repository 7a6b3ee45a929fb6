//! What becomes known of upstreams by how attempts end, and which requests crash them.

use jujubedoor_config::Name;
use rand::Rng;

use crate::domain_suspicion;
use crate::event::AttemptOutcome;
use crate::event::Effect;
use crate::peers::CrashReport;
use crate::state::ConnectionLoss;
use crate::state::State;
use crate::upstream::Upstream;

/// How long an upstream is left alone that gave its address to another, in milliseconds.
const MOVED_PAUSE_MS: u64 = 3_000;

/// The pause between two tries to connect to an upstream that breaks requests, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// Takes the outcome of an attempt into what is known of the upstream.
pub fn record_outcome(state: &mut State, id: &Name, outcome: AttemptOutcome) {
    let now = state.now;
    let (initial_pause_ms, max_pause_ms) =
        (state.tuning.upstream_retry_initial_ms, state.tuning.upstream_retry_max_ms);
    match outcome {
        AttemptOutcome::Complete | AttemptOutcome::Failed(_) | AttemptOutcome::NotRun(_) => {
            domain_suspicion::record_success(state, id);
        }
        AttemptOutcome::ConnectionLost | AttemptOutcome::NoResponse | AttemptOutcome::Unreachable => {
            domain_suspicion::record_failure(state, id);
        }
        AttemptOutcome::WrongUpstream | AttemptOutcome::Unsent => {}
    }
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    match outcome {
        AttemptOutcome::Complete => upstream.record_outcome(false, now),
        AttemptOutcome::Failed(_)
        | AttemptOutcome::NotRun(_)
        | AttemptOutcome::ConnectionLost
        | AttemptOutcome::NoResponse => upstream.record_outcome(true, now),
        AttemptOutcome::WrongUpstream => upstream.record_unreachable(now, MOVED_PAUSE_MS, MOVED_PAUSE_MS),
        AttemptOutcome::Unreachable => {
            upstream.record_unreachable(now, initial_pause_ms, max_pause_ms);
            handle_unreachable(state, id);
        }
        AttemptOutcome::Unsent => {}
    }
}

/// Suspects what an unreachable upstream ran, and writes that it is left alone.
fn handle_unreachable(state: &mut State, id: &Name) {
    attribute_crashes(state, id);
    let until = state.upstreams.get(id).and_then(Upstream::retry_at);
    let pause_ms = until.map_or(0, |t| t.since(state.now));
    let inputs = vec![("upstream", id.to_string()), ("pause_ms", pause_ms.to_string())];
    state.log(None, "upstream_unreachable", inputs);
}

/// Finds out whether an upstream that broke a request is still there.
pub fn probe(state: &mut State, id: &Name) {
    let now = state.now;
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    if upstream.probed_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL_MS) {
        return;
    }
    upstream.probed_at = Some(now);
    let address = upstream.registration.address;
    state.effects.push(Effect::Probe(id.clone(), address));
}

/// Takes whether a connection to an upstream opened.
pub fn probe_completed(state: &mut State, id: &Name, opened: bool) {
    let (now, initial_pause_ms, max_pause_ms) =
        (state.now, state.tuning.upstream_retry_initial_ms, state.tuning.upstream_retry_max_ms);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    upstream.is_suspected = false;
    if opened {
        return;
    }
    upstream.record_unreachable(now, initial_pause_ms, max_pause_ms);
    handle_unreachable(state, id);
}

/// Suspects the requests that an upstream ran when it crashed.
pub fn attribute_crashes(state: &mut State, id: &Name) {
    let (crashed, rest): (Vec<ConnectionLoss>, Vec<ConnectionLoss>) =
        std::mem::take(&mut state.connection_losses).into_iter().partition(|b| b.upstream == *id);
    state.connection_losses = rest;
    for lost in crashed {
        state.crash_suspects.accuse(lost.fingerprint, state.now);
        let crash = CrashReport { fingerprint: lost.fingerprint, report_id: state.rng.random() };
        state.seen_crash_reports.put(crash.report_id, ());
        state.pending_crashes.push(crash);
    }
}
