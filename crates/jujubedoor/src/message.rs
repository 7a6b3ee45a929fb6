//! The messages that VMs exchange.
//!
//! Messages are encoded with postcard and exchanged between builds of different versions. The order of
//! variants, and the order and types of fields, are therefore part of the format.

use std::sync::Arc;

use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Answer;
use crate::call::ServiceCall;
use crate::documents::PublishedDocument;
use crate::fleet::VmList;
use crate::ids::AffinityKey;
use crate::ids::Fingerprint;
use crate::ids::PermitId;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::Revision;
use crate::ids::StartStamp;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::outcome::RequestError;

/// A message from one VM to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Checks that the receiver is reachable and compares revisions.
    Heartbeat(Heartbeat),
    /// Acknowledges a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// Requests the documents of some teams, and the VM list.
    Fetch(Vec<Name>),
    /// Sends documents.
    Documents(Vec<PublishedDocument>),
    /// Sends the VM list.
    Vms(VmList),
    /// Announces that the sender is leaving.
    Leaving,
    /// Requests a permit from an admission owner.
    Acquire(Acquire),
    /// Grants a permit.
    Granted(Granted),
    /// Denies a permit.
    Denied(Denied),
    /// Withdraws a permit request; a permit that was already granted for it is revoked.
    Abandon(Abandon),
    /// Returns a permit after its call has ended.
    Release(Release),
    /// Sent by the new owner of some upstreams: asks the receiver to declare the permits that it holds or
    /// granted for them.
    Redeclare(Vec<UpstreamId>),
    /// Responds to [`Self::Redeclare`] for one upstream.
    Declared(Declared),
    /// Asks the receiver whether it still holds some permits.
    CheckPermits(UpstreamId, Vec<PermitId>),
    /// Responds to [`Self::CheckPermits`] with the permits that the sender does not hold.
    PermitsGone(UpstreamId, Vec<PermitId>),
    /// Reports the loads of the upstreams that the sender owns to the pool owner.
    PoolLoads(PoolLoads),
    /// Sends the total load of a pool to an admission owner.
    PoolTotal(PoolTotal),
    /// Informs the owner of a chat's first-choice upstream that the chat was placed on another one.
    Placed(Placed),
    /// Reports the requests that were running when an upstream crashed.
    CrashSuspects(Vec<Fingerprint>),
    /// Clears a suspected request, because it completed or an operator cleared it.
    SuspectCleared(Fingerprint),
    /// Forwards a call to the executor of its ticket.
    Execute(Execute),
    /// Responds to [`Self::Execute`] with the result of the call.
    Executed(Executed),
    /// Transfers a leaving executor's ticket records to its successor.
    Handover(Handover),
}

impl Message {
    /// Returns whether a caller or an owner is waiting for the message.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::HeartbeatAck(_)
            | Self::Release(_)
            | Self::CheckPermits(..)
            | Self::PermitsGone(..)
            | Self::Placed(_) => false,
            Self::Heartbeat(_)
            | Self::Fetch(_)
            | Self::Documents(_)
            | Self::Vms(_)
            | Self::Leaving
            | Self::Acquire(_)
            | Self::Granted(_)
            | Self::Denied(_)
            | Self::Abandon(_)
            | Self::Redeclare(_)
            | Self::Declared(_)
            | Self::PoolLoads(_)
            | Self::PoolTotal(_)
            | Self::CrashSuspects(_)
            | Self::SuspectCleared(_)
            | Self::Execute(_)
            | Self::Executed(_)
            | Self::Handover(_) => true,
        }
    }

    /// Returns the name of the message's kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::HeartbeatAck(_) => "heartbeat_ack",
            Self::Fetch(_) => "fetch",
            Self::Documents(_) => "documents",
            Self::Vms(_) => "vms",
            Self::Leaving => "leaving",
            Self::Acquire(_) => "acquire",
            Self::Granted(_) => "granted",
            Self::Denied(_) => "denied",
            Self::Abandon(_) => "abandon",
            Self::Release(_) => "release",
            Self::Redeclare(_) => "redeclare",
            Self::Declared(_) => "declared",
            Self::CheckPermits(..) => "check_permits",
            Self::PermitsGone(..) => "permits_gone",
            Self::PoolLoads(_) => "pool_loads",
            Self::PoolTotal(_) => "pool_mean",
            Self::Placed(_) => "placed",
            Self::CrashSuspects(_) => "crashed",
            Self::SuspectCleared(_) => "cleared",
            Self::Execute(_) => "execute",
            Self::Executed(_) => "executed",
            Self::Handover(_) => "handover",
        }
    }
}

/// Checks that the receiver is reachable and compares revisions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Time of sending, on the sender's clock.
    pub sent_at: Time,
    /// Revision of the sender's VM list.
    pub vm_list_revision: Revision,
    /// Digest of the revisions of the sender's active documents.
    pub documents_digest: u64,
    /// Listed VMs that the sender could not reach.
    pub suspects: Vec<Name>,
}

/// Acknowledges a heartbeat.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatAck {
    /// Time at which the heartbeat was sent, copied from it.
    pub sent_at: Time,
    /// Revision of the VM list on the VM that sends the acknowledgement.
    pub vm_list_revision: Revision,
    /// Revisions of the documents on that VM, if the digests differ.
    pub document_revisions: Option<Vec<(Name, Revision)>>,
}

/// Whether and how long a call may queue for an upstream that is at its load limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Wait {
    /// The call may not queue.
    #[default]
    NotAllowed,
    /// The call may queue for some milliseconds if the upstream ran a call of the same chat recently and so
    /// has the prompt cached.
    IfCached(u64),
    /// The call may queue for some milliseconds.
    Always(u64),
}

impl Wait {
    /// Returns the maximum time in the queue, in milliseconds.
    pub fn max_ms(self) -> u64 {
        match self {
            Self::NotAllowed => 0,
            Self::IfCached(ms) | Self::Always(ms) => ms,
        }
    }
}

/// Requests a permit from an admission owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Acquire {
    /// Request that needs the permit.
    pub request: RequestId,
    /// Sequence number of the permit request within the request.
    pub attempt: u32,
    /// Upstream that the call is to be sent to.
    pub upstream: UpstreamId,
    /// Pool that the request is for.
    pub pool: PoolId,
    /// Workspace of the request.
    pub workspace: Name,
    /// Affinity key, equal for calls that can share an upstream's cache.
    pub key: AffinityKey,
    /// Hash of workspace and body.
    pub fingerprint: Fingerprint,
    /// Number of upstreams to which the connection was lost while they ran the request.
    pub lost_attempts: u8,
    /// Whether and how long the call may queue.
    pub wait: Wait,
    /// Time since the request arrived, in milliseconds.
    pub age_ms: u64,
    /// Whether to ignore that the chat was placed on another upstream.
    pub ignore_placement: bool,
}

/// Grants a permit.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Granted {
    /// Request that the permit is for.
    pub request: RequestId,
    /// Sequence number of the permit request that is granted.
    pub attempt: u32,
    /// Upstream that the call may be sent to.
    pub upstream: UpstreamId,
    /// Identifier of the permit.
    pub permit: PermitId,
}

/// Denies a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Denied {
    /// Request that the permit was for.
    pub request: RequestId,
    /// Sequence number of the permit request that is denied.
    pub attempt: u32,
    /// Reason for the denial.
    pub reason: DenyReason,
}

/// Why a permit is denied.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DenyReason {
    /// The upstream is at its load limit.
    Busy(Busy),
    /// The chat was placed on another upstream.
    PlacedElsewhere(UpstreamId),
    /// The VM that denies the permit is not the owner. It names the owner according to its own view, if there
    /// is one.
    NotOwner(Option<Name>),
    /// The ownership takeover is not complete, or the owner's view of the fleet is no longer confirmed.
    OwnerNotReady,
    /// The upstream accepts no new calls or is unreachable.
    UpstreamUnavailable,
    /// Two crashes of upstreams are attributed to the request.
    CrashSuspect,
}

/// The load of an upstream that is at its limit, and an upstream that may have capacity.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Busy {
    /// Load in percent of the limit.
    pub load_percent: u32,
    /// Least loaded upstream of the pool, according to the last total received from the pool owner.
    pub least_loaded_upstream: Option<UpstreamId>,
}

impl DenyReason {
    /// Returns the name of the reason, for the timeline.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Busy(_) => "busy",
            Self::PlacedElsewhere(_) => "placed",
            Self::NotOwner(_) => "not_owner",
            Self::OwnerNotReady => "unsettled",
            Self::UpstreamUnavailable => "unusable",
            Self::CrashSuspect => "crashes",
        }
    }
}

/// Withdraws a permit request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Abandon {
    /// Request that no longer needs the permit.
    pub request: RequestId,
    /// Sequence number of the permit request.
    pub attempt: u32,
    /// Upstream that the permit was requested for.
    pub upstream: UpstreamId,
}

/// How an attempt to run a call on an upstream ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptOutcome {
    /// The complete response arrived.
    Completed(Completed),
    /// No byte of the request was written to a connection.
    #[default]
    Unsent,
    /// The connection was lost after bytes had been written to it, so the call may have run.
    ConnectionLost,
    /// The upstream responded that it accepts no calls at present.
    Busy,
    /// The caller disconnected.
    Cancelled,
}

/// Measurements of a completed call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completed {
    /// Time to the first byte of the response, in milliseconds.
    pub first_byte_ms: u64,
    /// Start stamp of the upstream, if it sent one.
    pub start: Option<StartStamp>,
}

/// Returns a permit after its call has ended.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Release {
    /// Identifier of the permit.
    pub permit: PermitId,
    /// Upstream that the permit was for.
    pub upstream: UpstreamId,
    /// How the call ended.
    pub outcome: AttemptOutcome,
}

/// A permit as recorded by its holder or by the VM that granted it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DeclaredPermit {
    /// Identifier of the permit.
    pub permit: PermitId,
    /// VM that holds the permit.
    pub holder: VmRef,
    /// Request that the permit is for.
    pub request: RequestId,
    /// Sequence number of the permit request.
    pub attempt: u32,
    /// Pool that the request is for.
    pub pool: PoolId,
    /// Hash of workspace and body.
    pub fingerprint: Fingerprint,
    /// Whether the request is suspected of crashing upstreams.
    pub suspect: bool,
}

/// Responds to [`Message::Redeclare`] for one upstream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Declared {
    /// Upstream that changes its owner.
    pub upstream: UpstreamId,
    /// Permits for the upstream that the sender holds or granted.
    pub permits: Vec<DeclaredPermit>,
}

/// Reports the loads of the upstreams that the sender owns to the pool owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolLoads {
    /// Pool that the upstreams serve.
    pub pool: PoolId,
    /// Region of the upstreams.
    pub region: Name,
    /// Number of calls in flight on each upstream.
    pub loads: Vec<(UpstreamId, u32)>,
}

/// Sends the total load of a pool in a region to an admission owner, which derives the mean load from it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolTotal {
    /// Pool that the load is for.
    pub pool: PoolId,
    /// Region that the load is for.
    pub region: Name,
    /// Number of calls in flight on all upstreams of the pool in the region.
    pub total: u32,
    /// Upstream with the lowest load relative to its slots.
    pub least_loaded_upstream: Option<UpstreamId>,
}

/// Informs the owner of a chat's first-choice upstream that the chat was placed on another one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Placed {
    /// First-choice upstream of the chat.
    pub first_choice: UpstreamId,
    /// Affinity key of the chat.
    pub key: AffinityKey,
    /// Upstream that the chat was placed on.
    pub placed_on: UpstreamId,
}

/// Forwards a call to the executor of its ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Execute {
    /// Identifier of the request on the sender.
    pub request: RequestId,
    /// Encoded ticket, as sent by the caller.
    pub ticket: Arc<str>,
    /// Call to run.
    pub call: Arc<ServiceCall>,
}

/// Responds to [`Message::Execute`] with the result of the call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Executed {
    /// Identifier of the request on the VM that forwarded the call.
    pub request: RequestId,
    /// Response of the upstream, or why there is none.
    pub result: Result<Arc<Answer>, RequestError>,
}

/// Transfers a leaving executor's ticket records to its successor, possibly in several parts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Handover {
    /// Executor that leaves.
    pub executor: VmRef,
    /// Index of this part, counted from zero.
    pub part: u32,
    /// Number of parts. Only with all of them does the successor know which tickets were never used.
    pub parts: u32,
    /// Sequence number of each used ticket, hash of its call, and result of the call.
    pub records: Vec<(u64, u64, Result<Arc<Answer>, RequestError>)>,
}
