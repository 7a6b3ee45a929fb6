//! Connections to upstreams that are kept for the next request.

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
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use jujubedoor_config::Name;
use jujubedoor_http::Body;
use jujubedoor_http::client;
use tokio::net::TcpStream;

/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_millis(400);

/// How long a connection is kept whose upstream does not say how long it stays open.
const KEEP: Duration = Duration::from_millis(800);

/// How long before an upstream closes an idle connection it is no longer used.
const KEEP_MARGIN: Duration = Duration::from_millis(600);

/// The most idle connections to one upstream.
const MOST_IDLE: usize = 12;

/// Connections to upstreams that are kept for the next request.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
}

struct Idle {
    line: Line,
    until: Instant,
}

/// A connection to an upstream.
pub struct Line {
    upstream: Name,
    address: SocketAddr,
    sender: SendRequest<Body>,
}

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection to {0}: {1}")]
    Unreachable(SocketAddr, io::Error),
    /// The connection broke after the request was handed to it.
    #[error("the connection to {0} broke: {1}")]
    Broken(SocketAddr, hyper::Error),
}

impl Pool {
    /// Sends a request to an upstream over a kept connection or a new one.
    ///
    /// A kept connection that closed before it took the request is passed over. When one breaks later, the others
    /// to the same upstream are given up, as they may be broken too.
    pub async fn send(
        &self,
        upstream: &Name,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<(Response<Incoming>, Line), SendError> {
        while let Some(mut line) = self.take(upstream, address) {
            let mut e = match line.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, line)),
                Err(e) => e,
            };
            let Some(unsent) = e.take_message() else {
                self.idle().remove(upstream);
                return Err(SendError::Broken(address, e.into_error()));
            };
            request = unsent;
        }
        let mut line = open(upstream, address).await?;
        match line.sender.send_request(request).await {
            Ok(response) => Ok((response, line)),
            Err(e) => Err(SendError::Broken(address, e)),
        }
    }

    /// Opens a connection to an upstream for a later request, in place of those that were kept.
    pub async fn prepare(&self, upstream: &Name, address: SocketAddr) -> Result<(), SendError> {
        self.idle().remove(upstream);
        let line = open(upstream, address).await?;
        self.keep(line, None);
        Ok(())
    }

    /// Keeps a connection whose last response was read whole.
    pub fn keep(&self, line: Line, idle_ms: Option<u64>) {
        if line.sender.is_closed() {
            return;
        }
        let stays = idle_ms.map_or(KEEP, |ms| Duration::from_millis(ms).saturating_sub(KEEP_MARGIN));
        let until = Instant::now() + stays;
        let mut idle = self.idle();
        let lines = idle.entry(line.upstream.clone()).or_default();
        if lines.len() < MOST_IDLE {
            lines.push(Idle { line, until });
        }
    }

    /// Closes idle connections whose time is over.
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle().retain(|_, lines| {
            lines.retain(|l| l.until > now && !l.line.sender.is_closed());
            !lines.is_empty()
        });
    }

    fn take(&self, upstream: &Name, address: SocketAddr) -> Option<Line> {
        let now = Instant::now();
        let mut idle = self.idle();
        let lines = idle.get_mut(upstream)?;
        while let Some(Idle { line, until }) = lines.pop() {
            if until > now && line.address == address && line.sender.is_ready() {
                return Some(line);
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<Name, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(upstream: &Name, address: SocketAddr) -> Result<Line, SendError> {
    let unreachable = |e| SendError::Unreachable(address, e);
    let connected = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(unreachable)?;
    client::set_tcp_options(&stream).map_err(unreachable)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|e| unreachable(io::Error::other(e)))?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("a connection to {address} ended: {e}");
        }
    });
    Ok(Line { upstream: upstream.clone(), address, sender })
}
