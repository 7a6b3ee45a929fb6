//! Relays the response of an upstream to the caller, so that an incomplete response is never taken for a
//! complete one.
//!
//! A model's event stream is forwarded in complete events, and the id of the last one is remembered: if
//! the connection to the upstream is lost, the stream is resumed after that event. A stream that cannot be
//! completed ends with an error event and without its end mark. Any other response that has started and
//! cannot be completed ends with a closed connection.

use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use jujubedoor::event::Dispatch;
use jujubedoor::ids::RequestId;
use jujubedoor::message::AttemptOutcome;
use jujubedoor::message::Completed;
use jujubedoor::outcome::RequestError;
use jujubedoor_http::Body;
use jujubedoor_http::BodyError;
use jujubedoor_http::FetchError;
use jujubedoor_http::body;
use jujubedoor_http::client;
use jujubedoor_http::client::ResponseBody;
use jujubedoor_http::held_body::SegmentBuffer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::AFFINITY_HEADER;
use super::OUTCOME_HEADER;
use super::REQUEST_HEADER;
use super::START_STAMP_HEADER;
use super::call::Outgoing;
use super::reply;
use crate::clock::millis;
use crate::core::Handle;

/// Number of chunks that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 16;

/// Maximum size of a response that is read completely before it is sent to the caller, in bytes.
const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Maximum size of an event in a stream, in bytes.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// The end mark of an event stream.
const END_MARK: &[u8] = b"data: [DONE]";

/// Maximum time of the request that cancels a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The relay between a caller and the upstreams that are tried for its request.
pub struct Relay {
    handle: Handle,
    request: RequestId,
    outgoing: Outgoing,
    response_tx: Option<oneshot::Sender<Response<Body>>>,
    body_tx: Option<mpsc::Sender<Result<Bytes, BodyError>>>,
    last_event_id: u64,
    started: Instant,
    last_chunk_at: Option<Instant>,
}

/// The result of an attempt at an upstream.
pub struct Attempt {
    /// How the attempt ended, for the reducer.
    pub outcome: AttemptOutcome,
    /// Whether a response to the caller has started.
    pub delivered: bool,
}

impl Attempt {
    /// Returns whether no further instruction can follow.
    pub fn is_final(&self) -> bool {
        matches!(self.outcome, AttemptOutcome::Completed(_) | AttemptOutcome::Cancelled)
    }
}

/// Why the relay of a response ended early.
enum RelayError {
    CallerGone,
    UpstreamFailed,
}

impl Relay {
    /// Creates a relay that has not responded yet.
    pub fn new(
        handle: Handle,
        request: RequestId,
        outgoing: Outgoing,
        response_tx: oneshot::Sender<Response<Body>>,
        started: Instant,
    ) -> Self {
        Self {
            handle,
            request,
            outgoing,
            response_tx: Some(response_tx),
            body_tx: None,
            last_event_id: 0,
            started,
            last_chunk_at: None,
        }
    }

    /// Waits until the caller is gone.
    pub async fn caller_gone(&mut self) {
        match (&mut self.response_tx, &self.body_tx) {
            (Some(response_tx), _) => response_tx.closed().await,
            (None, Some(body_tx)) => body_tx.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Returns whether a response to the caller has started.
    pub fn has_responded(&self) -> bool {
        self.response_tx.is_none()
    }

    /// Sends a complete response, or the head of one whose body follows, unless one has already started.
    pub fn send_response(&mut self, response: Response<Body>) {
        if let Some(response_tx) = self.response_tx.take() {
            // Fails if the caller is gone; then the response is not needed.
            let _ = response_tx.send(response);
        }
    }

    /// Ends a response that has started and cannot be completed.
    ///
    /// An event stream ends with an error event; for any other body the connection is closed.
    pub async fn abort(&mut self, request_error: &RequestError) {
        let Some(body_tx) = self.body_tx.take() else { return };
        if self.outgoing.is_stream {
            let error = reply::error_body(request_error, &self.request.to_string(), "the stream broke");
            let _ = body_tx.send(Ok(Bytes::from(format!("event: error\ndata: {error}\n\n")))).await;
            return;
        }
        let _ = body_tx.send(Err(BodyError::Incomplete("the upstream was lost".into()))).await;
    }

    /// Sends the request to an upstream and relays its response.
    pub async fn attempt(&mut self, dispatch: &Dispatch) -> Attempt {
        let time_left = self.handle.clock.duration_until(dispatch.deadline);
        if time_left.is_zero() {
            return self.finish(AttemptOutcome::Unsent);
        }
        let address = dispatch.address;
        let Ok(request) = self.build_request(dispatch) else { return self.finish(AttemptOutcome::Unsent) };
        let sent_at = Instant::now();
        let exchange = self.exchange(dispatch, request, sent_at);
        let outcome =
            tokio::time::timeout(time_left, exchange).await.unwrap_or(AttemptOutcome::ConnectionLost);
        let abandoned = outcome == AttemptOutcome::Cancelled
            || (outcome == AttemptOutcome::ConnectionLost && sent_at.elapsed() >= time_left);
        if abandoned && self.outgoing.is_model_call {
            tokio::spawn(cancel(address, self.request));
        }
        self.finish(outcome)
    }

    fn finish(&self, outcome: AttemptOutcome) -> Attempt {
        Attempt { outcome, delivered: self.has_responded() }
    }

    fn build_request(&self, dispatch: &Dispatch) -> Result<Request<Body>, FetchError> {
        let Outgoing { method, path, headers, body, .. } = &self.outgoing;
        let mut builder = Request::builder().method(method.as_str()).uri(path.as_str());
        for (name, value) in headers {
            builder = builder.header(name.as_str(), value.as_slice());
        }
        builder = builder.header("host", dispatch.address.to_string());
        builder = builder.header("x-request-id", self.request.to_string());
        if dispatch.resume {
            builder = builder.header("last-event-id", self.last_event_id.to_string());
        }
        Ok(builder.body(body::full(body.clone()))?)
    }

    async fn exchange(
        &mut self,
        dispatch: &Dispatch,
        request: Request<Body>,
        sent_at: Instant,
    ) -> AttemptOutcome {
        let sent = tokio::select! {
            sent = client::send(dispatch.address, request) => sent,
            () = self.caller_gone() => return AttemptOutcome::Cancelled,
        };
        let response = match sent {
            Ok(response) => response,
            Err(e) if e.is_unsent() => return AttemptOutcome::Unsent,
            Err(_) => return AttemptOutcome::ConnectionLost,
        };
        let status = response.status().as_u16();
        if self.outgoing.is_model_call && matches!(status, 429 | 503) {
            return AttemptOutcome::Busy;
        }
        if dispatch.resume && status != 200 {
            return AttemptOutcome::ConnectionLost;
        }
        let start = super::start_stamp(response.headers());
        let first_byte_ms = millis(sent_at.elapsed());
        let relayed = if self.outgoing.is_stream && status == 200 {
            self.relay_events(dispatch, response).await
        } else if self.outgoing.is_model_call {
            self.relay_buffered(dispatch, response).await
        } else {
            self.relay_body(dispatch, response).await
        };
        match relayed {
            Ok(first_chunk_at) => {
                let first_byte_ms =
                    first_chunk_at.map_or(first_byte_ms, |at| millis(at.duration_since(sent_at)));
                AttemptOutcome::Completed(Completed { first_byte_ms, start })
            }
            Err(RelayError::CallerGone) => AttemptOutcome::Cancelled,
            Err(RelayError::UpstreamFailed) => AttemptOutcome::ConnectionLost,
        }
    }

    /// Forwards an event stream in complete events, up to and including its end mark.
    ///
    /// Returns the time of the first chunk.
    async fn relay_events(
        &mut self,
        dispatch: &Dispatch,
        response: Response<ResponseBody>,
    ) -> Result<Option<Instant>, RelayError> {
        let (head, mut incoming) = response.into_parts();
        let mut first_chunk_at = None;
        let mut buf = BytesMut::new();
        loop {
            let chunk = self.next_chunk(&mut incoming).await?.ok_or(RelayError::UpstreamFailed)?;
            first_chunk_at.get_or_insert_with(Instant::now);
            buf.extend_from_slice(&chunk);
            if buf.len() > MAX_EVENT_BYTES {
                return Err(RelayError::UpstreamFailed);
            }
            let Some(end) = complete_events_len(&buf) else { continue };
            let events = buf.split_to(end).freeze();
            let has_end_mark = events.windows(END_MARK.len()).any(|window| window == END_MARK);
            let last = last_event_id(&events);
            if self.response_tx.is_some() {
                self.start_response(dispatch, &head);
            }
            self.forward(events).await?;
            self.last_event_id = last.unwrap_or(self.last_event_id);
            if has_end_mark {
                self.body_tx = None;
                return Ok(first_chunk_at);
            }
        }
    }

    /// Reads a model's complete response before any of it is sent to the caller.
    ///
    /// Returns the time of the first chunk.
    async fn relay_buffered(
        &mut self,
        dispatch: &Dispatch,
        response: Response<ResponseBody>,
    ) -> Result<Option<Instant>, RelayError> {
        let (head, mut incoming) = response.into_parts();
        let mut buffered =
            SegmentBuffer::new(self.outgoing.holding.account.clone(), incoming.size_hint().exact());
        let mut first_chunk_at = None;
        while let Some(chunk) = self.next_chunk(&mut incoming).await? {
            first_chunk_at.get_or_insert_with(Instant::now);
            buffered.push_held(chunk);
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Err(RelayError::UpstreamFailed);
            }
        }
        self.handle.metrics.record_first_token(self.started.elapsed());
        let mut response = Response::from_parts(head, buffered.finish().into_body());
        self.set_response_headers(dispatch, &mut response);
        reply::set_header(&mut response, OUTCOME_HEADER, "done");
        self.send_response(response);
        Ok(first_chunk_at)
    }

    /// Forwards a plain service's body as it arrives.
    ///
    /// Returns the time of the first chunk.
    async fn relay_body(
        &mut self,
        dispatch: &Dispatch,
        response: Response<ResponseBody>,
    ) -> Result<Option<Instant>, RelayError> {
        let (head, mut incoming) = response.into_parts();
        self.start_response(dispatch, &head);
        let mut first_chunk_at = None;
        while let Some(chunk) = self.next_chunk(&mut incoming).await? {
            first_chunk_at.get_or_insert_with(Instant::now);
            self.forward(chunk).await?;
        }
        self.body_tx = None;
        Ok(first_chunk_at)
    }

    /// Returns the next chunk of an upstream's body, or `None` at its end.
    async fn next_chunk(&mut self, incoming: &mut ResponseBody) -> Result<Option<Bytes>, RelayError> {
        loop {
            let frame = tokio::select! {
                frame = incoming.frame() => frame,
                () = self.caller_gone() => return Err(RelayError::CallerGone),
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(RelayError::UpstreamFailed),
                Some(Ok(frame)) => {
                    if let Ok(mut data) = frame.into_data() {
                        return Ok(Some(data.copy_to_bytes(data.remaining())));
                    }
                }
            }
        }
    }

    /// Starts the response with the upstream's status and headers; its body follows in chunks.
    fn start_response(&mut self, dispatch: &Dispatch, head: &hyper::http::response::Parts) {
        let (body_tx, body) = body::channel(BUFFERED_CHUNKS);
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers.clone();
        self.set_response_headers(dispatch, &mut response);
        self.body_tx = Some(body_tx);
        self.send_response(response);
    }

    fn set_response_headers(&self, dispatch: &Dispatch, response: &mut Response<Body>) {
        for name in ["connection", "transfer-encoding", "keep-alive", START_STAMP_HEADER] {
            response.headers_mut().remove(name);
        }
        reply::set_header(response, REQUEST_HEADER, &self.request.to_string());
        reply::set_header(response, AFFINITY_HEADER, &dispatch.upstream.0);
    }

    async fn forward(&mut self, payload: Bytes) -> Result<(), RelayError> {
        let now = Instant::now();
        match self.last_chunk_at.replace(now) {
            Some(last) => self.handle.metrics.record_token_gap(now.duration_since(last)),
            None => self.handle.metrics.record_first_token(self.started.elapsed()),
        }
        let Some(body_tx) = &self.body_tx else { return Err(RelayError::CallerGone) };
        body_tx.send(Ok(payload)).await.map_err(|_| RelayError::CallerGone)
    }
}

/// Returns the length of the complete events at the start of a buffer.
fn complete_events_len(buf: &[u8]) -> Option<usize> {
    buf.windows(2).rposition(|pair| pair == b"\n\n").map(|position| position + 2)
}

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    text.lines().rev().find_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
}

/// Cancels a request at an engine whose response is no longer needed.
async fn cancel(address: std::net::SocketAddr, request: RequestId) {
    let path = format!("/v1/streams/{request}");
    if let Ok(request) = client::request("DELETE", address, &path, body::full("")) {
        // Errors are ignored: the engine also detects abandoned requests by itself, though later.
        let _ = client::fetch(address, request, 1_024, CANCEL_TIMEOUT).await;
    }
}
