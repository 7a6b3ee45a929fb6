//! The queue of requests that wait at this VM for capacity at an upstream.
//!
//! When a pool is cold or at capacity, the most urgent requests go first. Among requests of equal
//! priority, the workspace with the fewest running requests goes first, so that a workspace with a surge
//! of requests delays only itself.

use std::collections::HashMap;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::event::RequestId;

/// The queued requests, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    requests: Vec<QueuedRequest>,
}

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Workspace of the request.
    pub workspace: Option<Name>,
    /// Time at which the request is rejected if it is still queued.
    pub expires_at: Time,
}

/// What a queued request waits for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WaitReason {
    /// An upstream that has capacity.
    #[default]
    Capacity,
    /// The prefill of a part of its prompt for another request.
    Prefill,
}

impl RequestQueue {
    /// Adds a request.
    pub fn push(&mut self, queued: QueuedRequest) {
        self.requests.push(queued);
    }

    /// Removes a request if it is queued.
    pub fn remove(&mut self, request: RequestId) {
        self.requests.retain(|r| r.request != request);
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the requests in the order in which they should be served.
    ///
    /// Requests of equal priority are ordered by the number of requests of their workspace that are
    /// running, according to `running`, or were queued earlier.
    pub fn order(&self, running: &HashMap<Option<Name>, u32>) -> Vec<RequestId> {
        let mut ahead_by_workspace: HashMap<Option<Name>, u32> = HashMap::new();
        let mut ranked = Vec::with_capacity(self.requests.len());
        for (position, queued) in self.requests.iter().enumerate() {
            let ahead = ahead_by_workspace.entry(queued.workspace.clone()).or_default();
            let workspace_load = running.get(&queued.workspace).copied().unwrap_or_default() + *ahead;
            *ahead += 1;
            ranked.push((queued.priority, workspace_load, position, queued.request));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., request)| request).collect()
    }

    /// Returns the queued requests, in order of arrival.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &QueuedRequest> {
        self.requests.iter()
    }

    /// Removes and returns the requests that have expired.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let (expired, kept) =
            std::mem::take(&mut self.requests).into_iter().partition(|r| r.expires_at <= now);
        self.requests = kept;
        let expired: Vec<QueuedRequest> = expired;
        expired.into_iter().map(|r| r.request).collect()
    }
}
