//! A caller: sends requests to entry VMs and reads whole answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use jujubedoor_http::FetchError;
use jujubedoor_http::body;
use jujubedoor_http::client;
use serde_json::Value;
use serde_json::json;

/// How long a caller waits for a whole answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A request as a caller sends it.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The HTTP method; empty for `POST`.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

/// A whole answer, or as much of it as arrived.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the body arrived whole.
    pub complete: bool,
    /// The time to the first part of the body.
    pub time_to_first_byte: Option<Duration>,
    /// The time to the end of the body.
    pub total_time: Duration,
}

impl CallResponse {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the outcome that the answer names.
    pub fn outcome(&self) -> &str {
        self.header("x-jujubedoor-outcome")
    }

    /// Returns the ticket that the answer carries.
    pub fn ticket(&self) -> &str {
        self.header("x-jujubedoor-ticket")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Tells whether an event stream ended with its end mark and without an error.
    pub fn is_complete_stream(&self) -> bool {
        let text = self.text();
        self.complete && text.ends_with("data: [DONE]\n\n") && !text.contains("event: error")
    }

    /// Returns the text that an event stream spells.
    pub fn streamed_text(&self) -> String {
        let body = self.text();
        let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let events = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        let words = events.filter_map(|e| e["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
        words.collect::<String>().trim_end().to_owned()
    }
}

impl Call {
    /// Creates a streamed chat call.
    pub fn chat(workspace: &str, model: &str, chat: &str, text: &str) -> Self {
        let messages = json!([{"role": "user", "content": text}]);
        let body = json!({"model": model, "stream": true, "chat_id": chat, "messages": messages});
        let call = Self { path: "/v1/chat/completions".into(), body: body.to_string(), ..Self::default() };
        call.with_header("x-workspace", workspace).with_header("x-chat-id", chat)
    }

    /// Creates a call of a plain service.
    pub fn service(workspace: &str, service: &str, method: &str, path: &str, body: &str) -> Self {
        let path = format!("/services/{service}{path}");
        let call = Self { method: method.into(), path, body: body.into(), ..Self::default() };
        call.with_header("x-workspace", workspace)
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sends the call to an entry VM and reads the whole answer.
    pub async fn send(&self, address: SocketAddr) -> Result<CallResponse, FetchError> {
        tokio::time::timeout(TIMEOUT, self.exchange(address))
            .await
            .unwrap_or(Err(FetchError::Timeout(TIMEOUT)))
    }

    async fn exchange(&self, address: SocketAddr) -> Result<CallResponse, FetchError> {
        let began = Instant::now();
        let method = if self.method.is_empty() { "POST" } else { &self.method };
        let mut builder =
            Request::builder().method(method).uri(&self.path).header("host", address.to_string());
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(body::full(self.body.clone()))?;
        let response = client::send(address, request).await?;
        let (head, mut incoming) = response.into_parts();
        let mut answer = CallResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body: Bytes::new(),
            complete: true,
            time_to_first_byte: None,
            total_time: Duration::ZERO,
        };
        read(&mut incoming, &mut answer, began).await;
        answer.total_time = began.elapsed();
        Ok(answer)
    }
}

async fn read(incoming: &mut Incoming, answer: &mut CallResponse, began: Instant) {
    let mut bytes = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            answer.complete = false;
            break;
        };
        if let Some(data) = frame.data_ref() {
            answer.time_to_first_byte.get_or_insert_with(|| began.elapsed());
            bytes.extend_from_slice(data);
        }
    }
    answer.body = bytes.freeze();
}
