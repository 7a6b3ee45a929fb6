//! Capacity: the number of calls that an upstream may have in flight.

use crate::ids::PoolId;
use crate::ids::UpstreamId;
use crate::state::State;

/// The load and the limits of an upstream for calls of one pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Number of calls in flight.
    pub load: u32,
    /// Maximum number of calls according to the pool's load bound.
    pub bound: u32,
    /// Maximum number of calls according to the upstream's ramp.
    pub ramp_limit: u32,
}

impl Capacity {
    /// Returns the maximum number of calls in flight.
    pub fn limit(&self) -> u32 {
        self.bound.min(self.ramp_limit)
    }

    /// Returns whether the upstream can take one more call.
    pub fn has_capacity(&self) -> bool {
        self.load < self.limit()
    }

    /// Returns the load as a percentage of the limit.
    pub fn load_percent(&self) -> u32 {
        self.load.saturating_mul(100) / self.limit().max(1)
    }
}

/// Computes the capacity of an owned upstream for calls of a pool.
pub fn capacity(state: &State, upstream: &UpstreamId, pool: &PoolId) -> Capacity {
    let Some(upstream_state) = state.admissions.by_upstream.get(upstream) else { return Capacity::default() };
    let Some(entry) = state.catalog.upstreams.get(upstream) else { return Capacity::default() };
    let declaration = &entry.upstream;
    Capacity {
        load: upstream_state.load(),
        bound: bound(state, pool, &entry.region),
        ramp_limit: upstream_state.ramp.max_calls(declaration.cold_slots, declaration.slots),
    }
}

fn bound(state: &State, pool: &PoolId, region: &str) -> u32 {
    bound_of(state, pool, region, super::pool_load::total(state, pool, region))
}

/// Computes the load bound of each upstream from the total load of the pool.
///
/// The bound is the configured multiple of the mean load, rounded up. The mean includes one new call.
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
