//! Placement: the order in which a call tries the upstreams of its pool.

use crate::catalog::Catalog;
use crate::ids::AffinityKey;
use crate::ids::PoolId;
use crate::ids::UpstreamId;
use crate::rendezvous;

/// Ranks the available upstreams of a pool for a key by weighted rendezvous hashing.
///
/// Upstreams in the given region come before those in other regions.
pub fn rank_upstreams(catalog: &Catalog, pool: &PoolId, key: AffinityKey, region: &str) -> Vec<UpstreamId> {
    let Some(entry) = catalog.pools.get(pool) else { return Vec::new() };
    let mut scored: Vec<_> = entry
        .upstreams
        .iter()
        .filter(|id| catalog.takes_work(id))
        .map(|id| {
            let upstream = &catalog.upstreams[id];
            let score = rendezvous::weighted_score(key.0, &id.0, upstream.upstream.slots);
            (&*upstream.region != region, score, id)
        })
        .collect();
    scored.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(b.2)));
    scored.into_iter().map(|(_, _, id)| id.clone()).collect()
}
