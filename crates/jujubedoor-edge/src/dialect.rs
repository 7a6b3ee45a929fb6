//! Translation between the headers on the wire and the metadata types of this crate.

use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::StatusCode;
use jujubedoor_config::Name;
use jujubedoor_routing::call::Part;
use jujubedoor_routing::event::UpstreamLoad;

/// The header conventions of a platform, as functions on headers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Parses the metadata of a caller's request.
    pub parse_request: fn(&HeaderMap) -> Result<RequestMetadata, String>,
    /// Turns the headers of a caller's request into those for an upstream.
    pub rewrite_request_headers: fn(&mut HeaderMap, &UpstreamRequestMetadata<'_>),
    /// Parses the metadata of an upstream's response.
    pub parse_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
    /// Removes the headers of a response that apply only to the connection to the upstream.
    pub rewrite_response_headers: fn(&mut HeaderMap),
    /// Path at which an engine lists the prompt parts in its cache.
    pub cache_list_path: &'static str,
    /// Parses that list.
    pub parse_cache_list: fn(&[u8]) -> Result<Vec<Part>, String>,
}

/// Metadata of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The caller's identifier of the request.
    pub id: String,
    /// Time that the caller waits for the response, in milliseconds.
    pub caller_timeout_ms: Option<u64>,
    /// API key, which identifies a workspace.
    pub key: Option<String>,
    /// Parts of the prompt.
    pub parts: Vec<Part>,
    /// Identifier of the last event of the stream that the caller has received.
    pub last_event_id: Option<String>,
    /// The caller's identifier of the attempt that began the stream, if this one resumes it.
    pub stream_begun_by: Option<String>,
    /// Whether the caller names the version of a model's weights, without which an upstream does not run the request.
    pub names_weights: bool,
}

/// Metadata that is sent to an upstream in addition to the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequestMetadata<'a> {
    /// Identifier of the upstream for which the request is intended.
    pub upstream: &'a str,
    /// Time left for the request, in milliseconds.
    pub allowed_ms: u64,
    /// Workspace of the caller.
    pub workspace: Option<&'a Name>,
    /// Address of another upstream from which to copy cached parts of the prompt.
    pub cache_from: Option<SocketAddr>,
    /// Identifier of the last event that the caller has received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// Urgency at the upstream, from 0, the most urgent, to 9, if it is to be sent.
    pub urgency: Option<u8>,
}

/// Metadata of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the upstream signed the response.
    pub signed: bool,
    /// Whether the request has run, as far as the response shows.
    pub run_status: RunStatus,
    /// The upstream's load.
    pub load: Option<UpstreamLoad>,
    /// Whether the upstream leaves.
    pub leaving: bool,
    /// Pause that the upstream requests from this VM with a rejection, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Requests a second that the upstream takes from all VMs together, if it names a limit.
    pub rate_limit_per_s: Option<f64>,
    /// Time that the upstream keeps an idle connection open, in milliseconds.
    pub keep_alive_ms: Option<u64>,
}

/// Whether a request has run, as far as the response shows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunStatus {
    /// The request may have run.
    #[default]
    MayHaveRun,
    /// The request did not run.
    NotRun,
    /// The request did not run because the address now belongs to another upstream.
    WrongUpstream,
}
