//! Serves one request: gives it to the reducer and follows its instructions.

use std::time::Instant;

use bytes::Bytes;
use hyper::Response;
use jujubedoor::Event;
use jujubedoor::call::Arrival;
use jujubedoor::event::AttemptEnded;
use jujubedoor::event::Dial;
use jujubedoor::event::Reply;
use jujubedoor::message::Ended;
use jujubedoor::outcome::Reason;
use jujubedoor::outcome::Refusal;
use jujubedoor_http::Body;
use tokio::sync::oneshot;

use super::relay::Attempt;
use super::relay::Relay;
use super::reply;
use crate::core::Handle;
use crate::core::Instruction;
use crate::core::OpenRequest;

/// A caller's request as it goes to an upstream.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Bytes,
    /// Whether the answer is streamed as events.
    pub streams: bool,
    /// Whether it is a model call.
    pub model: bool,
}

/// Serves one request and returns its response as soon as its head is known.
pub async fn serve(
    handle: Handle,
    open: OpenRequest,
    arrival: Arrival,
    outgoing: Outgoing,
) -> Response<Body> {
    let id = open.id.to_string();
    let (head, response) = oneshot::channel();
    tokio::spawn(follow(handle, open, arrival, outgoing, head));
    let gone = || reply::refuse(&Refusal::unknown(Reason::UpstreamLost), &id, "the request was dropped");
    response.await.unwrap_or_else(|_| gone())
}

/// Follows the instructions for one request until it has ended.
async fn follow(
    handle: Handle,
    mut open: OpenRequest,
    arrival: Arrival,
    outgoing: Outgoing,
    head: oneshot::Sender<Response<Body>>,
) {
    let started = Instant::now();
    handle.metrics.set_open_requests(handle.open_requests());
    handle.submit(Event::Arrive(arrival));
    let mut relay = Relay::new(handle.clone(), open.id, outgoing, head, started);
    loop {
        let instruction = tokio::select! {
            instruction = open.instructions.recv() => instruction,
            () = relay.caller_gone() => None,
        };
        match instruction {
            Some(Instruction::Dial(dial)) => {
                handle.metrics.record_permit_wait(started.elapsed());
                let attempt = relay.attempt(&dial).await;
                submit_end(&handle, &dial, &attempt);
                if attempt.is_last() {
                    break;
                }
            }
            Some(Instruction::Reply(Reply::Refusal(refusal))) if relay.has_answered() => {
                relay.break_off(&refusal).await;
                break;
            }
            Some(Instruction::Reply(reply)) => {
                relay.answer(reply::respond(&reply, &open.id.to_string()));
                break;
            }
            None => break,
        }
    }
}

fn submit_end(handle: &Handle, dial: &Dial, attempt: &Attempt) {
    if matches!(attempt.ended, Ended::Completed(_)) {
        handle.metrics.record_outcome("done", "");
    }
    handle.submit(Event::AttemptEnded(AttemptEnded {
        request: dial.request,
        attempt: dial.attempt,
        ended: attempt.ended,
        delivered: attempt.delivered,
        answer: None,
    }));
}
