//! Admission: for each upstream one VM, its admission owner, decides which calls it gets.
//!
//! The owner keeps a [`Book`] for each upstream that it owns. An acquire is granted when the
//! upstream has room ([`room`]), waits in the [`queue`], or is denied with a reason that tells the
//! entry where to ask next. The owner knows every call in flight, so that the bound, the [`ramp`]
//! of a cold upstream, fairness and the isolation of suspects are decided in one place. When
//! ownership moves, the new owner first [settles](settle).

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
pub use pool_load::handle_pool_mean;
pub use queue::Queue;
pub use queue::QueuedCall;
pub use ramp::Ramp;
pub use takeover::adopt_permits;
pub use takeover::expire_ownership;
pub use takeover::handle_redeclare;
pub use takeover::review_ownership;

/// The upstreams that a VM owns, and what it knows of the pools' loads.
#[derive(Debug, Default)]
pub struct Admissions {
    pub(crate) by_upstream: BTreeMap<UpstreamId, UpstreamState>,
    pub(crate) pool_owner_loads: BTreeMap<(PoolId, Name), pool_load::PoolOwnerLoads>,
    pub(crate) pool_loads: BTreeMap<(PoolId, Name), pool_load::PoolLoadEstimate>,
    /// The last load reports of upstreams, for the policies that go by reports.
    pub(crate) reports: BTreeMap<UpstreamId, u32>,
    owners: BTreeMap<UpstreamId, Name>,
    reviewed: Option<takeover::ReviewBasis>,
    review_at: Time,
    next_permit: u64,
    next_poll: Time,
    next_check: Time,
    next_mean: Time,
}

impl Admissions {
    /// Returns the book of an upstream.
    pub fn upstream_state(&self, upstream: &UpstreamId) -> Option<&UpstreamState> {
        self.by_upstream.get(upstream)
    }

    /// Returns the owner of an upstream by the last review.
    pub fn owner(&self, upstream: &UpstreamId) -> Option<&Name> {
        self.owners.get(upstream)
    }

    /// Iterates over the upstreams that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamState)> {
        self.by_upstream.iter().filter(|(_, book)| book.owned)
    }
}

/// What the owner of an upstream knows about it.
#[derive(Debug)]
pub struct UpstreamState {
    /// Whether this VM is the owner by its present view.
    pub owned: bool,
    /// The permits in force.
    pub held: BTreeMap<PermitId, ActivePermit>,
    /// The calls that wait.
    pub queue: Queue,
    /// How much the upstream bears since its start.
    pub ramp: Ramp,
    /// What the upstream and its connections show.
    pub observations: Observations,
    takeover: takeover::Takeover,
    recent: LruCache<AffinityKey, ()>,
    elsewhere: LruCache<AffinityKey, UpstreamId>,
    changed_at: Time,
}

/// A permit in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ActivePermit {
    /// The permit as it is declared to a new owner.
    pub permit: DeclaredPermit,
    /// Whether the request was reported for a crash while it held the permit.
    pub crash_attributed: bool,
    /// When the permit was granted or declared.
    pub since: Time,
}

impl UpstreamState {
    fn new(now: Time, tuning: &Tuning) -> Self {
        let chats = NonZeroUsize::new(tuning.chats_per_upstream).unwrap_or(NonZeroUsize::MIN);
        Self {
            owned: false,
            held: BTreeMap::new(),
            queue: Queue::default(),
            ramp: Ramp::default(),
            observations: Observations::default(),
            takeover: takeover::Takeover::default(),
            recent: LruCache::new(chats),
            elsewhere: LruCache::new(chats),
            changed_at: now,
        }
    }

    /// Returns the calls in flight: those with permits and those that nobody here explains.
    pub fn load(&self) -> u32 {
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        held.saturating_add(self.observations.unaccounted_calls)
    }

    /// Tells whether a suspected request is running.
    pub fn runs_suspect(&self) -> bool {
        self.held.values().any(|held| held.permit.suspect)
    }

    /// Tells whether the owner has settled.
    pub fn is_takeover_complete(&self, now: Time) -> bool {
        self.owned && self.takeover.is_complete(now)
    }

    /// Remembers how many permits are in force, after they changed.
    fn record_active_permits(&mut self, now: Time) {
        self.observations.record_permit_count(now, self.held.len());
    }

    fn declared_permits(&self) -> Vec<DeclaredPermit> {
        self.held.values().map(|held| held.permit.clone()).collect()
    }
}

/// Does what is due: expires waits, polls upstreams, checks permits and reports loads.
pub fn tick(state: &mut crate::State) {
    takeover::tick(state);
    grant::expire_waits(state);
    load::tick(state);
    pool_load::tick(state);
}
