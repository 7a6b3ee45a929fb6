//! Events and effects: the input and output of the reducer.

use std::net::SocketAddr;
use std::sync::Arc;

use jujubedoor::ids::StoreRevision;
use jujubedoor_config::Name;

use crate::cache_index::CacheRecord;
use crate::call::Call;
use crate::call::Part;
use crate::directory::Change;
use crate::directory::Delta;
use crate::directory::Directory;
use crate::domain_crossing::Outcome;
use crate::message::Heartbeat;
use crate::rejection::Rejection;
use crate::software::Software;
use crate::speed::Speed;
use crate::stream_origins::StreamOrigin;
use crate::upstream_notices::Notice;
use crate::upstream_watch::WatchReport;

/// Identifier of a request within one daemon process.
pub type RequestId = u64;

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A periodic timer fired.
    Tick,
    /// A request was received completely from a caller.
    RequestArrived(RequestId, Box<Call>),
    /// An upstream began to respond to a request.
    ResponseStarted(RequestId, ResponseSignals),
    /// A connection to an upstream opened after a number of microseconds.
    ConnectionOpened(Name, u64),
    /// A response of an upstream names the requests a second that it takes from all VMs together, or none.
    RateLimitNamed(Name, Option<f64>),
    /// A response of an upstream names the time that work takes there.
    SpeedNamed(Name, Speed),
    /// A response of an upstream contains a notice: it leaves, or requests a pause.
    NoticeReceived(Name, Notice),
    /// The caller of a request receives the head of a stream from its upstream.
    StreamBegan {
        /// The request.
        request: RequestId,
        /// Time for which the connection to the upstream has been open, in milliseconds.
        open_ms: u64,
    },
    /// The response of a plain request is passed on as it arrives, so that the request cannot be retried any more.
    DeliveryBegan(RequestId),
    /// A stream went on over a connection that had been open for long enough to show the run behind it.
    StreamContinued {
        /// The request.
        request: RequestId,
        /// Time for which the connection to the upstream had been open when something arrived last, in milliseconds.
        open_ms: u64,
        /// Time since something arrived last, in milliseconds.
        quiet_ms: u64,
    },
    /// A connection that [`Effect::WatchUpstream`] opened shows something.
    UpstreamWatched {
        /// Identifier of the upstream.
        upstream: Name,
        /// Start time of the upstream's process, as registered when the connection was opened.
        started: u64,
        /// What the connection shows.
        report: WatchReport,
    },
    /// An attempt to serve a request at an upstream ended.
    AttemptEnded(RequestId, AttemptOutcome),
    /// A request finished for its caller, who received the complete response or disconnected.
    RequestClosed(RequestId),
    /// The registry published changes, each with its revision, up to the given revision.
    ChangesPublished(StoreRevision, Vec<(StoreRevision, Change)>),
    /// The complete directory was read from the registry.
    DirectoryLoaded(Box<Directory>),
    /// Another VM responded to a request for changes of the directory.
    DeltaReceived(Box<Delta>),
    /// The registry did not respond.
    RegistryUnreachable,
    /// A probe connection to an upstream opened or failed.
    ProbeCompleted(Name, ProbeOutcome),
    /// A heartbeat of another VM was received.
    HeartbeatReceived(Box<Heartbeat>),
    /// Another VM sent its index of cached prompt parts.
    CacheIndexReceived(Vec<CacheRecord>),
    /// Another VM sent the streams that it knows.
    StreamOriginsReceived(Vec<StreamOrigin>),
    /// Another VM was asked for the record of a stream. Without a response, there is none.
    StreamOriginReceived(u64, Option<StreamOrigin>),
    /// A call to the registry that [`Effect::CheckRegistry`] began has ended. If it succeeded, its changes were
    /// passed on before.
    RegistryChecked {
        /// Whether the registry responded.
        succeeded: bool,
    },
    /// The registry's history was read.
    SoftwareHistoryRead {
        /// Length of the period until now that the history covers, in milliseconds.
        period_ms: u64,
        /// The versions of software that were in service in this period.
        versions: Vec<Software>,
    },
    /// An upstream listed the prompt parts in its cache.
    CacheListed(Name, Vec<Part>),
    /// This VM begins to shut down.
    Leaving {
        /// Time until its process exits, in milliseconds.
        exits_in_ms: u64,
    },
}

/// What the head of a response reveals about the state of the upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResponseSignals {
    /// The upstream's load when it sent the head.
    pub load: Option<UpstreamLoad>,
}

/// What an upstream reports about its load in a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of requests that the upstream can run at once, if it names that.
    pub slots: Option<u32>,
    /// The time that work takes there at the moment, if it names that.
    pub speed: Option<Speed>,
}

impl UpstreamLoad {
    /// Returns the number of running and queued requests.
    pub fn requests(self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}

/// Outcome of opening a probe connection to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The connection opened.
    Opened,
    /// It was refused, since no process listens at the upstream's address.
    Refused,
    /// It failed for another reason, such as a timeout.
    Unreachable,
}

/// Outcome of an attempt to serve a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The complete response was received.
    Complete,
    /// The upstream responded with an error status. The I/O layer keeps the response.
    Failed(u16),
    /// The upstream reported that it did not run the request.
    NotRun(u16),
    /// The address now belongs to another upstream, which did not run the request.
    WrongUpstream,
    /// The upstream did not run the request because it is not what the request asks for.
    NotSuitable,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The connection was refused, since no process listens at the upstream's address; nothing was sent.
    Refused,
    /// Nothing was sent for another reason: the connection closed before, or the request could not be
    /// built.
    Unsent,
    /// After the request was sent, the connection was lost or the response was unusable.
    ConnectionLost,
    /// No response arrived within the attempt's timeout.
    NoResponse,
}

impl AttemptOutcome {
    /// Returns the name of the outcome in the decision log, where the names of earlier versions are
    /// kept.
    pub fn log_text(self) -> String {
        match self {
            Self::Complete => "Whole".to_owned(),
            Self::Failed(status) => format!("Failed({status})"),
            Self::NotRun(status) => format!("NotRun({status})"),
            Self::WrongUpstream => "WrongUpstream".to_owned(),
            Self::NotSuitable => "NotSuitable".to_owned(),
            Self::Unreachable | Self::Refused => "Unreachable".to_owned(),
            Self::Unsent => "Unsent".to_owned(),
            Self::ConnectionLost => "Broken".to_owned(),
            Self::NoResponse => "Silent".to_owned(),
        }
    }
}

/// An output of the reducer, which the I/O layer carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a request to an upstream.
    Dispatch(RequestId, Dispatch),
    /// Finishes a request.
    Reply(RequestId, Reply),
    /// Opens a probe connection to an upstream.
    Probe(Name, SocketAddr),
    /// Sends a heartbeat to another VM.
    Heartbeat(SocketAddr, Arc<Heartbeat>),
    /// Fetches the changes of the directory after a revision from another VM.
    FetchDirectory {
        /// Address of the other VM.
        from: SocketAddr,
        /// The last revision that this VM has.
        after: StoreRevision,
        /// Whether even a large delta is wanted, because the registry does not respond to this VM.
        needs_all: bool,
    },
    /// Fetches the index of cached prompt parts from another VM.
    FetchCacheIndex(SocketAddr),
    /// Fetches the known streams from another VM.
    FetchStreamOrigins(SocketAddr),
    /// Fetches the record of a stream from another VM.
    FetchStreamOrigin(SocketAddr, u64),
    /// Asks the registry for changes since the known revision.
    CheckRegistry,
    /// Opens a connection to an upstream and reports until when it was open.
    WatchUpstream {
        /// Identifier of the upstream.
        upstream: Name,
        /// Address of the upstream.
        address: SocketAddr,
        /// Start time of the upstream's process, as registered.
        started: u64,
        /// Time for which the connection is kept open, in milliseconds.
        open_ms: u64,
        /// Interval at which it is reported that the connection is open, in milliseconds.
        report_ms: u64,
        /// Time for which that is reported. Later, only the upstream's closing is.
        trust_ms: u64,
    },
    /// Fetches the list of prompt parts in an upstream's cache.
    ListCache(Name, SocketAddr),
    /// Writes an entry to the decision log.
    Decision(Decision),
}

/// Instructions for sending a request to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Identifier of the upstream.
    pub upstream: Name,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Start time of the upstream's process, as registered.
    pub started: u64,
    /// Address of another upstream, from which this one can fetch cached parts of the prompt.
    pub cache_from: Option<SocketAddr>,
    /// Time that the upstream has to complete the request, in milliseconds.
    pub allowed_ms: u64,
    /// Time without a response after which the attempt is abandoned, in milliseconds.
    pub response_timeout_ms: u64,
    /// Urgency at the upstream, from 0, the most urgent, to 9, if the routes call for it.
    pub urgency: Option<u8>,
    /// Whether the request leaves its failure domain, if that was weighed.
    pub crossing: Option<Outcome>,
}

/// How a request is finished without a successful response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The upstream's error response, which the I/O layer keeps, is forwarded to the caller.
    ForwardResponse,
    /// The request has not run and will not run.
    Rejected(Rejection),
    /// The request may have run, but no upstream gave a usable response.
    OutcomeUnknown,
    /// The deadline has passed; the request may have run.
    TimedOut,
}

/// A decision and the values on which it was based, for the decision log.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The request that the decision concerns, if any.
    pub request: Option<RequestId>,
    /// Name of the log event.
    pub event: &'static str,
    /// The values on which the decision was based, with their keys.
    pub inputs: Vec<(&'static str, String)>,
}
