//! The admission policies without an owner, to measure the owner against.

use std::collections::BTreeMap;

use jujubedoor_config::Admission;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::ids::PoolId;
use crate::ids::UpstreamId;
use crate::state::State;

/// Tells whether a policy goes by the load reports of upstreams.
pub fn uses_load_reports(policy: Admission) -> bool {
    matches!(policy, Admission::Reports | Admission::TwoChoices)
}

/// Chooses an upstream of an order by a policy that this VM applies alone.
pub fn choose_upstream(state: &mut State, pool: &PoolId, order: &[UpstreamId]) -> Option<UpstreamId> {
    let policy = state.catalog.pools.get(pool)?.pool.admission;
    let held = state.requests_per_upstream();
    match policy {
        Admission::Owner | Admission::Hash => order.first().cloned(),
        Admission::LocalBounded => locally_bounded(state, pool, order, &held),
        Admission::Reports => least_reported(state, order),
        Admission::TwoChoices => {
            let two: Vec<_> = order.choose_multiple(&mut state.rng, 2).cloned().collect();
            least_reported(state, &two)
        }
        Admission::StaticShare => within_share(state, order, &held),
    }
}

fn locally_bounded(
    state: &State,
    pool: &PoolId,
    order: &[UpstreamId],
    held: &BTreeMap<UpstreamId, u32>,
) -> Option<UpstreamId> {
    let total: u32 = order.iter().filter_map(|id| held.get(id)).sum();
    #[expect(clippy::cast_precision_loss, reason = "a pool has far fewer than 2^53 upstreams")]
    let mean = f64::from(total + 1) / order.len() as f64;
    let bound = (state.catalog.pools[pool].pool.bound * mean).ceil();
    let fits = |id: &&UpstreamId| f64::from(held.get(*id).copied().unwrap_or(0)) < bound;
    order.iter().find(fits).cloned()
}

fn least_reported(state: &mut State, order: &[UpstreamId]) -> Option<UpstreamId> {
    let mut loads: Vec<_> = Vec::with_capacity(order.len());
    for id in order {
        let load = state.admissions.reports.get(id).copied().unwrap_or(0);
        loads.push((load, state.rng.random::<u32>(), id));
    }
    loads.into_iter().min().map(|(_, _, id)| id.clone())
}

fn within_share(state: &State, order: &[UpstreamId], held: &BTreeMap<UpstreamId, u32>) -> Option<UpstreamId> {
    let vms = u32::try_from(state.fleet.list().vms.len().max(1)).unwrap_or(u32::MAX);
    let fits = |id: &&UpstreamId| {
        let slots = state.catalog.upstreams[*id].upstream.slots;
        held.get(*id).copied().unwrap_or(0) < slots.div_ceil(vms)
    };
    order.iter().find(fits).cloned()
}
