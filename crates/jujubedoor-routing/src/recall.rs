//! Learning which prompt parts upstreams have read, after this VM or the whole fleet started anew.
//!
//! Answers the load of VMs that restart while chats go on: a VM that knows nothing would send each chat to
//! its first choice, and prompts that another engine holds would be read again. A VM that starts asks the
//! first others that it hears. If all have just started, the seeds, which all VMs know from the beginning,
//! divide the engines among them and ask each once; the others read from the seeds what they were told.

use std::collections::HashSet;
use std::net::SocketAddr;

use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::call::Part;
use crate::event::Effect;
use crate::news::Read;
use crate::peers::Beat;
use crate::state::State;
use crate::warmth::Known;

/// How many other VMs are asked that have been up for a while.
const ASKED: u32 = 2;

/// How long after its start a seed asks the engines, in milliseconds; by then VMs that have been up for a while
/// have answered.
const LIST_AFTER_MS: u64 = 120;

/// How long after its start a VM reads from the seeds, in milliseconds: as soon as most can answer, and again for
/// those that started later.
const READ_AFTER_MS: [u64; 2] = [250, 600];

/// How long after the start of this VM it asks the engines of seeds that were not heard, in milliseconds.
const LIST_REST_AFTER_MS: u64 = 700;

/// How many beats a VM has sent that has been up for a while.
const SETTLED_BEATS: u64 = 20;

/// The fewest tokens of a listed part that is remembered and told; smaller ones are read again sooner.
const LEAST_LISTED: u32 = 256;

/// How long after the start of this VM engines are asked no more, in milliseconds.
const LIST_UNTIL_MS: u64 = 6_000;

/// How far this VM is with learning after its start.
#[derive(Clone, Debug, Default)]
pub struct Recall {
    started: Option<Time>,
    asked: u32,
    listed: HashSet<Name>,
    reads: usize,
    has_learned: bool,
}

/// Asks the first VMs that are heard after the start and have been up for a while.
pub fn ask(state: &mut State, beat: &Beat) {
    let recall = &state.recall;
    // A VM that read from the seeds asks nobody else, unless it was cut off from them.
    let is_told = recall.reads > 0 && recall.has_learned;
    if beat.number >= SETTLED_BEATS && recall.asked < ASKED && !is_told {
        state.recall.asked += 1;
        state.effects.push(Effect::FetchWarmth(beat.from.address));
    }
}

/// Takes what another VM told.
pub fn learned(state: &mut State, known: Vec<Known>) {
    let count = known.len();
    state.recall.has_learned |= count > 0;
    let keys = state.short_keys();
    for Known { part, upstream, age_ms } in known {
        let used = Time(state.now.0.saturating_sub(age_ms));
        if let Some(id) = keys.get(&upstream) {
            state.warmth.note(part, id, used);
        }
    }
    state.note(None, "parts_learned", vec![("parts", count.to_string())]);
}

/// Learns from the engines or from the seeds if all VMs have just started.
pub fn tick(state: &mut State) {
    let now = state.now;
    let started = *state.recall.started.get_or_insert(now);
    let age_ms = now.since(started);
    // VMs that have been up for a while tell more cheaply; on the very first start engines hold nothing.
    if state.recall.asked > 0 || state.first_start || state.leaving || age_ms >= LIST_UNTIL_MS {
        return;
    }
    if age_ms >= LIST_AFTER_MS && state.peers.is_seed() {
        list(state, is_mine_as_seed);
    }
    if READ_AFTER_MS.get(state.recall.reads).is_some_and(|at_ms| age_ms >= *at_ms) {
        state.recall.reads += 1;
        read(state);
    }
    if age_ms >= LIST_REST_AFTER_MS && (state.peers.misses_seed() || state.peers.all_seeds().is_empty()) {
        list(state, is_mine_for_lost_seed);
    }
}

/// Asks those engines that fall to this VM, each once.
fn list<F>(state: &mut State, is_mine: F)
where
    F: Fn(&State, u64) -> bool,
{
    let is_engine = |service: &Name| state.service(service).is_some_and(|s| s.engine);
    let unknown = state.upstreams.iter().filter(|(id, u)| {
        is_engine(&u.registration.service)
            && !state.recall.listed.contains(*id)
            && u.is_reachable(state.now)
            && is_mine(state, rendezvous::key_of(id))
    });
    let asked: Vec<_> = unknown.map(|(id, u)| (id.clone(), u.registration.address)).collect();
    for (id, address) in asked {
        state.recall.listed.insert(id.clone());
        state.effects.push(Effect::ListCache(id, address));
    }
}

fn is_mine_as_seed(state: &State, engine: u64) -> bool {
    first_seed(state, engine) == Some(state.peers.me.address)
}

/// Tells whether this VM is the first of all known for an engine whose seed was not heard.
fn is_mine_for_lost_seed(state: &State, engine: u64) -> bool {
    let seed = first_seed(state, engine);
    if seed.is_some_and(|seed| seed == state.peers.me.address || state.peers.is_known_at(seed)) {
        return false;
    }
    let mine = rendezvous::score(engine, &state.peers.me.name);
    state.peers.known().all(|vm| rendezvous::score(engine, vm) < mine)
}

/// Returns the seed that asks an engine; all VMs that have the same seeds agree.
fn first_seed(state: &State, engine: u64) -> Option<SocketAddr> {
    let score = |seed: &SocketAddr| rendezvous::score(engine, &Name::from(seed.to_string()));
    state.peers.all_seeds().into_iter().max_by_key(score)
}

/// Reads from the seeds what engines told them.
fn read(state: &mut State) {
    for seed in state.peers.other_seeds() {
        state.effects.push(Effect::FetchWarmth(*seed));
    }
}

/// Takes the list of an engine's cache and tells the other VMs.
pub fn listed(state: &mut State, id: &Name, parts: &[Part]) {
    for part in parts.iter().filter(|p| p.tokens >= LEAST_LISTED) {
        state.warmth.note(*part, id, state.now);
        state.news.push(Read { part: *part, upstream: id.clone(), reading: None });
    }
    state.note(None, "cache_listed", vec![("upstream", id.to_string()), ("parts", parts.len().to_string())]);
}
