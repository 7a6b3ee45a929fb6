//! A fake plain service that records the requests it executed.
//!
//! A request with any method and path is executed by recording it, and the response repeats it. The query
//! parameter `delay_ms=N` delays the response, `bytes=N` replaces its body with one of N bytes, and
//! `break=1` closes the connection in the middle of the body. `GET /history` lists the executed requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor_http::Body;
use jujubedoor_http::BodyError;
use jujubedoor_http::body;
use serde::Deserialize;
use serde::Serialize;

use crate::server::RestartableServer;
use crate::server::Shared;
use crate::server::lock;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A running fake of a plain service.
#[derive(Clone)]
pub struct Service {
    server: Arc<RestartableServer>,
    history: Shared<Vec<ExecutedRequest>>,
}

/// A request that the service executed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutedRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Request body.
    pub body: String,
}

/// How the response to a request differs from the default, from the query parameters.
#[derive(Default)]
struct ResponseOptions {
    delay_ms: u64,
    bytes: usize,
    disconnects: bool,
}

impl Service {
    /// Starts the service at an address. With port 0 the operating system chooses the port.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let (server, listener) = RestartableServer::bind(address).await?;
        let service = Self { server: Arc::new(server), history: Arc::new(Mutex::default()) };
        service.serve(listener);
        Ok(service)
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the executed requests in order.
    pub fn history(&self) -> Vec<ExecutedRequest> {
        lock(&self.history).clone()
    }

    /// Closes all connections and refuses new ones.
    pub fn stop(&self) {
        self.server.close();
    }

    /// Accepts connections again after `stop`.
    pub async fn restart(&self) -> std::io::Result<()> {
        let listener = self.server.reopen().await?;
        self.serve(listener);
        Ok(())
    }

    fn serve(&self, listener: tokio::net::TcpListener) {
        let handle = self.clone();
        self.server.serve(listener, move |request| {
            let service = handle.clone();
            async move { service.serve_request(request).await }
        });
    }

    async fn serve_request(&self, request: Request<Incoming>) -> Response<Body> {
        let method = request.method().to_string();
        let path = request.uri().path().to_owned();
        if path == "/history" {
            return body::json(200, &self.history());
        }
        let options = parse_options(request.uri().query().unwrap_or_default());
        let Ok(bytes) = body::collect(request.into_body(), MAX_BODY_BYTES).await else {
            return body::respond(400, "text/plain", "the body did not arrive");
        };
        let executed = ExecutedRequest { method, path, body: String::from_utf8_lossy(&bytes).into_owned() };
        lock(&self.history).push(executed.clone());
        tokio::time::sleep(Duration::from_millis(options.delay_ms)).await;
        if options.disconnects {
            return incomplete_response();
        }
        if options.bytes > 0 {
            return body::respond(200, "application/octet-stream", vec![b'x'; options.bytes]);
        }
        body::json(200, &executed)
    }
}

/// Parses the query of a request. Unknown parameters are ignored.
fn parse_options(query: &str) -> ResponseOptions {
    let mut options = ResponseOptions::default();
    for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match key {
            "delay_ms" => options.delay_ms = value.parse().unwrap_or(0),
            "bytes" => options.bytes = value.parse().unwrap_or(0),
            "break" => options.disconnects = value == "1",
            _ => {}
        }
    }
    options
}

/// Creates a response whose connection is closed 100 ms after the first chunk of the body.
fn incomplete_response() -> Response<Body> {
    let (tx, body) = body::channel(2);
    tokio::spawn(async move {
        // Sending fails if the client has closed the connection, which needs no handling.
        let _ = tx.send(Ok(Bytes::from_static(b"half an ans"))).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let _ = tx.send(Err(BodyError::Incomplete("closed by `break=1`".into()))).await;
    });
    Response::new(body)
}
