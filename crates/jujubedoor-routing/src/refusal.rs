//! Turning requests away: why, and when the caller should come back.
//!
//! Answers the load of a burst or of a lost failure domain: callers that are told the same moment would
//! come back together, so each is told another one around the time at which room is expected.

use jujubedoor::ids::Time;
use rand::Rng;

use crate::call::Call;

/// The shortest time after which a caller is asked to come back, in milliseconds.
const SOONEST_MS: u64 = 150;

/// The share of the remaining time that a caller waits at most before it comes back.
const PATIENCE_DIVISOR: u64 = 3;

/// The time in which a VM that has just started knows the routes, in milliseconds.
const START_MS: u64 = 400;

/// The time in which a registry that is away may be back, in milliseconds.
const REGISTRY_MS: u64 = 4_000;

/// The time in which the balancer may find that this VM is not ready and others are, in milliseconds.
const BALANCER_MS: u64 = 800;

/// Why a request is turned away without having run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Why {
    /// This VM knows no routes yet.
    NotReady,
    /// No upstream of the service is registered.
    NoUpstream,
    /// All upstreams are full, cold or out of reach.
    NoRoom,
    /// The upstreams that it was sent to did not run it.
    Declined,
    /// The request crashed the upstreams that ran it.
    Crashing,
    /// The time of the request is over.
    Late,
}

impl Why {
    /// Returns a word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoUpstream => "no_upstream",
            Self::NoRoom => "no_room",
            Self::Declined => "declined",
            Self::Crashing => "crashing",
            Self::Late => "late",
        }
    }
}

/// When a VM that knows no routes yet may know some.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outlook {
    /// Soon: it has just started.
    Starting,
    /// When the registry is back; the other VMs wait for it too, so that the caller had best stay away for as long
    /// as it can.
    Waiting,
    /// Not soon: it reaches neither the registry nor VMs of other failure domains, which may well serve the caller.
    CutOff,
}

/// A request that is turned away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub why: Why,
    /// When the caller should come back, in milliseconds from now.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Turns a request away until room is expected, spread over half as long again.
    pub fn new<R>(why: Why, call: &Call, now: Time, room_ms: u64, rng: &mut R) -> Self
    where
        R: Rng,
    {
        Self::spread(why, call.deadline.since(now), room_ms, rng)
    }

    /// Turns a request away from a VM that knows no routes yet.
    ///
    pub fn not_ready<R>(left_ms: u64, outlook: Outlook, rng: &mut R) -> Self
    where
        R: Rng,
    {
        let room_ms = match outlook {
            Outlook::Starting => START_MS,
            Outlook::Waiting => REGISTRY_MS,
            Outlook::CutOff => BALANCER_MS,
        };
        Self::spread(Why::NotReady, left_ms, room_ms, rng)
    }

    fn spread<R>(why: Why, left_ms: u64, room_ms: u64, rng: &mut R) -> Self
    where
        R: Rng,
    {
        let soonest = room_ms.max(SOONEST_MS);
        let spread = rng.random_range(0..=soonest / 2);
        let patience = left_ms / PATIENCE_DIVISOR;
        Self { why, retry_after_ms: (soonest + spread).min(patience) }
    }
}
