//! A client that opens a new connection for each request.
//!
//! Connections are never reused, so that a request cannot be sent on a connection that the server is
//! closing. The error of a failed request shows whether any byte of it may have been sent.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use crate::abortive_stream::AbortiveStream;
use crate::abortive_stream::Exchange;
use crate::body;
use crate::body::Body;
use crate::body::BodyError;
use crate::limited_stream::LimitedStream;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time before the kernel sends a TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum time that sent bytes may stay unacknowledged before the kernel closes a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Number of bytes that the operating system holds before it sends them, from which on it accepts no more of a request. So a request
/// that was written has been sent, except for this part.
const MAX_UNSENT_BYTES: u32 = 64 << 10;

/// Maximum time to receive a body whose pauses are limited separately.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);

/// An error of an HTTP request.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection could not be opened, so nothing was sent.
    #[error("no connection to {0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    /// The connection was lost after it had opened; the request may have been sent.
    #[error("connection lost: {0}")]
    ConnectionLost(#[from] hyper::Error),
    /// The response did not arrive in time.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The server sent a status that no final response has.
    #[error("status {0} of no response")]
    NoResponse(u16),
    /// The response's body is incomplete, malformed or too long.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The response's status is not a success; the text is its body.
    #[error("status {0}: {1}")]
    Status(u16, String),
    /// The request cannot be represented in HTTP.
    #[error("invalid HTTP request: {0}")]
    Request(#[from] hyper::http::Error),
}

impl FetchError {
    /// Returns whether no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::Request(_))
    }

    /// Returns whether the server refused the connection.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Connect(_, e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// The body of a response. If it is dropped before its end, the connection is reset.
#[derive(Debug)]
pub struct ResponseBody {
    // Dropped first, so that the connection finds that the client is gone.
    exchange: Exchange,
    incoming: Incoming,
    ends_with_connection: bool,
}

/// Progress of the transfers over one link. While one goes on, another one of the same data would only slow it down.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<ProgressData>);

#[derive(Debug, Default)]
struct ProgressData {
    received_bytes: AtomicUsize,
    /// Number of bytes at the last check.
    checked_bytes: AtomicUsize,
}

impl Progress {
    /// Records that bytes of a body were received.
    pub fn record(&self, bytes: usize) {
        self.0.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns whether bytes were received since the last check.
    pub fn has_advanced(&self) -> bool {
        let received_bytes = self.0.received_bytes.load(Ordering::Relaxed);
        self.0.checked_bytes.swap(received_bytes, Ordering::Relaxed) != received_bytes
    }
}

/// A request whose response has not arrived.
struct SentRequest<F> {
    // Dropped first, so that the connection finds that the client is gone.
    exchange: Exchange,
    response: Pin<Box<F>>,
}

impl<F> Future for SentRequest<F>
where
    F: Future,
{
    type Output = (F::Output, Exchange);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        self.response.as_mut().poll(cx).map(|response| (response, self.exchange.clone()))
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        if matches!(polled, Poll::Ready(None))
            && self.ends_with_connection
            && !self.exchange.is_request_written()
        {
            let broken = BodyError::Incomplete("the connection ended before the request was written".into());
            return Poll::Ready(Some(Err(broken)));
        }
        if matches!(polled, Poll::Ready(None)) || self.incoming.is_end_stream() {
            self.exchange.end();
        }
        polled.map_err(|e| BodyError::Incomplete(e.to_string()))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Sends a request over a new connection and returns the response once its headers have arrived.
///
/// If the returned future is dropped, or the body before its end, the connection is reset, so that the server does not
/// receive a request later that the client has given up.
pub async fn send(address: SocketAddr, request: Request<Body>) -> Result<Response<ResponseBody>, FetchError> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = connect.unwrap_or_else(|_| Err(timed_out())).map_err(|e| FetchError::Connect(address, e))?;
    set_tcp_options(&stream).map_err(|e| FetchError::Connect(address, e))?;
    let stream = AbortiveStream::new(stream).map_err(|e| FetchError::Connect(address, e))?;
    let exchange = stream.exchange();
    let stream = LimitedStream::new(stream);
    let allowance = stream.allowance();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    exchange.begin(request.body().size_hint().lower());
    let sent = SentRequest { exchange, response: Box::pin(sender.send_request(request)) };
    let (response, exchange) = sent.await;
    let response = response?;
    if !is_final_status(response.status()) {
        return Err(FetchError::NoResponse(response.status().as_u16()));
    }
    let ends_with_connection = ends_with_connection(&response);
    let (head, incoming) = response.into_parts();
    // From here on, the receiver of the body limits its size.
    allowance.set(usize::MAX);
    if incoming.is_end_stream() {
        exchange.end();
    }
    Ok(Response::from_parts(head, ResponseBody { exchange, incoming, ends_with_connection }))
}

/// Returns whether a final response may have a status. Lower ones are interim, or switch to another protocol, which no client here
/// asks for; higher ones do not exist.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a response has a body with neither a length nor chunks, so that it ends with the connection.
pub fn ends_with_connection(response: &Response<Incoming>) -> bool {
    let is_framed = |name| response.headers().contains_key(name);
    !is_framed(CONTENT_LENGTH) && !is_framed(TRANSFER_ENCODING) && !response.body().is_end_stream()
}

/// Builds a request to a server address, with its `host` header.
pub fn request(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: Body,
) -> Result<Request<Body>, FetchError> {
    let builder = Request::builder().method(method).uri(path).header("host", address.to_string());
    Ok(builder.body(body)?)
}

/// Fetches and parses a JSON value. Fails if the response's body is longer than `max_bytes`.
pub async fn fetch_json<T>(
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Response<T>, FetchError>
where
    T: DeserializeOwned,
{
    let request = request("GET", address, path, body::full(""))?;
    let (head, bytes) = fetch_response(address, request, max_bytes, timeout).await?.into_parts();
    let value = serde_json::from_slice(&bytes).map_err(|e| BodyError::Incomplete(e.to_string()))?;
    Ok(Response::from_parts(head, value))
}

/// Fetches a successful response. Unlike in [`fetch`], the timeout applies to the head of the response and to each pause in
/// its body, which may take up to [`MAX_BODY_TIME`] altogether: over a slow link, a large body takes longer than a client
/// may wait for a server that does not respond.
pub async fn fetch_with_idle_timeout(
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
    idle_timeout: Duration,
    progress: &Progress,
) -> Result<Response<Bytes>, FetchError> {
    let request = request("GET", address, path, body::full(""))?;
    let response = tokio::time::timeout(idle_timeout, send(address, request)).await;
    let (head, body) = response.map_err(|_| FetchError::Timeout(idle_timeout))??.into_parts();
    let read = read_body(body, max_bytes, idle_timeout, progress);
    let bytes = tokio::time::timeout(MAX_BODY_TIME, read).await;
    let bytes = bytes.unwrap_or(Err(FetchError::Timeout(MAX_BODY_TIME)))?;
    if !head.status.is_success() {
        return Err(FetchError::Status(head.status.as_u16(), String::from_utf8_lossy(&bytes).into_owned()));
    }
    Ok(Response::from_parts(head, bytes.freeze()))
}

/// Reads a body whose pieces arrive at most `idle_timeout` apart.
async fn read_body(
    mut body: ResponseBody,
    max_bytes: usize,
    idle_timeout: Duration,
    progress: &Progress,
) -> Result<BytesMut, FetchError> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| FetchError::Timeout(idle_timeout))? else { return Ok(bytes) };
        let data = frame?.into_data().unwrap_or_default();
        if bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong(max_bytes).into());
        }
        bytes.extend_from_slice(&data);
        progress.record(data.len());
    }
}

/// Sends a request and reads the body of a successful response.
///
/// Fails if the body is longer than `max_bytes`. The timeout covers the exchange from the connection to the
/// end of the body.
pub async fn fetch(
    address: SocketAddr,
    request: Request<Body>,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, FetchError> {
    Ok(fetch_response(address, request, max_bytes, timeout).await?.into_body())
}

/// Sends a request and reads a successful response, as [`fetch`] does, but returns it with its head.
pub async fn fetch_response(
    address: SocketAddr,
    request: Request<Body>,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Response<Bytes>, FetchError> {
    let exchange = async {
        let (head, body) = send(address, request).await?.into_parts();
        let bytes = body::collect(body, max_bytes).await?;
        if head.status.is_success() {
            return Ok(Response::from_parts(head, bytes));
        }
        Err(FetchError::Status(head.status.as_u16(), String::from_utf8_lossy(&bytes).into_owned()))
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(FetchError::Timeout(timeout)))
}

/// Sets the socket options of a connection to a server.
///
/// Nagle's algorithm is turned off. Keepalive probes and a limit on unacknowledged data make the kernel
/// close a connection whose server no longer responds.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    if let Err(e) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!("the bytes of a request that are not sent cannot be limited: {e}");
    }
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
