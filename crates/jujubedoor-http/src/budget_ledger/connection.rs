//! What the ledger knows of one connection.

use std::net::IpAddr;
use std::sync::Arc;

use super::limits::BudgetLimits;
use super::limits::Eviction;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Idle,
    Head,
    Body,
    Serving,
    Closing,
}

/// The bytes that were transferred since a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub(super) since_ms: u64,
    pub(super) bytes: usize,
}

impl Progress {
    pub(super) fn new(now: u64) -> Self {
        Self { since_ms: now, bytes: 0 }
    }

    /// Records transferred bytes. Once they suffice for the minimum rate, the measurement begins anew.
    pub(super) fn record(&mut self, bytes: usize, limits: &BudgetLimits, now: u64) {
        self.bytes = self.bytes.saturating_add(bytes);
        let stall_ms = usize::try_from(limits.stall_ms).unwrap_or(usize::MAX);
        if self.bytes >= limits.min_bytes_per_s.saturating_mul(stall_ms) / 1_000 {
            *self = Self::new(now);
        }
    }

    pub(super) fn is_stalled(self, stall_ms: u64, now: u64) -> bool {
        now.saturating_sub(self.since_ms) >= stall_ms
    }
}

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) server: u32,
    pub(super) address: IpAddr,
    pub(super) phase: Phase,
    pub(super) progress: Progress,
    /// Set while the caller does not read what is written.
    pub(super) blocked_write: Option<Progress>,
    /// All memory that is held for the connection.
    pub(super) held: usize,
    pub(super) head_bytes: usize,
    pub(super) head_charge: usize,
    /// Charge for an enlarged read buffer.
    pub(super) buffer_charge: usize,
    pub(super) workspace: Option<Arc<str>>,
    /// Whether its body waits for memory, so that it cannot make progress.
    pub(super) waits: bool,
    /// Position of its body among those that have waited for memory.
    pub(super) wait_order: Option<u64>,
    pub(super) evicted: Option<Eviction>,
}

impl Connection {
    /// Returns whether an eviction has not had its effect yet.
    pub(super) fn is_ending(&self) -> bool {
        self.evicted.is_some_and(|eviction| eviction == Eviction::Close || self.phase != Phase::Closing)
    }
}
