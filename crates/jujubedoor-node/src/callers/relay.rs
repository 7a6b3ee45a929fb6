//! Relays the answer of an upstream to the caller, whole or with an explicit end.
//!
//! A model's event stream is passed on in whole events, and the number of the last one is kept: after
//! a break the stream is continued behind it. A stream without its end mark, or a body that broke,
//! never looks complete to the caller.

use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor::event::Dial;
use jujubedoor::ids::RequestId;
use jujubedoor::message::Completed;
use jujubedoor::message::Ended;
use jujubedoor::outcome::Refusal;
use jujubedoor_http::Body;
use jujubedoor_http::BodyError;
use jujubedoor_http::FetchError;
use jujubedoor_http::body;
use jujubedoor_http::client;
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

/// How many parts of an answer wait for a slow caller.
const PARTS: usize = 16;

/// The largest answer that is collected before it is passed on, in bytes.
const WHOLE_BYTES: usize = 32 << 20;

/// The largest event of a stream, in bytes.
const EVENT_BYTES: usize = 4 << 20;

/// The end mark of an event stream.
const DONE: &[u8] = b"data: [DONE]";

/// How long the cancellation of a stream may take.
const CANCEL: Duration = Duration::from_secs(1);

/// The relay between a caller and the upstreams that are tried for it.
pub struct Relay {
    handle: Handle,
    request: RequestId,
    outgoing: Outgoing,
    head: Option<oneshot::Sender<Response<Body>>>,
    parts: Option<mpsc::Sender<Result<Bytes, BodyError>>>,
    last_event: u64,
    started: Instant,
    last_part: Option<Instant>,
}

/// How an attempt ended.
pub struct Attempt {
    /// How it ended for the reducer.
    pub ended: Ended,
    /// Whether the caller has received a part of the answer.
    pub delivered: bool,
}

impl Attempt {
    /// Tells whether no instruction can follow.
    pub fn is_last(&self) -> bool {
        matches!(self.ended, Ended::Completed(_) | Ended::Cancelled)
    }
}

/// Why the relay of an answer stopped.
enum Stopped {
    CallerGone,
    Broken,
}

impl Relay {
    /// Creates a relay that has answered nothing yet.
    pub fn new(
        handle: Handle,
        request: RequestId,
        outgoing: Outgoing,
        head: oneshot::Sender<Response<Body>>,
        started: Instant,
    ) -> Self {
        Self {
            handle,
            request,
            outgoing,
            head: Some(head),
            parts: None,
            last_event: 0,
            started,
            last_part: None,
        }
    }

    /// Waits until the caller is gone.
    pub async fn caller_gone(&mut self) {
        match (&mut self.head, &self.parts) {
            (Some(head), _) => head.closed().await,
            (None, Some(parts)) => parts.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Tells whether the caller has received the head of an answer.
    pub fn has_answered(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a whole response.
    pub fn answer(&mut self, response: Response<Body>) {
        if let Some(head) = self.head.take() {
            // The caller may be gone; then nobody needs the response.
            let _ = head.send(response);
        }
    }

    /// Ends an answer that cannot be completed: an error event, or a broken body.
    pub async fn break_off(&mut self, refusal: &Refusal) {
        let Some(parts) = self.parts.take() else { return };
        if self.outgoing.streams {
            let error = reply::describe(refusal, &self.request.to_string(), "the stream broke");
            let _ = parts.send(Ok(Bytes::from(format!("event: error\ndata: {error}\n\n")))).await;
            return;
        }
        let _ = parts.send(Err(BodyError::Incomplete("the upstream was lost".into()))).await;
    }

    /// Sends the request to an upstream and relays its answer.
    pub async fn attempt(&mut self, dial: &Dial) -> Attempt {
        let left = self.handle.clock.duration_until(dial.deadline);
        if left.is_zero() {
            return self.ended(Ended::Unsent);
        }
        let address = dial.address;
        let Ok(request) = self.build(dial) else { return self.ended(Ended::Unsent) };
        let began = Instant::now();
        let exchange = self.exchange(dial, request, began);
        let ended = tokio::time::timeout(left, exchange).await.unwrap_or(Ended::Lost);
        let abandoned = ended == Ended::Cancelled || (ended == Ended::Lost && began.elapsed() >= left);
        if abandoned && self.outgoing.model {
            tokio::spawn(cancel(address, self.request));
        }
        self.ended(ended)
    }

    fn ended(&self, ended: Ended) -> Attempt {
        Attempt { ended, delivered: self.has_answered() }
    }

    fn build(&self, dial: &Dial) -> Result<Request<Body>, FetchError> {
        let Outgoing { method, path, headers, body, .. } = &self.outgoing;
        let mut builder = Request::builder().method(method.as_str()).uri(path.as_str());
        for (name, value) in headers {
            builder = builder.header(name.as_str(), value.as_slice());
        }
        builder = builder.header("host", dial.address.to_string());
        builder = builder.header("x-request-id", self.request.to_string());
        if dial.resume {
            builder = builder.header("last-event-id", self.last_event.to_string());
        }
        Ok(builder.body(body::full(body.clone()))?)
    }

    async fn exchange(&mut self, dial: &Dial, request: Request<Body>, began: Instant) -> Ended {
        let sent = tokio::select! {
            sent = client::send(dial.address, request) => sent,
            () = self.caller_gone() => return Ended::Cancelled,
        };
        let response = match sent {
            Ok(response) => response,
            Err(e) if e.is_unsent() => return Ended::Unsent,
            Err(_) => return Ended::Lost,
        };
        let status = response.status().as_u16();
        if self.outgoing.model && matches!(status, 429 | 503) {
            return Ended::Busy;
        }
        if dial.resume && status != 200 {
            return Ended::Lost;
        }
        let start = super::start_stamp(response.headers());
        let first_ms = millis(began.elapsed());
        let relayed = if self.outgoing.streams && status == 200 {
            self.relay_events(dial, response).await
        } else if self.outgoing.model {
            self.relay_whole(dial, response).await
        } else {
            self.relay_body(dial, response).await
        };
        match relayed {
            Ok(first) => {
                let first_ms = first.map_or(first_ms, |at| millis(at.duration_since(began)));
                Ended::Completed(Completed { first_ms, start })
            }
            Err(Stopped::CallerGone) => Ended::Cancelled,
            Err(Stopped::Broken) => Ended::Lost,
        }
    }

    /// Passes an event stream on in whole events, up to and with its end mark.
    async fn relay_events(
        &mut self,
        dial: &Dial,
        response: Response<Incoming>,
    ) -> Result<Option<Instant>, Stopped> {
        let (head, mut incoming) = response.into_parts();
        let mut first = None;
        let mut buf = BytesMut::new();
        loop {
            let chunk = self.next_chunk(&mut incoming).await?.ok_or(Stopped::Broken)?;
            first.get_or_insert_with(Instant::now);
            buf.extend_from_slice(&chunk);
            if buf.len() > EVENT_BYTES {
                return Err(Stopped::Broken);
            }
            let Some(end) = end_of_events(&buf) else { continue };
            let events = buf.split_to(end).freeze();
            let done = events.windows(DONE.len()).any(|window| window == DONE);
            let last = last_event(&events);
            if self.head.is_some() {
                self.start_stream(dial, &head);
            }
            self.pass_on(events).await?;
            self.last_event = last.unwrap_or(self.last_event);
            if done {
                self.parts = None;
                return Ok(first);
            }
        }
    }

    /// Collects a model's whole answer before the caller gets any of it.
    async fn relay_whole(
        &mut self,
        dial: &Dial,
        response: Response<Incoming>,
    ) -> Result<Option<Instant>, Stopped> {
        let (head, mut incoming) = response.into_parts();
        let mut whole = BytesMut::new();
        let mut first = None;
        while let Some(chunk) = self.next_chunk(&mut incoming).await? {
            first.get_or_insert_with(Instant::now);
            whole.extend_from_slice(&chunk);
            if whole.len() > WHOLE_BYTES {
                return Err(Stopped::Broken);
            }
        }
        self.handle.metrics.record_first_token(self.started.elapsed());
        let mut response = Response::from_parts(head, body::full(whole.freeze()));
        self.label(dial, &mut response);
        reply::put(&mut response, OUTCOME_HEADER, "done");
        self.answer(response);
        Ok(first)
    }

    /// Passes a plain service's body on as it comes.
    async fn relay_body(
        &mut self,
        dial: &Dial,
        response: Response<Incoming>,
    ) -> Result<Option<Instant>, Stopped> {
        let (head, mut incoming) = response.into_parts();
        self.start_stream(dial, &head);
        let mut first = None;
        while let Some(chunk) = self.next_chunk(&mut incoming).await? {
            first.get_or_insert_with(Instant::now);
            self.pass_on(chunk).await?;
        }
        self.parts = None;
        Ok(first)
    }

    async fn next_chunk(&mut self, incoming: &mut Incoming) -> Result<Option<Bytes>, Stopped> {
        loop {
            let frame = tokio::select! {
                frame = incoming.frame() => frame,
                () = self.caller_gone() => return Err(Stopped::CallerGone),
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(Stopped::Broken),
                Some(Ok(frame)) => {
                    if let Ok(mut data) = frame.into_data() {
                        return Ok(Some(data.copy_to_bytes(data.remaining())));
                    }
                }
            }
        }
    }

    /// Answers with the head of the upstream's response and a body that follows.
    fn start_stream(&mut self, dial: &Dial, head: &hyper::http::response::Parts) {
        let (parts, body) = body::channel(PARTS);
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers.clone();
        self.label(dial, &mut response);
        self.parts = Some(parts);
        self.answer(response);
    }

    fn label(&self, dial: &Dial, response: &mut Response<Body>) {
        for name in ["connection", "transfer-encoding", "keep-alive", START_STAMP_HEADER] {
            response.headers_mut().remove(name);
        }
        reply::put(response, REQUEST_HEADER, &self.request.to_string());
        reply::put(response, AFFINITY_HEADER, &dial.upstream.0);
    }

    async fn pass_on(&mut self, part: Bytes) -> Result<(), Stopped> {
        let now = Instant::now();
        match self.last_part.replace(now) {
            Some(last) => self.handle.metrics.record_token_gap(now.duration_since(last)),
            None => self.handle.metrics.record_first_token(self.started.elapsed()),
        }
        let Some(parts) = &self.parts else { return Err(Stopped::CallerGone) };
        parts.send(Ok(part)).await.map_err(|_| Stopped::CallerGone)
    }
}

/// Returns the length of the whole events at the start of a buffer.
fn end_of_events(buf: &[u8]) -> Option<usize> {
    buf.windows(2).rposition(|pair| pair == b"\n\n").map(|position| position + 2)
}

/// Returns the number of the last numbered event.
fn last_event(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    text.lines().rev().find_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
}

/// Tells an engine that nobody waits for a stream any more.
async fn cancel(address: std::net::SocketAddr, request: RequestId) {
    let path = format!("/v1/streams/{request}");
    if let Ok(request) = client::request("DELETE", address, &path, body::full("")) {
        // The engine also notices by itself after a while.
        let _ = client::fetch(address, request, 1_024, CANCEL).await;
    }
}
