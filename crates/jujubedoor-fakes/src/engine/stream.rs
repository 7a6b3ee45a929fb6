//! Streams of a stand-in engine: one task generates, each connection follows it.

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
use super::model::Stream;
use crate::listen::lock;

/// How many events wait for a slow connection.
const EVENTS: usize = 16;

/// What a request asks for.
pub struct Prompt {
    /// The text of all messages.
    pub text: String,
    chat: String,
    marker: String,
    tokens: u64,
    streams: bool,
}

impl Prompt {
    /// Reads a request body.
    pub fn read(value: &Value, config: &EngineConfig) -> Self {
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
            streams: value["stream"].as_bool().unwrap_or(false),
            text,
        }
    }
}

/// Starts to generate an answer and streams it or returns it whole.
pub async fn start(engine: &Engine, id: String, prompt: Prompt) -> Response<Body> {
    let stream = Stream {
        generated: watch::channel(0).0,
        length: prompt.tokens,
        cancelled: watch::channel(false).0,
        cuts: watch::channel(0).0,
        marker: prompt.marker.clone(),
    };
    let (start, slots) = {
        let mut model = lock(&engine.model);
        model.arrive(&engine.config);
        model.streams.insert(id.clone(), stream.clone());
        (model.start, model.slots.clone())
    };

    let generator = generate(engine.clone(), stream.clone(), prompt.chat, slots);
    let ended = engine.clone();
    tokio::spawn(async move {
        let whole = generator.await;
        lock(&ended.model).end(start, whole);
        tokio::time::sleep(Duration::from_millis(ended.config.stream_retention_ms)).await;
        lock(&ended.model).streams.remove(&id);
    });
    if prompt.streams {
        return follow(engine, stream, 0);
    }
    let guard = CancelOnDrop(Some(stream.cancelled.clone()));
    let mut generated = stream.generated.subscribe();
    let _ = generated.wait_for(|count| *count >= stream.length).await;
    guard.defuse();
    let words: Vec<_> = (1..=stream.length).map(|n| word(&stream, n)).collect();
    engine.whole(&words.join(" "))
}

/// Cancels a stream whose connection ended before the whole answer was generated.
struct CancelOnDrop(Option<watch::Sender<bool>>);

impl CancelOnDrop {
    fn defuse(mut self) {
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

/// Continues a stream after an event.
pub fn resume(engine: &Engine, id: &str, after: u64) -> Response<Body> {
    let stream = lock(&engine.model).streams.get(id).cloned();
    match stream {
        Some(stream) if !*stream.cancelled.borrow() => follow(engine, stream, after),
        _ => body::respond(410, "text/plain", "the stream is gone"),
    }
}

/// Generates the tokens of an answer and tells whether all were generated.
async fn generate(
    engine: Engine,
    stream: Stream,
    chat: String,
    slots: std::sync::Arc<tokio::sync::Semaphore>,
) -> bool {
    let mut cancelled = stream.cancelled.subscribe();
    let mut up = engine.listen.up();
    let work = async {
        let _slot = slots.acquire().await;
        let hit = lock(&engine.model).prefill(&chat);
        let prefill_ms = if hit { engine.config.cached_prefill_ms } else { engine.config.prefill_ms };
        tokio::time::sleep(Duration::from_millis(prefill_ms)).await;
        for n in 1..=stream.length {
            if n > 1 {
                tokio::time::sleep(Duration::from_millis(engine.config.token_ms)).await;
            }
            stream.generated.send_replace(n);
        }
    };
    tokio::select! {
        () = work => true,
        _ = cancelled.wait_for(|cancelled| *cancelled) => false,
        _ = up.wait_for(|up| !up) => false,
    }
}

/// Streams the events of an answer from the one after a number on.
fn follow(engine: &Engine, stream: Stream, after: u64) -> Response<Body> {
    let (tx, body) = body::channel(EVENTS);
    let linger = Duration::from_millis(engine.config.stream_retention_ms);
    let mut up = engine.listen.up();
    let mut cuts = stream.cuts.subscribe();
    tokio::spawn(async move {
        let cut = tokio::select! {
            done = send_events(&tx, &stream, after) => !done,
            _ = up.wait_for(|up| !up) => true,
            _ = cuts.changed() => true,
        };
        if !cut {
            return;
        }
        let _ = tx.send(Err(BodyError::Incomplete("cut".into()))).await;
        drop(tx);
        // Nobody may come back for the stream.
        tokio::time::sleep(linger).await;
        if stream.generated.receiver_count() == 0 {
            stream.cancelled.send_replace(true);
        }
    });
    let mut response = Response::new(body);
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    engine.stamped(response)
}

async fn send_events(
    tx: &tokio::sync::mpsc::Sender<Result<Bytes, BodyError>>,
    stream: &Stream,
    after: u64,
) -> bool {
    let mut generated = stream.generated.subscribe();
    for n in after + 1..=stream.length {
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
    let delta = json!({"choices": [{"delta": {"content": format!("{} ", word(stream, n))}}]});
    Bytes::from(format!("id: {n}\ndata: {delta}\n\n"))
}

fn word(stream: &Stream, n: u64) -> String {
    format!("{}#{n}", stream.marker)
}
