//! The requests that wait at this VM for room at an upstream.
//!
//! Answers the load of a cold or crowded pool: what is most urgent goes first, and among equals the
//! workspace that has least running, so that a workspace that sends many times its usual delays itself.

use std::collections::HashMap;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::event::RequestId;

/// The requests that wait, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    requests: Vec<QueuedRequest>,
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// The rank, zero first.
    pub priority: u8,
    /// The workspace that it belongs to.
    pub workspace: Option<Name>,
    /// When it is turned away.
    pub expires_at: Time,
}

impl RequestQueue {
    /// Adds a request.
    pub fn push(&mut self, queued: QueuedRequest) {
        self.requests.push(queued);
    }

    /// Removes a request.
    pub fn remove(&mut self, request: RequestId) {
        self.requests.retain(|r| r.request != request);
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the requests in the order in which they are served.
    pub fn order(&self, running: &HashMap<Option<Name>, u32>) -> Vec<RequestId> {
        let mut ahead_by_workspace: HashMap<Option<Name>, u32> = HashMap::new();
        let mut ranked = Vec::with_capacity(self.requests.len());
        for (position, queued) in self.requests.iter().enumerate() {
            let ahead = ahead_by_workspace.entry(queued.workspace.clone()).or_default();
            let share = running.get(&queued.workspace).copied().unwrap_or_default() + *ahead;
            *ahead += 1;
            ranked.push((queued.priority, share, position, queued.request));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., request)| request).collect()
    }

    /// Takes the requests whose time to wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let (expired, kept) =
            std::mem::take(&mut self.requests).into_iter().partition(|r| r.expires_at <= now);
        self.requests = kept;
        let expired: Vec<QueuedRequest> = expired;
        expired.into_iter().map(|r| r.request).collect()
    }
}
