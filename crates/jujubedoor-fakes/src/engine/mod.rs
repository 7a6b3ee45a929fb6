//! A stand-in for a model engine.
//!
//! It has batch slots, a prefix cache with limited memory, prefill time on a miss, a cold start and
//! load reports that lag. It streams numbered server-sent events, keeps a stream for a while after
//! its connection broke so that it can be resumed, and cancels on request. A prompt that contains
//! the word `CRASH` crashes it.

mod config;
mod model;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor_http::Body;
use jujubedoor_http::body;
use serde_json::Value;
use serde_json::json;

use crate::listen::Listen;
use crate::listen::Shared;
use crate::listen::lock;

pub use config::EngineConfig;
use model::Model;
pub use model::Totals;
use stream::Prompt;

/// The largest request body, in bytes.
const BODY_BYTES: usize = 16 << 20;

/// A running stand-in for a model engine.
#[derive(Clone)]
pub struct Engine {
    config: EngineConfig,
    listen: Arc<Listen>,
    model: Shared<Model>,
}

impl Engine {
    /// Starts the stand-in at an address; port zero lets the system choose.
    pub async fn start(address: SocketAddr, config: EngineConfig) -> std::io::Result<Self> {
        let (listen, listener) = Listen::bind(address).await?;
        let model = Arc::new(Mutex::new(Model::new(&config)));
        let engine = Self { config, listen: Arc::new(listen), model };
        engine.serve(listener);
        Ok(engine)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.listen.address()
    }

    /// Returns what the engine counted since it was created.
    pub fn totals(&self) -> Totals {
        lock(&self.model).totals
    }

    /// Returns the calls that are running.
    pub fn active_calls(&self) -> u32 {
        lock(&self.model).active_calls()
    }

    /// Breaks all streams, forgets the cache and refuses connections.
    pub fn crash(&self) {
        self.listen.close();
        lock(&self.model).totals.crashes += 1;
        lock(&self.model).restart(&self.config);
    }

    /// Accepts connections again, in cold start.
    pub async fn restart(&self) -> std::io::Result<()> {
        lock(&self.model).restart(&self.config);
        let listener = self.listen.open().await?;
        self.serve(listener);
        Ok(())
    }

    /// Forgets the cache and restarts without closing the listener: warm turns cold without warning.
    pub fn restart_in_place(&self) {
        lock(&self.model).restart(&self.config);
    }

    /// Breaks the connections of all streams; the streams themselves go on.
    pub fn disconnect_streams(&self) {
        lock(&self.model).disconnect_streams();
    }

    fn serve(&self, listener: tokio::net::TcpListener) {
        let handle = self.clone();
        self.listen.serve(listener, move |request| {
            let engine = handle.clone();
            async move { engine.answer(request).await }
        });
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/load") => body::json(200, &lock(&self.model).report(&self.config)),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => self.complete(request).await,
            (&Method::DELETE, path) => {
                lock(&self.model).cancel(path.trim_start_matches("/v1/streams/"));
                body::json(200, &true)
            }
            _ => body::respond(404, "text/plain", "no such path"),
        }
    }

    async fn complete(&self, request: Request<Incoming>) -> Response<Body> {
        let header =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let id = header("x-request-id").unwrap_or_default();
        let after = header("last-event-id").and_then(|text| text.parse().ok());
        let Ok(bytes) = body::collect(request.into_body(), BODY_BYTES).await else {
            return body::respond(400, "text/plain", "the body did not arrive");
        };
        let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
            return body::respond(400, "text/plain", "the body is not JSON");
        };
        if let Some(after) = after {
            return stream::resume(self, &id, after);
        }
        let prompt = Prompt::read(&value, &self.config);
        if prompt.text.contains("CRASH") {
            let engine = self.clone();
            let down = Duration::from_millis(self.config.restart_delay_ms);
            tokio::spawn(async move {
                engine.crash();
                tokio::time::sleep(down).await;
                let _ = engine.restart().await;
            });
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        stream::start(self, id, prompt).await
    }

    /// Returns the headers that every answer carries.
    fn stamped(&self, response: Response<Body>) -> Response<Body> {
        let mut response = response;
        let start = lock(&self.model).start.to_string();
        if let Ok(value) = start.parse() {
            response.headers_mut().insert("x-engine-start", value);
        }
        response
    }

    fn whole(&self, text: &str) -> Response<Body> {
        let answer = json!({"choices": [{"message": {"role": "assistant", "content": text}, "text": text}]});
        self.stamped(body::json(200, &answer))
    }
}
