//! The mean load of a pool: owners send their loads to the pool owner and get the total back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jujubedoor_config::Name;

use crate::ids::PoolId;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::Message;
use crate::message::PoolLoads;
use crate::message::PoolTotal;
use crate::state::State;

/// The most periods for which loads that did not change go unsent.
const QUIET_PERIODS: u64 = 10;

/// What a pool owner knows of a pool in a region.
#[derive(Clone, Debug, Default)]
pub struct PoolOwnerLoads {
    loads: BTreeMap<UpstreamId, (u32, Time)>,
    told: BTreeMap<Name, (u32, Time)>,
}

impl PoolOwnerLoads {
    fn total(&self) -> u32 {
        self.loads.values().fold(0, |total, (load, _)| total.saturating_add(*load))
    }
}

/// What an admission owner knows of a pool's load.
#[derive(Clone, Debug, Default)]
pub struct PoolLoadEstimate {
    total: u32,
    least: Option<UpstreamId>,
    mine_then: u32,
    sent_at: Time,
    sent: u32,
}

/// Returns the calls in flight on all upstreams of a pool in a region, as well as this VM knows.
pub fn total(state: &State, pool: &PoolId, region: &str) -> u32 {
    let mine = own_total(state, pool, region);
    let key = (pool.clone(), Name::new(region));
    match state.admissions.pool_loads.get(&key) {
        Some(mean) => mean.total.saturating_sub(mean.mine_then).saturating_add(mine),
        None => mine,
    }
}

/// Takes the loads of an admission owner, answers with the total, and tells others whose bound changed.
pub fn handle_pool_loads(state: &mut State, from: &VmRef, loads: PoolLoads) {
    let PoolLoads { pool, region, loads } = loads;
    let key = (pool.clone(), region.clone());
    let now = state.now;
    let stale_ms = state.tuning.max_pool_load_age_ms;
    let pool_owner_loads = state.admissions.pool_owner_loads.entry(key).or_default();
    pool_owner_loads.loads.extend(loads.into_iter().map(|(upstream, load)| (upstream, (load, now))));
    pool_owner_loads.loads.retain(|_, (_, at)| now.since(*at) <= stale_ms);
    pool_owner_loads.told.retain(|_, (_, at)| now.since(*at) <= stale_ms);
    pool_owner_loads.told.insert(from.name.clone(), (u32::MAX, now));
    let (total, told) = (pool_owner_loads.total(), pool_owner_loads.told.clone());
    let bound = super::capacity::bound_of(state, &pool, &region, total);
    for (name, (known, _)) in told {
        let outdated = known == u32::MAX || super::capacity::bound_of(state, &pool, &region, known) != bound;
        if outdated {
            tell(state, &pool, &region, &name, total);
        }
    }
}

/// Tells an admission owner the total.
fn tell(state: &mut State, pool: &PoolId, region: &Name, to: &Name, total: u32) {
    let pool_owner_loads =
        state.admissions.pool_owner_loads.entry((pool.clone(), region.clone())).or_default();
    if let Some((known, _)) = pool_owner_loads.told.get_mut(to) {
        *known = total;
    }
    let least = least_loaded(state, pool, region);
    let mean = PoolTotal { pool: pool.clone(), region: region.clone(), total, least_loaded_upstream: least };
    state.send(to, Message::PoolTotal(mean));
}

/// Returns the upstream with the least load for its slots, of those that take work.
fn least_loaded(state: &State, pool: &PoolId, region: &Name) -> Option<UpstreamId> {
    let pool_owner_loads = state.admissions.pool_owner_loads.get(&(pool.clone(), region.clone()))?;
    let usable = state.catalog.available_upstreams(pool, region);
    let known = usable.filter_map(|id| Some((pool_owner_loads.loads.get(id)?.0, id)));
    let weighted = known.map(|(load, id)| (load * 1_000 / state.catalog.upstreams[id].upstream.slots, id));
    weighted.min().map(|(_, id)| id.clone())
}

/// Returns the least loaded upstream of a pool, as far as this VM knows.
pub fn least(state: &State, pool: &PoolId, region: &str) -> Option<UpstreamId> {
    state.admissions.pool_loads.get(&(pool.clone(), Name::new(region)))?.least.clone()
}

/// Takes the total of a pool and serves the calls that wait for room.
pub fn handle_pool_mean(state: &mut State, mean: PoolTotal) {
    let key = (mean.pool.clone(), mean.region);
    let known = state.admissions.pool_loads.entry(key).or_default();
    known.total = mean.total;
    known.least = mean.least_loaded_upstream;
    known.mine_then = known.sent;
    let waiting = state.admissions.by_upstream.iter().filter(|(_, book)| !book.queue.is_empty());
    let waiting: Vec<_> = waiting.map(|(id, _)| id.clone()).collect();
    for upstream in waiting {
        super::grant::serve_queue(state, &upstream);
    }
}

/// Sends the loads that changed, and those that did not from time to time.
pub fn tick(state: &mut State) {
    if state.now < state.admissions.next_mean {
        return;
    }
    state.admissions.next_mean = state.now.after(state.tuning.pool_load_interval_ms);
    let mut pools = BTreeSet::new();
    for (upstream, _) in state.admissions.owned() {
        let Some(entry) = state.catalog.upstreams.get(upstream) else { continue };
        pools.extend(entry.pools.iter().map(|pool| (pool.clone(), entry.region.clone())));
    }
    for (pool, region) in pools {
        let mine = own_total(state, &pool, &region);
        let known =
            state.admissions.pool_loads.get(&(pool.clone(), region.clone())).cloned().unwrap_or_default();
        let quiet = state.now.since(known.sent_at) < state.tuning.pool_load_interval_ms * QUIET_PERIODS;
        if mine != known.sent || !quiet {
            send_loads(state, &pool, &region);
        }
    }
}

/// Sends the loads at once because a call found no room, but not too often.
pub fn hurry(state: &mut State, pool: &PoolId, region: &Name) {
    let known = state.admissions.pool_loads.get(&(pool.clone(), region.clone()));
    let sent_at = known.map_or(Time(0), |mean| mean.sent_at);
    if state.now.since(sent_at) >= state.tuning.min_pool_load_interval_ms {
        send_loads(state, pool, region);
    }
}

fn send_loads(state: &mut State, pool: &PoolId, region: &Name) {
    let Some(owner) = state.fleet.owner(&pool.0, region, state.now).cloned() else { return };
    let loads = own_loads(state, pool, region);
    let sent = loads.iter().map(|(_, load)| load).sum();
    let now = state.now;
    let known = state.admissions.pool_loads.entry((pool.clone(), region.clone())).or_default();
    known.sent = sent;
    known.sent_at = now;
    let loads = PoolLoads { pool: pool.clone(), region: region.clone(), loads };
    state.send(&owner, Message::PoolLoads(loads));
}

fn own_total(state: &State, pool: &PoolId, region: &str) -> u32 {
    own_loads(state, pool, region).iter().map(|(_, load)| load).sum()
}

fn own_loads(state: &State, pool: &PoolId, region: &str) -> Vec<(UpstreamId, u32)> {
    let usable = state.catalog.available_upstreams(pool, region);
    let owned = usable.filter_map(|id| state.admissions.by_upstream.get(id).map(|book| (id, book)));
    owned.filter(|(_, book)| book.owned).map(|(id, book)| (id.clone(), book.load())).collect()
}
