//! The inputs and outputs of the reducer: events that happened to a VM, and effects that the I/O layer
//! carries out.

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
use crate::ids::StoreRevision;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::AttemptOutcome;
use crate::message::Message;
use crate::outcome::RequestError;

/// An event that happened to this VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The periodic timer fired.
    Tick,
    /// A caller's request arrived.
    Arrive(Arrival),
    /// A caller requested tickets for a service.
    IssueTickets(IssueTickets),
    /// An attempt to run a call on an upstream ended.
    AttemptEnded(AttemptEnded),
    /// The caller of a request disconnected.
    CallerGone(RequestId),
    /// A message from another VM arrived.
    Received(VmRef, Message),
    /// A VM could not be reached or did not respond.
    PeerUnreachable(Name),
    /// The platform responded to a request.
    PlatformResponded(PlatformResponse),
    /// A load report was fetched from an upstream.
    LoadReported(UpstreamId, LoadReport),
    /// Fetching a load report from an upstream failed.
    LoadReportFailed(UpstreamId, LoadReportFailure),
    /// An operator or a signal requested that this VM leaves the fleet.
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
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace given by the caller.
    pub workspace: Name,
    /// Name of the service given by the caller.
    pub pool: Name,
    /// Number of tickets requested.
    pub count: u32,
}

/// The end of an attempt to run a call on an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptEnded {
    /// Identifier of the request.
    pub request: RequestId,
    /// Sequence number of the attempt within the request.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the caller has received a part of the response.
    pub delivered: bool,
    /// Complete response, if the call ran for a ticket.
    pub answer: Option<Arc<Answer>>,
}

/// A response of the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformResponse {
    /// Time at which the request was sent to the platform.
    pub requested_at: Time,
    /// Revision up to which the store was read.
    pub at: StoreRevision,
    /// Whether all items were read, rather than the changes since the last response.
    pub is_complete: bool,
    /// Documents that changed, with their numbers as revisions.
    pub documents: Vec<PublishedDocument>,
    /// VM list, if it changed.
    pub vms: Option<VmList>,
}

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of calls that were running when the report was made.
    pub running: u32,
    /// Age of the report on arrival, in milliseconds.
    pub age_ms: u64,
    /// Number of calls completed since the upstream started.
    pub completed: u64,
    /// Start stamp of the upstream.
    pub start: StartStamp,
}

/// Why a load report could not be fetched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadReportFailure {
    /// The upstream refused the connection.
    ConnectionRefused,
    /// The upstream did not respond in time, or its response could not be parsed.
    NoResponse,
}

/// An action that the I/O layer carries out for the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to a VM.
    Send(Name, Message),
    /// Sends a caller's request to an upstream and streams the response back.
    Dispatch(Dispatch),
    /// Runs a ticket's call on an upstream and collects the complete response.
    Run(Dispatch, Arc<ServiceCall>),
    /// Finishes a request with a reply that is not streamed.
    Reply(RequestId, Reply),
    /// Fetches a load report from an upstream.
    Poll(UpstreamId, SocketAddr),
    /// Adds an entry to the timeline.
    Record(TimelineRecord),
    /// Increments a counter of the metrics.
    Count(CountedEvent),
}

/// An attempt to run a call on an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Identifier of the request.
    pub request: RequestId,
    /// Sequence number of the attempt within the request.
    pub attempt: u32,
    /// Upstream to connect to.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Deadline of the call, after which nothing is sent.
    pub deadline: Time,
    /// Whether to resume an interrupted stream.
    pub resume: bool,
}

/// A reply to a request that is not streamed.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Complete response to a ticket's call.
    Answer(Arc<Answer>),
    /// Error, sent if there is no response from an upstream.
    Error(RequestError),
    /// New tickets.
    Tickets(Vec<String>),
}

/// An entry of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineRecord {
    /// Request that the entry is about.
    pub request: Option<RequestId>,
    /// Upstream that the entry is about.
    pub upstream: Option<UpstreamId>,
    /// Event that happened.
    pub timeline_event: TimelineEvent,
}

/// An event in the timeline.
#[derive(Clone, Debug, PartialEq)]
pub enum TimelineEvent {
    /// A request arrived.
    RequestArrived,
    /// A permit was requested from an owner.
    PermitRequested(Name),
    /// The owner granted a permit.
    PermitGranted(PermitId),
    /// The owner denied a permit, for the reason given.
    PermitDenied(&'static str),
    /// An attempt was sent to the upstream.
    AttemptSent(u32),
    /// The attempt ended, in the way given.
    AttemptFinished(&'static str),
    /// The request failed, and an error was sent to the caller.
    RequestFailed(RequestError),
    /// A ticket's call was started.
    TicketCallStarted,
    /// This VM became the owner of the upstream.
    OwnershipTaken,
    /// This VM is no longer the owner of the upstream.
    OwnershipLost,
    /// A document was accepted.
    DocumentAccepted(Name, u64),
    /// A document was rejected.
    DocumentRejected(Name, u64),
    /// The upstream counts as cold again, because it restarted or became slow.
    UpstreamCold,
    /// This VM started to suspect another VM.
    VmSuspected(Name),
    /// This VM started to leave the fleet.
    Draining,
}

/// An event that the metrics count.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CountedEvent {
    /// A permit was granted.
    PermitGranted,
    /// A permit was denied because the upstream was at its load limit.
    DeniedBusy,
    /// A message was dropped because it was late, a duplicate, or for an unknown request.
    MessageDropped,
    /// A request was sent again after a failed attempt.
    RequestRetried,
    /// A permit was reclaimed because its holder no longer knew it.
    PermitReclaimed,
    /// An upstream crashed while it ran requests.
    UpstreamCrashed,
}
