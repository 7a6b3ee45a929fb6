//! The state of one active request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubedoor_config::Name;

use crate::call::ServiceCall;
use crate::event::Dispatch;
use crate::ids::AffinityKey;
use crate::ids::Fingerprint;
use crate::ids::PermitId;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::message::Wait;

/// A request that is not finished yet.
#[derive(Clone, Debug, Default)]
pub struct ActiveRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Pool that the request is for.
    pub pool: PoolId,
    /// Workspace of the request.
    pub workspace: Name,
    /// Affinity key, equal for calls that can share an upstream's cache.
    pub key: AffinityKey,
    /// Hash of workspace and body.
    pub fingerprint: Fingerprint,
    /// The call of the ticket that this request runs, if any.
    pub ticket_call: Option<Arc<ServiceCall>>,
    /// Whether the request may be retried after it reached an upstream.
    pub retry_policy: RetryPolicy,
    /// Time of arrival of the request.
    pub arrived_at: Time,
    /// Time at which the call times out.
    pub deadline: Time,
    /// Time until which the request may search for an upstream.
    pub search_deadline: Time,
    /// The most preferred upstream.
    pub first_choice: Option<UpstreamId>,
    /// The upstreams to request a permit for, in order.
    pub candidates: VecDeque<Candidate>,
    /// The least loaded upstream of those that had no capacity, with its load as a percentage.
    pub least_loaded_probed: Option<(u32, UpstreamId)>,
    /// The least loaded upstream of the pool as reported by an owner.
    pub least_loaded_reported: Option<UpstreamId>,
    /// Time at which the request last asked to be queued at an upstream without capacity.
    pub queued_at: Time,
    /// Sequence number, within this request, of the last permit request or attempt.
    pub attempt: u32,
    /// Number of attempts whose connection was lost.
    pub lost_attempts: u8,
    /// Whether any byte of the request may have reached an upstream.
    pub reached_upstream: bool,
    /// Stage that the request is in.
    pub stage: Stage,
}

impl ActiveRequest {
    /// Creates the attempt that the I/O layer makes at an upstream.
    pub fn dispatch(&self, upstream: &UpstreamId, address: SocketAddr, resume: bool) -> Dispatch {
        Dispatch {
            request: self.request,
            attempt: self.attempt,
            upstream: upstream.clone(),
            address,
            deadline: self.deadline,
            resume,
        }
    }
}

/// Whether a request may be retried after it reached an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Never.
    #[default]
    Never,
    /// As long as no part of a response has been delivered to the caller.
    BeforeDelivery,
    /// As long as no part of a response has been delivered; a partially delivered response may be resumed
    /// once.
    Resumable,
}

/// An upstream to request a permit for.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How long the call may be queued at the upstream.
    pub wait: Wait,
    /// Whether the owner should ignore that the chat was placed on another upstream.
    pub ignore_placement: bool,
}

/// The stage that a request is in.
#[derive(Clone, Debug, Default)]
pub enum Stage {
    /// The request has not requested a permit yet.
    #[default]
    New,
    /// The request waits before it searches for an upstream again.
    Pausing {
        /// Time at which the search continues.
        until: Time,
    },
    /// The request waits for the response to a request for a permit.
    Acquiring {
        /// The upstream.
        upstream: UpstreamId,
        /// The owner that was asked for the permit.
        owner: Name,
        /// Time at which the owner counts as unresponsive.
        until: Time,
    },
    /// The request was sent to an upstream.
    Sending {
        /// The upstream.
        upstream: UpstreamId,
        /// The permit, unless the admission policy requires none.
        permit: Option<PermitId>,
    },
}
