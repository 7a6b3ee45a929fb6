//! Reads a limited number of bytes at once.
//!
//! The HTTP library enlarges the read buffer of a connection if as many bytes arrive at once as it has room for, and keeps
//! it while the connection is open.

use std::io;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Reads at most `max_bytes` from a connection.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
    max_bytes: usize,
) -> Poll<io::Result<()>> {
    let count = buf.remaining().min(max_bytes);
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buf.initialize_unfilled_to(count)) {
            Ok(bytes) => {
                buf.advance(bytes);
                return Poll::Ready(Ok(()));
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}
