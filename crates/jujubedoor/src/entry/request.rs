//! One request on its way.

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

/// One request on its way.
#[derive(Clone, Debug, Default)]
pub struct ActiveRequest {
    /// The request.
    pub request: RequestId,
    /// The model or service.
    pub pool: PoolId,
    /// The workspace.
    pub workspace: Name,
    /// What identifies calls that share a cache.
    pub key: AffinityKey,
    /// The hash of workspace and body.
    pub fingerprint: Fingerprint,
    /// The call to run, when it is run for a ticket.
    pub run: Option<Arc<ServiceCall>>,
    /// Whether it may be sent again after it was handed to an upstream.
    pub repeat: RetryPolicy,
    /// When the request arrived.
    pub arrived_at: Time,
    /// When the call's time runs out.
    pub deadline: Time,
    /// Until when the request may look for an upstream.
    pub patience: Time,
    /// The first choice of the order.
    pub first: Option<UpstreamId>,
    /// The upstreams to ask next.
    pub next: VecDeque<Candidate>,
    /// The upstream with the most room of those that had none, with its load in percent.
    pub best: Option<(u32, UpstreamId)>,
    /// The least loaded upstream that an owner named.
    pub least: Option<UpstreamId>,
    /// When it last asked to wait at a full upstream.
    pub queued_at: Time,
    /// The number of the last acquire or attempt.
    pub attempt: u32,
    /// With how many upstreams it was lost.
    pub losses: u8,
    /// Whether a byte was ever handed to an upstream.
    pub handed: bool,
    /// Where it is.
    pub stage: Stage,
}

impl ActiveRequest {
    /// Creates the attempt that the shell makes at an upstream.
    pub fn dial(&self, upstream: &UpstreamId, address: SocketAddr, resume: bool) -> Dispatch {
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

/// Whether a request may be sent again after it was handed to an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPolicy {
    /// Never.
    #[default]
    Never,
    /// As long as nothing was delivered to the caller.
    Undelivered,
    /// As long as nothing was delivered; a delivered part may be continued once.
    Resumable,
}

/// An upstream to ask for a permit.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How long the call may wait there.
    pub wait: Wait,
    /// Whether a remembered placement elsewhere is to be ignored.
    pub here: bool,
}

/// Where a request is.
#[derive(Clone, Debug, Default)]
pub enum Stage {
    /// It has not asked for an upstream yet.
    #[default]
    New,
    /// It waits before it looks for an upstream again.
    Pausing {
        /// When it goes on.
        until: Time,
    },
    /// It asked an owner for a permit.
    Acquiring {
        /// The upstream.
        upstream: UpstreamId,
        /// The owner that was asked.
        owner: Name,
        /// When the owner counts as silent.
        until: Time,
    },
    /// It was sent to an upstream.
    Sending {
        /// The upstream.
        upstream: UpstreamId,
        /// The permit, unless the policy needs none.
        permit: Option<PermitId>,
    },
}
