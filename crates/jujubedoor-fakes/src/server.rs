//! An HTTP server that can be stopped with all its connections and started again at the same address.

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

/// An HTTP server that can be stopped and started again at the same address.
pub struct RestartableServer {
    address: SocketAddr,
    is_open: watch::Sender<bool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl RestartableServer {
    /// Binds an address. With port 0 the operating system chooses the port.
    pub async fn bind(address: SocketAddr) -> std::io::Result<(Self, TcpListener)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (is_open, _) = watch::channel(true);
        Ok((Self { address, is_open, task: Mutex::new(None) }, listener))
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests on a bound listener. Connections with active requests are closed by [`Self::close`].
    pub fn serve<F, Fut>(&self, listener: TcpListener, handler: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        let is_open = self.is_open.subscribe();
        let handler = move |request, _| {
            let response = handler(request);
            let mut is_open = is_open.clone();
            async move {
                tokio::select! {
                    response = response => Some(response),
                    _ = is_open.wait_for(|is_open| !is_open) => None,
                }
            }
        };
        // Without a sender the server never stops by itself; `close` aborts its task.
        let (_, stop) = watch::channel(false);
        let limits = Limits { max_connections: 65_536, ..Limits::default() };
        let task = tokio::spawn(jujubedoor_http::serve(listener, limits, stop, handler));
        *self.task.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(task);
    }

    /// Closes the listener and the connections of all active requests.
    pub fn close(&self) {
        self.is_open.send_replace(false);
        let task = self.task.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Binds the same address again.
    pub async fn reopen(&self) -> std::io::Result<TcpListener> {
        let listener = TcpListener::bind(self.address).await?;
        self.is_open.send_replace(true);
        Ok(listener)
    }

    /// Subscribes to a value that is true while the server is open.
    pub fn subscribe_open(&self) -> watch::Receiver<bool> {
        self.is_open.subscribe()
    }
}

/// A value shared by request handlers.
pub type Shared<T> = Arc<Mutex<T>>;

/// Locks a shared value, also if another thread panicked while it held the lock.
pub fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
