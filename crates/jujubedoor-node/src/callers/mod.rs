//! Serves callers: model calls, calls of plain services, tickets, and health checks.
//!
//! A request is parsed into an [`Arrival`](jujubedoor::call::Arrival) and sent to the reducer. The task
//! that serves it then follows the reducer's [instructions](crate::core::Instruction): it connects to an
//! upstream and relays the response, or ends the request with a typed error. A caller counts as
//! gone when the receiving end of its response is dropped.

mod call;
mod model;
mod plain;
mod relay;
mod reply;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor::State;
use jujubedoor::ids::StartStamp;
use jujubedoor::outcome::Reason;
use jujubedoor::outcome::RequestError;
use jujubedoor_http::Body;
use jujubedoor_http::BodyError;
use jujubedoor_http::body;

use crate::core::Handle;

pub use plain::run_call;

/// The header that names the workspace.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// The header that names the chat.
pub const CHAT_HEADER: &str = "x-chat-id";
/// The header with the outcome of a request.
pub const OUTCOME_HEADER: &str = "x-jujubedoor-outcome";
/// The header with the id of a request.
pub const REQUEST_HEADER: &str = "x-jujubedoor-request";
/// The header with the affinity hint: the upstream that served the chat last.
pub const AFFINITY_HEADER: &str = "x-jujubedoor-affinity";
/// The header with a ticket.
pub const TICKET_HEADER: &str = "x-jujubedoor-ticket";
/// The response header with the start stamp of an upstream.
pub const START_STAMP_HEADER: &str = "x-engine-start";
/// The path prefix of plain services.
pub const SERVICES_PREFIX: &str = "/services/";

/// Handles a request of a caller.
pub async fn handle_request(handle: Handle, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    match (method, path.as_str()) {
        (Method::GET, "/healthz") => body::respond(200, "text/plain", "alive\n"),
        (Method::GET, "/readyz") => readiness(&handle).await,
        (Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            model::handle_request(handle, request).await
        }
        (Method::POST, "/v1/tickets") => plain::issue_tickets(handle, request).await,
        (_, path) if path.starts_with(SERVICES_PREFIX) => plain::handle_request(handle, request).await,
        _ => reply::error_response(&bad_request(), "", &format!("there is nothing at {path}")),
    }
}

async fn readiness(handle: &Handle) -> Response<Body> {
    match handle.query(State::is_ready).await {
        Some(true) => body::respond(200, "text/plain", "ready\n"),
        _ => body::respond(503, "text/plain", "not ready\n"),
    }
}

/// Reads the body of a request, within the size and time limits of the settings.
async fn read_body(handle: &Handle, request: Request<Incoming>) -> Result<bytes::Bytes, Response<Body>> {
    let time_limit = std::time::Duration::from_millis(handle.settings.receive_ms);
    let collected = body::collect(request.into_body(), handle.settings.body_bytes);
    let detail = match tokio::time::timeout(time_limit, collected).await {
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(e @ BodyError::TooLong(_))) => {
            let mut response = reply::error_response(&bad_request(), "", &e.to_string());
            *response.status_mut() = hyper::StatusCode::PAYLOAD_TOO_LARGE;
            return Err(response);
        }
        Ok(Err(e)) => e.to_string(),
        Err(_) => format!("the body took longer than {time_limit:?}"),
    };
    let mut response = reply::error_response(&bad_request(), "", &detail);
    *response.status_mut() = hyper::StatusCode::REQUEST_TIMEOUT;
    Err(response)
}

fn bad_request() -> RequestError {
    RequestError::not_run(Reason::BadRequest)
}

/// Returns the start stamp in the headers of an upstream's response.
fn start_stamp(headers: &hyper::HeaderMap) -> Option<StartStamp> {
    let text = headers.get(START_STAMP_HEADER)?.to_str().ok()?;
    text.parse().ok().map(StartStamp)
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
