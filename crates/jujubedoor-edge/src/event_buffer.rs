//! Splits a stream into complete events, so that it can be resumed at another upstream.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Number of bytes at the end of an incomplete event that may begin the empty line after it.
const MAX_SPLIT_BYTES: usize = 3;

/// Error of a stream whose event exceeds the maximum size.
#[derive(Debug, thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// The bytes of an incomplete event and the identifier of the last event that was passed on.
#[derive(Debug, Default)]
pub struct EventBuffer {
    incomplete: BytesMut,
    last_event_id: Option<String>,
}

impl EventBuffer {
    /// Creates a buffer for a caller that has already received the stream up to the given event.
    pub fn starting_after(last_event_id: Option<String>) -> Self {
        Self { incomplete: BytesMut::new(), last_event_id }
    }

    /// Appends bytes and returns all complete events, or nothing if none is complete.
    ///
    /// Fails if the event that is not complete exceeds the maximum size.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let searched = self.incomplete.len().saturating_sub(MAX_SPLIT_BYTES);
        self.incomplete.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.incomplete[searched..]) else {
            return if self.incomplete.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(None) };
        };
        let complete = self.incomplete.split_to(searched + end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_event_id = Some(id);
        }
        Ok(Some(complete))
    }

    /// Returns the identifier of the last event that was passed on.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Returns whether the last event is complete.
    pub fn is_between_events(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// Takes the bytes of the incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.incomplete.split().freeze()
    }
}

/// Returns the position after the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

/// Returns the identifier of the last event in the given bytes.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.map(|id| String::from_utf8_lossy(id).trim().to_owned()).next()
}
