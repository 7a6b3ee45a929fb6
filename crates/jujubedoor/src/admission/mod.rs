//! Admission: each upstream has one admission owner, the VM that decides which calls it receives.
//!
//! The owner keeps an [`UpstreamState`] for each upstream that it owns. A request for a permit is granted if
//! the upstream has [`Capacity`]. Otherwise it is queued in the [`Queue`], or denied with a reason from which
//! the entry VM derives the next upstream to try. The owner knows every call in flight, so the load bound,
//! the [`Ramp`] of a cold upstream, fairness and the isolation of crash suspects are decided in one place.
//! When ownership moves, the new owner first completes a takeover.

mod capacity;
mod grant;
mod load;
mod pool_load;
mod queue;
mod ramp;
mod takeover;

use std::collections::BTreeMap;
use std::num::NonZeroUsize;

use jujubedoor_config::Name;
use lru::LruCache;

use crate::ids::AffinityKey;
use crate::ids::PermitId;
use crate::ids::PoolId;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::message::DeclaredPermit;
use crate::tuning::Tuning;

pub use capacity::Capacity;
pub use capacity::capacity;
pub use grant::abandon;
pub use grant::acquire;
pub use grant::handle_placed;
pub use grant::release;
pub use load::Observations;
pub use load::handle_load_report;
pub use load::handle_report_failure;
pub use load::reclaim_permits;
pub use pool_load::handle_pool_loads;
pub use pool_load::handle_pool_total;
pub use queue::Queue;
pub use queue::QueuedCall;
pub use ramp::Ramp;
pub use takeover::adopt_permits;
pub use takeover::expire_ownership;
pub use takeover::handle_redeclare;
pub use takeover::review_ownership;

/// The admission state of a VM: the upstreams that it owns, and the loads of pools.
#[derive(Debug, Default)]
pub struct Admissions {
    pub(crate) by_upstream: BTreeMap<UpstreamId, UpstreamState>,
    pub(crate) pool_owner_loads: BTreeMap<(PoolId, Name), pool_load::PoolOwnerLoads>,
    pub(crate) pool_estimates: BTreeMap<(PoolId, Name), pool_load::PoolLoadEstimate>,
    /// Running calls by the last load report of each upstream, for policies that use load reports.
    pub(crate) reported_loads: BTreeMap<UpstreamId, u32>,
    owners: BTreeMap<UpstreamId, Name>,
    last_review: Option<takeover::ReviewBasis>,
    next_review: Time,
    next_permit_seq: u64,
    next_poll: Time,
    next_permit_check: Time,
    next_pool_load: Time,
}

impl Admissions {
    /// Returns the admission state of an upstream.
    pub fn upstream_state(&self, upstream: &UpstreamId) -> Option<&UpstreamState> {
        self.by_upstream.get(upstream)
    }

    /// Returns the owner of an upstream as of the last review of ownership.
    pub fn owner(&self, upstream: &UpstreamId) -> Option<&Name> {
        self.owners.get(upstream)
    }

    /// Iterates over the upstreams that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamState)> {
        self.by_upstream.iter().filter(|(_, upstream_state)| upstream_state.owned)
    }
}

/// The admission state of one upstream at its owner.
#[derive(Debug)]
pub struct UpstreamState {
    /// Whether this VM is the owner according to its current view.
    pub owned: bool,
    /// The active permits.
    pub active_permits: BTreeMap<PermitId, ActivePermit>,
    /// The queued calls.
    pub queue: Queue,
    /// The limit of the upstream while it warms up after a start.
    pub ramp: Ramp,
    /// Observations of the upstream and of the connections to it.
    pub observations: Observations,
    takeover: takeover::Takeover,
    cached_chats: LruCache<AffinityKey, ()>,
    placements: LruCache<AffinityKey, UpstreamId>,
    ownership_changed_at: Time,
}

/// A permit that was granted and has not been released, withdrawn or reclaimed.
#[derive(Clone, Debug, PartialEq)]
pub struct ActivePermit {
    /// The permit as it is declared to a new owner.
    pub permit: DeclaredPermit,
    /// Whether a crash was attributed to the request while it held the permit.
    pub crash_attributed: bool,
    /// Time at which the permit was granted or declared, or its holder was last asked about it.
    pub checked_at: Time,
}

impl UpstreamState {
    fn new(now: Time, tuning: &Tuning) -> Self {
        let chats = NonZeroUsize::new(tuning.chats_per_upstream).unwrap_or(NonZeroUsize::MIN);
        Self {
            owned: false,
            active_permits: BTreeMap::new(),
            queue: Queue::default(),
            ramp: Ramp::default(),
            observations: Observations::default(),
            takeover: takeover::Takeover::default(),
            cached_chats: LruCache::new(chats),
            placements: LruCache::new(chats),
            ownership_changed_at: now,
        }
    }

    /// Returns the number of calls in flight: those with permits, and those that the upstream reports
    /// without a permit known to this owner.
    pub fn load(&self) -> u32 {
        let active = u32::try_from(self.active_permits.len()).unwrap_or(u32::MAX);
        active.saturating_add(self.observations.unaccounted_calls)
    }

    /// Returns whether a request suspected of crashing upstreams is running.
    pub fn is_running_suspect(&self) -> bool {
        self.active_permits.values().any(|active| active.permit.suspect)
    }

    /// Returns whether this VM owns the upstream and has completed the takeover.
    pub fn is_takeover_complete(&self, now: Time) -> bool {
        self.owned && self.takeover.is_complete(now)
    }

    /// Records the number of active permits after a change.
    fn record_active_permits(&mut self, now: Time) {
        self.observations.record_permit_count(now, self.active_permits.len());
    }

    fn declared_permits(&self) -> Vec<DeclaredPermit> {
        self.active_permits.values().map(|active| active.permit.clone()).collect()
    }
}

/// Performs the periodic work: continues takeovers, expires queued calls, polls upstreams, checks permits and
/// sends loads.
pub fn tick(state: &mut crate::State) {
    takeover::tick(state);
    grant::expire_waits(state);
    load::tick(state);
    pool_load::tick(state);
}
