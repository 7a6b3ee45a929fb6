//! What happens to a VM and what it does: the events and effects of the reducer.

use std::net::SocketAddr;
use std::sync::Arc;

use jujubedoor_config::Name;

use crate::cache_index::CacheRecord;
use crate::call::Call;
use crate::call::Part;
use crate::directory::Change;
use crate::directory::Delta;
use crate::directory::Directory;
use crate::peers::Heartbeat;
use crate::rejection::Rejection;

/// A request of a caller at this VM, numbered within the run of the daemon.
pub type RequestId = u64;

/// Something that happened to this VM.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A caller's request arrived whole.
    RequestArrived(RequestId, Box<Call>),
    /// An upstream began to answer a request.
    ResponseStarted(RequestId, ResponseSignals),
    /// An attempt at an upstream ended.
    AttemptEnded(RequestId, AttemptOutcome),
    /// A request is over for the caller: answered whole or left.
    RequestClosed(RequestId),
    /// The registry published changes, each at a revision, up to a revision.
    ChangesPublished(u64, Vec<(u64, Change)>),
    /// The whole directory was read from the registry.
    DirectoryLoaded(Box<Directory>),
    /// Another VM told what is published.
    DeltaReceived(Box<Delta>),
    /// The registry did not answer.
    RegistryUnreachable,
    /// A connection to an upstream was tried; tells whether it opened.
    ProbeCompleted(Name, bool),
    /// Another VM told about itself.
    HeartbeatReceived(Box<Heartbeat>),
    /// Another VM told which prompt parts upstreams have read.
    CacheIndexReceived(Vec<CacheRecord>),
    /// An upstream listed the prompt parts in its cache.
    CacheListed(Name, Vec<Part>),
    /// This VM is about to leave.
    Leaving,
}

/// What an answer's head shows of the upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResponseSignals {
    /// The requests that ran and waited there.
    pub load: Option<u32>,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Complete,
    /// The upstream failed the request with a status of its own; the shell holds the answer.
    Failed(u16),
    /// The upstream stated that it did not run the request.
    NotRun(u16),
    /// Another upstream has the address now; it did not run the request.
    WrongUpstream,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection closed before any byte of the request was sent.
    Unsent,
    /// The connection broke or the answer is not usable after the request was sent.
    ConnectionLost,
    /// No answer came in the time of the attempt.
    NoResponse,
}

impl AttemptOutcome {
    /// Returns the name of the outcome in the decision log.
    pub fn log_text(self) -> String {
        match self {
            Self::Complete => "Whole".to_owned(),
            Self::Failed(status) => format!("Failed({status})"),
            Self::NotRun(status) => format!("NotRun({status})"),
            Self::WrongUpstream => "WrongUpstream".to_owned(),
            Self::Unreachable => "Unreachable".to_owned(),
            Self::Unsent => "Unsent".to_owned(),
            Self::ConnectionLost => "Broken".to_owned(),
            Self::NoResponse => "Silent".to_owned(),
        }
    }
}

/// Something that this VM does.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a request to an upstream.
    Dispatch(RequestId, Dispatch),
    /// Ends a request.
    Reply(RequestId, Reply),
    /// Tries to open a connection to an upstream.
    Probe(Name, SocketAddr),
    /// Sends a beat to another VM.
    Heartbeat(SocketAddr, Arc<Heartbeat>),
    /// Reads from another VM what was published after a revision.
    FetchDirectory {
        /// The other VM.
        from: SocketAddr,
        /// The revision that is known.
        after: u64,
        /// Tells that the registry does not answer this VM.
        needs_all: bool,
    },
    /// Reads from another VM which prompt parts upstreams have read.
    FetchCacheIndex(SocketAddr),
    /// Reads from an upstream which prompt parts are in its cache.
    ListCache(Name, SocketAddr),
    /// Writes a line that explains a decision.
    Decision(Decision),
}

/// How a request is sent to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// The upstream.
    pub upstream: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Another upstream from which it takes cached parts of the prompt.
    pub cache_from: Option<SocketAddr>,
    /// The time that the upstream may take, in milliseconds.
    pub allowed_ms: u64,
    /// The time after which the attempt is given up without an answer, in milliseconds.
    pub response_timeout_ms: u64,
}

/// How a request ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The upstream's own failure, which the shell holds, goes to the caller.
    ForwardResponse,
    /// The request has not run and will not.
    Rejected(Rejection),
    /// The request may have run; the upstream gave no usable answer.
    OutcomeUnknown,
    /// The time is over; the request may have run.
    TimedOut,
}

/// A decision with what decided it.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The request, if it is about one.
    pub request: Option<RequestId>,
    /// What was decided.
    pub event: &'static str,
    /// What decided it, as names with values.
    pub inputs: Vec<(&'static str, String)>,
}
