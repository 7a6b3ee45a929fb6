//! The requests that a VM carries, from arrival to outcome.
//!
//! A request becomes a [`Flight`]. It asks the admission owners of its upstreams in [order](order)
//! for a permit, is sent, and ends in one place with its outcome. A request that was lost is sent
//! again only if it may be repeated, has delivered nothing, and the [`budget`] allows it.

mod attempt;
mod budget;
mod flight;
mod order;

use std::collections::BTreeMap;

use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::DeclaredPermit;
use crate::tuning::Tuning;

pub use attempt::attempt_ended;
pub use attempt::caller_gone;
pub use attempt::check_permits;
pub use attempt::denied;
pub use attempt::granted;
pub use attempt::owner_unreachable;
pub use attempt::tick;
pub use budget::Budget;
pub use flight::Flight;
pub use flight::Repeat;
pub use flight::Stage;
pub use order::arrive;
pub(crate) use order::find_pool;
pub(crate) use order::launch;
pub(crate) use order::run_flight;

/// The requests that a VM carries.
#[derive(Debug)]
pub struct Entry {
    pub(crate) flights: BTreeMap<RequestId, Flight>,
    pub(crate) budget: Budget,
}

impl Entry {
    /// Creates an entry that carries nothing.
    pub fn new(tuning: &Tuning) -> Self {
        Self { flights: BTreeMap::new(), budget: Budget::new(tuning) }
    }

    /// Tells whether no request is carried.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Returns how many requests are carried.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    /// Returns how many requests are at each upstream.
    pub fn held(&self) -> BTreeMap<UpstreamId, u32> {
        let mut held = BTreeMap::new();
        for flight in self.flights.values() {
            if let Stage::Sending { upstream, .. } = &flight.stage {
                *held.entry(upstream.clone()).or_insert(0) += 1;
            }
        }
        held
    }

    /// Returns the permits that are held on an upstream.
    pub fn declared(&self, upstream: &UpstreamId, me: &VmRef) -> Vec<DeclaredPermit> {
        let held = self.flights.values().filter_map(|flight| {
            let Stage::Sending { upstream: at, permit: Some(permit) } = &flight.stage else { return None };
            (at == upstream).then(|| DeclaredPermit {
                permit: *permit,
                holder: me.clone(),
                request: flight.request,
                attempt: flight.attempt,
                pool: flight.pool.clone(),
                fingerprint: flight.fingerprint,
                suspect: flight.losses > 0,
            })
        });
        held.collect()
    }
}
