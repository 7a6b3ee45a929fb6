//! A requester.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// What a requester received.
#[derive(Debug, Default)]
pub struct Received {
    /// Zero without a head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// The body, without the framing of its chunks.
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Received {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new channel and receives the answer, for as long as a requester waits.
pub fn send(to: SocketAddr, request: &[u8], wait: Duration) -> Received {
    let mut received = Received::default();
    let deadline = Instant::now() + wait;
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return received };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    if stream.write_all(request).is_err() {
        return received;
    }
    let Ok(Some(message)) = http::read_head(&mut stream, Vec::new()) else { return received };
    received.status = message.status();
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let mut raw = message.rest.clone();
    received.headers = message.headers;
    let mut buffer = [0; 16384];
    loop {
        let (body, is_complete) = if is_chunked {
            unchunk(&raw)
        } else {
            (raw.clone(), length.is_some_and(|length| raw.len() >= length))
        };
        received.body = body;
        received.is_complete = is_complete;
        if is_complete || Instant::now() > deadline {
            return received;
        }
        match stream.read(&mut buffer) {
            Ok(0) => {
                received.is_complete = !is_chunked && length.is_none();
                return received;
            }
            Ok(count) => raw.extend_from_slice(&buffer[..count]),
            Err(_) => return received,
        }
    }
}

/// Removes the framing of chunks. Returns whether the last one has arrived.
fn unchunk(mut raw: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = raw.windows(2).position(|window| window == b"\r\n") else { return (body, false) };
        let size = std::str::from_utf8(&raw[..end])
            .ok()
            .and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
        let Some(size) = size else { return (body, false) };
        if size == 0 {
            return (body, raw[end..].starts_with(b"\r\n\r\n"));
        }
        raw = &raw[end + 2..];
        if raw.len() < size + 2 {
            body.extend_from_slice(&raw[..size.min(raw.len())]);
            return (body, false);
        }
        body.extend_from_slice(&raw[..size]);
        raw = &raw[size + 2..];
    }
}
