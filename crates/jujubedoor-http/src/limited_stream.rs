//! A connection to a server from which only a limited number of bytes is read.
//!
//! A faulty server may send bytes that never form a response: header lines, interim responses or chunk sizes without
//! end. The HTTP library would go on reading them. Here, reading fails once as many bytes have arrived as were
//! allowed, which closes the connection. The last read may exceed that number, since the library may read the head of
//! a response together with a large part of its body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Maximum size of the head of a response, together with interim responses before it and the part of the
/// body that may be read along with it, in bytes.
pub const MAX_HEAD_BYTES: usize = 128 << 10;

/// A connection to a server from which only a limited number of bytes is read.
pub struct LimitedStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

/// The number of bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Fails if no more bytes may be read.
    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) == 0 {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the server sends bytes without end"));
        }
        Ok(())
    }

    /// Records that a number of bytes was read.
    fn take(&self, bytes: usize) {
        self.set(self.0.load(Ordering::Relaxed).saturating_sub(bytes));
    }
}

impl<S> LimitedStream<S> {
    /// Limits a connection to [`MAX_HEAD_BYTES`], until its allowance is set to another value.
    pub fn new(stream: S) -> Self {
        Self { stream, allowance: ReadAllowance(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES))) }
    }

    /// Returns a handle that changes the number of bytes that may still be read.
    pub fn allowance(&self) -> ReadAllowance {
        self.allowance.clone()
    }
}

impl<S> AsyncRead for LimitedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.allowance.check()?;
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.allowance.take(buf.filled().len() - filled);
        polled
    }
}

impl<S> AsyncWrite for LimitedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
