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

use crate::cache_index::CacheRecord;
use crate::call::Part;
use crate::event::Effect;
use crate::peers::Heartbeat;
use crate::pending_parts::CachedPart;
use crate::state::State;

/// How many other VMs are asked that have been up for a while.
const MAX_QUERIED_PEERS: u32 = 2;

/// How long after its start a seed asks the engines, in milliseconds; by then VMs that have been up for a while
/// have answered.
const LIST_DELAY_MS: u64 = 120;

/// How long after its start a VM reads from the seeds, in milliseconds: as soon as most can answer, and again for
/// those that started later.
const SEED_FETCH_DELAYS_MS: [u64; 2] = [250, 600];

/// How long after the start of this VM it asks the engines of seeds that were not heard, in milliseconds.
const UNASSIGNED_LIST_DELAY_MS: u64 = 700;

/// How many beats a VM has sent that has been up for a while.
const ESTABLISHED_HEARTBEATS: u64 = 20;

/// The fewest tokens of a listed part that is remembered and told; smaller ones are read again sooner.
const MIN_LISTED_TOKENS: u32 = 256;

/// How long after the start of this VM engines are asked no more, in milliseconds.
const RECOVERY_PERIOD_MS: u64 = 6_000;

/// How far this VM is with learning after its start.
#[derive(Clone, Debug, Default)]
pub struct CacheRecovery {
    started: Option<Time>,
    queried_peers: u32,
    listed_engines: HashSet<Name>,
    seed_fetches: usize,
    has_received_parts: bool,
}

/// Asks the first VMs that are heard after the start and have been up for a while.
pub fn request_from(state: &mut State, heartbeat: &Heartbeat) {
    let cache_recovery = &state.cache_recovery;
    // A VM that read from the seeds asks nobody else, unless it was cut off from them.
    let seeds_answered = cache_recovery.seed_fetches > 0 && cache_recovery.has_received_parts;
    if heartbeat.sequence >= ESTABLISHED_HEARTBEATS
        && cache_recovery.queried_peers < MAX_QUERIED_PEERS
        && !seeds_answered
    {
        state.cache_recovery.queried_peers += 1;
        state.effects.push(Effect::FetchCacheIndex(heartbeat.sender.address));
    }
}

/// Takes what another VM told.
pub fn add_received(state: &mut State, records: Vec<CacheRecord>) {
    let count = records.len();
    state.cache_recovery.has_received_parts |= count > 0;
    let ids_by_key = state.short_keys();
    for CacheRecord { part, upstream, age_ms } in records {
        let used = Time(state.now.0.saturating_sub(age_ms));
        if let Some(id) = ids_by_key.get(&upstream) {
            state.cache_index.record(part, id, used);
        }
    }
    state.log(None, "parts_learned", vec![("parts", count.to_string())]);
}

/// Learns from the engines or from the seeds if all VMs have just started.
pub fn tick(state: &mut State) {
    let now = state.now;
    let started = *state.cache_recovery.started.get_or_insert(now);
    let age_ms = now.since(started);
    // VMs that have been up for a while tell more cheaply; on the very first start engines hold nothing.
    if state.cache_recovery.queried_peers > 0
        || state.first_start
        || state.leaving
        || age_ms >= RECOVERY_PERIOD_MS
    {
        return;
    }
    if age_ms >= LIST_DELAY_MS && state.peers.is_seed() {
        list_caches(state, is_assigned_to_seed);
    }
    if SEED_FETCH_DELAYS_MS.get(state.cache_recovery.seed_fetches).is_some_and(|at_ms| age_ms >= *at_ms) {
        state.cache_recovery.seed_fetches += 1;
        fetch_from_seeds(state);
    }
    if age_ms >= UNASSIGNED_LIST_DELAY_MS
        && (state.peers.has_unknown_seed() || state.peers.all_seeds().is_empty())
    {
        list_caches(state, is_assigned_without_seed);
    }
}

/// Asks those engines that fall to this VM, each once.
fn list_caches<F>(state: &mut State, is_assigned: F)
where
    F: Fn(&State, u64) -> bool,
{
    let is_engine = |service: &Name| state.service(service).is_some_and(|s| s.engine);
    let unlisted = state.upstreams.iter().filter(|(id, u)| {
        is_engine(&u.registration.service)
            && !state.cache_recovery.listed_engines.contains(*id)
            && u.is_reachable(state.now)
            && is_assigned(state, rendezvous::key_of(id))
    });
    let engines: Vec<_> = unlisted.map(|(id, u)| (id.clone(), u.registration.address)).collect();
    for (id, address) in engines {
        state.cache_recovery.listed_engines.insert(id.clone());
        state.effects.push(Effect::ListCache(id, address));
    }
}

fn is_assigned_to_seed(state: &State, engine: u64) -> bool {
    responsible_seed(state, engine) == Some(state.peers.local_vm.address)
}

/// Tells whether this VM is the first of all known for an engine whose seed was not heard.
fn is_assigned_without_seed(state: &State, engine: u64) -> bool {
    let seed = responsible_seed(state, engine);
    if seed.is_some_and(|seed| seed == state.peers.local_vm.address || state.peers.is_known_at(seed)) {
        return false;
    }
    let own_score = rendezvous::score(engine, &state.peers.local_vm.name);
    state.peers.known().all(|vm| rendezvous::score(engine, vm) < own_score)
}

/// Returns the seed that asks an engine; all VMs that have the same seeds agree.
fn responsible_seed(state: &State, engine: u64) -> Option<SocketAddr> {
    let score = |seed: &SocketAddr| rendezvous::score(engine, &Name::from(seed.to_string()));
    state.peers.all_seeds().into_iter().max_by_key(score)
}

/// Reads from the seeds what engines told them.
fn fetch_from_seeds(state: &mut State) {
    for seed in state.peers.other_seeds() {
        state.effects.push(Effect::FetchCacheIndex(*seed));
    }
}

/// Takes the list of an engine's cache and tells the other VMs.
pub fn add_listed(state: &mut State, id: &Name, parts: &[Part]) {
    for part in parts.iter().filter(|p| p.tokens >= MIN_LISTED_TOKENS) {
        state.cache_index.record(*part, id, state.now);
        state.pending_parts.push(CachedPart { part: *part, upstream: id.clone(), prefill_until: None });
    }
    state.log(None, "cache_listed", vec![("upstream", id.to_string()), ("parts", parts.len().to_string())]);
}
