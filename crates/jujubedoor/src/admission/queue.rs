//! The calls that wait at an upstream, served by weighted fair sharing between workspaces.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubedoor_config::Name;

use crate::ids::RequestId;
use crate::ids::Time;
use crate::message::Acquire;

/// The calls that wait at an upstream.
#[derive(Debug, Default)]
pub struct Queue {
    workspaces: BTreeMap<Name, WorkspaceQueue>,
    clock: f64,
}

/// The calls of one workspace, in the order in which their requests arrived.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    waiters: VecDeque<QueuedCall>,
    served: f64,
}

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedCall {
    /// The VM that asked.
    pub from: Name,
    /// What it asked for.
    pub acquire: Acquire,
    /// When its request arrived, which may have waited elsewhere before.
    pub arrived_at: Time,
    /// When it gives up.
    pub expires_at: Time,
}

impl Queue {
    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.workspaces.values().map(|line| line.waiters.len()).sum()
    }

    /// Tells whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a call; when the queue is full, the longest line relative to its weight loses its last.
    pub fn push<W>(&mut self, waiter: QueuedCall, capacity: usize, weight: W) -> Option<QueuedCall>
    where
        W: Fn(&str) -> u32,
    {
        let name = waiter.acquire.workspace.clone();
        let waiters = &mut self.workspaces.entry(name).or_default().waiters;
        let position = waiters.partition_point(|other| other.arrived_at <= waiter.arrived_at);
        waiters.insert(position, waiter);
        if self.len() <= capacity {
            return None;
        }
        let cost = |(name, line): &(&Name, &WorkspaceQueue)| {
            line.waiters.len() * 10_000 / weight(name).max(1) as usize
        };
        let longest = self.workspaces.iter().max_by_key(cost).map(|(name, _)| name.clone())?;
        self.workspaces.get_mut(&longest)?.waiters.pop_back()
    }

    /// Charges a granted call to its workspace.
    pub fn charge(&mut self, workspace: &Name, weight: u32) {
        let clock = self.clock;
        let line = self.workspaces.entry(workspace.clone()).or_default();
        line.served = line.served.max(clock) + 1.0 / f64::from(weight.max(1));
    }

    /// Takes the first call that passes, of the workspace that was served least for its weight.
    pub fn pop<P>(&mut self, passes: P) -> Option<QueuedCall>
    where
        P: Fn(&QueuedCall) -> bool,
    {
        let clock = self.clock;
        let start = |line: &WorkspaceQueue| line.served.max(clock);
        let candidates = self.workspaces.iter().filter(|(_, line)| line.waiters.iter().any(&passes));
        let (name, started) = candidates
            .map(|(name, line)| (name.clone(), start(line)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))?;
        self.clock = started;
        let waiters = &mut self.workspaces.get_mut(&name)?.waiters;
        let position = waiters.iter().position(passes)?;
        waiters.remove(position)
    }

    /// Removes the calls that gave up.
    pub fn expire(&mut self, now: Time) -> Vec<QueuedCall> {
        self.take(|waiter| waiter.expires_at <= now)
    }

    /// Removes the call of one acquire.
    pub fn cancel(&mut self, request: RequestId, attempt: u32) {
        self.take(|waiter| waiter.acquire.request == request && waiter.acquire.attempt == attempt);
    }

    /// Removes all calls.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        self.take(|_| true)
    }

    fn take<P>(&mut self, gone: P) -> Vec<QueuedCall>
    where
        P: Fn(&QueuedCall) -> bool,
    {
        let mut taken = Vec::new();
        let clock = self.clock;
        self.workspaces.retain(|_, line| {
            let (out, kept): (Vec<_>, Vec<_>) = line.waiters.drain(..).partition(&gone);
            taken.extend(out);
            line.waiters = kept.into();
            !line.waiters.is_empty() || line.served > clock
        });
        taken
    }
}
