//! Prefills of prompt parts that several requests share.
//!
//! When several requests with the same new context arrive at once, each of them would cause a prefill of
//! the same long part, because an engine shares a part only after its prefill has finished. Therefore
//! only the first request is sent. The others wait at their VM, up to a share of their latency target,
//! and then cause a prefill of only the tokens that they don't share.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::call::Call;
use crate::call::Part;
use crate::heartbeats;
use crate::pending_parts::CachedPart;
use crate::placement;
use crate::placement::Choice;
use crate::speed;
use crate::state::State;

/// Minimum interval at which other VMs are informed that an upstream still uses a prompt part, in
/// milliseconds.
const PART_UPDATE_INTERVAL_MS: u64 = 3_000;

/// Minimum number of tokens of a part for whose prefill other requests wait. Other VMs are informed of
/// such a prefill at once.
const MIN_SHARED_TOKENS: u32 = 1_500;

/// Multiple of a prefill's estimated time after which the prefill is assumed to have ended. The estimate
/// covers its own tokens and those queued before it. Requests that wait for the prefill are usually
/// informed of its end earlier.
const PREFILL_TIME_FACTOR: f64 = 2.0;

/// A request waits for a prefill at most for its latency target divided by this number, or for its time
/// limit divided by this number if that is shorter.
const WAIT_DIVISOR: u64 = 2;

/// Records the prefills that a request causes at the upstream to which it was sent, and informs other
/// VMs.
pub fn begin(state: &mut State, call: &Call, id: &Name) {
    let now = state.now;
    let Some(upstream) = state.upstreams.get(id) else { return };
    let tokens_per_ms = state.prefill_tokens_per_ms(&upstream.registration.service);
    let tokens_to_prefill = f64::from(state.prefill_backlog(upstream));
    let time_factor = PREFILL_TIME_FACTOR * speed::slowdown(state, upstream);
    // A number of tokens divided by a rate is not negative and far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let until = now.after((tokens_to_prefill / tokens_per_ms * time_factor) as u64);
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

/// Records that an upstream has finished the prefill of a call's parts, and informs VMs whose requests
/// may wait for it.
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

/// Sends heartbeats at once in a full mesh, where they reach all VMs directly.
fn broadcast_now(state: &mut State) {
    if state.peers.is_mesh() {
        state.heartbeat_due = state.now;
        heartbeats::tick(state);
    }
}

/// Records that an upstream did not prefill a call's parts.
pub fn abandon(state: &mut State, call: &Call, id: &Name) {
    for part in call.shared_parts() {
        state.cache_index.cancel_prefill(*part, id);
    }
}

/// Returns whether a call should wait for a prefill of one of its parts.
///
/// The prefill takes place either at the chosen upstream or at one from which the chosen one could fetch
/// the part afterwards, if there is no other upstream from which it can fetch parts now.
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
