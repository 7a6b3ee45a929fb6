//! The entry VM of a request: processes it from its arrival to its outcome.
//!
//! An arriving request becomes an [`ActiveRequest`]. It searches for an upstream by requesting permits from
//! the admission owners, is sent, and ends with its outcome. If the connection to the upstream is lost, it is
//! retried only if its [`RetryPolicy`] permits, nothing has been delivered to the caller, and the
//! [`RetryBudget`] allows it.

mod active_request;
mod attempt;
mod budget;
mod search;

use std::collections::BTreeMap;

use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::DeclaredPermit;
use crate::tuning::Tuning;

pub use active_request::ActiveRequest;
pub use active_request::RetryPolicy;
pub use active_request::Stage;
pub use attempt::check_permits;
pub use attempt::handle_attempt_ended;
pub use attempt::handle_caller_gone;
pub use attempt::handle_denied;
pub use attempt::handle_granted;
pub use attempt::handle_owner_unreachable;
pub use attempt::tick;
pub use budget::RetryBudget;
pub use search::arrive;
pub(crate) use search::find_pool;
pub(crate) use search::launch;
pub(crate) use search::new_ticket_request;

/// The active requests of this VM.
#[derive(Debug)]
pub struct ActiveRequests {
    pub(crate) requests: BTreeMap<RequestId, ActiveRequest>,
    pub(crate) retry_budget: RetryBudget,
}

impl ActiveRequests {
    /// Creates an empty collection.
    pub fn new(tuning: &Tuning) -> Self {
        Self { requests: BTreeMap::new(), retry_budget: RetryBudget::new(tuning) }
    }

    /// Returns whether there are no active requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of active requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests in flight at each upstream.
    pub fn calls_by_upstream(&self) -> BTreeMap<UpstreamId, u32> {
        let mut calls = BTreeMap::new();
        for active in self.requests.values() {
            if let Stage::Sending { upstream, .. } = &active.stage {
                *calls.entry(upstream.clone()).or_insert(0) += 1;
            }
        }
        calls
    }

    /// Returns the permits that this VM holds for an upstream.
    pub fn declared_permits(&self, upstream: &UpstreamId, me: &VmRef) -> Vec<DeclaredPermit> {
        let permits = self.requests.values().filter_map(|active| {
            let Stage::Sending { upstream: at, permit: Some(permit) } = &active.stage else { return None };
            (at == upstream).then(|| DeclaredPermit {
                permit: *permit,
                holder: me.clone(),
                request: active.request,
                attempt: active.attempt,
                pool: active.pool.clone(),
                fingerprint: active.fingerprint,
                suspect: active.lost_attempts > 0,
            })
        });
        permits.collect()
    }
}
