//! Prompt parts that an upstream is reading for the first time.
//!
//! Answers the load of several requests about one new subject at once: each would have the same long part read,
//! as an engine shares a part only once it has read it. The first request has it read; the others wait for that
//! at their VM, up to a share of their latency target, and read only what is their own.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::call::Call;
use crate::call::Part;
use crate::heartbeats;
use crate::pending_parts::CachedPart;
use crate::placement;
use crate::placement::Choice;
use crate::state::State;

/// How often other VMs are told that an upstream still uses a prompt part, in milliseconds.
const PART_UPDATE_INTERVAL_MS: u64 = 3_000;

/// The fewest tokens of a part that others wait for and that other VMs are told of at once.
const MIN_SHARED_TOKENS: u32 = 1_500;

/// How much longer an upstream may take to read a part than its tokens and those before it tell; who waits for the
/// part learns sooner when it has been read.
const PREFILL_TIME_FACTOR: f64 = 2.0;

/// The part of its latency target, or of its time if that is shorter, that a request waits at most for a part to be
/// read.
const WAIT_DIVISOR: u64 = 2;

/// Notes that a request which was sent to an upstream has it read the parts that it has not read, and tells other
/// VMs.
pub fn begin(state: &mut State, call: &Call, id: &Name) {
    let now = state.now;
    let (load_lifetime_ms, tokens_per_ms) =
        (state.tuning.load_lifetime_ms, state.tuning.prefill_tokens_per_ms);
    let Some(upstream) = state.upstreams.get(id) else { return };
    let tokens_ahead = f64::from(upstream.pending_tokens(now, load_lifetime_ms));
    // Tokens over a rate are not negative and far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let until = now.after((tokens_ahead / tokens_per_ms * PREFILL_TIME_FACTOR) as u64);
    let mut has_large = false;
    for part in call.shared_parts() {
        state.cache_index.record_prefill(*part, id, now, until);
        let prefill_until = state.cache_index.is_prefilling(*part, id, now).then_some(until);
        if state.cache_index.try_announce(part.key, id, now, PART_UPDATE_INTERVAL_MS) {
            has_large |= prefill_until.is_some() && part.tokens >= MIN_SHARED_TOKENS;
            state.pending_parts.push(CachedPart { part: *part, upstream: id.clone(), prefill_until });
        }
    }
    if has_large {
        broadcast_now(state);
    }
}

/// Notes that an upstream has read a call's parts, and tells the VMs whose requests may wait for that.
pub fn finish(state: &mut State, call: &Call, id: &Name) {
    let mut has_large = false;
    for part in call.shared_parts() {
        if part.tokens >= MIN_SHARED_TOKENS && state.cache_index.is_prefilling(*part, id, state.now) {
            has_large = true;
            state.pending_parts.push(CachedPart { part: *part, upstream: id.clone(), prefill_until: None });
        }
        state.cache_index.record(*part, id, state.now);
    }
    if has_large {
        broadcast_now(state);
    }
}

/// Sends a beat at once where it reaches all VMs.
fn broadcast_now(state: &mut State) {
    if state.peers.is_mesh() {
        state.heartbeat_due = state.now;
        heartbeats::tick(state);
    }
}

/// Notes that an upstream did not come to read a call's parts.
pub fn abandon(state: &mut State, call: &Call, id: &Name) {
    for part in call.shared_parts() {
        state.cache_index.cancel_prefill(*part, id);
    }
}

/// Tells whether a call that arrived at a time had better wait until a part of it has been read, at the chosen
/// upstream or at one from which that could take it.
pub fn should_wait(state: &State, call: &Call, arrived_at: Time, choice: &Choice) -> bool {
    let time_limit_ms = call.route.target_ms.min(call.route.timeout_ms).min(call.deadline.since(arrived_at));
    if state.now >= arrived_at.after(time_limit_ms / WAIT_DIVISOR) {
        return false;
    }
    let large_parts: Vec<Part> =
        call.shared_parts().iter().copied().filter(|part| part.tokens >= MIN_SHARED_TOKENS).collect();
    let is_prefilling =
        |id: &Name| large_parts.iter().any(|part| state.cache_index.is_prefilling(*part, id, state.now));
    if is_prefilling(&choice.upstream) {
        return true;
    }
    let cache_lifetime_ms = state.tuning.cache_lifetime_ms;
    let needs_prefill =
        state.cache_index.uncached_tokens(call, &choice.upstream, state.now, cache_lifetime_ms)
            >= MIN_SHARED_TOKENS;
    let mut holders =
        large_parts.iter().flat_map(|part| state.cache_index.holders(part.key, state.now, cache_lifetime_ms));
    needs_prefill
        && holders.any(is_prefilling)
        && placement::cache_source(state, call, &choice.upstream).is_none()
}
