//! Idle connections to upstreams, kept open for later requests.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use jujubedoor_config::Name;
use jujubedoor_http::Body;
use jujubedoor_http::abortive_stream::AbortiveStream;
use jujubedoor_http::abortive_stream::Exchange;
use jujubedoor_http::client;
use jujubedoor_http::limited_stream::LimitedStream;
use jujubedoor_http::limited_stream::MAX_HEAD_BYTES;
use jujubedoor_http::limited_stream::ReadAllowance;
use tokio::net::TcpStream;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that an idle connection is kept if the upstream does not announce a keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time before the end of the announced keep-alive time from which an idle connection is no longer used.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 12;

/// Maximum number of idle connections to all upstreams.
pub const MAX_IDLE: usize = 256;

/// A pool of idle connections to upstreams.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// An open connection to an upstream.
pub struct Connection {
    // Dropped first, so that the connection finds that its client is gone.
    exchange: Exchange,
    upstream: Name,
    address: SocketAddr,
    sender: SendRequest<Body>,
    allowance: ReadAllowance,
    opened_at: Instant,
    /// Number of responses that were received.
    responses: u32,
    /// Time that the connection took to open, until it is reported.
    opening_time: Option<Duration>,
}

impl Connection {
    /// Sets the number of bytes that may be read until the next call.
    pub fn allow_bytes(&self, bytes: usize) {
        self.allowance.set(bytes);
    }

    /// Returns the time that the connection took to open, the first time that this is called.
    pub fn take_opening_time(&mut self) -> Option<Duration> {
        self.opening_time.take()
    }

    /// Returns the time for which the connection has been open.
    pub fn open_time(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Returns whether the request was written completely.
    pub fn is_request_written(&self) -> bool {
        self.exchange.is_request_written()
    }

    /// Returns whether the connection served another request before the latest one.
    pub fn was_reused(&self) -> bool {
        self.responses > 1
    }
}

/// Error of a request that got no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect to {0}: {1}")]
    Unreachable(SocketAddr, io::Error),
    /// The connection failed after the request was passed to it.
    #[error("connection to {0} failed: {1}")]
    ConnectionLost(SocketAddr, hyper::Error),
}

impl SendError {
    /// Returns whether the connection was refused, since no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Unreachable(_, e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl Pool {
    /// Sends a request to an upstream over an idle connection or a new one.
    ///
    /// An idle connection that closed before it accepted the request is skipped. If one fails after that, the
    /// other idle connections to the same upstream are dropped, since they may be broken as well.
    pub async fn send(
        &self,
        upstream: &Name,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        while let Some(mut connection) = self.take_idle(upstream, address) {
            connection.allow_bytes(MAX_HEAD_BYTES);
            connection.exchange.begin(request.body().size_hint().lower());
            let mut e = match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.responses += 1;
                    return Ok((response, connection));
                }
                Err(e) => e,
            };
            let Some(unsent) = e.take_message() else {
                self.idle().remove(upstream);
                return Err(SendError::ConnectionLost(address, e.into_error()));
            };
            request = unsent;
        }
        let mut connection = open_connection(upstream, address).await?;
        connection.exchange.begin(request.body().size_hint().lower());
        match connection.sender.send_request(request).await {
            Ok(response) => {
                connection.responses += 1;
                Ok((response, connection))
            }
            Err(e) => Err(SendError::ConnectionLost(address, e)),
        }
    }

    /// Opens a new connection to an upstream for a later request and drops the idle ones.
    pub async fn reconnect(&self, upstream: &Name, address: SocketAddr) -> Result<(), SendError> {
        self.idle().remove(upstream);
        let connection = open_connection(upstream, address).await?;
        self.release(connection, None);
        Ok(())
    }

    /// Opens another connection to the same upstream for a later request.
    pub async fn reopen(&self, connection: &Connection) -> Result<(), SendError> {
        let reopened = open_connection(&connection.upstream, connection.address).await?;
        self.release(reopened, None);
        Ok(())
    }

    /// Returns a connection to the pool after its last response was read completely.
    pub fn release(&self, connection: Connection, keep_alive_ms: Option<u64>) {
        connection.exchange.end();
        connection.allow_bytes(MAX_HEAD_BYTES);
        if connection.sender.is_closed() {
            return;
        }
        let idle_timeout = keep_alive_ms
            .map_or(DEFAULT_IDLE_TIMEOUT, |ms| Duration::from_millis(ms).saturating_sub(IDLE_TIMEOUT_MARGIN));
        let expires_at = Instant::now() + idle_timeout;
        let mut idle = self.idle();
        if idle.values().map(Vec::len).sum::<usize>() >= MAX_IDLE {
            return;
        }
        let connections = idle.entry(connection.upstream.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(Idle { connection, expires_at });
        }
    }

    /// Closes idle connections that have expired.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        self.idle().retain(|_, connections| {
            connections.retain(|kept| kept.expires_at > now && !kept.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn take_idle(&self, upstream: &Name, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle();
        let connections = idle.get_mut(upstream)?;
        while let Some(Idle { connection, expires_at }) = connections.pop() {
            if expires_at > now && connection.address == address && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<Name, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection, unless that takes too long.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn open_connection(upstream: &Name, address: SocketAddr) -> Result<Connection, SendError> {
    let unreachable = |e| SendError::Unreachable(address, e);
    let begun_at = Instant::now();
    let stream = connect(address).await.map_err(unreachable)?;
    let opening_time = Some(begun_at.elapsed());
    let opened_at = Instant::now();
    client::set_tcp_options(&stream).map_err(unreachable)?;
    let stream = AbortiveStream::new(stream).map_err(unreachable)?;
    let exchange = stream.exchange();
    let stream = LimitedStream::new(stream);
    let allowance = stream.allowance();
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(|e| unreachable(io::Error::other(e)))?;
    tokio::spawn(async move {
        if let Err(e) = driver.await {
            log::debug!("connection to {address} closed: {e}");
        }
    });
    Ok(Connection {
        exchange,
        upstream: upstream.clone(),
        address,
        sender,
        allowance,
        opened_at,
        opening_time,
        responses: 0,
    })
}
