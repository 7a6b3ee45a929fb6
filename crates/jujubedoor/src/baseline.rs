//! Admission policies without an admission owner, used as baselines in measurements.

use std::collections::BTreeMap;

use jujubedoor_config::Admission;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::ids::PoolId;
use crate::ids::UpstreamId;
use crate::state::State;

/// Returns whether a policy uses the load reports of upstreams.
pub fn uses_load_reports(policy: Admission) -> bool {
    matches!(policy, Admission::Reports | Admission::TwoChoices)
}

/// Selects one of the ranked upstreams of a pool by a policy that needs no other VM.
pub fn choose_upstream(state: &mut State, pool: &PoolId, ranked: &[UpstreamId]) -> Option<UpstreamId> {
    let policy = state.catalog.pools.get(pool)?.pool.admission;
    let own_calls = state.requests_per_upstream();
    match policy {
        Admission::Owner | Admission::Hash => ranked.first().cloned(),
        Admission::LocalBounded => first_below_local_bound(state, pool, ranked, &own_calls),
        Admission::Reports => least_loaded_by_report(state, ranked),
        Admission::TwoChoices => {
            let candidates: Vec<_> = ranked.choose_multiple(&mut state.rng, 2).cloned().collect();
            least_loaded_by_report(state, &candidates)
        }
        Admission::StaticShare => first_within_static_share(state, ranked, &own_calls),
    }
}

fn first_below_local_bound(
    state: &State,
    pool: &PoolId,
    ranked: &[UpstreamId],
    own_calls: &BTreeMap<UpstreamId, u32>,
) -> Option<UpstreamId> {
    let total: u32 = ranked.iter().filter_map(|id| own_calls.get(id)).sum();
    #[expect(clippy::cast_precision_loss, reason = "a pool has far fewer than 2^53 upstreams")]
    let mean = f64::from(total + 1) / ranked.len() as f64;
    let bound = (state.catalog.pools[pool].pool.bound * mean).ceil();
    let has_capacity = |id: &&UpstreamId| f64::from(own_calls.get(*id).copied().unwrap_or(0)) < bound;
    ranked.iter().find(has_capacity).cloned()
}

fn least_loaded_by_report(state: &mut State, ranked: &[UpstreamId]) -> Option<UpstreamId> {
    let mut loads: Vec<_> = Vec::with_capacity(ranked.len());
    for id in ranked {
        let load = state.admissions.reported_loads.get(id).copied().unwrap_or(0);
        loads.push((load, state.rng.random::<u32>(), id));
    }
    loads.into_iter().min().map(|(_, _, id)| id.clone())
}

fn first_within_static_share(
    state: &State,
    ranked: &[UpstreamId],
    own_calls: &BTreeMap<UpstreamId, u32>,
) -> Option<UpstreamId> {
    let vms = u32::try_from(state.fleet.list().vms.len().max(1)).unwrap_or(u32::MAX);
    let has_capacity = |id: &&UpstreamId| {
        let slots = state.catalog.upstreams[*id].upstream.slots;
        own_calls.get(*id).copied().unwrap_or(0) < slots.div_ceil(vms)
    };
    ranked.iter().find(has_capacity).cloned()
}
