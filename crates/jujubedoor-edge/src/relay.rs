//! Passes a stream on to the caller as it arrives, and lets it go on at another upstream where that is
//! allowed.

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use jujubedoor_http::Body;
use jujubedoor_http::BodyError;
use jujubedoor_routing::Event;
use jujubedoor_routing::event::Dial;
use jujubedoor_routing::event::Ended;
use jujubedoor_routing::event::Signs;
use tokio::time::Instant;

use crate::core::Handle;
use crate::core::Instruction;
use crate::core::OpenRequest;
use crate::events::Events;
use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::Whole;
use crate::pool::Line;

/// A stream on its way from an upstream to a caller.
struct Relay {
    edge: Handle,
    open: OpenRequest,
    whole: Whole,
    events: Option<Events>,
    source: Option<Source>,
    began: bool,
}

/// The upstream's end of a stream.
struct Source {
    body: Incoming,
    line: Line,
    idle_ms: Option<u64>,
    load: Option<u32>,
    until: Instant,
}

/// What a stream brings next.
enum Next {
    Data(Bytes),
    End,
    Over(Ended),
}

/// Starts to pass an answer on.
pub fn start(
    edge: Handle,
    open: OpenRequest,
    whole: Whole,
    answer: Answer,
    after: Option<String>,
    resumable: bool,
) -> Response<Body> {
    let write_answer = edge.dialect.write_answer;
    let (mut head, source) = split(answer);
    write_answer(&mut head.headers);
    let events = resumable.then(|| Events::after(after));
    let relay = Relay { edge, open, whole, events, source: Some(source), began: false };
    let frames = stream::unfold(Some(relay), |relay| async move { next(relay?).await });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

fn split(answer: Answer) -> (hyper::http::response::Parts, Source) {
    let (head, body) = answer.response.into_parts();
    let source = Source {
        body,
        line: answer.line,
        idle_ms: answer.told.idle_ms,
        load: answer.told.load,
        until: answer.until,
    };
    (head, source)
}

type Step = Option<(Result<Frame<Bytes>, BodyError>, Option<Relay>)>;

/// Returns the next bytes for the caller; an error breaks the caller's connection.
async fn next(mut relay: Relay) -> Step {
    loop {
        let Some(source) = &mut relay.source else { return None };
        match read(source).await {
            Next::Data(bytes) => {
                relay.note_began();
                let ready = match &mut relay.events {
                    Some(events) => events.push(&bytes),
                    None => Some(bytes),
                };
                if let Some(ready) = ready {
                    return Some((Ok(Frame::data(ready)), Some(relay)));
                }
            }
            Next::End => return relay.finish(),
            Next::Over(ended) => {
                if !relay.go_on(ended).await {
                    let broken = BodyError::Incomplete("the upstream broke the stream off".into());
                    return Some((Err(broken), None));
                }
            }
        }
    }
}

async fn read(source: &mut Source) -> Next {
    match tokio::time::timeout_at(source.until, source.body.frame()).await {
        Ok(Some(Ok(frame))) => Next::Data(frame.into_data().unwrap_or_default()),
        Ok(Some(Err(e))) => {
            log::debug!("a stream broke: {e}");
            Next::Over(Ended::Broken)
        }
        Ok(None) => Next::End,
        Err(_) => Next::Over(Ended::Silent),
    }
}

impl Relay {
    fn note_began(&mut self) {
        if !self.began {
            self.began = true;
            let load = self.source.as_ref().and_then(|s| s.load);
            self.edge.submit(Event::Began(self.open.id, Signs { load }));
        }
    }

    /// Ends a stream that arrived whole.
    fn finish(mut self) -> Step {
        self.edge.submit(Event::Ended(self.open.id, Ended::Whole));
        if let Some(source) = self.source.take() {
            self.edge.pool.keep(source.line, source.idle_ms);
        }
        let rest = self.events.as_mut().map(Events::take_rest).filter(|rest| !rest.is_empty())?;
        Some((Ok(Frame::data(rest)), Some(self)))
    }

    /// Goes on at another upstream if the reducer finds one; tells whether the stream goes on.
    async fn go_on(&mut self, mut ended: Ended) -> bool {
        self.source = None;
        loop {
            self.edge.submit(Event::Ended(self.open.id, ended));
            let Some(Instruction::Dial(dial)) = self.open.instructions.recv().await else { return false };
            match self.resume(&dial).await {
                Ok(source) => {
                    self.source = Some(source);
                    self.began = false;
                    return true;
                }
                Err(again) => ended = again,
            }
        }
    }

    async fn resume(&mut self, dial: &Dial) -> Result<Source, Ended> {
        let events = self.events.as_mut().ok_or(Ended::Broken)?;
        events.take_rest();
        let answer = exchange::attempt(&self.edge, &self.whole, dial, events.last()).await?;
        let status = answer.response.status();
        if !status.is_success() {
            return Err(Ended::Failed(status.as_u16()));
        }
        Ok(split(answer).1)
    }
}
