//! Forwards a stream to the caller as it arrives and, if the route allows it, resumes it at another upstream
//! after a failure.

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use jujubedoor_http::Body;
use jujubedoor_http::BodyError;
use jujubedoor_node::clock::millis;
use jujubedoor_routing::Event;
use jujubedoor_routing::event::AttemptOutcome;
use jujubedoor_routing::event::Dispatch;
use jujubedoor_routing::event::ResponseSignals;
use jujubedoor_routing::event::UpstreamLoad;
use tokio::time::Instant;

use crate::core::Handle;
use crate::core::Instruction;
use crate::core::OpenRequest;
use crate::event_buffer::EventBuffer;
use crate::exchange;
use crate::exchange::BufferedRequest;
use crate::exchange::UpstreamResponse;
use crate::pool::Connection;

/// Content type of a stream of events, without its parameters.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// State of a stream that is forwarded from an upstream to a caller.
struct Relay {
    edge: Handle,
    open: OpenRequest,
    buffered: BufferedRequest,
    events: Option<EventBuffer>,
    /// Status and type of the response that the caller receives.
    kind: ResponseKind,
    source: Option<Source>,
    start_reported: bool,
    /// Whether it was reported that the current connection has been open for long enough to show the run behind it.
    run_reported: bool,
}

/// What a response that continues a stream must have in common with the one that began it.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ResponseKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl ResponseKind {
    fn of(response: &Response<Incoming>) -> Self {
        let content_type = response.headers().get(CONTENT_TYPE).cloned();
        Self { status: response.status(), content_type }
    }

    /// Returns whether the response names its type, and it is not that of a stream of events.
    fn is_other_type(&self) -> bool {
        self.content_type.as_ref().is_some_and(|value| !is_event_stream(value))
    }
}

/// The response body that the stream is currently read from.
struct Source {
    body: Incoming,
    connection: Connection,
    /// Time at which the head or bytes of the body arrived last.
    received_at: Instant,
    keep_alive_ms: Option<u64>,
    load: Option<UpstreamLoad>,
    deadline: Instant,
    ends_with_connection: bool,
}

/// Starts to forward a response and returns the response for the caller.
pub fn start(
    edge: Handle,
    open: OpenRequest,
    buffered: BufferedRequest,
    upstream_response: UpstreamResponse,
    resume_after: Option<String>,
    resumable: bool,
) -> Response<Body> {
    let open_ms = millis(upstream_response.connection.open_time());
    edge.submit(Event::StreamBegan { request: open.id, open_ms });
    let rewrite_response_headers = edge.dialect.rewrite_response_headers;
    let kind = ResponseKind::of(&upstream_response.response);
    let (mut head, source) = split_response(upstream_response);
    rewrite_response_headers(&mut head.headers);
    let has_events = resumable || kind.content_type.as_ref().is_some_and(is_event_stream);
    let events = has_events.then(|| EventBuffer::starting_after(resume_after));
    let run_reported = open_ms >= edge.settings.registration_delay_ms();
    let relay = Relay {
        edge,
        open,
        buffered,
        events,
        kind,
        source: Some(source),
        start_reported: false,
        run_reported,
    };
    let frames = stream::unfold(Some(relay), |relay| async move { next_item(relay?).await });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

fn is_event_stream(content_type: &HeaderValue) -> bool {
    let start = content_type.as_bytes().get(..EVENT_STREAM_TYPE.len());
    start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM_TYPE))
}

fn split_response(upstream_response: UpstreamResponse) -> (hyper::http::response::Parts, Source) {
    let (head, body) = upstream_response.response.into_parts();
    let source = Source {
        body,
        connection: upstream_response.connection,
        received_at: Instant::now(),
        keep_alive_ms: upstream_response.response_metadata.keep_alive_ms,
        load: upstream_response.response_metadata.load,
        deadline: upstream_response.attempt_deadline,
        ends_with_connection: upstream_response.ends_with_connection,
    };
    (head, source)
}

type StreamItem = Option<(Result<Frame<Bytes>, BodyError>, Option<Relay>)>;

/// Returns the next bytes for the caller; an error closes the caller's connection.
async fn next_item(mut relay: Relay) -> StreamItem {
    loop {
        let Some(source) = &mut relay.source else { return None };
        let read = exchange::next_data(&source.connection, &mut source.body, source.deadline).await;
        let ready = match read {
            Ok(Some(bytes)) => relay.complete_events(&bytes),
            Ok(None) => match relay.outcome_at_end().await {
                AttemptOutcome::Complete => return relay.finish(),
                outcome => Err(outcome),
            },
            Err(outcome) => Err(outcome),
        };
        match ready {
            Ok(None) => {}
            Ok(Some(ready)) => return Some((Ok(Frame::data(ready)), Some(relay))),
            Err(outcome) => {
                if !relay.fail_over(outcome).await {
                    let broken =
                        BodyError::Incomplete("the upstream failed and the stream was not resumed".into());
                    return Some((Err(broken), None));
                }
            }
        }
    }
}

impl Relay {
    /// Reports to the reducer, once for each attempt, that bytes of the response body have arrived.
    fn report_start(&mut self) {
        if !self.start_reported {
            self.start_reported = true;
            let load = self.source.as_ref().and_then(|s| s.load);
            self.edge.submit(Event::ResponseStarted(self.open.id, ResponseSignals { load }));
        }
    }

    /// Reports to the reducer, once for each attempt, that bytes have arrived over a connection that has been open for long
    /// enough to show the run behind it.
    fn report_run(&mut self) {
        let Some(source) = &mut self.source else { return };
        source.received_at = Instant::now();
        if !self.run_reported {
            self.run_reported = self.report_last_bytes();
        }
    }

    /// Reports to the reducer when bytes arrived last, if the connection had been open for long enough to show the run behind
    /// it. Returns whether that is so.
    fn report_last_bytes(&self) -> bool {
        let Some(source) = &self.source else { return false };
        let quiet_ms = millis(source.received_at.elapsed());
        let open_ms = millis(source.connection.open_time()).saturating_sub(quiet_ms);
        let is_old = open_ms >= self.edge.settings.registration_delay_ms();
        if is_old {
            self.edge.submit(Event::StreamContinued { request: self.open.id, open_ms, quiet_ms });
        }
        is_old
    }

    /// Returns the complete events up to the given bytes, or all bytes if the stream has no events.
    fn complete_events(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, AttemptOutcome> {
        self.report_start();
        self.report_run();
        let Some(events) = &mut self.events else { return Ok(Some(bytes.clone())) };
        events.push(bytes).map_err(|e| {
            log::warn!("{}: {e}", self.buffered.id);
            AttemptOutcome::ConnectionLost
        })
    }

    /// Returns how the current attempt ended, whose response has no more bytes.
    ///
    /// No stream is complete inside an event, even if its length or its chunks are. One that ends with its connection also
    /// needs an event and an upstream that is still there.
    async fn outcome_at_end(&self) -> AttemptOutcome {
        let Some(source) = &self.source else { return AttemptOutcome::Complete };
        if self.ends_inside_event(source) {
            log::warn!("{}: the stream ended inside an event", self.buffered.id);
            return AttemptOutcome::ConnectionLost;
        }
        if !source.ends_with_connection {
            return AttemptOutcome::Complete;
        }
        if self.events.is_some() && !self.start_reported {
            return AttemptOutcome::ConnectionLost;
        }
        exchange::outcome_at_end(&self.edge, &source.connection).await
    }

    /// Returns whether the bytes so far end inside an event. A response of another type without any event is a plain body,
    /// whose length or chunks show whether it is complete.
    fn ends_inside_event(&self, source: &Source) -> bool {
        let Some(events) = &self.events else { return false };
        let is_plain =
            self.kind.is_other_type() && !events.has_passed_events() && !source.ends_with_connection;
        !is_plain && !events.is_between_events()
    }

    /// Finishes a stream whose response was received completely.
    fn finish(mut self) -> StreamItem {
        self.edge.submit(Event::AttemptEnded(self.open.id, AttemptOutcome::Complete));
        if let Some(source) = self.source.take() {
            self.edge.pool.release(source.connection, source.keep_alive_ms);
        }
        let incomplete = self
            .events
            .as_mut()
            .map(EventBuffer::take_incomplete)
            .filter(|incomplete| !incomplete.is_empty())?;
        Some((Ok(Frame::data(incomplete)), Some(self)))
    }

    /// Resumes the stream at another upstream. Returns whether one was found that continues it.
    async fn fail_over(&mut self, mut outcome: AttemptOutcome) -> bool {
        self.report_last_bytes();
        self.source = None;
        loop {
            self.edge.submit(Event::AttemptEnded(self.open.id, outcome));
            let Some(Instruction::Dispatch(dispatch)) = self.open.instructions.recv().await else {
                return false;
            };
            match self.resume(&dispatch).await {
                Ok(source) => {
                    self.source = Some(source);
                    self.start_reported = false;
                    self.run_reported = false;
                    return true;
                }
                Err(cause) => outcome = cause,
            }
        }
    }

    async fn resume(&mut self, dispatch: &Dispatch) -> Result<Source, AttemptOutcome> {
        let events = self.events.as_mut().ok_or(AttemptOutcome::ConnectionLost)?;
        events.take_incomplete();
        let upstream_response =
            exchange::attempt(&self.edge, &self.buffered, dispatch, events.last_event_id()).await?;
        let status = upstream_response.response.status();
        if !status.is_success() {
            return Err(AttemptOutcome::Failed(status.as_u16()));
        }
        if ResponseKind::of(&upstream_response.response) != self.kind {
            log::warn!("{}: {} does not continue the stream", self.buffered.id, dispatch.upstream);
            return Err(AttemptOutcome::ConnectionLost);
        }
        Ok(split_response(upstream_response).1)
    }
}
