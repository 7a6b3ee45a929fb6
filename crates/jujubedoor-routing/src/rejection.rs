//! Turning requests away: why, and when the caller should come back.
//!
//! Answers the load of a burst or of a lost failure domain: callers that are told the same moment would
//! come back together, so each is told another one around the time at which room is expected.

use jujubedoor::ids::Time;
use rand::Rng;

use crate::call::Call;

/// The shortest time after which a caller is asked to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 150;

/// The share of the remaining time that a caller waits at most before it comes back.
const REMAINING_TIME_DIVISOR: u64 = 3;

/// The time in which a VM that has just started knows the routes, in milliseconds.
const STARTUP_WAIT_MS: u64 = 400;

/// The time in which a registry that is away may be back, in milliseconds.
const REGISTRY_WAIT_MS: u64 = 4_000;

/// The time in which the balancer may find that this VM is not ready and others are, in milliseconds.
const BALANCER_WAIT_MS: u64 = 800;

/// Why a request is turned away without having run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// This VM knows no routes yet.
    NotReady,
    /// No upstream of the service is registered.
    NoUpstream,
    /// All upstreams are full, cold or out of reach.
    NoCapacity,
    /// The upstreams that it was sent to did not run it.
    NotExecuted,
    /// The request crashed the upstreams that ran it.
    SuspectedCrash,
    /// The time of the request is over.
    DeadlineExceeded,
}

impl RejectReason {
    /// Returns a word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoUpstream => "no_upstream",
            Self::NoCapacity => "no_room",
            Self::NotExecuted => "declined",
            Self::SuspectedCrash => "crashing",
            Self::DeadlineExceeded => "late",
        }
    }
}

/// When a VM that knows no routes yet may know some.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotReadyCause {
    /// Soon: it has just started.
    Starting,
    /// When the registry is back; the other VMs wait for it too, so that the caller had best stay away for as long
    /// as it can.
    RegistryUnreachable,
    /// Not soon: it reaches neither the registry nor VMs of other failure domains, which may well serve the caller.
    Isolated,
}

/// A request that is turned away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// When the caller should come back, in milliseconds from now.
    pub retry_after_ms: u64,
}

impl Rejection {
    /// Turns a request away until room is expected, spread over half as long again.
    pub fn new<R>(reason: RejectReason, call: &Call, now: Time, capacity_wait_ms: u64, rng: &mut R) -> Self
    where
        R: Rng,
    {
        Self::spread(reason, call.deadline.since(now), capacity_wait_ms, rng)
    }

    /// Turns a request away from a VM that knows no routes yet.
    ///
    pub fn not_ready<R>(remaining_ms: u64, cause: NotReadyCause, rng: &mut R) -> Self
    where
        R: Rng,
    {
        let capacity_wait_ms = match cause {
            NotReadyCause::Starting => STARTUP_WAIT_MS,
            NotReadyCause::RegistryUnreachable => REGISTRY_WAIT_MS,
            NotReadyCause::Isolated => BALANCER_WAIT_MS,
        };
        Self::spread(RejectReason::NotReady, remaining_ms, capacity_wait_ms, rng)
    }

    fn spread<R>(reason: RejectReason, remaining_ms: u64, capacity_wait_ms: u64, rng: &mut R) -> Self
    where
        R: Rng,
    {
        let earliest_ms = capacity_wait_ms.max(MIN_RETRY_AFTER_MS);
        let spread = rng.random_range(0..=earliest_ms / 2);
        let max_wait_ms = remaining_ms / REMAINING_TIME_DIVISOR;
        Self { reason, retry_after_ms: (earliest_ms + spread).min(max_wait_ms) }
    }
}
