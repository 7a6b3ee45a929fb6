//! An HTTP client that sends calls to entry VMs and reads the complete responses.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use jujubedoor_http::FetchError;
use jujubedoor_http::body;
use jujubedoor_http::client;
use jujubedoor_http::client::ResponseBody;
use serde_json::Value;
use serde_json::json;

/// Timeout for receiving the complete response to a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A request to an entry VM.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// HTTP method. Empty means `POST`.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

/// The response to a call. If the connection was lost, it has the part of the body that was received.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the body was received completely.
    pub complete: bool,
    /// Time from sending the call to the first chunk of the body, if any.
    pub time_to_first_byte: Option<Duration>,
    /// Time from sending the call to the end of the body.
    pub total_time: Duration,
}

impl CallResponse {
    /// Returns the value of a header, or an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the outcome header of the response.
    pub fn outcome(&self) -> &str {
        self.header("x-jujubedoor-outcome")
    }

    /// Returns the ticket header of the response.
    pub fn ticket(&self) -> &str {
        self.header("x-jujubedoor-ticket")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body parsed as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns whether the body is an event stream that ended with `[DONE]` and has no error event.
    pub fn is_complete_stream(&self) -> bool {
        let text = self.text();
        self.complete && text.ends_with("data: [DONE]\n\n") && !text.contains("event: error")
    }

    /// Returns the concatenated content of all events of an event stream.
    pub fn streamed_text(&self) -> String {
        let body = self.text();
        let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
        let events = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        let words = events.filter_map(|e| e["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
        words.collect::<String>().trim_end().to_owned()
    }
}

impl Call {
    /// Creates a chat call to a model, with a streamed response.
    pub fn chat(workspace: &str, model: &str, chat: &str, text: &str) -> Self {
        let messages = json!([{"role": "user", "content": text}]);
        let body = json!({"model": model, "stream": true, "chat_id": chat, "messages": messages});
        let call = Self { path: "/v1/chat/completions".into(), body: body.to_string(), ..Self::default() };
        call.with_header("x-workspace", workspace).with_header("x-chat-id", chat)
    }

    /// Creates a call to a plain service.
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

    /// Sends the call to an entry VM and reads the complete response.
    pub async fn send(&self, address: SocketAddr) -> Result<CallResponse, FetchError> {
        tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(address))
            .await
            .unwrap_or(Err(FetchError::Timeout(RESPONSE_TIMEOUT)))
    }

    async fn exchange(&self, address: SocketAddr) -> Result<CallResponse, FetchError> {
        let started_at = Instant::now();
        let method = if self.method.is_empty() { "POST" } else { &self.method };
        let mut builder =
            Request::builder().method(method).uri(&self.path).header("host", address.to_string());
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(body::full(self.body.clone()))?;
        let response = client::send(address, request).await?;
        let (parts, mut incoming) = response.into_parts();
        let mut call_response = CallResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: Bytes::new(),
            complete: true,
            time_to_first_byte: None,
            total_time: Duration::ZERO,
        };
        read_body(&mut incoming, &mut call_response, started_at).await;
        call_response.total_time = started_at.elapsed();
        Ok(call_response)
    }
}

/// Reads the body of a response. Clears `complete` if the connection is lost before the end.
async fn read_body(incoming: &mut ResponseBody, call_response: &mut CallResponse, started_at: Instant) {
    let mut bytes = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            call_response.complete = false;
            break;
        };
        if let Some(data) = frame.data_ref() {
            call_response.time_to_first_byte.get_or_insert_with(|| started_at.elapsed());
            bytes.extend_from_slice(data);
        }
    }
    call_response.body = bytes.freeze();
}
