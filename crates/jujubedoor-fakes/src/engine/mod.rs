//! A fake model engine.
//!
//! The engine has a limited number of batch slots and a prefix cache of limited size. A prompt that is
//! not cached costs more prefill time. After a start or restart the engine is in cold start until it
//! has completed some calls. Its load reports are delayed.
//!
//! Responses are streamed as numbered server-sent events. A stream is retained for a while after its
//! connection was lost, so that a client can resume it, and it can be cancelled with a request. A prompt
//! that contains the word `CRASH` crashes the engine.

mod config;
mod state;
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

use crate::server::RestartableServer;
use crate::server::Shared;
use crate::server::lock;

pub use config::EngineConfig;
use state::EngineState;
pub use state::Totals;
use stream::Prompt;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A running fake model engine.
#[derive(Clone)]
pub struct Engine {
    config: EngineConfig,
    server: Arc<RestartableServer>,
    state: Shared<EngineState>,
}

impl Engine {
    /// Starts the engine at an address. With port 0 the operating system chooses the port.
    pub async fn start(address: SocketAddr, config: EngineConfig) -> std::io::Result<Self> {
        let (server, listener) = RestartableServer::bind(address).await?;
        let state = Arc::new(Mutex::new(EngineState::new(&config)));
        let engine = Self { config, server: Arc::new(server), state };
        engine.serve(listener);
        Ok(engine)
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters since the engine was created.
    pub fn totals(&self) -> Totals {
        lock(&self.state).totals
    }

    /// Returns the number of calls that are running or waiting for a batch slot.
    pub fn active_calls(&self) -> u32 {
        lock(&self.state).active_calls()
    }

    /// Crashes the engine: closes all connections, clears the cache and refuses new connections.
    pub fn crash(&self) {
        self.server.close();
        lock(&self.state).totals.crashes += 1;
        lock(&self.state).restart(&self.config);
    }

    /// Starts the engine again after a crash. It accepts connections and is in cold start.
    pub async fn restart(&self) -> std::io::Result<()> {
        lock(&self.state).restart(&self.config);
        let listener = self.server.reopen().await?;
        self.serve(listener);
        Ok(())
    }

    /// Clears the cache and returns to cold start without closing the listener.
    ///
    /// Clients see no connection error; only the start number in responses and load reports changes.
    pub fn restart_in_place(&self) {
        lock(&self.state).restart(&self.config);
    }

    /// Closes the connections of all streams. The engine continues to generate, so that they can be resumed.
    pub fn disconnect_streams(&self) {
        lock(&self.state).disconnect_streams();
    }

    fn serve(&self, listener: tokio::net::TcpListener) {
        let handle = self.clone();
        self.server.serve(listener, move |request| {
            let engine = handle.clone();
            async move { engine.serve_request(request).await }
        });
    }

    async fn serve_request(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/load") => body::json(200, &lock(&self.state).load_report(&self.config)),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.serve_completion(request).await
            }
            (&Method::DELETE, path) => {
                lock(&self.state).cancel_stream(path.trim_start_matches("/v1/streams/"));
                body::json(200, &true)
            }
            _ => body::respond(404, "text/plain", "no such path"),
        }
    }

    async fn serve_completion(&self, request: Request<Incoming>) -> Response<Body> {
        let header =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let id = header("x-request-id").unwrap_or_default();
        let after = header("last-event-id").and_then(|text| text.parse().ok());
        let Ok(bytes) = body::collect(request.into_body(), MAX_BODY_BYTES).await else {
            return body::respond(400, "text/plain", "the body did not arrive");
        };
        let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
            return body::respond(400, "text/plain", "the body is not JSON");
        };
        if let Some(after) = after {
            return stream::resume(self, &id, after);
        }
        let prompt = Prompt::from_json(&value, &self.config);
        if prompt.text.contains("CRASH") {
            let engine = self.clone();
            let restart_delay = Duration::from_millis(self.config.restart_delay_ms);
            tokio::spawn(async move {
                engine.crash();
                tokio::time::sleep(restart_delay).await;
                let _ = engine.restart().await;
            });
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        stream::start(self, id, prompt).await
    }

    /// Adds the header that identifies the current start of the engine.
    fn with_start_header(&self, response: Response<Body>) -> Response<Body> {
        let mut response = response;
        let start_id = lock(&self.state).start_id.to_string();
        if let Ok(value) = start_id.parse() {
            response.headers_mut().insert("x-engine-start", value);
        }
        response
    }

    /// Returns the response to a completion request without streaming.
    fn complete_response(&self, text: &str) -> Response<Body> {
        let completion =
            json!({"choices": [{"message": {"role": "assistant", "content": text}, "text": text}]});
        self.with_start_header(body::json(200, &completion))
    }
}
