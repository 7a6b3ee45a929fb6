//! Splits a stream into complete events, so that it can be resumed at another upstream.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The ends of an empty line and of the line before it. Lines end with LF, CR LF or CR.
const EMPTY_LINE_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// Number of bytes at the end of an incomplete event that may begin the empty line after it.
const MAX_SPLIT_BYTES: usize = 2;

/// Error of a stream whose event exceeds the maximum size.
#[derive(Debug, thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// The bytes of an incomplete event and the identifier of the last event that was passed on.
#[derive(Debug, Default)]
pub struct EventBuffer {
    incomplete: BytesMut,
    last_event_id: Option<String>,
    has_passed_events: bool,
}

impl EventBuffer {
    /// Creates a buffer for a caller that has already received the stream up to the given event.
    pub fn starting_after(last_event_id: Option<String>) -> Self {
        Self { last_event_id, ..Self::default() }
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
        self.has_passed_events = true;
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

    /// Returns whether an event was complete.
    pub fn has_passed_events(&self) -> bool {
        self.has_passed_events
    }

    /// Returns whether the last event is complete. Empty lines and comments may follow it.
    pub fn is_between_events(&self) -> bool {
        let ends_with_line = self.incomplete.last().is_none_or(|byte| is_line_break(*byte));
        let mut lines = self.incomplete[..].split(|byte| is_line_break(*byte));
        ends_with_line && lines.all(|line| line.is_empty() || line.starts_with(b":"))
    }

    /// Takes the bytes of the incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.incomplete.split().freeze()
    }
}

fn is_line_break(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}

/// Returns the position after the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let after_last = |end: &[u8]| bytes.windows(end.len()).rposition(|w| w == end).map(|at| at + end.len());
    EMPTY_LINE_ENDS.into_iter().filter_map(after_last).max()
}

/// Returns the identifier of the last event in the given bytes.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| is_line_break(*byte));
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.map(|id| String::from_utf8_lossy(id).trim().to_owned()).next()
}
