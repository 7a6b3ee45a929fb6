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
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Dispatch;
use tokio::time::Instant;

use crate::core::Edge;
use crate::dialect::Hop;
use crate::dialect::Run;
use crate::dialect::Told;
use crate::pool::Line;
use crate::pool::SendError;

/// How much longer an upstream is waited for than it may take, in milliseconds.
const ANSWER_SLACK_MS: u64 = 60;

/// A caller's request, kept whole so that it can be sent again.
#[derive(Clone, Debug)]
pub struct Whole {
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
pub struct Answer {
    /// The response; its body is still on its way.
    pub response: Response<Incoming>,
    /// The connection that it comes on.
    pub line: Line,
    /// What the upstream says of it.
    pub told: Told,
    /// When the attempt is given up.
    pub until: Instant,
}

/// Sends a request to an upstream and returns its answer, or how the attempt ended.
pub async fn attempt(
    edge: &Edge,
    whole: &Whole,
    dial: &Dispatch,
    after: Option<&str>,
) -> Result<Answer, AttemptOutcome> {
    let until = Instant::now() + Duration::from_millis(dial.allowed_ms + ANSWER_SLACK_MS);
    let patience = Duration::from_millis(dial.response_timeout_ms + ANSWER_SLACK_MS);
    let request = build(edge, whole, dial, after).ok_or(AttemptOutcome::Unsent)?;
    let sent = edge.pool.send(&dial.upstream, dial.address, request);
    let (response, line) = match tokio::time::timeout(patience, sent).await {
        Ok(Ok(answered)) => answered,
        Ok(Err(e)) => {
            log::debug!("{}: {e}", whole.id);
            return Err(match e {
                SendError::Unreachable(..) => AttemptOutcome::Unreachable,
                SendError::Broken(..) => AttemptOutcome::ConnectionLost,
            });
        }
        Err(_) => return Err(AttemptOutcome::NoResponse),
    };
    let status = response.status();
    let told = (edge.dialect.read_answer)(status, response.headers());
    if told.id.as_ref().is_some_and(|id| *id != whole.id) {
        log::warn!("{}: {} answered another request: {:?}", whole.id, dial.upstream, told.id);
        return Err(AttemptOutcome::ConnectionLost);
    }
    match told.run {
        Run::Not => return Err(AttemptOutcome::NotRun(status.as_u16())),
        Run::Elsewhere => return Err(AttemptOutcome::WrongUpstream),
        Run::Possible => {}
    }
    let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if !told.vouched || promises {
        // Without the upstream's word the answer may be damaged, or tell the caller what is not known.
        return Err(AttemptOutcome::ConnectionLost);
    }
    Ok(Answer { response, line, told, until })
}

fn build(edge: &Edge, whole: &Whole, dial: &Dispatch, after: Option<&str>) -> Option<Request<Body>> {
    let mut headers = whole.headers.clone();
    let hop = Hop {
        upstream: &dial.upstream,
        allowed_ms: dial.allowed_ms,
        workspace: whole.workspace.as_ref(),
        cache_from: dial.cache_from,
        after,
    };
    (edge.dialect.write_request)(&mut headers, &hop);
    let builder = Request::builder().method(whole.method.clone()).uri(whole.uri.clone());
    let mut request = match builder.body(body::full(whole.body.clone())) {
        Ok(request) => request,
        Err(e) => {
            log::error!("{}: the request cannot be built: {e}", whole.id);
            return None;
        }
    };
    *request.headers_mut() = headers;
    Some(request)
}
