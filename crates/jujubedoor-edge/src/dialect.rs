//! How requests and answers name things on the wire.

use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::StatusCode;
use jujubedoor_config::Name;
use jujubedoor_routing::call::Part;

/// How requests and answers name things on the wire, as functions of their headers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Reads what a caller says of its request.
    pub parse_request: fn(&HeaderMap) -> Result<RequestMetadata, String>,
    /// Turns the headers of a caller's request into those for an upstream.
    pub rewrite_request_headers: fn(&mut HeaderMap, &UpstreamRequestMetadata<'_>),
    /// Reads what an upstream says of its answer.
    pub parse_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
    /// Removes from an answer what concerns only the connection to the upstream.
    pub rewrite_response_headers: fn(&mut HeaderMap),
    /// The path under which an engine lists the prompt parts in its cache.
    pub cache_list_path: &'static str,
    /// Reads that list.
    pub parse_cache_list: fn(&[u8]) -> Result<Vec<Part>, String>,
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The caller's own identifier of the request.
    pub id: String,
    /// How long the caller waits, in milliseconds.
    pub caller_timeout_ms: Option<u64>,
    /// The key of a workspace.
    pub key: Option<String>,
    /// The parts of the prompt.
    pub parts: Vec<Part>,
    /// The last event that the caller has of a stream.
    pub last_event_id: Option<String>,
}

/// What an upstream is told beside the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequestMetadata<'a> {
    /// The upstream that is meant.
    pub upstream: &'a str,
    /// The time that is left, in milliseconds.
    pub allowed_ms: u64,
    /// The workspace of the caller.
    pub workspace: Option<&'a Name>,
    /// Another upstream from which it takes cached parts of the prompt.
    pub cache_from: Option<SocketAddr>,
    /// The last event that the caller has, if a stream goes on.
    pub last_event_id: Option<&'a str>,
}

/// What an upstream says of its answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The request that it answers.
    pub id: Option<String>,
    /// Tells that the upstream vouches for the answer.
    pub signed: bool,
    /// What the answer says of the request's execution.
    pub execution: Execution,
    /// The requests that execution and wait at the upstream.
    pub load: Option<u32>,
    /// How long an idle connection stays open, in milliseconds.
    pub keep_alive_ms: Option<u64>,
}

/// What an answer says of the request's execution.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Execution {
    /// It may have execution.
    #[default]
    Possible,
    /// It has not execution.
    NotExecuted,
    /// It has not execution, as the address belongs to another upstream.
    Misdirected,
}
