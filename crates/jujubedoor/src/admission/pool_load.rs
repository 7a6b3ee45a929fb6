//! The total load of a pool, from which the load bound of its upstreams follows.
//!
//! The upstreams of a pool have different admission owners. Each owner sends the loads of its upstreams
//! to the pool owner, one VM per pool and region, which returns the total.

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

/// Maximum number of intervals for which unchanged loads are not sent.
const MAX_UNCHANGED_INTERVALS: u64 = 10;

/// The loads that the pool owner has received for a pool in a region.
#[derive(Clone, Debug, Default)]
pub struct PoolOwnerLoads {
    /// Last received load of each upstream, with the time at which it was received.
    loads: BTreeMap<UpstreamId, (u32, Time)>,
    /// Total last sent to each admission owner, or `u32::MAX` if it has to be sent, with the time at which
    /// the owner's loads were last received.
    recipients: BTreeMap<Name, (u32, Time)>,
}

impl PoolOwnerLoads {
    fn total(&self) -> u32 {
        self.loads.values().fold(0, |total, (load, _)| total.saturating_add(*load))
    }
}

/// An admission owner's estimate of the load of a pool in a region.
#[derive(Clone, Debug, Default)]
pub struct PoolLoadEstimate {
    total: u32,
    least_loaded_upstream: Option<UpstreamId>,
    /// Load of this VM's own upstreams that is included in `total`.
    own_included: u32,
    last_sent_at: Time,
    last_sent_total: u32,
}

/// Returns this VM's estimate of the number of calls in flight on all upstreams of a pool in a region.
pub fn total(state: &State, pool: &PoolId, region: &str) -> u32 {
    let own_load = own_total(state, pool, region);
    let key = (pool.clone(), Name::new(region));
    match state.admissions.pool_estimates.get(&key) {
        Some(estimated) => estimated.total.saturating_sub(estimated.own_included).saturating_add(own_load),
        None => own_load,
    }
}

/// Handles the loads from an admission owner.
///
/// Sends the total to that owner, and to the other owners whose load bound changes with it.
pub fn handle_pool_loads(state: &mut State, from: &VmRef, loads: PoolLoads) {
    let PoolLoads { pool, region, loads } = loads;
    let key = (pool.clone(), region.clone());
    let now = state.now;
    let stale_ms = state.tuning.max_pool_load_age_ms;
    let pool_owner_loads = state.admissions.pool_owner_loads.entry(key).or_default();
    pool_owner_loads.loads.extend(loads.into_iter().map(|(upstream, load)| (upstream, (load, now))));
    pool_owner_loads.loads.retain(|_, (_, at)| now.since(*at) <= stale_ms);
    pool_owner_loads.recipients.retain(|_, (_, at)| now.since(*at) <= stale_ms);
    pool_owner_loads.recipients.insert(from.name.clone(), (u32::MAX, now));
    let (total, recipients) = (pool_owner_loads.total(), pool_owner_loads.recipients.clone());
    let bound = super::capacity::bound_of(state, &pool, &region, total);
    for (name, (sent_total, _)) in recipients {
        let outdated =
            sent_total == u32::MAX || super::capacity::bound_of(state, &pool, &region, sent_total) != bound;
        if outdated {
            send_total(state, &pool, &region, &name, total);
        }
    }
}

/// Sends the total to an admission owner.
fn send_total(state: &mut State, pool: &PoolId, region: &Name, to: &Name, total: u32) {
    let pool_owner_loads =
        state.admissions.pool_owner_loads.entry((pool.clone(), region.clone())).or_default();
    if let Some((sent_total, _)) = pool_owner_loads.recipients.get_mut(to) {
        *sent_total = total;
    }
    let least_loaded_upstream = find_least_loaded(state, pool, region);
    let pool_total = PoolTotal { pool: pool.clone(), region: region.clone(), total, least_loaded_upstream };
    state.send(to, Message::PoolTotal(pool_total));
}

/// Returns the available upstream with the lowest load relative to its slots.
fn find_least_loaded(state: &State, pool: &PoolId, region: &Name) -> Option<UpstreamId> {
    let pool_owner_loads = state.admissions.pool_owner_loads.get(&(pool.clone(), region.clone()))?;
    let usable = state.catalog.available_upstreams(pool, region);
    let with_load = usable.filter_map(|id| Some((pool_owner_loads.loads.get(id)?.0, id)));
    let relative =
        with_load.map(|(load, id)| (load * 1_000 / state.catalog.upstreams[id].upstream.slots, id));
    relative.min().map(|(_, id)| id.clone())
}

/// Returns the least loaded upstream of a pool that the pool owner last reported to this VM.
pub fn known_least_loaded(state: &State, pool: &PoolId, region: &str) -> Option<UpstreamId> {
    state.admissions.pool_estimates.get(&(pool.clone(), Name::new(region)))?.least_loaded_upstream.clone()
}

/// Handles the total of a pool and serves the calls that are queued for capacity.
pub fn handle_pool_total(state: &mut State, pool_total: PoolTotal) {
    let key = (pool_total.pool.clone(), pool_total.region);
    let estimate = state.admissions.pool_estimates.entry(key).or_default();
    estimate.total = pool_total.total;
    estimate.least_loaded_upstream = pool_total.least_loaded_upstream;
    estimate.own_included = estimate.last_sent_total;
    let with_queue =
        state.admissions.by_upstream.iter().filter(|(_, upstream_state)| !upstream_state.queue.is_empty());
    let with_queue: Vec<_> = with_queue.map(|(id, _)| id.clone()).collect();
    for upstream in with_queue {
        super::grant::serve_queue(state, &upstream);
    }
}

/// Sends the loads that changed, and from time to time the unchanged ones.
pub fn tick(state: &mut State) {
    if state.now < state.admissions.next_pool_load {
        return;
    }
    state.admissions.next_pool_load = state.now.after(state.tuning.pool_load_interval_ms);
    let mut pools = BTreeSet::new();
    for (upstream, _) in state.admissions.owned() {
        let Some(entry) = state.catalog.upstreams.get(upstream) else { continue };
        pools.extend(entry.pools.iter().map(|pool| (pool.clone(), entry.region.clone())));
    }
    for (pool, region) in pools {
        let own_load = own_total(state, &pool, &region);
        let estimate =
            state.admissions.pool_estimates.get(&(pool.clone(), region.clone())).cloned().unwrap_or_default();
        let recently_sent = state.now.since(estimate.last_sent_at)
            < state.tuning.pool_load_interval_ms * MAX_UNCHANGED_INTERVALS;
        if own_load != estimate.last_sent_total || !recently_sent {
            send_loads(state, &pool, &region);
        }
    }
}

/// Sends the loads before the next interval, because a call found no capacity, but not too often.
pub fn expedite_loads(state: &mut State, pool: &PoolId, region: &Name) {
    let estimate = state.admissions.pool_estimates.get(&(pool.clone(), region.clone()));
    let last_sent_at = estimate.map_or(Time(0), |estimated| estimated.last_sent_at);
    if state.now.since(last_sent_at) >= state.tuning.min_pool_load_interval_ms {
        send_loads(state, pool, region);
    }
}

fn send_loads(state: &mut State, pool: &PoolId, region: &Name) {
    let Some(owner) = state.fleet.owner(&pool.0, region, state.now).cloned() else { return };
    let loads = own_loads(state, pool, region);
    let last_sent_total = loads.iter().map(|(_, load)| load).sum();
    let now = state.now;
    let estimate = state.admissions.pool_estimates.entry((pool.clone(), region.clone())).or_default();
    estimate.last_sent_total = last_sent_total;
    estimate.last_sent_at = now;
    let loads = PoolLoads { pool: pool.clone(), region: region.clone(), loads };
    state.send(&owner, Message::PoolLoads(loads));
}

fn own_total(state: &State, pool: &PoolId, region: &str) -> u32 {
    own_loads(state, pool, region).iter().map(|(_, load)| load).sum()
}

fn own_loads(state: &State, pool: &PoolId, region: &str) -> Vec<(UpstreamId, u32)> {
    let usable = state.catalog.available_upstreams(pool, region);
    let owned = usable
        .filter_map(|id| state.admissions.by_upstream.get(id).map(|upstream_state| (id, upstream_state)));
    owned
        .filter(|(_, upstream_state)| upstream_state.owned)
        .map(|(id, upstream_state)| (id.clone(), upstream_state.load()))
        .collect()
}
