//! Decides who may hold memory and connections, who waits for them, and who loses them to others.
//!
//! The ledger knows all connections of callers, what each of them does, and what is held for it. It has no clock and
//! no sockets: times are milliseconds that the caller of a method passes.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

mod connection;
mod eviction;
mod limits;

pub use limits::Admission;
pub use limits::BudgetLimits;
pub use limits::Class;
pub use limits::ConnectionId;
pub use limits::Counts;
pub use limits::Eviction;
pub use limits::Owner;
pub use limits::Verdict;

use connection::Connection;
use connection::Phase;
use connection::Progress;

/// Memory of a connection: its read buffer of up to 16 kB, its task and the map of its headers, in bytes.
pub const CONNECTION_BYTES: usize = 24 << 10;

/// Size of a read after which the HTTP library enlarges the read buffer, which it keeps while the connection is open.
const ENLARGING_READ_BYTES: usize = 8 << 10;

/// Memory that the enlarged read buffer takes in addition, in bytes.
const ENLARGED_BUFFER_BYTES: usize = 16 << 10;

/// Size of a head that the memory of a connection covers, in bytes.
const COVERED_HEAD_BYTES: usize = 8 << 10;

/// Memory that a byte of a longer head takes. The read buffer doubles when it is full.
const MEMORY_PER_HEAD_BYTE: usize = 2;

/// Time without progress of any waiting body after which one is rejected, in milliseconds. The memory of a rejected
/// body has to be released before it is known whether another has to be rejected.
const REJECTION_INTERVAL_MS: u64 = 100;

/// Minimum time between two searches for connections that can be evicted for memory, in milliseconds. Many bodies may
/// wait at once, and each of them tries again whenever memory is released.
const SEARCH_INTERVAL_MS: u64 = 20;

/// Multiple of the time without progress after which a caller counts as one that does not read its response. The kernel
/// takes more of it only in portions of up to [`UNSENT_BYTES`](crate::caller_stream::UNSENT_BYTES).
pub const WRITE_STALL_FACTOR: u64 = 4;

/// A body that waits for memory.
#[derive(Clone, Debug)]
struct Waiting {
    id: ConnectionId,
    owner: Owner,
    /// Memory that it needs next.
    bytes: usize,
    order: u64,
}

/// Who holds what.
#[derive(Debug, Default)]
pub struct Ledger {
    limits: BudgetLimits,
    used: usize,
    by_address: HashMap<IpAddr, usize>,
    by_workspace: HashMap<Arc<str>, usize>,
    connections: HashMap<ConnectionId, Connection>,
    by_server: HashMap<u32, usize>,
    /// Bodies that wait for memory, in the order in which each of them first had to.
    waiting: Vec<Waiting>,
    evictions: Vec<(ConnectionId, Eviction)>,
    next_id: ConnectionId,
    next_order: u64,
    /// Maximum size of a body.
    max_body_bytes: usize,
    /// Time at which a body that waited got memory, or was rejected.
    last_progress_ms: Option<u64>,
    last_search_ms: Option<u64>,
    counts: Counts,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, next_id: 1, ..Self::default() }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &BudgetLimits {
        &self.limits
    }

    /// Returns the memory that is held, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns what has happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether any body waits for memory.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes the connections that were evicted since the last call.
    pub fn take_evictions(&mut self) -> Vec<(ConnectionId, Eviction)> {
        std::mem::take(&mut self.evictions)
    }

    /// Opens a connection of a server, or evicts another one for it. A privileged server needs no free memory.
    pub fn open(
        &mut self,
        server: u32,
        address: IpAddr,
        max_connections: usize,
        privileged: bool,
        now: u64,
    ) -> Admission {
        if self.by_server.get(&server).is_some_and(|open| *open >= max_connections) {
            self.evict_connection(server, now);
            return Admission::NoConnection;
        }
        let shortage = self.shortage(CONNECTION_BYTES, Class::Small);
        if shortage > 0 && !privileged {
            self.evict_memory(None, None, shortage, Class::Small, now);
            return Admission::NoMemory;
        }
        let id = self.next_id;
        self.next_id += 1;
        *self.by_server.entry(server).or_default() += 1;
        let connection = Connection {
            server,
            address,
            phase: Phase::Idle,
            progress: Progress::new(now),
            blocked_write: None,
            held: 0,
            head_bytes: 0,
            head_charge: 0,
            buffer_charge: 0,
            workspace: None,
            waits: false,
            wait_order: None,
            evicted: None,
        };
        self.connections.insert(id, connection);
        self.add(id, &Owner { address, workspace: None }, CONNECTION_BYTES);
        Admission::Opened(id)
    }

    /// Closes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.cancel_wait(id);
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(open) = self.by_server.get_mut(&connection.server) {
            *open -= 1;
        }
        let owner = Owner { address: connection.address, workspace: None };
        self.release(id, &owner, CONNECTION_BYTES + connection.head_charge + connection.buffer_charge);
    }

    /// Records that bytes were read from a connection. Returns whether it may go on: there may be no memory for a
    /// long head.
    pub fn record_read(&mut self, id: ConnectionId, bytes: usize, now: u64) -> bool {
        let limits = self.limits;
        let Some(connection) = self.connections.get_mut(&id) else { return true };
        match connection.phase {
            Phase::Idle => {
                connection.phase = Phase::Head;
                connection.progress = Progress::new(now);
                connection.head_bytes = bytes;
            }
            Phase::Head => {
                connection.head_bytes += bytes;
                connection.progress.record(bytes, &limits, now);
            }
            Phase::Body | Phase::Serving | Phase::Closing => {
                if bytes >= ENLARGING_READ_BYTES {
                    self.charge_enlarged_buffer(id);
                }
                return true;
            }
        }
        let required = connection.head_bytes.saturating_sub(COVERED_HEAD_BYTES) * MEMORY_PER_HEAD_BYTE;
        let missing = required.saturating_sub(connection.head_charge);
        if missing == 0 {
            return true;
        }
        let owner = Owner { address: connection.address, workspace: None };
        let shortage = self.shortage(missing, Class::Small);
        if shortage > 0 {
            self.evict_memory(Some(id), None, shortage, Class::Small, now);
            self.counts.refused_heads += 1;
            return false;
        }
        self.add(id, &owner, missing);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.head_charge += missing;
        }
        true
    }

    fn charge_enlarged_buffer(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.buffer_charge == 0 {
            connection.buffer_charge = ENLARGED_BUFFER_BYTES;
            let owner = Owner { address: connection.address, workspace: None };
            self.add(id, &owner, ENLARGED_BUFFER_BYTES);
        }
    }

    /// Records that the head of a request is complete. Returns whether the request may be served.
    pub fn begin_request(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return true };
        connection.phase = Phase::Serving;
        connection.evicted.is_none()
    }

    /// Records that the body of a request is being received, which may have the given size.
    pub fn begin_body(&mut self, id: ConnectionId, owner: &Owner, max_bytes: usize, now: u64) {
        self.max_body_bytes = max_bytes;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.workspace.clone_from(&owner.workspace);
            connection.wait_order = None;
            connection.phase = Phase::Body;
            connection.progress = Progress::new(now);
        }
    }

    /// Records bytes of a body.
    pub fn record_body(&mut self, id: ConnectionId, bytes: usize, now: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress.record(bytes, &self.limits, now);
        }
    }

    /// Records that a body ended or was given up. Returns whether the request may be served.
    pub fn end_body(&mut self, id: ConnectionId) -> bool {
        self.cancel_wait(id);
        let Some(connection) = self.connections.get_mut(&id) else { return true };
        connection.phase = Phase::Serving;
        connection.evicted.is_none()
    }

    /// Records that a response was written completely.
    pub fn end_response(&mut self, id: ConnectionId, now: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.phase = Phase::Idle;
        connection.progress = Progress::new(now);
        connection.blocked_write = None;
        let head_charge = std::mem::take(&mut connection.head_charge);
        let has_long_head = std::mem::take(&mut connection.head_bytes) >= ENLARGING_READ_BYTES;
        let owner = Owner { address: connection.address, workspace: None };
        if head_charge > 0 {
            self.release(id, &owner, head_charge);
        }
        if has_long_head {
            self.charge_enlarged_buffer(id);
        }
    }

    /// Records that the connection only waits for its caller to close it.
    pub fn begin_close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = Phase::Closing;
        }
    }

    /// Records that the caller does not read what is written.
    pub fn block_write(&mut self, id: ConnectionId, now: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.blocked_write.get_or_insert(Progress::new(now));
        }
    }

    /// Records bytes that were written while the caller was slow to read.
    pub fn record_write(&mut self, id: ConnectionId, bytes: usize, now: u64) {
        let progress = self.connections.get_mut(&id).and_then(|connection| connection.blocked_write.as_mut());
        if let Some(progress) = progress {
            progress.record(bytes, &self.limits, now);
        }
    }

    /// Records that everything was written.
    pub fn unblock_write(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.blocked_write = None;
        }
    }

    /// Charges memory for a body. If there is no room, the body waits and others that make no progress are evicted.
    pub fn charge(
        &mut self,
        id: ConnectionId,
        owner: &Owner,
        bytes: usize,
        class: Class,
        now: u64,
    ) -> Verdict {
        if self.connections.get(&id).is_some_and(|connection| connection.evicted.is_some()) {
            self.cancel_wait(id);
            return Verdict::Evicted;
        }
        let owner_shortage = self.owner_shortage(owner, bytes, class);
        let shortage = self.shortage(bytes, class);
        if owner_shortage == 0 && shortage == 0 && (class == Class::Small || self.is_first(id, owner)) {
            if self.cancel_wait(id) {
                self.last_progress_ms = Some(now);
            }
            self.add(id, owner, bytes);
            if let Some(connection) = self.connections.get_mut(&id) {
                // Neither the time that it waited for memory counts as a stall, nor the bytes before this charge.
                connection.progress = Progress::new(now);
            }
            return Verdict::Granted;
        }
        if !self.waiting.iter().any(|waiting| waiting.id == id) {
            self.enqueue(id, owner, bytes);
        }
        if owner_shortage > 0 {
            self.evict_memory(Some(id), Some(owner), owner_shortage, class, now);
        } else if shortage > 0 {
            self.evict_memory(Some(id), None, shortage, class, now);
        }
        Verdict::Wait
    }

    /// Charges memory for a response if there is room.
    pub fn try_charge(&mut self, id: ConnectionId, owner: &Owner, bytes: usize, now: u64) -> bool {
        let owner_shortage = self.owner_shortage(owner, bytes, Class::Large);
        if owner_shortage > 0 {
            self.evict_memory(Some(id), Some(owner), owner_shortage, Class::Large, now);
            return false;
        }
        let shortage = self.shortage(bytes, Class::Large);
        if shortage > 0 {
            self.evict_memory(Some(id), None, shortage, Class::Large, now);
            return false;
        }
        self.add(id, owner, bytes);
        true
    }

    /// Charges memory that is held in any case.
    pub fn force(&mut self, id: ConnectionId, owner: &Owner, bytes: usize) {
        self.add(id, owner, bytes);
    }

    /// Releases memory.
    pub fn release(&mut self, id: ConnectionId, owner: &Owner, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
        subtract(&mut self.by_address, &owner.address, bytes);
        if let Some(workspace) = &owner.workspace {
            subtract(&mut self.by_workspace, workspace, bytes);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held = connection.held.saturating_sub(bytes);
        }
    }

    /// Handles a body that has waited for [`BudgetLimits::room_wait_ms`]. If none of the waiting bodies goes on, the last
    /// of them is rejected, so that those before it can.
    pub fn expire_wait(&mut self, id: ConnectionId, now: u64) {
        let recently = self.last_progress_ms.is_some_and(|at| now.saturating_sub(at) < REJECTION_INTERVAL_MS);
        if recently || !self.waiting.iter().any(|waiting| waiting.id == id) {
            return;
        }
        let evicted = |id: &ConnectionId| self.connections.get(id).is_some_and(|c| c.evicted.is_some());
        let Some(last) = self.waiting.iter().map(|waiting| waiting.id).rfind(|id| !evicted(id)) else {
            return;
        };
        self.last_progress_ms = Some(now);
        self.counts.rejected_waits += 1;
        self.evict(last, Eviction::Reject);
    }

    /// Ends the wait of a body. Returns whether it waited.
    pub fn cancel_wait(&mut self, id: ConnectionId) -> bool {
        let Some(at) = self.waiting.iter().position(|waiting| waiting.id == id) else { return false };
        self.waiting.remove(at);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.waits = false;
        }
        true
    }

    /// Lets a body wait, before all that first had to wait later.
    fn enqueue(&mut self, id: ConnectionId, owner: &Owner, bytes: usize) {
        let next_order = self.next_order;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.waits = true;
        let order = *connection.wait_order.get_or_insert(next_order);
        if order == next_order {
            self.next_order += 1;
            self.counts.waits += 1;
        }
        let at = self.waiting.partition_point(|waiting| waiting.order < order);
        self.waiting.insert(at, Waiting { id, owner: owner.clone(), bytes, order });
    }

    /// Returns whether no body that could use the same memory has waited longer.
    fn is_first(&self, id: ConnectionId, owner: &Owner) -> bool {
        let mut before = self.waiting.iter().take_while(|waiting| waiting.id != id);
        !before.any(|waiting| {
            let same_workspace = owner.workspace.is_some() && waiting.owner.workspace == owner.workspace;
            waiting.owner.address == owner.address
                || same_workspace
                || self.owner_shortage(&waiting.owner, waiting.bytes, Class::Large) == 0
        })
    }

    /// Returns how much memory is missing for a charge.
    fn shortage(&self, bytes: usize, class: Class) -> usize {
        let available = match class {
            Class::Small => self.limits.total_bytes,
            Class::Large => self.limits.total_bytes.saturating_sub(self.limits.reserved_bytes),
        };
        self.used.saturating_add(bytes).saturating_sub(available)
    }

    /// Returns by how much a charge would exceed the share of its address or workspace.
    fn owner_shortage(&self, owner: &Owner, bytes: usize, class: Class) -> usize {
        if class == Class::Small {
            return 0;
        }
        let by_address = self.by_address.get(&owner.address).copied().unwrap_or_default();
        let by_workspace = owner.workspace.as_ref().and_then(|w| self.by_workspace.get(w).copied());
        let held = by_address.max(by_workspace.unwrap_or_default());
        // A single body of legal size needs its segments and a connection.
        let single_body =
            self.max_body_bytes.saturating_add(self.max_body_bytes / 64).saturating_add(1 << 20);
        held.saturating_add(bytes).saturating_sub(self.limits.owner_bytes.max(single_body))
    }

    fn add(&mut self, id: ConnectionId, owner: &Owner, bytes: usize) {
        self.used += bytes;
        *self.by_address.entry(owner.address).or_default() += bytes;
        if let Some(workspace) = &owner.workspace {
            *self.by_workspace.entry(workspace.clone()).or_default() += bytes;
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held += bytes;
        }
    }
}

fn subtract<K>(map: &mut HashMap<K, usize>, key: &K, bytes: usize)
where
    K: Eq + std::hash::Hash,
{
    if let Some(held) = map.get_mut(key) {
        *held = held.saturating_sub(bytes);
        if *held == 0 {
            map.remove(key);
        }
    }
}
