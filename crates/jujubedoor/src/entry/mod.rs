//! The requests that a VM carries, from arrival to outcome.
//!
//! A request becomes a [`Flight`]. It asks the admission owners of its upstreams in [order](order)
//! for a permit, is sent, and ends in one place with its outcome. A request that was lost is sent
//! again only if it may be repeated, has delivered nothing, and the [`budget`] allows it.

mod attempt;
mod budget;
mod request;
mod search;

use std::collections::BTreeMap;

use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::DeclaredPermit;
use crate::tuning::Tuning;

pub use attempt::check_permits;
pub use attempt::handle_attempt_ended;
pub use attempt::handle_caller_gone;
pub use attempt::handle_denied;
pub use attempt::handle_granted;
pub use attempt::handle_owner_unreachable;
pub use attempt::tick;
pub use budget::RetryBudget;
pub use request::ActiveRequest;
pub use request::RetryPolicy;
pub use request::Stage;
pub use search::arrive;
pub(crate) use search::find_pool;
pub(crate) use search::launch;
pub(crate) use search::run_flight;

/// The requests that a VM carries.
#[derive(Debug)]
pub struct ActiveRequests {
    pub(crate) requests: BTreeMap<RequestId, ActiveRequest>,
    pub(crate) retry_budget: RetryBudget,
}

impl ActiveRequests {
    /// Creates an entry that carries nothing.
    pub fn new(tuning: &Tuning) -> Self {
        Self { requests: BTreeMap::new(), retry_budget: RetryBudget::new(tuning) }
    }

    /// Tells whether no request is carried.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how many requests are carried.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many requests are at each upstream.
    pub fn calls_by_upstream(&self) -> BTreeMap<UpstreamId, u32> {
        let mut held = BTreeMap::new();
        for flight in self.requests.values() {
            if let Stage::Sending { upstream, .. } = &flight.stage {
                *held.entry(upstream.clone()).or_insert(0) += 1;
            }
        }
        held
    }

    /// Returns the permits that are held on an upstream.
    pub fn declared_permits(&self, upstream: &UpstreamId, me: &VmRef) -> Vec<DeclaredPermit> {
        let held = self.requests.values().filter_map(|flight| {
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
