//! One attempt at an upstream: sends the request and judges the head of the answer.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use jujubedoor_config::Name;
use jujubedoor_http::Body;
use jujubedoor_http::body;
use jujubedoor_routing::event::Dial;
use jujubedoor_routing::event::Ended;
use tokio::time::Instant;

use crate::core::Edge;
use crate::dialect::Execution;
use crate::dialect::ResponseMetadata;
use crate::dialect::UpstreamRequestMetadata;
use crate::pool::Connection;
use crate::pool::SendError;

/// How much longer an upstream is waited for than it may take, in milliseconds.
const RESPONSE_GRACE_MS: u64 = 60;

/// A caller's request, kept buffered so that it can be sent again.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// The caller's identifier.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers as the caller sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The workspace.
    pub workspace: Option<Name>,
}

/// An answer whose head was accepted.
pub struct UpstreamResponse {
    /// The response; its body is still on its way.
    pub response: Response<Incoming>,
    /// The connection that it comes on.
    pub connection: Connection,
    /// What the upstream says of it.
    pub response_metadata: ResponseMetadata,
    /// When the attempt is given up.
    pub attempt_deadline: Instant,
}

/// Sends a request to an upstream and returns its answer, or how the attempt ended.
pub async fn attempt(
    edge: &Edge,
    buffered: &BufferedRequest,
    dial: &Dial,
    last_event_id: Option<&str>,
) -> Result<UpstreamResponse, Ended> {
    let attempt_deadline = Instant::now() + Duration::from_millis(dial.allowed_ms + RESPONSE_GRACE_MS);
    let response_timeout = Duration::from_millis(dial.patience_ms + RESPONSE_GRACE_MS);
    let request = build_request(edge, buffered, dial, last_event_id).ok_or(Ended::Unsent)?;
    let sent = edge.pool.send(&dial.upstream, dial.address, request);
    let (response, connection) = match tokio::time::timeout(response_timeout, sent).await {
        Ok(Ok(received)) => received,
        Ok(Err(e)) => {
            log::debug!("{}: {e}", buffered.id);
            return Err(match e {
                SendError::Unreachable(..) => Ended::Unreachable,
                SendError::Broken(..) => Ended::Broken,
            });
        }
        Err(_) => return Err(Ended::Silent),
    };
    let status = response.status();
    let response_metadata = (edge.dialect.parse_response)(status, response.headers());
    if response_metadata.id.as_ref().is_some_and(|id| *id != buffered.id) {
        log::warn!("{}: {} answered another request: {:?}", buffered.id, dial.upstream, response_metadata.id);
        return Err(Ended::Broken);
    }
    match response_metadata.execution {
        Execution::NotExecuted => return Err(Ended::NotRun(status.as_u16())),
        Execution::Misdirected => return Err(Ended::WrongUpstream),
        Execution::Possible => {}
    }
    let claims_not_executed = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if !response_metadata.signed || claims_not_executed {
        // Without the upstream's word the answer may be damaged, or tell the caller what is not known.
        return Err(Ended::Broken);
    }
    Ok(UpstreamResponse { response, connection, response_metadata, attempt_deadline })
}

fn build_request(
    edge: &Edge,
    buffered: &BufferedRequest,
    dial: &Dial,
    last_event_id: Option<&str>,
) -> Option<Request<Body>> {
    let mut headers = buffered.headers.clone();
    let upstream_metadata = UpstreamRequestMetadata {
        upstream: &dial.upstream,
        allowed_ms: dial.allowed_ms,
        workspace: buffered.workspace.as_ref(),
        cache_from: dial.cache_from,
        last_event_id,
    };
    (edge.dialect.rewrite_request_headers)(&mut headers, &upstream_metadata);
    let builder = Request::builder().method(buffered.method.clone()).uri(buffered.uri.clone());
    let mut request = match builder.body(body::full(buffered.body.clone())) {
        Ok(request) => request,
        Err(e) => {
            log::error!("{}: the request cannot be built: {e}", buffered.id);
            return None;
        }
    };
    *request.headers_mut() = headers;
    Some(request)
}
