//! Learning which prompt parts upstreams have read, after this VM or the whole fleet started anew.
//!
//! Answers the load of VMs that restart while chats go on: a VM that knows nothing would send each chat to
//! its first choice, and prompts that another engine holds would be read again. A VM that starts asks the
//! first others that it hears. If all have just started, each engine is asked once, by one VM, which tells the
//! others.

use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::event::Effect;
use crate::peers::Beat;
use crate::state::State;
use crate::warmth::Known;

/// How many other VMs are asked after the start.
const ASKED: u32 = 2;

/// How long after the start of this VM the engines are asked, in milliseconds.
const LIST_AFTER_MS: u64 = 120;

/// How long no other VM has been found before the engines are asked, in milliseconds.
const SETTLE_MS: u64 = 100;

/// How many beats a VM has sent that has been up for a while.
const SETTLED_BEATS: u64 = 20;

/// How long after the start of this VM engines are asked no more, in milliseconds.
const LIST_UNTIL_MS: u64 = 6_000;

/// Asks the first VMs that are heard after the start and have been up for a while.
pub fn ask(state: &mut State, beat: &Beat) {
    if beat.number >= SETTLED_BEATS && state.warmth_asked < ASKED {
        state.warmth_asked += 1;
        state.effects.push(Effect::FetchWarmth(beat.from.address));
    }
}

/// Takes what another VM told.
pub fn learned(state: &mut State, known: Vec<Known>) {
    let count = known.len();
    for Known { part, upstream, age_ms } in known {
        let used = jujubedoor::ids::Time(state.now.0.saturating_sub(age_ms));
        if state.upstreams.contains_key(&upstream) {
            state.warmth.note(part, &upstream, used);
        }
    }
    state.note(None, "parts_learned", vec![("parts", count.to_string())]);
}

/// Asks the engines if all VMs have just started, each by the one VM that is its first choice.
pub fn list(state: &mut State) {
    let now = state.now;
    let started = *state.started.get_or_insert(now);
    let age = now.since(started);
    let settled = now.since(state.vm_found_at) >= SETTLE_MS;
    if !(LIST_AFTER_MS..LIST_UNTIL_MS).contains(&age) || !settled || state.leaving {
        return;
    }
    // VMs that have been up for a while tell more cheaply; on the very first start engines hold nothing.
    if state.warmth_asked > 0 || state.first_start {
        return;
    }
    let vms = state.peers.names(now, state.tuning.silent_ms);
    let me = &state.peers.me.name;
    let first = |id: &Name| {
        let key = rendezvous::key_of(id);
        vms.iter().max_by_key(|vm| rendezvous::score(key, vm)).is_some_and(|vm| *vm == me)
    };
    let is_engine = |service: &Name| state.service(service).is_some_and(|s| s.engine);
    let unknown = state.upstreams.iter().filter(|(id, u)| {
        is_engine(&u.registration.service) && !state.listed.contains(*id) && u.is_reachable(now) && first(id)
    });
    let asked: Vec<_> = unknown.map(|(id, u)| (id.clone(), u.registration.address)).collect();
    for (id, address) in asked {
        state.listed.insert(id.clone());
        state.effects.push(Effect::ListCache(id, address));
    }
}

/// Takes the list of an engine's cache and tells the other VMs.
pub fn listed(state: &mut State, id: &Name, parts: &[u64]) {
    for part in parts {
        state.warmth.note(*part, id, state.now);
        state.fresh_parts.push((*part, id.clone()));
    }
    state.note(None, "cache_listed", vec![("upstream", id.to_string()), ("parts", parts.len().to_string())]);
}
