//! Serves one request: sends its arrival to the reducer and follows the reducer's instructions.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::Response;
use jujubedoor::Event;
use jujubedoor::call::Arrival;
use jujubedoor::event::AttemptEnded;
use jujubedoor::event::Dispatch;
use jujubedoor::event::Reply;
use jujubedoor::message::AttemptOutcome;
use jujubedoor::outcome::Reason;
use jujubedoor::outcome::RequestError;
use jujubedoor_http::Account;
use jujubedoor_http::Body;
use jujubedoor_http::memory_budget::Charge;
use jujubedoor_http::memory_budget::EXCHANGE_BYTES;
use tokio::sync::oneshot;

use super::relay::Attempt;
use super::relay::Relay;
use super::reply;
use crate::core::Handle;
use crate::core::Instruction;
use crate::core::OpenRequest;

/// A caller's request in the form in which it is sent to an upstream.
#[derive(Clone)]
pub struct Outgoing {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Bytes,
    /// Whether the response is an event stream.
    pub is_stream: bool,
    /// Whether the request is a model call.
    pub is_model_call: bool,
    /// What is held for the request.
    pub holding: Holding,
}

/// What is held for a request, until the last clone is dropped.
#[derive(Clone)]
pub struct Holding {
    /// Account to which it is charged.
    pub account: Account,
    /// Memory of the connection to an upstream, and of copies of the body.
    _charge: Arc<Charge>,
}

impl Holding {
    /// Charges the memory of a connection to an upstream and of a copy of the body.
    pub fn new(account: Account, copied_bytes: usize) -> Self {
        let charge = Arc::new(account.hold(EXCHANGE_BYTES + copied_bytes));
        Self { account, _charge: charge }
    }
}

/// Serves one request and returns its response once the headers are known; the body may follow later.
pub async fn serve(
    handle: Handle,
    open: OpenRequest,
    arrival: Arrival,
    outgoing: Outgoing,
) -> Response<Body> {
    let id = open.id.to_string();
    let (response_tx, response) = oneshot::channel();
    tokio::spawn(follow_instructions(handle, open, arrival, outgoing, response_tx));
    let dropped = || {
        reply::error_response(&RequestError::unknown(Reason::UpstreamLost), &id, "the request was dropped")
    };
    response.await.unwrap_or_else(|_| dropped())
}

/// Follows the instructions for one request until it has finished.
async fn follow_instructions(
    handle: Handle,
    mut open: OpenRequest,
    arrival: Arrival,
    outgoing: Outgoing,
    response_tx: oneshot::Sender<Response<Body>>,
) {
    let started = Instant::now();
    handle.metrics.set_open_requests(handle.open_requests());
    handle.submit(Event::Arrive(arrival));
    let mut relay = Relay::new(handle.clone(), open.id, outgoing, response_tx, started);
    loop {
        let instruction = tokio::select! {
            instruction = open.instructions.recv() => instruction,
            () = relay.caller_gone() => None,
        };
        match instruction {
            Some(Instruction::Dispatch(dispatch)) => {
                handle.metrics.record_permit_wait(started.elapsed());
                let attempt = relay.attempt(&dispatch).await;
                submit_attempt_end(&handle, &dispatch, &attempt);
                if attempt.is_final() {
                    break;
                }
            }
            Some(Instruction::Reply(Reply::Error(request_error))) if relay.has_responded() => {
                relay.abort(&request_error).await;
                break;
            }
            Some(Instruction::Reply(reply)) => {
                relay.send_response(reply::respond(&reply, &open.id.to_string()));
                break;
            }
            None => break,
        }
    }
}

fn submit_attempt_end(handle: &Handle, dispatch: &Dispatch, attempt: &Attempt) {
    if matches!(attempt.outcome, AttemptOutcome::Completed(_)) {
        handle.metrics.record_outcome("done", "");
    }
    handle.submit(Event::AttemptEnded(AttemptEnded {
        request: dispatch.request,
        attempt: dispatch.attempt,
        outcome: attempt.outcome,
        delivered: attempt.delivered,
        answer: None,
    }));
}
