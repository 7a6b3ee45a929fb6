//! Rejection of requests: the reason, and when the caller should retry.
//!
//! After a burst or the loss of a failure domain, many callers are rejected at once. If all were given
//! the same time they would return together, so the times are spread around the one at which capacity is
//! expected.

use jujubedoor::ids::Time;
use rand::Rng;

use crate::call::Call;

/// Minimum time after which a caller is asked to retry, in milliseconds, if the request's remaining time
/// allows it.
const MIN_RETRY_AFTER_MS: u64 = 150;

/// A caller is asked to retry at the latest after the request's remaining time divided by this number.
const REMAINING_TIME_DIVISOR: u64 = 3;

/// Expected time until a VM that has just started has routes, in milliseconds.
const STARTUP_WAIT_MS: u64 = 400;

/// Expected time until an unreachable registry may be back, in milliseconds.
const REGISTRY_WAIT_MS: u64 = 4_000;

/// Expected time until the load balancer notices that this VM is not ready and others are, in
/// milliseconds.
const BALANCER_WAIT_MS: u64 = 800;

/// Why a request is rejected without having run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// This VM has no routes yet.
    NotReady,
    /// No upstream of the service is registered.
    NoUpstream,
    /// All upstreams are at capacity, limited while cold, or unreachable.
    NoCapacity,
    /// The upstreams to which it was sent did not run it.
    NotRun,
    /// The request is suspected of having crashed upstreams that ran it.
    CrashSuspect,
    /// It resumes a stream, and nobody knows which software version began that.
    UnknownVersion,
    /// This VM stops and does not accept it any more.
    Stopping,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl RejectReason {
    /// Returns the reason's name in logs and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoUpstream => "no_upstream",
            Self::NoCapacity => "no_room",
            Self::NotRun => "declined",
            Self::CrashSuspect => "crashing",
            Self::UnknownVersion => "unknown_version",
            Self::Stopping => "stopping",
            Self::DeadlineExceeded => "late",
        }
    }
}

/// Why this VM has no routes yet, which determines when it may have some.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotReadyCause {
    /// It has just started and will have routes soon.
    Starting,
    /// It waits for the registry. The other VMs do too, so the caller should retry as late as it can.
    RegistryUnreachable,
    /// It reaches neither the registry nor VMs of other failure domains. It will not have routes soon,
    /// but the other VMs may well be able to serve the caller.
    Isolated,
}

/// The rejection of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// The reason.
    pub reason: RejectReason,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

impl Rejection {
    /// Rejects a request. The time to retry is drawn at random from the range between the time until
    /// capacity is expected and one and a half times that.
    pub fn new<R>(reason: RejectReason, call: &Call, now: Time, capacity_wait_ms: u64, rng: &mut R) -> Self
    where
        R: Rng,
    {
        Self::spread(reason, call.deadline.since(now), capacity_wait_ms, rng)
    }

    /// Rejects a request because this VM has no routes yet.
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
