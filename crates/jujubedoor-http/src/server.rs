//! A server with a connection limit and a graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::body::Body;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones wait in the listen backlog.
    pub max_connections: usize,
    /// Maximum time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Maximum size of the headers, in bytes.
    pub max_header_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_connections: 4_096, header_timeout: Duration::from_secs(10), max_header_bytes: 64 << 10 }
    }
}

/// Serves a listener until the stop signal becomes true, then waits until the open connections finish.
///
/// If the handler returns no response, the connection is closed without one.
pub async fn serve<F, Fut>(listener: TcpListener, limits: Limits, mut stop: watch::Receiver<bool>, handler: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            // A dropped sender disables this branch: the server then never stops.
            Ok(_) = stop.wait_for(|stop| *stop) => break,
        };
        let Some((stream, peer, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request, peer);
            async move { response.await.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.max_header_bytes)
            .half_close(false)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // Errors need no action here: the handler sees a lost connection through its body.
            let _ = connection.await;
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

type Accepted = (tokio::net::TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit);

async fn accept(listener: &TcpListener, slots: &Arc<Semaphore>) -> Option<Accepted> {
    let slot = slots.clone().acquire_owned().await.ok()?;
    let (stream, peer) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, peer, slot))
}
