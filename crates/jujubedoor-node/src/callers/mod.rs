//! Serves callers: model calls, calls of plain services, tickets, and health checks.
//!
//! A request is parsed into an [`Arrival`](jujubedoor::call::Arrival) and sent to the reducer. The task
//! that serves it then follows the reducer's [instructions](crate::core::Instruction): it connects to an
//! upstream and relays the response, or ends the request with a typed error. A caller counts as
//! gone when the receiving end of its response is dropped.

mod call;
pub mod call_body;
mod model;
mod plain;
mod relay;
mod reply;

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use jujubedoor::State;
use jujubedoor::ids::StartStamp;
use jujubedoor::outcome::Reason;
use jujubedoor::outcome::RequestError;
use jujubedoor_http::Account;
use jujubedoor_http::Body;
use jujubedoor_http::body;
use jujubedoor_http::reception;
use jujubedoor_http::reception::ReceiveError;

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

/// The body of a request.
struct ReceivedBody {
    bytes: Bytes,
    /// Account to which what is held for the request is charged.
    account: Account,
}

/// Reads the body of a request, within the size, time and memory limits of the settings.
async fn read_body(handle: &Handle, request: Request<Incoming>) -> Result<ReceivedBody, Response<Body>> {
    let workspace = header(&request, WORKSPACE_HEADER).or_else(|| model::bearer_token(&request));
    let (mut head, incoming) = request.into_parts();
    let account = head.extensions.remove::<Account>().unwrap_or_else(Account::unlimited);
    let account = account.with_workspace(workspace.as_deref());
    let time_limit = Duration::from_millis(handle.settings.receive_ms);
    let max_bytes = handle.settings.body_bytes;
    let error = match reception::receive(incoming, max_bytes, time_limit, &account).await {
        Ok(body) => return Ok(ReceivedBody { bytes: body.into_bytes(&account), account }),
        Err(error) => error,
    };
    let (status, request_error) = match &error {
        ReceiveError::TooLong(_) => (StatusCode::PAYLOAD_TOO_LARGE, bad_request()),
        ReceiveError::TooSlow | ReceiveError::Incomplete(_) => (StatusCode::REQUEST_TIMEOUT, bad_request()),
        ReceiveError::NoRoom => {
            let retry_after_ms = Some(reception::no_room_retry_ms(None, rand::random()));
            let not_run = RequestError::not_run(Reason::Overloaded);
            (StatusCode::SERVICE_UNAVAILABLE, RequestError { retry_after_ms, ..not_run })
        }
    };
    let mut response = reply::error_response(&request_error, "", &error.to_string());
    *response.status_mut() = status;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
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
