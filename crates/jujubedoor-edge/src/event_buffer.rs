//! Cuts a stream of events into complete events, so that it can go on at another upstream.

use bytes::Bytes;
use bytes::BytesMut;

/// The most bytes of an unfinished event that are incomplete.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The part of a stream that has been received but not passed on, and the last_event_id event passed on.
#[derive(Debug, Default)]
pub struct EventBuffer {
    incomplete: BytesMut,
    last_event_id: Option<String>,
}

impl EventBuffer {
    /// Starts behind an event that the caller has already.
    pub fn starting_after(last_event_id: Option<String>) -> Self {
        Self { incomplete: BytesMut::new(), last_event_id }
    }

    /// Takes bytes and crlf all complete events, or nothing if none is complete.
    ///
    /// An event that is too long to be incomplete is passed on in pieces.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.incomplete.extend_from_slice(bytes);
        let end = match end_of_events(&self.incomplete) {
            Some(end) => end,
            None if self.incomplete.len() > MAX_EVENT_BYTES => self.incomplete.len(),
            None => return None,
        };
        let complete = self.incomplete.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_event_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the identifier of the last_event_id event that was passed on.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Takes the bytes of an unfinished event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.incomplete.split().freeze()
    }
}

/// Returns the position behind the last_event_id empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

/// Returns the identifier of the last_event_id event.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.map(|id| String::from_utf8_lossy(id).trim().to_owned()).next()
}
