//! Plain responses, which are buffered so that an attempt that breaks off can be repeated.
//!
//! A response that is too large for that, or for which there is no memory, is passed on as it arrives. The request
//! cannot be retried any more then, and a response that breaks off ends the caller's connection. A response with neither
//! a length nor chunks is never passed on before its end.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use jujubedoor_http::Body;
use jujubedoor_http::BodyError;
use jujubedoor_http::HeldBody;
use jujubedoor_http::body;
use jujubedoor_http::budget_ledger::WRITE_STALL_FACTOR;
use jujubedoor_http::held_body::SegmentBuffer;
use jujubedoor_http::memory_budget::Charge;
use jujubedoor_routing::Event;
use jujubedoor_routing::event::AttemptOutcome;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::core::Handle;
use crate::core::OpenRequest;
use crate::exchange;
use crate::exchange::BufferedRequest;
use crate::exchange::UpstreamResponse;
use crate::pool::Connection;

/// A response of an upstream to a plain request.
pub enum PlainResponse {
    /// The response was received completely.
    Whole(Response<Body>),
    /// The rest of the response has yet to arrive.
    Begun(Box<BegunResponse>),
}

/// A response whose rest has yet to arrive.
pub struct BegunResponse {
    edge: Handle,
    /// The caller's identifier of the request.
    id: String,
    head: Parts,
    received: HeldBody,
    /// Bytes that were received and are not in `received`.
    next: Bytes,
    rest: Rest,
}

/// The part of a response that has yet to arrive.
struct Rest {
    incoming: Incoming,
    connection: Connection,
    deadline: Instant,
    keep_alive_ms: Option<u64>,
    _charge: Arc<Charge>,
}

/// Buffers a response as far as there is room for it. Returns nothing if it breaks off before.
pub async fn collect(
    edge: &Handle,
    upstream_response: UpstreamResponse,
    buffered: &BufferedRequest,
) -> Option<PlainResponse> {
    let (mut head, mut incoming) = upstream_response.response.into_parts();
    let (connection, deadline) = (upstream_response.connection, upstream_response.attempt_deadline);
    let keep_alive_ms = upstream_response.response_metadata.keep_alive_ms;
    let ends_with_connection = upstream_response.ends_with_connection;
    let length = incoming.size_hint().exact();
    let max_bytes = edge.settings.buffered_response_bytes;
    let mut buffer = SegmentBuffer::new(buffered.account.clone(), length);
    loop {
        let Some(mut data) = exchange::next_data(&connection, &mut incoming, deadline).await.ok()? else {
            break;
        };
        if buffer.len() + data.len() <= max_bytes {
            buffer.try_push(&mut data);
        }
        if !data.is_empty() {
            if ends_with_connection {
                // Bytes without end look the same, and must not reach the caller as a success.
                log::warn!(
                    "a response body without a length is longer than {max_bytes} bytes, or there is no memory"
                );
                return None;
            }
            (edge.dialect.rewrite_response_headers)(&mut head.headers);
            if let Some(length) = length {
                head.headers.insert(CONTENT_LENGTH, length.into());
            }
            let charge = buffered.exchange_charge.clone();
            let rest = Rest { incoming, connection, deadline, keep_alive_ms, _charge: charge };
            let received = buffer.finish();
            let id = buffered.id.clone();
            let begun = BegunResponse { edge: edge.clone(), id, head, received, next: data, rest };
            return Some(PlainResponse::Begun(Box::new(begun)));
        }
    }
    if ends_with_connection && exchange::outcome_at_end(edge, &connection).await != AttemptOutcome::Complete {
        return None;
    }
    edge.pool.release(connection, keep_alive_ms);
    (edge.dialect.rewrite_response_headers)(&mut head.headers);
    Some(PlainResponse::Whole(Response::from_parts(head, buffer.finish().into_body())))
}

impl BegunResponse {
    /// Returns a response that is passed on as it arrives. The request stays open until its end.
    pub fn pass_on(self, open: OpenRequest) -> Response<Body> {
        self.edge.submit(Event::DeliveryBegan(open.id));
        let (tx, body) = body::channel(1);
        let response = Response::from_parts(self.head, body);
        let ready = self.received.segments().cloned().chain([self.next]).collect();
        let passing = Passing { edge: self.edge, id: self.id, open, ready, rest: self.rest };
        tokio::spawn(async move {
            if let Err(error) = passing.run(&tx).await {
                // The upstream and the memory are free by now; only the caller's connection remains to be closed.
                let _ = tx.send(Err(error)).await;
            }
        });
        response
    }
}

/// A response that is being passed on.
struct Passing {
    edge: Handle,
    id: String,
    open: OpenRequest,
    ready: VecDeque<Bytes>,
    rest: Rest,
}

impl Passing {
    /// Passes on the response. An error must close the caller's connection.
    async fn run(mut self, tx: &mpsc::Sender<Result<Bytes, BodyError>>) -> Result<(), BodyError> {
        let stall_time = Duration::from_millis(self.edge.settings.caller_stall_ms * WRITE_STALL_FACTOR);
        loop {
            let next = match self.ready.pop_front() {
                Some(bytes) => Some(bytes),
                None => self.next_data().await?,
            };
            let Some(bytes) = next else {
                self.edge.pool.release(self.rest.connection, self.rest.keep_alive_ms);
                return Ok(());
            };
            // The upstream is occupied until its response is read.
            match tokio::time::timeout(stall_time, tx.send(Ok(bytes))).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Ok(()),
                Err(_) => {
                    self.edge.metrics.record_decision("response_unread");
                    crate::logs::decision("response_unread", Some(&self.id), &[]);
                    return Err(BodyError::Incomplete("the caller does not read the response".into()));
                }
            }
        }
    }

    /// Returns the next bytes from the upstream, or `None` after the end of the response.
    async fn next_data(&mut self) -> Result<Option<Bytes>, BodyError> {
        let Rest { incoming, connection, deadline, .. } = &mut self.rest;
        let outcome = match exchange::next_data(connection, incoming, *deadline).await {
            Ok(Some(bytes)) => return Ok(Some(bytes)),
            Ok(None) => AttemptOutcome::Complete,
            Err(outcome) => outcome,
        };
        self.edge.submit(Event::AttemptEnded(self.open.id, outcome));
        if outcome == AttemptOutcome::Complete {
            return Ok(None);
        }
        Err(BodyError::Incomplete("the response of the upstream broke off".into()))
    }
}
