//! The part of HTTP/1.1 that the stand-ins need.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The first line and the headers of a message. Names of headers are in lower case.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line with the given index.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head, or nothing if the channel has ended.
pub fn read_head<R: BufRead>(reader: &mut R) -> Option<Head> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(Head { first, headers });
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_line<R: BufRead>(reader: &mut R) -> Option<String> {
    let mut line = String::new();
    let bytes = reader.read_line(&mut line).ok()?;
    (bytes > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

/// Reads a body that has a length or chunks.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Head) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else {
        body.resize(head.length(), 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(body)
}

/// Reads a chunk; `Some(None)` is the end of the body, and `None` the end of the channel.
#[allow(clippy::option_option)]
pub fn read_chunk<R: BufRead>(reader: &mut R) -> Option<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some((size > 0).then_some(chunk))
}

/// Opens a channel.
pub fn connect(address: SocketAddr, timeout: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends a request on a new channel and returns the status and the body of its response.
pub fn call(address: SocketAddr, method: &str, target: &str, body: &str) -> Option<(u16, Vec<u8>)> {
    let timeout = Duration::from_millis(500);
    let mut stream = connect(address, timeout)?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let body = read_body(&mut reader, &head)?;
    Some((head.status(), body))
}

/// Returns a response with a body of a known length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    text
}

/// Returns the value of a parameter of a request target.
pub fn param(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(n, _)| *n == name).map(|(_, value)| decode(value)).next().unwrap_or_default()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, others @ ..] = rest {
        let escaped = others.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &others[2..];
            }
            _ => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
