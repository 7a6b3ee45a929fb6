//! Responses that are not relayed from an upstream: typed JSON errors, tickets and stored responses.

use hyper::Response;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use jujubedoor::call::Answer;
use jujubedoor::event::Reply;
use jujubedoor::outcome::RequestError;
use jujubedoor_http::Body;
use jujubedoor_http::body;
use serde_json::Value;
use serde_json::json;

use super::OUTCOME_HEADER;
use super::REQUEST_HEADER;
use super::TICKET_HEADER;

/// Returns the response for a reply of the core task.
pub fn respond(reply: &Reply, request: &str) -> Response<Body> {
    match reply {
        Reply::Answer(answer) => replay(answer, request),
        Reply::Error(request_error) => error_response(request_error, request, ""),
        Reply::Tickets(tickets) if tickets.is_empty() => {
            body::respond(503, "text/plain", "too many tickets are in use\n")
        }
        Reply::Tickets(tickets) => body::json(200, &json!({"tickets": tickets})),
    }
}

/// Returns the typed error response of a request that was rejected or failed.
pub fn error_response(request_error: &RequestError, request: &str, detail: &str) -> Response<Body> {
    let mut response = body::json(request_error.reason.status(), &error_body(request_error, request, detail));
    set_header(&mut response, OUTCOME_HEADER, request_error.outcome.as_str());
    set_header(&mut response, REQUEST_HEADER, request);
    if let Some(ms) = request_error.retry_after_ms {
        set_header(&mut response, "retry-after", &ms.div_ceil(1_000).to_string());
    }
    if let Some(ticket) = &request_error.ticket {
        set_header(&mut response, TICKET_HEADER, ticket);
    }
    response
}

/// Returns the JSON body of an error response.
pub fn error_body(request_error: &RequestError, request: &str, detail: &str) -> Value {
    json!({"error": {
        "outcome": request_error.outcome.as_str(),
        "reason": request_error.reason.as_str(),
        "hint": request_error.reason.hint(),
        "detail": detail,
        "request": request,
        "retry_after_ms": request_error.retry_after_ms,
    }})
}

/// Sets a header, unless the value has characters that are invalid in headers.
pub fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

/// Returns the stored response of a call with a ticket.
fn replay(answer: &Answer, request: &str) -> Response<Body> {
    let mut response = body::respond(answer.status, "application/octet-stream", answer.body.clone());
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            response.headers_mut().insert(name, value);
        }
    }
    set_header(&mut response, OUTCOME_HEADER, "done");
    set_header(&mut response, REQUEST_HEADER, request);
    response
}
