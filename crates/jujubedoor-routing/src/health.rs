//! Health of upstreams, derived from the outcomes of attempts and of probe connections.

use jujubedoor_config::Name;

use crate::crash_attribution;
use crate::domain_suspicion;
use crate::event::AttemptOutcome;
use crate::event::Effect;
use crate::event::ProbeOutcome;
use crate::run_evidence;
use crate::state::State;
use crate::upstream::Upstream;

/// Pause before the next request to an upstream whose address was found to belong to another one, in
/// milliseconds. Its process has ended, so that another attempt soon would only waste a request.
const MOVED_PAUSE_MS: u64 = 10_000;

/// Minimum interval between two probes of an upstream that loses connections, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// Records the outcome of an attempt in the health of the upstream and its failure domain.
pub fn record_outcome(state: &mut State, id: &Name, outcome: AttemptOutcome) {
    let now = state.now;
    let (initial_pause_ms, max_pause_ms) =
        (state.tuning.upstream_retry_initial_ms, state.tuning.upstream_retry_max_ms);
    match outcome {
        AttemptOutcome::Complete
        | AttemptOutcome::Failed(_)
        | AttemptOutcome::NotRun(_)
        | AttemptOutcome::NotSuitable => {
            domain_suspicion::record_success(state, id);
        }
        AttemptOutcome::ConnectionLost
        | AttemptOutcome::NoResponse
        | AttemptOutcome::Unreachable
        | AttemptOutcome::Refused => {
            domain_suspicion::record_failure(state, id);
        }
        AttemptOutcome::WrongUpstream | AttemptOutcome::Unsent => {}
    }
    let notices = &state.upstream_notices;
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    let is_paused = notices.paused_until(upstream, now).is_some();
    match outcome {
        AttemptOutcome::Complete => upstream.record_outcome(false, now),
        // An upstream that requests a pause has not failed.
        AttemptOutcome::NotRun(_) | AttemptOutcome::Failed(503) if is_paused => {}
        AttemptOutcome::Failed(_)
        | AttemptOutcome::NotRun(_)
        | AttemptOutcome::ConnectionLost
        | AttemptOutcome::NoResponse => upstream.record_outcome(true, now),
        AttemptOutcome::WrongUpstream => record_moved(state, id),
        AttemptOutcome::Unreachable | AttemptOutcome::Refused => {
            upstream.record_unreachable(now, initial_pause_ms, max_pause_ms);
            handle_unreachable(state, id, outcome == AttemptOutcome::Refused);
        }
        // What a request asks for is no fault of the upstream.
        AttemptOutcome::Unsent | AttemptOutcome::NotSuitable => {}
    }
}

/// Handles an upstream whose address was found to belong to another one: it is not used until it registers
/// again or a pause has passed, and other VMs are informed.
pub fn record_moved(state: &mut State, id: &Name) {
    let now = state.now;
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    if upstream.is_reachable(now) {
        state.pending_moved.push(upstream.key);
    }
    upstream.record_unreachable(now, MOVED_PAUSE_MS, MOVED_PAUSE_MS);
}

/// Assumes that an unreachable upstream has crashed: attributes the crash to requests and logs the pause
/// before the next trial. `refused` states that no process listens at its address any more.
fn handle_unreachable(state: &mut State, id: &Name, refused: bool) {
    if refused {
        run_evidence::record_end(state, id);
    }
    crash_attribution::attribute(state, id, refused);
    let paused_until = state.upstreams.get(id).and_then(Upstream::retry_at);
    let pause_ms = paused_until.map_or(0, |t| t.since(state.now));
    let inputs = vec![("upstream", id.to_string()), ("pause_ms", pause_ms.to_string())];
    state.log(None, "upstream_unreachable", inputs);
}

/// Probes whether an upstream that lost a connection can still be reached.
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

/// Handles the result of a probe.
pub fn probe_completed(state: &mut State, id: &Name, outcome: ProbeOutcome) {
    let (now, initial_pause_ms, max_pause_ms) =
        (state.now, state.tuning.upstream_retry_initial_ms, state.tuning.upstream_retry_max_ms);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    upstream.is_suspected = false;
    if outcome == ProbeOutcome::Opened {
        let domain = upstream.registration.domain.clone();
        domain_suspicion::record_probe_success(state, &domain);
        return;
    }
    upstream.record_unreachable(now, initial_pause_ms, max_pause_ms);
    handle_unreachable(state, id, outcome == ProbeOutcome::Refused);
}
