//! A connection to a server that is reset when it is given up during an exchange, and that knows whether the request was
//! written.
//!
//! After an ordinary close, the operating system goes on trying to deliver what was written. A server that could not
//! be reached for a while would then run a request whose client has given it up. A reset discards what was not
//! delivered.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::bounded_read;

/// A connection to a server that is reset when it is given up during an exchange.
pub struct AbortiveStream {
    stream: TcpStream,
    exchange: Exchange,
}

/// The client's handle of a connection. If the client drops it during an exchange, it has given that up.
///
/// The HTTP library also ends a connection whose response is complete, possibly before the client has seen its end.
#[derive(Clone, Debug, Default)]
pub struct Exchange(Arc<Progress>);

/// The progress of an exchange.
#[derive(Debug, Default)]
struct Progress {
    goes_on: AtomicBool,
    /// Size of the body of the request, in bytes.
    body_bytes: AtomicU64,
    /// Number of bytes of the request that the operating system has accepted.
    written_bytes: AtomicU64,
    /// Whether the operating system has not accepted all that was written last.
    is_blocked: AtomicBool,
}

impl Exchange {
    /// Records that a request with a body of a size is passed to the connection.
    pub fn begin(&self, body_bytes: u64) {
        let Progress { goes_on, written_bytes, is_blocked, .. } = &*self.0;
        self.0.body_bytes.store(body_bytes, Ordering::Relaxed);
        written_bytes.store(0, Ordering::Relaxed);
        is_blocked.store(false, Ordering::Relaxed);
        goes_on.store(true, Ordering::Relaxed);
    }

    /// Records that the response was received completely.
    pub fn end(&self) {
        self.0.goes_on.store(false, Ordering::Relaxed);
    }

    /// Returns whether the request was written completely. Otherwise, the end of the connection does not show that a response
    /// is complete: the server may be about to reset it.
    pub fn is_request_written(&self) -> bool {
        let Progress { body_bytes, written_bytes, is_blocked, .. } = &*self.0;
        written_bytes.load(Ordering::Relaxed) >= body_bytes.load(Ordering::Relaxed)
            && !is_blocked.load(Ordering::Relaxed)
    }

    /// Returns whether an exchange goes on, and only the connection holds this handle.
    fn is_abandoned(&self) -> bool {
        self.0.goes_on.load(Ordering::Relaxed) && Arc::strong_count(&self.0) == 1
    }

    /// Records the result of writing a number of bytes.
    fn record_write(&self, bytes: usize, polled: &Poll<io::Result<usize>>) {
        let accepted = match polled {
            Poll::Ready(Ok(accepted)) => *accepted,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.0.written_bytes.fetch_add(accepted as u64, Ordering::Relaxed);
        self.0.is_blocked.store(accepted < bytes, Ordering::Relaxed);
    }
}

impl AbortiveStream {
    /// Wraps a connection on which nothing was sent. It is also reset when the process ends.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_zero_linger()?;
        Ok(Self { stream, exchange: Exchange::default() })
    }

    /// Returns the handle for the client.
    pub fn exchange(&self) -> Exchange {
        self.exchange.clone()
    }
}

impl Drop for AbortiveStream {
    fn drop(&mut self) {
        if self.exchange.is_abandoned() {
            return;
        }
        if let Err(e) = SockRef::from(&self.stream).set_linger(None) {
            log::debug!("an idle connection is reset: {e}");
        }
    }
}

impl AsyncRead for AbortiveStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        bounded_read::poll_read(Pin::new(&mut self.stream), cx, buf)
    }
}

impl AsyncWrite for AbortiveStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.exchange.record_write(buf.len(), &polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.exchange.is_abandoned() {
            // An ordinary end would be delivered together with the request.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.exchange.record_write(bufs.iter().map(|buf| buf.len()).sum(), &polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
