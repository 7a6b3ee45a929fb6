//! What becomes known of upstreams by how attempts end, and which requests crash them.

use jujubedoor_config::Name;
use rand::Rng;

use crate::doubt;
use crate::event::Effect;
use crate::event::Ended;
use crate::peers::Crash;
use crate::state::Break;
use crate::state::State;
use crate::upstream::Upstream;

/// How long an upstream is left alone that gave its address to another, in milliseconds.
const MOVED_MS: u64 = 3_000;

/// The pause between two tries to connect to an upstream that breaks requests, in milliseconds.
const PROBE_PAUSE_MS: u64 = 500;

/// Takes the outcome of an attempt into what is known of the upstream.
pub fn judge(state: &mut State, id: &Name, ended: Ended) {
    let now = state.now;
    let (first_ms, most_ms) = (state.tuning.retry_upstream_ms, state.tuning.most_upstream_ms);
    match ended {
        Ended::Whole | Ended::Failed(_) | Ended::NotRun(_) => doubt::answered(state, id),
        Ended::Broken | Ended::Silent | Ended::Unreachable => doubt::failed(state, id),
        Ended::WrongUpstream | Ended::Unsent => {}
    }
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    match ended {
        Ended::Whole => upstream.judge(false, now),
        Ended::Failed(_) | Ended::NotRun(_) | Ended::Broken | Ended::Silent => upstream.judge(true, now),
        Ended::WrongUpstream => upstream.unreachable(now, MOVED_MS, MOVED_MS),
        Ended::Unreachable => {
            upstream.unreachable(now, first_ms, most_ms);
            note_unreachable(state, id);
        }
        Ended::Unsent => {}
    }
}

/// Suspects what an unreachable upstream ran, and writes that it is left alone.
fn note_unreachable(state: &mut State, id: &Name) {
    blame(state, id);
    let until = state.upstreams.get(id).and_then(Upstream::tried_again_at);
    let pause_ms = until.map_or(0, |t| t.since(state.now));
    let inputs = vec![("upstream", id.to_string()), ("pause_ms", pause_ms.to_string())];
    state.note(None, "upstream_unreachable", inputs);
}

/// Finds out whether an upstream that broke a request is still there.
pub fn probe(state: &mut State, id: &Name) {
    let now = state.now;
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    if upstream.probed_at.is_some_and(|at| now.since(at) < PROBE_PAUSE_MS) {
        return;
    }
    upstream.probed_at = Some(now);
    let address = upstream.registration.address;
    state.effects.push(Effect::Probe(id.clone(), address));
}

/// Takes whether a connection to an upstream opened.
pub fn probed(state: &mut State, id: &Name, opened: bool) {
    let (now, first_ms, most_ms) = (state.now, state.tuning.retry_upstream_ms, state.tuning.most_upstream_ms);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    upstream.doubted = false;
    if opened {
        return;
    }
    upstream.unreachable(now, first_ms, most_ms);
    note_unreachable(state, id);
}

/// Suspects the requests that an upstream ran when it crashed.
pub fn blame(state: &mut State, id: &Name) {
    let (crashed, rest): (Vec<Break>, Vec<Break>) =
        std::mem::take(&mut state.breaks).into_iter().partition(|b| b.upstream == *id);
    state.breaks = rest;
    for broken in crashed {
        state.suspects.record_crash(broken.fingerprint, state.now);
        let crash = Crash { fingerprint: broken.fingerprint, report: state.rng.random() };
        state.heard_crashes.put(crash.report, ());
        state.fresh_crashes.push(crash);
    }
}
