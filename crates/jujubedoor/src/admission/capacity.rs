//! Room: how many calls an upstream may have in flight.

use crate::ids::PoolId;
use crate::ids::UpstreamId;
use crate::state::State;

/// The load and the limits of an upstream for one pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// The calls in flight.
    pub load: u32,
    /// The most calls by the pool's load bound.
    pub bound: u32,
    /// The most calls that the upstream bears since its start.
    pub ramp_limit: u32,
}

impl Capacity {
    /// Returns the most calls in flight.
    pub fn limit(&self) -> u32 {
        self.bound.min(self.ramp_limit)
    }

    /// Tells whether one more call fits.
    pub fn has_capacity(&self) -> bool {
        self.load < self.limit()
    }

    /// Returns the load in percent of the limit.
    pub fn percent(&self) -> u32 {
        self.load.saturating_mul(100) / self.limit().max(1)
    }
}

/// Computes the room of an owned upstream for a pool.
pub fn capacity(state: &State, upstream: &UpstreamId, pool: &PoolId) -> Capacity {
    let Some(book) = state.admissions.by_upstream.get(upstream) else { return Capacity::default() };
    let Some(entry) = state.catalog.upstreams.get(upstream) else { return Capacity::default() };
    let declared = &entry.upstream;
    Capacity {
        load: book.load(),
        bound: bound(state, pool, &entry.region),
        ramp_limit: book.ramp.max_calls(declared.cold_slots, declared.slots),
    }
}

fn bound(state: &State, pool: &PoolId, region: &str) -> u32 {
    bound_of(state, pool, region, super::pool_load::total(state, pool, region))
}

/// Computes the load bound for a total: the declared multiple of the mean, with one new call counted,
/// rounded up.
pub(super) fn bound_of(state: &State, pool: &PoolId, region: &str, total: u32) -> u32 {
    let Some(entry) = state.catalog.pools.get(pool) else { return 0 };
    let upstreams = state.catalog.available_upstreams(pool, region).count();
    if upstreams == 0 {
        return 0;
    }
    #[expect(clippy::cast_precision_loss, reason = "a pool has far fewer than 2^53 upstreams")]
    let mean = (f64::from(total) + 1.0) / upstreams as f64;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the cast saturates")]
    let bound = (entry.pool.bound * mean).ceil() as u32;
    bound.max(1)
}
