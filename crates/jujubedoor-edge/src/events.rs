//! Cuts a stream of events into whole events, so that it can go on at another upstream.

use bytes::Bytes;
use bytes::BytesMut;

/// The most bytes of an unfinished event that are held.
const MOST_HELD: usize = 1 << 20;

/// The part of a stream that has been received but not passed on, and the last event passed on.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    last: Option<String>,
}

impl Events {
    /// Starts behind an event that the caller has already.
    pub fn after(last: Option<String>) -> Self {
        Self { held: BytesMut::new(), last }
    }

    /// Takes bytes and returns all whole events, or nothing if none is complete.
    ///
    /// An event that is too long to be held is passed on in pieces.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.held.extend_from_slice(bytes);
        let end = match end_of_events(&self.held) {
            Some(end) => end,
            None if self.held.len() > MOST_HELD => self.held.len(),
            None => return None,
        };
        let whole = self.held.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    /// Returns the identifier of the last event that was passed on.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Takes the bytes of an unfinished event.
    pub fn take_rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

/// Returns the position behind the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    newlines.max(returns)
}

/// Returns the identifier of the last event.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.map(|id| String::from_utf8_lossy(id).trim().to_owned()).next()
}
