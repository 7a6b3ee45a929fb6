//! The queue of calls at an upstream, served by weighted fair queueing between workspaces.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubedoor_config::Name;

use crate::ids::RequestId;
use crate::ids::Time;
use crate::message::Acquire;

/// The calls queued at an upstream.
///
/// Implements start-time fair queueing: a workspace's start tag is the later of the virtual time and its
/// finish tag, and the workspace with the lowest start tag is served next. Its start tag becomes the
/// virtual time, and each granted call moves the finish tag on by the inverse of the workspace's weight.
#[derive(Debug, Default)]
pub struct Queue {
    workspaces: BTreeMap<Name, WorkspaceQueue>,
    virtual_time: f64,
}

/// The queued calls of one workspace, in the order in which their requests arrived.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    calls: VecDeque<QueuedCall>,
    finish_tag: f64,
}

/// A queued call.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedCall {
    /// The VM that requested the permit.
    pub from: Name,
    /// The request for a permit.
    pub acquire: Acquire,
    /// Time of arrival of the caller's request, which may have been queued at other upstreams before.
    pub arrived_at: Time,
    /// Time at which the call leaves the queue without a permit.
    pub expires_at: Time,
}

impl Queue {
    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.workspaces.values().map(|queue| queue.calls.len()).sum()
    }

    /// Returns whether no calls are queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a call to the queue.
    ///
    /// If the queue then exceeds its capacity, the workspace with the most calls relative to its weight
    /// loses its latest call, which is returned.
    pub fn push<W>(&mut self, call: QueuedCall, capacity: usize, weight: W) -> Option<QueuedCall>
    where
        W: Fn(&str) -> u32,
    {
        let name = call.acquire.workspace.clone();
        let calls = &mut self.workspaces.entry(name).or_default().calls;
        let position = calls.partition_point(|other| other.arrived_at <= call.arrived_at);
        calls.insert(position, call);
        if self.len() <= capacity {
            return None;
        }
        let weighted_length = |(name, queue): &(&Name, &WorkspaceQueue)| {
            queue.calls.len() * 10_000 / weight(name).max(1) as usize
        };
        let longest_queue =
            self.workspaces.iter().max_by_key(weighted_length).map(|(name, _)| name.clone())?;
        self.workspaces.get_mut(&longest_queue)?.calls.pop_back()
    }

    /// Charges a granted call to its workspace.
    pub fn charge(&mut self, workspace: &Name, weight: u32) {
        let virtual_time = self.virtual_time;
        let queue = self.workspaces.entry(workspace.clone()).or_default();
        queue.finish_tag = queue.finish_tag.max(virtual_time) + 1.0 / f64::from(weight.max(1));
    }

    /// Removes and returns the next grantable call.
    ///
    /// The call is the first grantable one of the workspace that was served least relative to its weight.
    pub fn pop<P>(&mut self, is_grantable: P) -> Option<QueuedCall>
    where
        P: Fn(&QueuedCall) -> bool,
    {
        let virtual_time = self.virtual_time;
        let start_tag = |queue: &WorkspaceQueue| queue.finish_tag.max(virtual_time);
        let candidates = self.workspaces.iter().filter(|(_, queue)| queue.calls.iter().any(&is_grantable));
        let (name, lowest_start_tag) = candidates
            .map(|(name, queue)| (name.clone(), start_tag(queue)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))?;
        self.virtual_time = lowest_start_tag;
        let calls = &mut self.workspaces.get_mut(&name)?.calls;
        let position = calls.iter().position(is_grantable)?;
        calls.remove(position)
    }

    /// Removes and returns the calls whose queueing time has expired.
    pub fn expire(&mut self, now: Time) -> Vec<QueuedCall> {
        self.remove_where(|call| call.expires_at <= now)
    }

    /// Removes the call of one request for a permit.
    pub fn cancel(&mut self, request: RequestId, attempt: u32) {
        self.remove_where(|call| call.acquire.request == request && call.acquire.attempt == attempt);
    }

    /// Removes and returns all calls.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        self.remove_where(|_| true)
    }

    fn remove_where<P>(&mut self, predicate: P) -> Vec<QueuedCall>
    where
        P: Fn(&QueuedCall) -> bool,
    {
        let mut all_removed = Vec::new();
        let virtual_time = self.virtual_time;
        self.workspaces.retain(|_, queue| {
            let (removed, retained): (Vec<_>, Vec<_>) = queue.calls.drain(..).partition(&predicate);
            all_removed.extend(removed);
            queue.calls = retained.into();
            !queue.calls.is_empty() || queue.finish_tag > virtual_time
        });
        all_removed
    }
}
