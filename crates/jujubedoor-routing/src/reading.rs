//! Prompt parts that an upstream is reading for the first time.
//!
//! Answers the load of several requests about one new subject at once: each would have the same long part read,
//! as an engine shares a part only once it has read it. The first request has it read; the others wait for that
//! at their VM, up to a share of their latency target, and read only what is their own.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::call::Call;
use crate::call::Part;
use crate::exchange;
use crate::news::Read;
use crate::placement;
use crate::placement::Choice;
use crate::state::State;

/// How often other VMs are told that an upstream still uses a prompt part, in milliseconds.
const TELL_PART_MS: u64 = 3_000;

/// The fewest tokens of a part that others wait for and that other VMs are told of at once.
const LEAST_SHARED: u32 = 1_500;

/// How much longer an upstream may take to read a part than its tokens and those before it tell; who waits for the
/// part learns sooner when it has been read.
const READING_FACTOR: f64 = 2.0;

/// The part of its latency target, or of its time if that is shorter, that a request waits at most for a part to be
/// read.
const WAIT_DIVISOR: u64 = 2;

/// Notes that a request which was sent to an upstream has it read the parts that it has not read, and tells other
/// VMs.
pub fn begin(state: &mut State, call: &Call, id: &Name) {
    let now = state.now;
    let (told_ms, per_ms) = (state.tuning.told_ms, state.tuning.read_tokens_per_ms);
    let Some(upstream) = state.upstreams.get(id) else { return };
    let ahead = f64::from(upstream.waiting_tokens(now, told_ms));
    // Tokens over a rate are not negative and far below the limit of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let until = now.after((ahead / per_ms * READING_FACTOR) as u64);
    let mut large = false;
    for part in call.shared_parts() {
        state.warmth.note_reading(*part, id, now, until);
        let reading = state.warmth.is_reading(*part, id, now).then_some(until);
        if state.warmth.tell(part.key, id, now, TELL_PART_MS) {
            large |= reading.is_some() && part.tokens >= LEAST_SHARED;
            state.news.push(Read { part: *part, upstream: id.clone(), reading });
        }
    }
    if large {
        tell_at_once(state);
    }
}

/// Notes that an upstream has read a call's parts, and tells the VMs whose requests may wait for that.
pub fn finish(state: &mut State, call: &Call, id: &Name) {
    let mut large = false;
    for part in call.shared_parts() {
        if part.tokens >= LEAST_SHARED && state.warmth.is_reading(*part, id, state.now) {
            large = true;
            state.news.push(Read { part: *part, upstream: id.clone(), reading: None });
        }
        state.warmth.note(*part, id, state.now);
    }
    if large {
        tell_at_once(state);
    }
}

/// Sends a beat at once where it reaches all VMs.
fn tell_at_once(state: &mut State) {
    if state.peers.is_mesh() {
        state.beat_due = state.now;
        exchange::tick(state);
    }
}

/// Notes that an upstream did not come to read a call's parts.
pub fn abandon(state: &mut State, call: &Call, id: &Name) {
    for part in call.shared_parts() {
        state.warmth.abandon(*part, id);
    }
}

/// Tells whether a call that arrived at a time had better wait until a part of it has been read, at the chosen
/// upstream or at one from which that could take it.
pub fn is_worth_waiting(state: &State, call: &Call, arrived: Time, choice: &Choice) -> bool {
    let whole_ms = call.route.target_ms.min(call.route.timeout_ms).min(call.deadline.since(arrived));
    if state.now >= arrived.after(whole_ms / WAIT_DIVISOR) {
        return false;
    }
    let large: Vec<Part> =
        call.shared_parts().iter().copied().filter(|part| part.tokens >= LEAST_SHARED).collect();
    let is_reading = |id: &Name| large.iter().any(|part| state.warmth.is_reading(*part, id, state.now));
    if is_reading(&choice.upstream) {
        return true;
    }
    let warm_ms = state.tuning.warm_ms;
    let is_cold = state.warmth.unread_tokens(call, &choice.upstream, state.now, warm_ms) >= LEAST_SHARED;
    let mut homes = large.iter().flat_map(|part| state.warmth.homes(part.key, state.now, warm_ms));
    is_cold && homes.any(is_reading) && placement::cache_source(state, call, &choice.upstream).is_none()
}
