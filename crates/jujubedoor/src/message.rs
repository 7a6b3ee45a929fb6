//! The messages between VMs.

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
    /// Asks for a sign of life and compares what both know.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// Asks for the documents of some teams, and for the VM list.
    Fetch(Vec<Name>),
    /// Passes documents on.
    Documents(Vec<PublishedDocument>),
    /// Passes the VM list on.
    Vms(VmList),
    /// Announces that the sender is leaving.
    Leaving,
    /// Asks an admission owner for a permit.
    Acquire(Acquire),
    /// Grants a permit.
    Granted(Granted),
    /// Denies a permit.
    Denied(Denied),
    /// Withdraws an acquire.
    Abandon(Abandon),
    /// Gives a permit back.
    Release(Release),
    /// Asks for the permits that the receiver holds or granted on some upstreams.
    Redeclare(Vec<UpstreamId>),
    /// Answers a redeclare for one upstream.
    Declared(Declared),
    /// Asks whether the receiver still holds some permits.
    CheckPermits(UpstreamId, Vec<PermitId>),
    /// Names permits that the sender does not hold.
    PermitsGone(UpstreamId, Vec<PermitId>),
    /// Tells the pool owner the loads of the sender's upstreams.
    PoolLoads(PoolLoads),
    /// Tells an admission owner the load of the whole pool.
    PoolMean(PoolMean),
    /// Tells a first choice's owner where a chat was placed.
    Placed(Placed),
    /// Reports requests that were running when an upstream crashed.
    CrashSuspects(Vec<Fingerprint>),
    /// Clears a request that ran to its end.
    SuspectCleared(Fingerprint),
    /// Passes a call to the executor of its ticket.
    Execute(Execute),
    /// Answers an execute.
    Executed(Executed),
    /// Passes a leaving executor's records to its successor.
    Handover(Handover),
}

impl Message {
    /// Tells whether a caller or an owner waits for the message.
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
            | Self::PoolMean(_)
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
            Self::PoolMean(_) => "pool_mean",
            Self::Placed(_) => "placed",
            Self::CrashSuspects(_) => "crashed",
            Self::SuspectCleared(_) => "cleared",
            Self::Execute(_) => "execute",
            Self::Executed(_) => "executed",
            Self::Handover(_) => "handover",
        }
    }
}

/// Asks for a sign of life and compares what both know.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// When the sender sent it, on the sender's clock.
    pub sent_at: Time,
    /// The revision of the sender's VM list.
    pub vm_list_revision: Revision,
    /// The digest of the revisions of the sender's documents.
    pub documents_digest: u64,
    /// VMs that the sender could not reach.
    pub suspects: Vec<Name>,
}

/// Answers a heartbeat.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatAck {
    /// When the heartbeat was sent, on the asker's clock.
    pub sent_at: Time,
    /// The revision of the answerer's VM list.
    pub vm_list_revision: Revision,
    /// The revisions of the answerer's documents, when the digests differ.
    pub document_revisions: Option<Vec<(Name, Revision)>>,
}

/// How long a call may wait at an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Wait {
    /// Not at all.
    #[default]
    NotAllowed,
    /// Up to some milliseconds, if the upstream is warm for the chat.
    IfCached(u64),
    /// Up to some milliseconds.
    Always(u64),
}

impl Wait {
    /// Returns the longest wait, in milliseconds.
    pub fn max_ms(self) -> u64 {
        match self {
            Self::NotAllowed => 0,
            Self::IfCached(ms) | Self::Always(ms) => ms,
        }
    }
}

/// Asks an admission owner for a permit.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Acquire {
    /// The request that the permit is for.
    pub request: RequestId,
    /// The number of the acquire within the request.
    pub attempt: u32,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The pool that the request calls.
    pub pool: PoolId,
    /// The workspace of the request.
    pub workspace: Name,
    /// What identifies calls that share a cache.
    pub key: AffinityKey,
    /// The hash of workspace and body.
    pub fingerprint: Fingerprint,
    /// With how many upstreams the request was lost so far.
    pub lost_attempts: u8,
    /// How long the call may wait.
    pub wait: Wait,
    /// How long ago the request arrived, in milliseconds.
    pub age_ms: u64,
    /// Whether a remembered placement elsewhere is to be ignored.
    pub ignore_placement: bool,
}

/// Grants a permit.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Granted {
    /// The request that the permit is for.
    pub request: RequestId,
    /// The acquire that is answered.
    pub attempt: u32,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The permit.
    pub permit: PermitId,
}

/// Denies a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Denied {
    /// The request that the permit was for.
    pub request: RequestId,
    /// The acquire that is answered.
    pub attempt: u32,
    /// Why.
    pub reason: DenyReason,
}

/// Why a permit is denied.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DenyReason {
    /// The upstream is at its bound.
    Busy(Busy),
    /// The chat was placed on another upstream.
    PlacedElsewhere(UpstreamId),
    /// The receiver is not the owner; its view names this VM.
    NotOwner(Option<Name>),
    /// The owner has not settled yet or has lost touch with the fleet.
    OwnerNotReady,
    /// The upstream takes no new work.
    UpstreamUnavailable,
    /// The request has crashed two upstreams.
    CrashSuspect,
}

/// How busy an upstream is, and where there may be room.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Busy {
    /// The load in percent of the limit.
    pub load_percent: u32,
    /// The least loaded upstream of the pool, as far as the owner knows.
    pub least_loaded_upstream: Option<UpstreamId>,
}

impl DenyReason {
    /// Returns the name of the reason.
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

/// Withdraws an acquire.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Abandon {
    /// The request.
    pub request: RequestId,
    /// The acquire.
    pub attempt: u32,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// How a call at an upstream ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Completed(Completed),
    /// No byte was handed to a connection.
    #[default]
    Unsent,
    /// The connection broke after bytes were handed to it.
    ConnectionLost,
    /// The upstream answered that it takes no work now.
    Busy,
    /// The caller went away.
    Cancelled,
}

/// What was seen of a completed call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completed {
    /// The time to the first byte of the answer, in milliseconds.
    pub first_byte_ms: u64,
    /// The start stamp of the upstream, if it sent one.
    pub start: Option<StartStamp>,
}

/// Gives a permit back.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Release {
    /// The permit.
    pub permit: PermitId,
    /// The upstream that it was for.
    pub upstream: UpstreamId,
    /// How the call ended.
    pub outcome: AttemptOutcome,
}

/// A permit as its holder or granter knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DeclaredPermit {
    /// The permit.
    pub permit: PermitId,
    /// The VM that holds it.
    pub holder: VmRef,
    /// The request.
    pub request: RequestId,
    /// The acquire.
    pub attempt: u32,
    /// The pool that the request calls.
    pub pool: PoolId,
    /// The hash of workspace and body.
    pub fingerprint: Fingerprint,
    /// Whether the request is suspected of crashing upstreams.
    pub suspect: bool,
}

/// Answers a redeclare for one upstream.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Declared {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The permits that the sender holds or granted.
    pub permits: Vec<DeclaredPermit>,
}

/// Tells the pool owner the loads of the sender's upstreams.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolLoads {
    /// The pool.
    pub pool: PoolId,
    /// The region.
    pub region: Name,
    /// The load of each upstream.
    pub loads: Vec<(UpstreamId, u32)>,
}

/// Tells an admission owner the load of the whole pool in a region.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PoolMean {
    /// The pool.
    pub pool: PoolId,
    /// The region.
    pub region: Name,
    /// The calls in flight on all upstreams.
    pub total: u32,
    /// The least loaded upstream.
    pub least_loaded_upstream: Option<UpstreamId>,
}

/// Tells a first choice's owner where a chat was placed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Placed {
    /// The first choice.
    pub first_choice: UpstreamId,
    /// The chat.
    pub key: AffinityKey,
    /// Where the chat is now.
    pub placed_on: UpstreamId,
}

/// Passes a call to the executor of its ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Execute {
    /// The request at the sender.
    pub request: RequestId,
    /// The ticket as the caller sent it.
    pub ticket: Arc<str>,
    /// The call.
    pub call: Arc<ServiceCall>,
}

/// Answers an execute.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Executed {
    /// The request at the asker.
    pub request: RequestId,
    /// The answer of the upstream, or why there is none.
    pub result: Result<Arc<Answer>, RequestError>,
}

/// Passes a leaving executor's records to its successor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Handover {
    /// The executor that leaves.
    pub executor: VmRef,
    /// The number of this part, from zero.
    pub part: u32,
    /// How many parts there are; only all of them tell which tickets were never used.
    pub parts: u32,
    /// The sequence number of each ticket with the hash of its call and its result.
    pub records: Vec<(u64, u64, Result<Arc<Answer>, RequestError>)>,
}
