//! What happens to a VM and what it does: the events and effects of the reducer.

use std::net::SocketAddr;
use std::sync::Arc;

use jujubedoor_config::Name;

use crate::call::Answer;
use crate::call::Arrival;
use crate::call::ServiceCall;
use crate::documents::PublishedDocument;
use crate::fleet::VmList;
use crate::ids::Fingerprint;
use crate::ids::PermitId;
use crate::ids::RequestId;
use crate::ids::StartStamp;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::AttemptOutcome;
use crate::message::Message;
use crate::outcome::RequestError;

/// Something that happened to this VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A caller's request arrived.
    Arrive(Arrival),
    /// A caller asked for tickets for a service.
    IssueTickets(IssueTickets),
    /// An attempt at an upstream ended.
    AttemptEnded(AttemptEnded),
    /// The caller of a request went away.
    CallerGone(RequestId),
    /// A message of another VM arrived.
    Received(VmRef, Message),
    /// A VM could not be reached or did not answer.
    PeerUnreachable(Name),
    /// The platform answered a call that was made at a time.
    PlatformResponded(PlatformResponse),
    /// An upstream published a load report.
    LoadReported(UpstreamId, LoadReport),
    /// An upstream did not answer the request for a load report.
    LoadReportFailed(UpstreamId, LoadReportFailure),
    /// An operator or a signal asked this VM to leave.
    Drain,
    /// This VM has finished its requests and is about to stop.
    HandOver,
    /// An operator cleared a suspected request.
    ClearSuspect(Fingerprint),
}

impl Event {
    /// Returns the name of the event's kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Arrive(_) => "arrive",
            Self::IssueTickets(_) => "issue_tickets",
            Self::AttemptEnded(_) => "attempt_ended",
            Self::CallerGone(_) => "caller_gone",
            Self::Received(_, message) => message.kind(),
            Self::PeerUnreachable(_) => "peer_unreachable",
            Self::PlatformResponded(_) => "platform_answered",
            Self::LoadReported(..) => "reported",
            Self::LoadReportFailed(..) => "report_failed",
            Self::Drain => "drain",
            Self::HandOver => "hand_over",
            Self::ClearSuspect(_) => "clear_suspect",
        }
    }
}

/// A caller's request for tickets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IssueTickets {
    /// The request.
    pub request: RequestId,
    /// The workspace that the caller names.
    pub workspace: Name,
    /// The service that the caller names.
    pub pool: Name,
    /// How many tickets.
    pub count: u32,
}

/// The end of an attempt at an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// The attempt within the request.
    pub attempt: u32,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the caller has received a part of the answer.
    pub delivered: bool,
    /// The whole answer, when the call was run for a ticket.
    pub answer: Option<Arc<Answer>>,
}

/// What the platform answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformResponse {
    /// When the call was made.
    pub requested_at: Time,
    /// The documents that changed.
    pub documents: Vec<PublishedDocument>,
    /// The VM list, if it changed.
    pub vms: Option<VmList>,
}

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The calls that were running when the report was made.
    pub running: u32,
    /// How long before its arrival the report was made, in milliseconds.
    pub age_ms: u64,
    /// The calls completed since the upstream started.
    pub completed: u64,
    /// The start stamp of the upstream.
    pub start: StartStamp,
}

/// Why there is no load report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadReportFailure {
    /// The upstream refused the connection.
    ConnectionRefused,
    /// The upstream did not answer in time or not as agreed.
    NoResponse,
}

/// Something that the shell does for the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to a VM.
    Send(Name, Message),
    /// Sends a caller's request to an upstream and streams the answer back.
    Dial(Dial),
    /// Runs a ticket's call at an upstream and collects the answer.
    Run(Dial, Arc<ServiceCall>),
    /// Ends a request without streaming.
    Reply(RequestId, Reply),
    /// Fetches a load report from an upstream.
    Poll(UpstreamId, SocketAddr),
    /// Records something for the time line.
    Record(TimelineRecord),
    /// Counts something for the metrics.
    Count(CountedEvent),
}

/// An attempt at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Dial {
    /// The request.
    pub request: RequestId,
    /// The attempt within the request.
    pub attempt: u32,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// When the call's time runs out; nothing is sent after it.
    pub deadline: Time,
    /// Whether a broken stream is to be resumed.
    pub resume: bool,
}

/// The end of a request without streaming.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The whole answer of a ticket's call.
    Answer(Arc<Answer>),
    /// No answer.
    Error(RequestError),
    /// Fresh tickets.
    Tickets(Vec<String>),
}

/// An entry of the time line.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineRecord {
    /// The request that it is about.
    pub request: Option<RequestId>,
    /// The upstream that it is about.
    pub upstream: Option<UpstreamId>,
    /// What happened.
    pub timeline_event: TimelineEvent,
}

/// What happened, for the time line.
#[derive(Clone, Debug, PartialEq)]
pub enum TimelineEvent {
    /// A request arrived.
    RequestArrived,
    /// The owner was asked for a permit.
    PermitRequested(Name),
    /// The owner granted a permit.
    PermitGranted(PermitId),
    /// The owner denied a permit.
    PermitDenied(&'static str),
    /// The request went to the upstream.
    AttemptSent(u32),
    /// The attempt ended.
    AttemptFinished(&'static str),
    /// The request was answered without an answer of an upstream.
    RequestFailed(RequestError),
    /// A ticket's call started to run.
    TicketCallStarted,
    /// This VM became the owner of the upstream.
    OwnershipTaken,
    /// This VM is no longer the owner of the upstream.
    OwnershipLost,
    /// A document was accepted.
    DocumentAccepted(Name, u64),
    /// A document was rejected.
    DocumentRejected(Name, u64),
    /// The upstream turned cold.
    UpstreamCold,
    /// A VM was suspected.
    VmSuspected(Name),
    /// This VM began to leave.
    Draining,
}

/// Something that the metrics count.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CountedEvent {
    /// A permit was granted.
    PermitGranted,
    /// A permit was denied for lack of room.
    DeniedBusy,
    /// A message came late, twice or for nobody and was dropped.
    MessageDropped,
    /// A request was sent again after a loss.
    RequestRetried,
    /// A permit was found lost and taken back.
    PermitReclaimed,
    /// An upstream crashed while it ran requests.
    UpstreamCrashed,
}
