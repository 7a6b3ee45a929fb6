//! As much of HTTP/1.1 as the stand-ins need.

use std::io;
use std::io::Read;
use std::net::TcpStream;

/// The head of a message, and what was read of its body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub rest: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads the head of a message that begins with the given bytes. `None` is the end of the connection before any byte.
pub fn read_head(stream: &mut TcpStream, mut bytes: Vec<u8>) -> io::Result<Option<Message>> {
    let mut buffer = [0; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or_default().to_owned();
            let header = |line: &str| line.split_once(':').map(|(n, v)| (n.to_owned(), v.trim().to_owned()));
            let headers = lines.filter_map(header).collect();
            return Ok(Some(Message { first_line, headers, rest: bytes[end + 4..].to_vec() }));
        }
        match stream.read(&mut buffer)? {
            0 if bytes.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Reads the rest of a body with a length.
pub fn read_body(stream: &mut TcpStream, message: &mut Message) -> io::Result<Vec<u8>> {
    let length = message.length();
    let mut body = std::mem::take(&mut message.rest);
    let mut buffer = [0; 8192];
    while body.len() < length {
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => body.extend_from_slice(&buffer[..count]),
        }
    }
    message.rest = body.split_off(length);
    Ok(body)
}

/// Returns a field of a query, decoded.
pub fn query(path: &str, name: &str) -> String {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    decode(value.unwrap_or_default())
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = std::str::from_utf8(after.get(..2).unwrap_or_default()).ok();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()).filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let symbol = ALPHABET[(bits >> (18 - 6 * n) & 63) as usize];
            text.push(if n <= chunk.len() { char::from(symbol) } else { '=' });
        }
    }
    text
}
