//! Which connections lose their memory or their descriptor to others.

use std::cmp::Reverse;

use super::CONNECTION_BYTES;
use super::Ledger;
use super::SEARCH_INTERVAL_MS;
use super::WRITE_STALL_FACTOR;
use super::connection::Connection;
use super::connection::Phase;
use super::limits::Class;
use super::limits::ConnectionId;
use super::limits::Eviction;
use super::limits::Owner;

impl Ledger {
    /// Evicts connections that make no progress until the missing memory is or will be released. Of several, those
    /// that hold the most go first. Idle connections only make room for small charges.
    pub(super) fn evict_memory(
        &mut self,
        requester: Option<ConnectionId>,
        owner: Option<&Owner>,
        shortage: usize,
        class: Class,
        now: u64,
    ) {
        if self.last_search_ms.is_some_and(|at| now.saturating_sub(at) < SEARCH_INTERVAL_MS) {
            return;
        }
        self.last_search_ms = Some(now);
        let is_eligible = |connection: &Connection| {
            owner.is_none_or(|owner| {
                let same_workspace = owner.workspace.is_some() && owner.workspace == connection.workspace;
                owner.address == connection.address || same_workspace
            })
        };
        let mut freed: usize = 0;
        let mut candidates = Vec::new();
        for (id, connection) in self.connections.iter().filter(|(_, connection)| is_eligible(connection)) {
            if connection.is_ending() {
                // Its memory is about to be released.
                freed = freed.saturating_add(connection.held.saturating_sub(CONNECTION_BYTES));
                continue;
            }
            let rank = match self.evictable(connection, now) {
                Some(Stall::Body) => 0,
                Some(Stall::Write) => 1,
                Some(Stall::Head) => 2,
                Some(Stall::Idle) if class == Class::Small => 3,
                _ => continue,
            };
            if Some(*id) != requester {
                candidates.push((rank, Reverse(connection.held), *id));
            }
        }
        candidates.sort_unstable();
        for (_, Reverse(held), id) in candidates {
            if freed >= shortage {
                return;
            }
            freed += held;
            self.evict_stalled(id, now);
        }
    }

    /// Evicts a connection of a server: an idle one if there is any, or else one that makes no progress. Of several,
    /// those of the address that holds the most go first, then those that have made no progress for longest.
    pub(super) fn evict_connection(&mut self, server: u32, now: u64) {
        let connections = self.connections.iter().filter(|(_, c)| c.server == server);
        if connections.clone().any(|(_, connection)| connection.is_ending()) {
            // Its descriptor is about to be closed.
            return;
        }
        let candidates = connections.filter_map(|(id, connection)| {
            let rank = match self.evictable(connection, now)? {
                Stall::Idle => 0,
                Stall::Head => 1,
                Stall::Body => 2,
                Stall::Write => 3,
            };
            let by_address = self.by_address.get(&connection.address).copied().unwrap_or_default();
            Some((rank, Reverse(by_address), connection.progress.since_ms, *id))
        });
        if let Some((_, _, _, id)) = candidates.min() {
            self.evict_stalled(id, now);
        }
    }

    /// Returns why a connection may be evicted.
    fn evictable(&self, connection: &Connection, now: u64) -> Option<Stall> {
        if connection.is_ending() {
            return None;
        }
        let write_stall_ms = self.limits.stall_ms * WRITE_STALL_FACTOR;
        if connection.blocked_write.is_some_and(|progress| progress.is_stalled(write_stall_ms, now)) {
            return Some(Stall::Write);
        }
        let is_stalled = connection.progress.is_stalled(self.limits.stall_ms, now);
        match connection.phase {
            Phase::Idle | Phase::Closing => Some(Stall::Idle),
            Phase::Head if is_stalled => Some(Stall::Head),
            Phase::Body if is_stalled && !connection.waits => Some(Stall::Body),
            Phase::Head | Phase::Body | Phase::Serving => None,
        }
    }

    fn evict_stalled(&mut self, id: ConnectionId, now: u64) {
        let stall = self.connections.get(&id).and_then(|connection| self.evictable(connection, now));
        match stall {
            Some(Stall::Body) => {
                self.counts.stalled_bodies += 1;
                self.evict(id, Eviction::Reject);
            }
            Some(Stall::Write) => {
                self.counts.unread_responses += 1;
                self.evict(id, Eviction::Close);
            }
            Some(Stall::Head) => {
                self.counts.unfinished_heads += 1;
                self.evict(id, Eviction::Close);
            }
            Some(Stall::Idle) => {
                self.counts.idle_connections += 1;
                self.evict(id, Eviction::Close);
            }
            None => {}
        }
    }

    pub(super) fn evict(&mut self, id: ConnectionId, eviction: Eviction) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.evicted = Some(eviction);
            self.evictions.push((id, eviction));
        }
    }
}

/// Why a connection may be evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stall {
    /// No request is open, or only its end is awaited.
    Idle,
    /// The head of a request does not arrive.
    Head,
    /// The body of a request does not arrive.
    Body,
    /// The caller does not read the response.
    Write,
}
