//! The terms of the ledger: limits, owners, and the answers to requests.

use std::net::IpAddr;
use std::sync::Arc;

/// Identifier of a connection. It is never used again.
pub type ConnectionId = u64;

/// The limits of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Memory for everything that is held for callers, in bytes.
    pub total_bytes: usize,
    /// Part of it that is kept for connections, heads and the first part of each body.
    pub reserved_bytes: usize,
    /// Memory that bodies and responses of one address or one workspace may take.
    pub owner_bytes: usize,
    /// Rate below which a connection makes no progress, in bytes per second.
    pub min_bytes_per_s: usize,
    /// Time without progress after which a connection may be evicted, in milliseconds.
    pub stall_ms: u64,
    /// Time that a body waits for memory before the latest of the waiting bodies is rejected, in milliseconds.
    pub room_wait_ms: u64,
}

impl BudgetLimits {
    /// Returns the limits of a process that may use the given memory.
    ///
    /// The other half is for the state of the process, for buffers that the ledger does not see, and for memory that
    /// the allocator has not returned.
    pub fn for_memory(memory_bytes: usize) -> Self {
        let total_bytes = memory_bytes / 2;
        let reserved_bytes = total_bytes / 8;
        let owner_bytes = (total_bytes - reserved_bytes) / 4 * 3;
        Self { total_bytes, reserved_bytes, owner_bytes, ..Self::default() }
    }
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            total_bytes: usize::MAX,
            reserved_bytes: 0,
            owner_bytes: usize::MAX,
            min_bytes_per_s: 16 << 10,
            stall_ms: 1_000,
            room_wait_ms: 1_000,
        }
    }
}

/// For whom memory is held.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Owner {
    /// Address of the caller.
    pub address: IpAddr,
    /// Workspace of the caller, if it is known.
    pub workspace: Option<Arc<str>>,
}

/// Which part of the memory a charge may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Connections, heads and the first part of each body, which may take the reserved part as well.
    Small,
    /// The rest of a body or a response.
    Large,
}

/// The answer to a request for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The memory is charged.
    Granted,
    /// There is no room yet, or others have waited longer.
    Wait,
    /// The connection was evicted in favor of others.
    Evicted,
}

/// The answer to a request for a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The connection is open.
    Opened(ConnectionId),
    /// Another connection has to close first.
    NoConnection,
    /// Memory has to be released first.
    NoMemory,
}

/// How a connection ends that is evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eviction {
    /// The request whose body is being received is rejected.
    Reject,
    /// The connection is closed.
    Close,
}

/// What has happened so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Bodies that waited for memory.
    pub waits: u64,
    /// Bodies that were evicted since they made no progress.
    pub stalled_bodies: u64,
    /// Waiting bodies that were rejected so that others could go on.
    pub rejected_waits: u64,
    /// Idle connections that were closed.
    pub idle_connections: u64,
    /// Connections with an unfinished head that were closed.
    pub unfinished_heads: u64,
    /// Connections that were closed since their caller did not read the response.
    pub unread_responses: u64,
    /// Charges for a head that were refused.
    pub refused_heads: u64,
}
