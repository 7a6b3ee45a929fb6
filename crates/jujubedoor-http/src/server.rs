//! A server that lets open connections finish when it is told to stop.

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

/// The pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a server bears.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most connections at once; more wait in the system's queue.
    pub max_connections: usize,
    /// The longest time to receive a request's head.
    pub header_timeout: Duration,
    /// The largest head, in bytes.
    pub max_header_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_connections: 4_096, header_timeout: Duration::from_secs(10), max_header_bytes: 64 << 10 }
    }
}

/// Serves a listener until the signal turns true, then lets the open connections finish.
///
/// A handler that returns no response breaks its connection.
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
            // Without a sender the server is never told to stop.
            Ok(_) = stop.wait_for(|stop| *stop) => break,
        };
        let Some((stream, peer, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
            // A broken connection ends here; the handler has learnt of it by its body.
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
