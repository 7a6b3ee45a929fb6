//! A client that opens one connection for each request.
//!
//! A connection is never reused, so that a request cannot run into a connection that the other side
//! is closing. The error tells whether any byte of the request may have left.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use crate::body;
use crate::body::Body;
use crate::body::BodyError;

/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);

/// The silence after which the system asks whether the other side is still there.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// How often the system asks before a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// No connection was opened; nothing was handed to it.
    #[error("no connection to {0}: {1}")]
    Connect(SocketAddr, std::io::Error),
    /// The connection broke after the request was handed to it.
    #[error("the connection broke: {0}")]
    ConnectionLost(#[from] hyper::Error),
    /// The response took too long.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The response's body did not arrive whole.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The response has an unexpected status.
    #[error("status {0}: {1}")]
    Status(u16, String),
    /// The request cannot be written as HTTP.
    #[error("not a valid request: {0}")]
    Request(#[from] hyper::http::Error),
}

impl FetchError {
    /// Tells whether nothing was handed to a connection.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::Request(_))
    }

    /// Tells whether the other side refused the connection.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Connect(_, e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// Sends a request over a connection of its own and returns the response's head.
pub async fn send(address: SocketAddr, request: Request<Body>) -> Result<Response<Incoming>, FetchError> {
    let connect = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
    let elapsed = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = connect.unwrap_or_else(|_| Err(elapsed())).map_err(|e| FetchError::Connect(address, e))?;
    set_tcp_options(&stream).map_err(|e| FetchError::Connect(address, e))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender.send_request(request).await?)
}

/// Builds a request to an address.
pub fn request(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: Body,
) -> Result<Request<Body>, FetchError> {
    let builder = Request::builder().method(method).uri(path).header("host", address.to_string());
    Ok(builder.body(body)?)
}

/// Fetches a JSON value.
pub async fn fetch_json<T>(
    address: SocketAddr,
    path: &str,
    most: usize,
    timeout: Duration,
) -> Result<T, FetchError>
where
    T: DeserializeOwned,
{
    let request = request("GET", address, path, body::full(""))?;
    let bytes = fetch(address, request, most, timeout).await?;
    serde_json::from_slice(&bytes).map_err(|e| BodyError::Incomplete(e.to_string()).into())
}

/// Sends a request and collects the body of a successful response.
pub async fn fetch(
    address: SocketAddr,
    request: Request<Body>,
    most: usize,
    timeout: Duration,
) -> Result<Bytes, FetchError> {
    let exchange = async {
        let response = send(address, request).await?;
        let status = response.status();
        let bytes = body::collect(response.into_body(), most).await?;
        if status.is_success() {
            return Ok(bytes);
        }
        Err(FetchError::Status(status.as_u16(), String::from_utf8_lossy(&bytes).into_owned()))
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(FetchError::Timeout(timeout)))
}

/// Has the system break a connection whose other side is silent.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE).with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
