//! Calls of plain services, the issuing of tickets, and the execution of calls with a ticket.

use std::sync::Arc;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor::Event;
use jujubedoor::call::Answer;
use jujubedoor::call::Arrival;
use jujubedoor::call::ServiceCall;
use jujubedoor::event::AttemptEnded;
use jujubedoor::event::Dispatch;
use jujubedoor::event::IssueTickets;
use jujubedoor::ids::AffinityKey;
use jujubedoor::ids::UpstreamId;
use jujubedoor::message::AttemptOutcome;
use jujubedoor::message::Completed;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use jujubedoor_http::Body;
use jujubedoor_http::FetchError;
use jujubedoor_http::Query;
use jujubedoor_http::body;
use jujubedoor_http::client;

use super::AFFINITY_HEADER;
use super::CHAT_HEADER;
use super::ReceivedBody;
use super::SERVICES_PREFIX;
use super::TICKET_HEADER;
use super::WORKSPACE_HEADER;
use super::call;
use super::call::Holding;
use super::call::Outgoing;
use super::model;
use super::reply;
use crate::clock::millis;
use crate::core::Handle;
use crate::core::Instruction;

/// Maximum size, in bytes, of a response that is stored in case the caller resends its call with the ticket.
const MAX_STORED_RESPONSE_BYTES: usize = 1 << 20;

/// The headers that are not forwarded: those of a single connection, and those that this VM sets itself.
const SKIPPED_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
    TICKET_HEADER,
];

/// Handles a call of a plain service.
pub async fn handle_request(handle: Handle, request: Request<Incoming>) -> Response<Body> {
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    let service_path = target.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = service_path.split_once('/').unwrap_or((service_path, ""));
    let (service, path) = (service.to_owned(), format!("/{path}"));
    let method = request.method().to_string();
    let workspace = super::header(&request, WORKSPACE_HEADER).unwrap_or_default();
    let ticket = super::header(&request, TICKET_HEADER);
    let hint = super::header(&request, AFFINITY_HEADER);
    let chat = super::header(&request, CHAT_HEADER);
    let headers = forwarded_headers(request.headers());
    let ReceivedBody { bytes, account } = match super::read_body(&handle, request).await {
        Ok(received) => received,
        Err(response) => return response,
    };
    let open = handle.open_request();
    let service_call = ServiceCall {
        method: method.clone(),
        path: path.clone(),
        headers: headers.clone(),
        body: if ticket.is_some() { bytes.to_vec() } else { Vec::new() },
        ..ServiceCall::default()
    };
    let arrival = Arrival {
        request: open.id,
        key: AffinityKey(rendezvous::key_of(chat.as_deref().unwrap_or(&open.id.to_string()))),
        fingerprint: model::fingerprint(&format!("{workspace} {method} {path}"), &bytes),
        hint: hint.map(|hint| UpstreamId(Name::from(hint))),
        workspace: workspace.into(),
        pool: service.into(),
        ticket,
        service_call: Some(service_call),
        deadline: handle.clock.now().after(handle.settings.call_ms),
    };
    let copied_bytes = arrival.service_call.as_ref().map_or(0, |call| call.body.len());
    let outgoing = Outgoing {
        method,
        path,
        headers,
        body: bytes,
        is_stream: false,
        is_model_call: false,
        holding: Holding::new(account, copied_bytes),
    };
    call::serve(handle, open, arrival, outgoing).await
}

/// Handles a request for tickets: `POST /v1/tickets?service=NAME&count=N`.
pub async fn issue_tickets(handle: Handle, request: Request<Incoming>) -> Response<Body> {
    let query = Query::parse(request.uri().query().unwrap_or_default());
    let mut open = handle.open_request();
    let issue = IssueTickets {
        request: open.id,
        workspace: super::header(&request, WORKSPACE_HEADER).unwrap_or_default().into(),
        pool: query.param("service").into(),
        count: query.param("count").parse().unwrap_or(1),
    };
    handle.submit(Event::IssueTickets(issue));
    match open.instructions.recv().await {
        Some(Instruction::Reply(reply)) => reply::respond(&reply, &open.id.to_string()),
        _ => reply::error_response(&super::bad_request(), "", "no tickets were issued"),
    }
}

/// Executes a call with a ticket at an upstream and sends the complete response to the reducer.
pub async fn run_call(handle: Handle, dispatch: Dispatch, call: Arc<ServiceCall>) {
    let remaining = handle.clock.duration_until(dispatch.deadline);
    let (outcome, answer) = if remaining.is_zero() {
        (AttemptOutcome::Unsent, None)
    } else {
        tokio::time::timeout(remaining, exchange(&dispatch, &call))
            .await
            .unwrap_or((AttemptOutcome::ConnectionLost, None))
    };
    handle.submit(Event::AttemptEnded(AttemptEnded {
        request: dispatch.request,
        attempt: dispatch.attempt,
        outcome,
        delivered: false,
        answer: answer.map(Arc::new),
    }));
}

async fn exchange(dispatch: &Dispatch, call: &ServiceCall) -> (AttemptOutcome, Option<Answer>) {
    let sent_at = Instant::now();
    let Ok(request) = build_request(dispatch, call) else { return (AttemptOutcome::Unsent, None) };
    let response = match client::send(dispatch.address, request).await {
        Ok(response) => response,
        Err(e) if e.is_unsent() => return (AttemptOutcome::Unsent, None),
        Err(_) => return (AttemptOutcome::ConnectionLost, None),
    };
    let start = super::start_stamp(response.headers());
    let first_byte_ms = millis(sent_at.elapsed());
    let status = response.status().as_u16();
    let headers = forwarded_headers(response.headers());
    match body::collect(response.into_body(), MAX_STORED_RESPONSE_BYTES).await {
        Ok(bytes) => {
            let answer = Answer { status, headers, body: bytes.to_vec() };
            (AttemptOutcome::Completed(Completed { first_byte_ms, start }), Some(answer))
        }
        Err(_) => (AttemptOutcome::ConnectionLost, None),
    }
}

fn build_request(dispatch: &Dispatch, call: &ServiceCall) -> Result<Request<Body>, FetchError> {
    let mut builder = Request::builder().method(call.method.as_str()).uri(call.path.as_str());
    for (name, value) in &call.headers {
        builder = builder.header(name.as_str(), value.as_slice());
    }
    builder = builder.header("host", dispatch.address.to_string());
    builder = builder.header("x-request-id", dispatch.request.to_string());
    Ok(builder.body(body::full(call.body.clone()))?)
}

fn forwarded_headers(headers: &hyper::HeaderMap) -> Vec<(String, Vec<u8>)> {
    let forwarded = headers.iter().filter(|(name, _)| !SKIPPED_HEADERS.contains(&name.as_str()));
    forwarded.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect()
}
