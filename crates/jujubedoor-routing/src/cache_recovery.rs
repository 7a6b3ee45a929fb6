//! Recovery of the cache index after a restart of this VM or the whole fleet.
//!
//! When VMs restart while chats go on, a VM with an empty index would send each chat to its first
//! choice, and prompts that another engine has cached would be prefilled again. A VM that starts
//! therefore fetches the index from the first established VMs from which it receives a heartbeat. If all
//! VMs have just started, the seeds, which every VM knows from its settings, divide the engines among
//! themselves and list the cache of each engine once. The other VMs then fetch these lists from the
//! seeds.

use std::collections::HashSet;
use std::net::SocketAddr;

use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::cache_index::CacheRecord;
use crate::call::Part;
use crate::event::Effect;
use crate::message::Heartbeat;
use crate::pending_parts::CachedPart;
use crate::placement;
use crate::state::State;

/// Number of established VMs from which the index is fetched.
const MAX_QUERIED_PEERS: u32 = 2;

/// Time after its start at which a seed lists the caches of engines, in milliseconds. By then,
/// established VMs would have responded.
const LIST_DELAY_MS: u64 = 120;

/// Times after the start of a VM at which it fetches the index from the seeds, in milliseconds: first
/// when most seeds can respond, then once more for seeds that started later.
const SEED_FETCH_DELAYS_MS: [u64; 2] = [250, 600];

/// Time after the start of this VM at which it lists the caches of engines whose seed is not known to be
/// up, in milliseconds.
const UNASSIGNED_LIST_DELAY_MS: u64 = 700;

/// Number of heartbeats after which a VM counts as established.
const ESTABLISHED_HEARTBEATS: u64 = 20;

/// Minimum number of tokens of a listed part that is recorded and announced. Smaller parts are prefilled
/// faster than they could be distributed.
const MIN_LISTED_TOKENS: u32 = 256;

/// Time after the start of this VM at which recovery ends, in milliseconds.
const RECOVERY_PERIOD_MS: u64 = 6_000;

/// Progress of the recovery after the start of this VM.
#[derive(Clone, Debug, Default)]
pub struct CacheRecovery {
    started: Option<Time>,
    queried_peers: u32,
    listed_engines: HashSet<Name>,
    seed_fetches: usize,
    has_received_parts: bool,
}

/// Fetches the index from the sender of a heartbeat, if the sender is established and one of the first
/// such VMs.
pub fn request_from(state: &mut State, heartbeat: &Heartbeat) {
    let recovery = &state.cache_recovery;
    if state.upstreams.is_empty() {
        // Without a directory, the records would name unknown upstreams, and delay the directory on a slow link.
        return;
    }
    // A VM that received the index from the seeds does not fetch it again. One that received nothing, for
    // example because it was cut off from the seeds, does.
    let seeds_answered = recovery.seed_fetches > 0 && recovery.has_received_parts;
    if heartbeat.sequence >= ESTABLISHED_HEARTBEATS
        && recovery.queried_peers < MAX_QUERIED_PEERS
        && !seeds_answered
    {
        state.cache_recovery.queried_peers += 1;
        state.effects.push(Effect::FetchCacheIndex(heartbeat.sender.address));
    }
}

/// Adds the index that another VM sent.
pub fn add_received(state: &mut State, records: Vec<CacheRecord>) {
    let count = records.len();
    state.cache_recovery.has_received_parts |= count > 0;
    for CacheRecord { part, upstream, age_ms } in records {
        let last_used = Time(state.now.0.saturating_sub(age_ms));
        if let Some(id) = state.ids_by_key.get(&upstream) {
            state.cache_index.record(part, id, last_used);
        }
    }
    state.log(None, "parts_learned", vec![("parts", count.to_string())]);
}

/// Recovers the index from engines and seeds, if all VMs have just started.
pub fn tick(state: &mut State) {
    let now = state.now;
    let started = *state.cache_recovery.started.get_or_insert(now);
    let age_ms = now.since(started);
    if state.upstreams.is_empty() {
        return;
    }
    // Fetching from established VMs is cheaper. On the first start of the fleet, engines have nothing
    // cached.
    if state.cache_recovery.queried_peers > 0
        || state.first_start
        || state.shutdown.is_some()
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

/// Lists the caches of the engines that are assigned to this VM, once per engine.
fn list_caches<F>(state: &mut State, is_assigned: F)
where
    F: Fn(&State, u64) -> bool,
{
    let is_engine = |service: &Name| state.service(service).is_some_and(|s| s.engine);
    let unlisted = state.upstreams.iter().filter(|(id, u)| {
        is_engine(&u.registration.service)
            && !state.cache_recovery.listed_engines.contains(*id)
            && u.is_reachable(state.now)
            && placement::is_usable(state, u)
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

/// Returns whether this VM ranks first among all known VMs for an engine whose seed is not known to be
/// up.
fn is_assigned_without_seed(state: &State, engine: u64) -> bool {
    let seed = responsible_seed(state, engine);
    if seed.is_some_and(|seed| seed == state.peers.local_vm.address || state.peers.is_known_at(seed)) {
        return false;
    }
    let own_score = rendezvous::score(engine, &state.peers.local_vm.name);
    state.peers.known().all(|vm| rendezvous::score(engine, vm) < own_score)
}

/// Returns the seed that lists the cache of an engine. VMs with the same seeds agree on it.
fn responsible_seed(state: &State, engine: u64) -> Option<SocketAddr> {
    let score = |seed: &SocketAddr| rendezvous::score(engine, &Name::from(seed.to_string()));
    state.peers.all_seeds().into_iter().max_by_key(score)
}

/// Fetches the index from the seeds.
fn fetch_from_seeds(state: &mut State) {
    for seed in state.peers.other_seeds() {
        state.effects.push(Effect::FetchCacheIndex(*seed));
    }
}

/// Adds the parts in an engine's cache and announces them to the other VMs.
pub fn add_listed(state: &mut State, id: &Name, parts: &[Part]) {
    for part in parts.iter().filter(|p| p.tokens >= MIN_LISTED_TOKENS) {
        state.cache_index.record(*part, id, state.now);
        state.pending_parts.push(CachedPart { part: *part, upstream: id.clone(), prefill_until: None });
    }
    state.log(None, "cache_listed", vec![("upstream", id.to_string()), ("parts", parts.len().to_string())]);
}
