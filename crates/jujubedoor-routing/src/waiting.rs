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
pub struct Waiting {
    entries: Vec<Entry>,
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The request.
    pub request: RequestId,
    /// The rank, zero first.
    pub priority: u8,
    /// The workspace that it belongs to.
    pub workspace: Option<Name>,
    /// When it is turned away.
    pub until: Time,
}

impl Waiting {
    /// Adds a request.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Removes a request.
    pub fn remove(&mut self, request: RequestId) {
        self.entries.retain(|e| e.request != request);
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the requests in the order in which they are served.
    pub fn order(&self, running: &HashMap<Option<Name>, u32>) -> Vec<RequestId> {
        let mut taken: HashMap<Option<Name>, u32> = HashMap::new();
        let mut ranked = Vec::with_capacity(self.entries.len());
        for (place, entry) in self.entries.iter().enumerate() {
            let ahead = taken.entry(entry.workspace.clone()).or_default();
            let share = running.get(&entry.workspace).copied().unwrap_or_default() + *ahead;
            *ahead += 1;
            ranked.push((entry.priority, share, place, entry.request));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., request)| request).collect()
    }

    /// Takes the requests whose time to wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let (over, kept) = std::mem::take(&mut self.entries).into_iter().partition(|e| e.until <= now);
        self.entries = kept;
        let over: Vec<Entry> = over;
        over.into_iter().map(|e| e.request).collect()
    }
}
