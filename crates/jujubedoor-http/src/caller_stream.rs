//! A caller's connection, which reports what it does to the [`Ledger`].

use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::body::Body;
use crate::body::BodyError;
use crate::bounded_read;
use crate::budget_ledger::Ledger;
use crate::memory_budget::Account;

/// Time for which a caller whose request was rejected may go on sending before its connection is reset.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Number of bytes that are read and discarded meanwhile.
const LINGER_BYTES: usize = 4 << 20;

/// Maximum number of bytes of a response that the kernel holds before it sends them. It makes visible whether a caller
/// reads, and bounds the memory of the kernel.
pub const UNSENT_BYTES: u32 = 64 << 10;

/// A caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    account: Account,
    is_write_blocked: bool,
    linger: Option<Linger>,
}

/// The end of a connection whose caller may still be sending. If it were closed at once, the reset would discard the
/// response that the caller has not read.
struct Linger {
    timeout: Pin<Box<Sleep>>,
    discarded: usize,
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, account: Account) -> Self {
        if let Err(e) = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES) {
            log::debug!("the unsent bytes of a connection are not limited: {e}");
        }
        Self { stream, account, is_write_blocked: false, linger: None }
    }

    /// Records whether the caller reads what is written.
    fn record_write(&mut self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Pending if !self.is_write_blocked => {
                self.is_write_blocked = true;
                self.account.with_ledger(Ledger::block_write);
            }
            Poll::Ready(Ok(bytes)) if self.is_write_blocked => {
                self.account.with_ledger(|ledger, id, now| ledger.record_write(id, *bytes, now));
            }
            Poll::Pending | Poll::Ready(_) => {}
        }
    }

    /// Discards what the caller still sends, until it closes the connection or a limit is reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(linger) = &mut self.linger else { return Poll::Ready(()) };
        let mut discarded = [0; 4 << 10];
        loop {
            if linger.timeout.as_mut().poll(cx).is_ready() || linger.discarded > LINGER_BYTES {
                return Poll::Ready(());
            }
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(());
            }
            match self.stream.try_read(&mut discarded) {
                Ok(0) => return Poll::Ready(()),
                Ok(bytes) => linger.discarded += bytes,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.account.close();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(bounded_read::poll_read(Pin::new(&mut self.stream), cx, buf))?;
        let bytes = buf.filled().len() - filled;
        let may_go_on =
            bytes == 0 || self.account.with_ledger(|ledger, id, now| ledger.record_read(id, bytes, now));
        if may_go_on { Poll::Ready(Ok(())) } else { Poll::Ready(Err(io::ErrorKind::OutOfMemory.into())) }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if std::mem::take(&mut self.is_write_blocked) {
            self.account.with_ledger(|ledger, id, _| ledger.unblock_write(id));
        }
        if self.account.link().response_done.swap(false, Ordering::Relaxed) {
            self.account.with_ledger(Ledger::end_response);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.account.link().unread_body.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
            self.account.with_ledger(|ledger, id, _| ledger.begin_close(id));
            let timeout = Box::pin(tokio::time::sleep(LINGER_TIME));
            self.linger = Some(Linger { timeout, discarded: 0 });
        }
        self.poll_discard(cx).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of a response. The connection records the end of the response once this value is dropped and everything is
/// written.
pub struct ResponseBody {
    body: Body,
    account: Account,
}

impl ResponseBody {
    /// Wraps the body of a response on the connection of an account.
    pub fn new(body: Body, account: Account) -> Self {
        Self { body, account }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.account.link().response_done.store(true, Ordering::Relaxed);
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
