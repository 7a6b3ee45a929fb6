//! A server with a connection limit and a graceful shutdown.

use std::io;
use std::net::SocketAddr;
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
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::body::Body;
use crate::caller_stream::CallerStream;
use crate::caller_stream::ResponseBody;
use crate::memory_budget::Account;
use crate::memory_budget::Budget;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The limits of a server.
#[derive(Clone)]
pub struct Limits {
    /// Maximum number of open connections. Idle and stalled ones are closed in favor of further ones, which otherwise
    /// wait in the listen backlog.
    pub max_connections: usize,
    /// Maximum time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Maximum size of the headers, in bytes.
    pub max_header_bytes: usize,
    /// Memory for callers, shared by the servers of a process.
    pub budget: Budget,
    /// Whether connections are opened even if the memory for callers is used up.
    pub privileged: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: Duration::from_secs(10),
            max_header_bytes: 64 << 10,
            budget: Budget::default(),
            privileged: false,
        }
    }
}

/// Serves a listener until the stop signal becomes true, then waits until the open connections finish.
///
/// Requests have the [`Account`] of their connection as an extension. If the handler returns no response, the
/// connection is closed without one.
pub async fn serve<F, Fut>(listener: TcpListener, limits: Limits, mut stop: watch::Receiver<bool>, handler: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let server = limits.budget.add_server();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, server, &limits) => accepted,
            // A dropped sender disables this branch: the server then never stops.
            Ok(_) = stop.wait_for(|stop| *stop) => break,
        };
        let Some((stream, peer, account)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        let service_account = account.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            let account = service_account.clone();
            let may_be_served = account.with_ledger(|ledger, id, _| ledger.begin_request(id));
            request.extensions_mut().insert(account.clone());
            let response = may_be_served.then(|| handler(request, peer));
            async move {
                let response = match response {
                    Some(response) => response.await,
                    None => None,
                };
                let response = response.ok_or_else(|| io::Error::from(io::ErrorKind::ConnectionAborted))?;
                Ok::<_, io::Error>(response.map(|body| ResponseBody::new(body, account)))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.max_header_bytes)
            .half_close(false)
            .serve_connection(TokioIo::new(CallerStream::new(stream, account.clone())), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                // Errors need no action here: the handler sees a lost connection through its body.
                _ = connection => {}
                () = account.link().close.notified() => {}
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts a connection, and waits until it may be opened.
async fn accept(
    listener: &TcpListener,
    server: u32,
    limits: &Limits,
) -> Option<(TcpStream, SocketAddr, Account)> {
    let (stream, peer) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    let account = limits.budget.open(server, peer.ip(), limits.max_connections, limits.privileged).await?;
    Some((stream, peer, account))
}
