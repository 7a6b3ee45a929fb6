//! Streams of a fake engine.
//!
//! One task generates the events of a stream. Each connection to the stream sends the events that were
//! generated so far and waits for the next ones, so a stream outlives its connection and can be resumed.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use jujubedoor_http::Body;
use jujubedoor_http::BodyError;
use jujubedoor_http::body;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use super::Engine;
use super::EngineConfig;
use super::state::Stream;
use crate::server::lock;

/// Maximum number of events buffered for a slow connection.
const MAX_QUEUED_EVENTS: usize = 16;

/// The parsed body of a completion request.
pub struct Prompt {
    /// Text of all messages.
    pub text: String,
    chat: String,
    marker: String,
    tokens: u64,
    streamed: bool,
}

impl Prompt {
    /// Parses a request body. The cache key is the chat id or, without one, the first message.
    pub fn from_json(value: &Value, config: &EngineConfig) -> Self {
        let messages = value["messages"].as_array().map(Vec::as_slice).unwrap_or_default();
        let contents = messages.iter().filter_map(|message| message["content"].as_str());
        let mut text = contents.collect::<Vec<_>>().join("\n");
        text.push_str(value["prompt"].as_str().unwrap_or_default());
        let first = messages.first().and_then(|message| message["content"].as_str()).unwrap_or(&text);
        let chat = value["chat_id"].as_str().unwrap_or(first).to_owned();
        let marker = text.rsplit('\n').next().unwrap_or_default().to_owned();
        Self {
            chat,
            marker,
            tokens: value["max_tokens"].as_u64().unwrap_or(config.default_tokens),
            streamed: value["stream"].as_bool().unwrap_or(false),
            text,
        }
    }
}

/// Starts to generate a response. Streams it, or returns it when it is complete.
pub async fn start(engine: &Engine, id: String, prompt: Prompt) -> Response<Body> {
    let stream = Stream {
        generated: watch::channel(0).0,
        total_events: prompt.tokens,
        cancelled: watch::channel(false).0,
        disconnects: watch::channel(0).0,
        marker: prompt.marker.clone(),
    };
    let (start_id, slots) = {
        let mut state = lock(&engine.state);
        state.record_arrival(&engine.config);
        state.streams.insert(id.clone(), stream.clone());
        (state.start_id, state.slots.clone())
    };

    let generator = generate(engine.clone(), stream.clone(), prompt.chat, slots);
    let owned_engine = engine.clone();
    tokio::spawn(async move {
        let complete = generator.await;
        lock(&owned_engine.state).record_end(start_id, complete);
        tokio::time::sleep(Duration::from_millis(owned_engine.config.stream_retention_ms)).await;
        lock(&owned_engine.state).streams.remove(&id);
    });
    if prompt.streamed {
        return event_stream_response(engine, stream, 0);
    }
    let guard = CancelOnDrop(Some(stream.cancelled.clone()));
    let mut generated = stream.generated.subscribe();
    let _ = generated.wait_for(|count| *count >= stream.total_events).await;
    guard.disarm();
    let token_texts: Vec<_> = (1..=stream.total_events).map(|n| token_text(&stream, n)).collect();
    engine.complete_response(&token_texts.join(" "))
}

/// Cancels a stream when the connection of a request without streaming is closed before the response is
/// complete.
struct CancelOnDrop(Option<watch::Sender<bool>>);

impl CancelOnDrop {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(cancelled) = &self.0 {
            cancelled.send_replace(true);
        }
    }
}

/// Resumes a stream after the event with a number.
pub fn resume(engine: &Engine, id: &str, after: u64) -> Response<Body> {
    let stream = lock(&engine.state).streams.get(id).cloned();
    match stream {
        Some(stream) if !*stream.cancelled.borrow() => event_stream_response(engine, stream, after),
        _ => body::respond(410, "text/plain", "the stream is gone"),
    }
}

/// Generates the tokens of a response. Returns whether all of them were generated.
///
/// Generation stops early if the stream is cancelled or the engine crashes.
async fn generate(
    engine: Engine,
    stream: Stream,
    chat: String,
    slots: std::sync::Arc<tokio::sync::Semaphore>,
) -> bool {
    let mut cancelled = stream.cancelled.subscribe();
    let mut is_open = engine.server.subscribe_open();
    let work = async {
        let _slot = slots.acquire().await;
        let hit = lock(&engine.state).prefill(&chat);
        let prefill_ms = if hit { engine.config.cached_prefill_ms } else { engine.config.prefill_ms };
        tokio::time::sleep(Duration::from_millis(prefill_ms)).await;
        for n in 1..=stream.total_events {
            if n > 1 {
                tokio::time::sleep(Duration::from_millis(engine.config.token_ms)).await;
            }
            stream.generated.send_replace(n);
        }
    };
    tokio::select! {
        () = work => true,
        _ = cancelled.wait_for(|cancelled| *cancelled) => false,
        _ = is_open.wait_for(|is_open| !is_open) => false,
    }
}

/// Returns a response that streams the events after the one with a number.
fn event_stream_response(engine: &Engine, stream: Stream, after: u64) -> Response<Body> {
    let (tx, body) = body::channel(MAX_QUEUED_EVENTS);
    let retention = Duration::from_millis(engine.config.stream_retention_ms);
    let mut is_open = engine.server.subscribe_open();
    let mut disconnects = stream.disconnects.subscribe();
    tokio::spawn(async move {
        let disconnected = tokio::select! {
            done = send_events(&tx, &stream, after) => !done,
            _ = is_open.wait_for(|is_open| !is_open) => true,
            _ = disconnects.changed() => true,
        };
        if !disconnected {
            return;
        }
        let _ = tx.send(Err(BodyError::Incomplete("cut".into()))).await;
        drop(tx);
        // The client may not return. Unless another connection follows the stream, cancel it.
        tokio::time::sleep(retention).await;
        if stream.generated.receiver_count() == 0 {
            stream.cancelled.send_replace(true);
        }
    });
    let mut response = Response::new(body);
    let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", content_type);
    engine.with_start_header(response)
}

/// Sends the events after the one with a number. Returns whether all events were sent.
async fn send_events(
    tx: &tokio::sync::mpsc::Sender<Result<Bytes, BodyError>>,
    stream: &Stream,
    after: u64,
) -> bool {
    let mut generated = stream.generated.subscribe();
    for n in after + 1..=stream.total_events {
        let ready = tokio::select! {
            ready = generated.wait_for(|count| *count >= n) => ready.is_ok(),
            () = tx.closed() => false,
        };
        if !ready || tx.send(Ok(event(stream, n))).await.is_err() {
            return false;
        }
    }
    tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await.is_ok()
}

fn event(stream: &Stream, n: u64) -> Bytes {
    let delta = json!({"choices": [{"delta": {"content": format!("{} ", token_text(stream, n))}}]});
    Bytes::from(format!("id: {n}\ndata: {delta}\n\n"))
}

fn token_text(stream: &Stream, n: u64) -> String {
    format!("{}#{n}", stream.marker)
}
