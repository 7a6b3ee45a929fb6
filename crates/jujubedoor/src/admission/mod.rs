//! Admission: for each upstream one VM, its admission owner, decides which calls it gets.
//!
//! The owner keeps a [`Book`] for each upstream that it owns. An acquire is granted when the
//! upstream has room ([`room`]), waits in the [`queue`], or is denied with a reason that tells the
//! entry where to ask next. The owner knows every call in flight, so that the bound, the [`ramp`]
//! of a cold upstream, fairness and the isolation of suspects are decided in one place. When
//! ownership moves, the new owner first [settles](settle).

mod grant;
mod load;
mod mean;
mod queue;
mod ramp;
mod room;
mod settle;

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

pub use grant::abandon;
pub use grant::acquire;
pub use grant::placed;
pub use grant::release;
pub use load::Observed;
pub use load::permits_gone;
pub use load::report_failed;
pub use load::reported;
pub use mean::pool_loads;
pub use mean::pool_mean;
pub use queue::Queue;
pub use queue::Waiter;
pub use ramp::Ramp;
pub use room::Room;
pub use room::room;
pub use settle::declared;
pub use settle::lapse;
pub use settle::redeclare;
pub use settle::review;

/// The upstreams that a VM owns, and what it knows of the pools' loads.
#[derive(Debug, Default)]
pub struct Admissions {
    pub(crate) books: BTreeMap<UpstreamId, Book>,
    pub(crate) sums: BTreeMap<(PoolId, Name), mean::Sums>,
    pub(crate) means: BTreeMap<(PoolId, Name), mean::Mean>,
    /// The last load reports of upstreams, for the policies that go by reports.
    pub(crate) reports: BTreeMap<UpstreamId, u32>,
    owners: BTreeMap<UpstreamId, Name>,
    reviewed: Option<settle::Reviewed>,
    review_at: Time,
    next_permit: u64,
    next_poll: Time,
    next_check: Time,
    next_mean: Time,
}

impl Admissions {
    /// Returns the book of an upstream.
    pub fn book(&self, upstream: &UpstreamId) -> Option<&Book> {
        self.books.get(upstream)
    }

    /// Returns the owner of an upstream by the last review.
    pub fn owner(&self, upstream: &UpstreamId) -> Option<&Name> {
        self.owners.get(upstream)
    }

    /// Iterates over the upstreams that this VM owns.
    pub fn owned(&self) -> impl Iterator<Item = (&UpstreamId, &Book)> {
        self.books.iter().filter(|(_, book)| book.owned)
    }
}

/// What the owner of an upstream knows about it.
#[derive(Debug)]
pub struct Book {
    /// Whether this VM is the owner by its present view.
    pub owned: bool,
    /// The permits in force.
    pub held: BTreeMap<PermitId, Held>,
    /// The calls that wait.
    pub queue: Queue,
    /// How much the upstream bears since its start.
    pub ramp: Ramp,
    /// What the upstream and its connections show.
    pub observed: Observed,
    settle: settle::Settle,
    recent: LruCache<AffinityKey, ()>,
    elsewhere: LruCache<AffinityKey, UpstreamId>,
    changed_at: Time,
}

/// A permit in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The permit as it is declared to a new owner.
    pub permit: DeclaredPermit,
    /// Whether the request was reported for a crash while it held the permit.
    pub accused: bool,
    /// When the permit was granted or declared.
    pub since: Time,
}

impl Book {
    fn new(now: Time, tuning: &Tuning) -> Self {
        let chats = NonZeroUsize::new(tuning.chats).unwrap_or(NonZeroUsize::MIN);
        Self {
            owned: false,
            held: BTreeMap::new(),
            queue: Queue::default(),
            ramp: Ramp::default(),
            observed: Observed::default(),
            settle: settle::Settle::default(),
            recent: LruCache::new(chats),
            elsewhere: LruCache::new(chats),
            changed_at: now,
        }
    }

    /// Returns the calls in flight: those with permits and those that nobody here explains.
    pub fn load(&self) -> u32 {
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        held.saturating_add(self.observed.foreign)
    }

    /// Tells whether a suspected request is running.
    pub fn runs_suspect(&self) -> bool {
        self.held.values().any(|held| held.permit.suspect)
    }

    /// Tells whether the owner has settled.
    pub fn is_settled(&self, now: Time) -> bool {
        self.owned && self.settle.is_over(now)
    }

    /// Remembers how many permits are in force, after they changed.
    fn note_held(&mut self, now: Time) {
        self.observed.note_load(now, self.held.len());
    }

    fn declared(&self) -> Vec<DeclaredPermit> {
        self.held.values().map(|held| held.permit.clone()).collect()
    }
}

/// Does what is due: expires waits, polls upstreams, checks permits and reports loads.
pub fn tick(state: &mut crate::State) {
    settle::tick(state);
    grant::expire_waits(state);
    load::tick(state);
    mean::tick(state);
}
