//! A listener that can be closed with all its connections and opened again at the same address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jujubedoor_http::Body;
use jujubedoor_http::Limits;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A listener that can be closed and opened again.
pub struct Listen {
    address: SocketAddr,
    up: watch::Sender<bool>,
    server: Mutex<Option<JoinHandle<()>>>,
}

impl Listen {
    /// Binds an address; port zero lets the system choose.
    pub async fn bind(address: SocketAddr) -> std::io::Result<(Self, TcpListener)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (up, _) = watch::channel(true);
        Ok((Self { address, up, server: Mutex::new(None) }, listener))
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves a bound listener; a request in progress breaks when the listener is closed.
    pub fn serve<F, Fut>(&self, listener: TcpListener, handler: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        let up = self.up.subscribe();
        let handler = move |request, _| {
            let response = handler(request);
            let mut up = up.clone();
            async move {
                tokio::select! {
                    response = response => Some(response),
                    _ = up.wait_for(|up| !up) => None,
                }
            }
        };
        let (_, stop) = watch::channel(false);
        let limits = Limits { max_connections: 65_536, ..Limits::default() };
        let server = tokio::spawn(jujubedoor_http::serve(listener, limits, stop, handler));
        *self.server.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(server);
    }

    /// Closes the listener and breaks all requests in progress.
    pub fn close(&self) {
        self.up.send_replace(false);
        let server = self.server.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take();
        if let Some(server) = server {
            server.abort();
        }
    }

    /// Opens the listener again.
    pub async fn open(&self) -> std::io::Result<TcpListener> {
        let listener = TcpListener::bind(self.address).await?;
        self.up.send_replace(true);
        Ok(listener)
    }

    /// Returns a signal that is true while the listener is open.
    pub fn up(&self) -> watch::Receiver<bool> {
        self.up.subscribe()
    }
}

/// A value that handlers share.
pub type Shared<T> = Arc<Mutex<T>>;

/// Locks a shared value; a panic elsewhere does not spread.
pub fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
