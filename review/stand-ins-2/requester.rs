//! Requesters of streams, who take a stream up at another node if their channel breaks.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::nodes::Node;
use crate::record;

/// Time that a requester waits for a whole stream.
const TIME_LIMIT: Duration = Duration::from_secs(12);

/// Longest gap between events, after which a requester gives a stream up.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time after which a requester takes up a stream that broke off.
const RETURN_DELAY: Duration = Duration::from_millis(150);

/// A stream that is asked for.
#[derive(Clone)]
pub struct Ask {
    pub name: String,
    pub events: u64,
    /// First part of the prompt, which other requests share.
    pub shared_part: u64,
}

/// What one attempt brought.
#[derive(Default)]
pub struct Attempt {
    pub node: String,
    pub status: u16,
    /// Versions that wrote the events, in order, and the number of events of each.
    pub versions: Vec<(String, u64)>,
    pub first_id: u64,
    pub last_id: u64,
    pub is_complete: bool,
    retry_after: Option<Duration>,
}

/// All attempts at one stream.
pub struct Outcome {
    pub name: String,
    pub attempts: Vec<Attempt>,
}

impl Outcome {
    /// Returns the versions that wrote events of the stream.
    pub fn versions(&self) -> Vec<&str> {
        let all = self.attempts.iter().flat_map(|attempt| &attempt.versions);
        let mut versions: Vec<&str> = all.map(|(version, _)| version.as_str()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns whether the stream began at the first attempt.
    pub fn has_begun(&self) -> bool {
        self.attempts.first().is_some_and(|first| first.last_id > 0)
    }

    /// Returns the attempt that took up the stream, if it had begun and broke off.
    pub fn taken_up(&self) -> Option<&Attempt> {
        self.attempts.get(1).filter(|_| self.has_begun())
    }
}

/// Asks for a stream at the first node, and takes it up once, at the second one.
pub fn receive(ask: &Ask, nodes: [&Node; 2]) -> Outcome {
    let deadline = Instant::now() + TIME_LIMIT;
    let first_id = format!("{}-1", ask.name);
    let first = attempt(ask, nodes[0], &first_id, None, deadline);
    let mut attempts = vec![first];
    let (last_id, retry_after) = (attempts[0].last_id, attempts[0].retry_after);
    if !attempts[0].is_complete {
        std::thread::sleep(retry_after.unwrap_or(RETURN_DELAY));
        let begun_by = (last_id > 0).then_some((first_id.as_str(), last_id));
        attempts.push(attempt(ask, nodes[1], &format!("{}-2", ask.name), begun_by, deadline));
    }
    Outcome { name: ask.name.clone(), attempts }
}

fn attempt(ask: &Ask, node: &Node, id: &str, begun_by: Option<(&str, u64)>, deadline: Instant) -> Attempt {
    let left = deadline.saturating_duration_since(Instant::now());
    record::add(&format!("requester sends {id} to {}, events from {:?}", node.name, begun_by));
    let mut attempt = Attempt { node: node.name.clone(), ..Attempt::default() };
    let _ = exchange(&mut attempt, ask, node.front, id, begun_by, left);
    record::add(&format!(
        "requester has for {id}: status {}, events {} to {}, versions {:?}, complete {}",
        attempt.status, attempt.first_id, attempt.last_id, attempt.versions, attempt.is_complete
    ));
    attempt
}

fn exchange(
    attempt: &mut Attempt,
    ask: &Ask,
    front: SocketAddr,
    id: &str,
    begun_by: Option<(&str, u64)>,
    left: Duration,
) -> Option<()> {
    let mut stream = http::connect(front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let resumed = begun_by.map_or_else(String::new, |(begun_by, last_id)| {
        format!("Last-Event-Id: {last_id}\r\nResumes: {begun_by}\r\n")
    });
    let body = format!("{{\"question\":\"{}\"}}", ask.name);
    let request = format!(
        "POST /query/{} HTTP/1.1\r\nHost: kapsuli.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 800,{}\r\nX-Prompt-Prefix: {:x}:119,{:x}:580,{:x}:101\r\nX-Deadline-Ms: {}\r\n\
         X-Api-Key: key-1\r\n{resumed}Content-Length: {}\r\n\r\n{body}",
        ask.events,
        ask.events * 6,
        ask.shared_part,
        ask.shared_part + 0x1000,
        hash(&ask.name),
        left.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    attempt.status = head.status();
    let seconds = head.get("retry-after").and_then(|text| text.parse::<f64>().ok());
    attempt.retry_after =
        seconds.map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, left.as_secs_f64() / 3.0)));
    if attempt.status != 200 {
        http::read_body(&mut reader, &head)?;
        return Some(());
    }
    let mut text = String::new();
    while let Some(chunk) = http::read_chunk(&mut reader)? {
        text += &String::from_utf8_lossy(&chunk);
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            record_event(attempt, &event);
        }
    }
    attempt.is_complete = attempt.last_id == ask.events;
    Some(())
}

fn record_event(attempt: &mut Attempt, event: &str) {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    let version = field("event: ").to_owned();
    attempt.last_id = field("id: ").parse().unwrap_or_default();
    if attempt.first_id == 0 {
        attempt.first_id = attempt.last_id;
    }
    match attempt.versions.last_mut() {
        Some((last, count)) if *last == version => *count += 1,
        _ => attempt.versions.push((version, 1)),
    }
}

fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}
