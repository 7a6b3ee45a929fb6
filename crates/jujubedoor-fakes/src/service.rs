//! A stand-in for a plain service that keeps the history of what it ran.
//!
//! Any method and path is taken as an action and answered with what ran. The query parameters
//! `delay_ms=N`, `bytes=N` and `break=1` slow an answer down, lengthen it, or break it half way.
//! `GET /history` lists what ran.

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

use crate::listen::Listen;
use crate::listen::Shared;
use crate::listen::lock;

/// The largest body that the service takes, in bytes.
const BODY_BYTES: usize = 64 << 20;

/// A running stand-in for a plain service.
#[derive(Clone)]
pub struct Service {
    listen: Arc<Listen>,
    history: Shared<Vec<ExecutedRequest>>,
}

/// Something that the service ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutedRequest {
    /// The HTTP method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The body.
    pub body: String,
}

/// What a request asks of the stand-in beside the action.
#[derive(Default)]
struct Wish {
    delay_ms: u64,
    bytes: usize,
    breaks: bool,
}

impl Service {
    /// Starts the stand-in at an address; port zero lets the system choose.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let (listen, listener) = Listen::bind(address).await?;
        let service = Self { listen: Arc::new(listen), history: Arc::new(Mutex::default()) };
        service.serve(listener);
        Ok(service)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.listen.address()
    }

    /// Returns what ran, in order.
    pub fn history(&self) -> Vec<ExecutedRequest> {
        lock(&self.history).clone()
    }

    /// Breaks all requests and refuses connections.
    pub fn stop(&self) {
        self.listen.close();
    }

    /// Accepts connections again.
    pub async fn restart(&self) -> std::io::Result<()> {
        let listener = self.listen.open().await?;
        self.serve(listener);
        Ok(())
    }

    fn serve(&self, listener: tokio::net::TcpListener) {
        let handle = self.clone();
        self.listen.serve(listener, move |request| {
            let service = handle.clone();
            async move { service.answer(request).await }
        });
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let method = request.method().to_string();
        let path = request.uri().path().to_owned();
        if path == "/history" {
            return body::json(200, &self.history());
        }
        let wish = parse_wish(request.uri().query().unwrap_or_default());
        let Ok(bytes) = body::collect(request.into_body(), BODY_BYTES).await else {
            return body::respond(400, "text/plain", "the body did not arrive");
        };
        let ran = ExecutedRequest { method, path, body: String::from_utf8_lossy(&bytes).into_owned() };
        lock(&self.history).push(ran.clone());
        tokio::time::sleep(Duration::from_millis(wish.delay_ms)).await;
        if wish.breaks {
            return broken();
        }
        if wish.bytes > 0 {
            return body::respond(200, "application/octet-stream", vec![b'x'; wish.bytes]);
        }
        body::json(200, &ran)
    }
}

fn parse_wish(query: &str) -> Wish {
    let mut wish = Wish::default();
    for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match key {
            "delay_ms" => wish.delay_ms = value.parse().unwrap_or(0),
            "bytes" => wish.bytes = value.parse().unwrap_or(0),
            "break" => wish.breaks = value == "1",
            _ => {}
        }
    }
    wish
}

/// Creates a response that breaks a moment after its first chunk.
fn broken() -> Response<Body> {
    let (tx, body) = body::channel(2);
    tokio::spawn(async move {
        // Nobody may be listening any more.
        let _ = tx.send(Ok(Bytes::from_static(b"half an ans"))).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let _ = tx.send(Err(BodyError::Incomplete("as asked".into()))).await;
    });
    Response::new(body)
}
