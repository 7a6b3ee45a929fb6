//! HTTP/1.1 for the stand-ins: one message at a time on a connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The head of a message: its first line and its header fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }
}

/// Reads a head, or nothing if the connection ends before.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end();
        if head.line.is_empty() {
            if line.is_empty() {
                continue;
            }
            head.line = line.to_owned();
        } else if line.is_empty() {
            return Some(head);
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; an empty one is the last. Returns nothing if the connection ends before.
fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(size);
    Some(bytes)
}

/// Reads the body of a request.
pub fn read_request_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    body.resize(head.get("content-length").and_then(|t| t.parse().ok()).unwrap_or(0), 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// What a requester received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer looks complete.
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and receives the answer until it ends, breaks off or the time limit passes.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    receive(address, head, body, limit, &mut answer);
    answer.took = began.elapsed();
    answer
}

fn receive(address: SocketAddr, head: &str, body: &[u8], limit: Duration, answer: &mut Answer) -> Option<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(&[head.as_bytes(), b"\r\n", body].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    answer.status = head.word(1).parse().ok()?;
    answer.head = head.clone();
    if head.get("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            answer.body.extend(chunk);
        }
    } else if let Some(length) = head.get("content-length").and_then(|t| t.parse::<u64>().ok()) {
        reader.take(length).read_to_end(&mut answer.body).ok()?;
        if answer.body.len() as u64 != length {
            return None;
        }
    } else {
        reader.read_to_end(&mut answer.body).ok()?;
    }
    answer.is_complete = true;
    Some(())
}
