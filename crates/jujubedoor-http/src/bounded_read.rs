//! Reads a limited number of bytes at once.
//!
//! The HTTP library enlarges the read buffer of a connection if as many bytes arrive at once as it has room for, and keeps
//! it while the connection is open.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of bytes that are read at once, so that the read buffer of a connection stays at twice this size.
const MAX_READ_BYTES: usize = 16 << 10;

/// Reads at most [`MAX_READ_BYTES`] from a connection.
pub fn poll_read(
    stream: Pin<&mut TcpStream>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let count = buf.remaining().min(MAX_READ_BYTES);
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(count));
    // Unlike `try_read`, this needs no further system call to find out that there is nothing left to read.
    ready!(stream.poll_read(cx, &mut part))?;
    let bytes = part.filled().len();
    buf.advance(bytes);
    Poll::Ready(Ok(()))
}
