//! Bodies that are held in memory and charged to a caller's account.
//!
//! The HTTP library returns each chunk as a part of a larger read buffer, which stays allocated as long as the part is
//! held. Chunks are therefore copied into segments, and each segment is charged with its full size.

use std::collections::VecDeque;
use std::collections::vec_deque;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::time::Instant;

use crate::body;
use crate::body::Body;
use crate::body::BodyError;
use crate::budget_ledger::Class;
use crate::memory_budget::Account;
use crate::memory_budget::Charge;
use crate::memory_budget::Refusal;

/// Maximum size of a segment, in bytes.
pub const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// Minimum size of a segment unless the announced length is smaller, in bytes.
const MIN_SEGMENT_BYTES: usize = 4 << 10;

/// Size of the first part of a body, which may take memory that is reserved for such parts, in bytes.
const FIRST_PART_BYTES: usize = 64 << 10;

/// Memory that a segment takes in addition to its bytes.
const SEGMENT_OVERHEAD: usize = 256;

/// A body in memory. Clones share the memory, which is released with the last one.
#[derive(Clone, Debug, Default)]
pub struct HeldBody {
    segments: VecDeque<Bytes>,
    len: usize,
}

impl HeldBody {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the bytes in order, in one or several segments.
    pub fn segments(&self) -> vec_deque::Iter<'_, Bytes> {
        self.segments.iter()
    }

    /// Returns a message body with these bytes.
    pub fn into_body(mut self) -> Body {
        use http_body_util::BodyExt;

        if self.segments.len() <= 1 {
            return body::full(self.segments.pop_front().unwrap_or_default());
        }
        self.boxed_unsync()
    }

    /// Returns the bytes in one piece, which is charged to the account until it is dropped.
    pub fn into_bytes(mut self, account: &Account) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop_front().unwrap_or_default();
        }
        let charge = account.hold(self.len);
        let mut bytes = Vec::with_capacity(self.len);
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        Bytes::from_owner(Segment { bytes, _charge: charge })
    }
}

impl hyper::body::Body for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let next = self.segments.pop_front();
        self.len -= next.as_ref().map_or(0, Bytes::len);
        Poll::Ready(next.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}

/// Collects a body in memory.
pub struct SegmentBuffer {
    account: Account,
    held: HeldBody,
    /// The segment that is being filled.
    current: Option<Segment>,
    /// Number of bytes that the body has at least, as announced.
    announced: usize,
}

impl SegmentBuffer {
    /// Creates an empty buffer. The announced length sizes the segments, up to the maximum.
    pub fn new(account: Account, announced: Option<u64>) -> Self {
        let announced = announced.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or_default();
        Self { account, held: HeldBody::default(), current: None, announced }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.held.len + self.current.as_ref().map_or(0, |segment| segment.bytes.len())
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes once there is room for them.
    pub async fn push(&mut self, mut data: Bytes, deadline: Instant) -> Result<(), Refusal> {
        self.fill(&mut data);
        while !data.is_empty() {
            let (size, class) = self.next_segment(data.len());
            let charge = self.account.charge(size + SEGMENT_OVERHEAD, class, deadline).await?;
            self.start_segment(size, charge);
            self.fill(&mut data);
        }
        Ok(())
    }

    /// Appends bytes as far as there is room; the first ones, up to the size of a large segment, in any case. What is left in
    /// `data` was not appended.
    pub fn try_push(&mut self, data: &mut Bytes) {
        self.fill(data);
        while !data.is_empty() {
            let (size, class) = self.next_segment(data.len());
            let charge = match class {
                Class::Small => self.account.hold(size + SEGMENT_OVERHEAD),
                Class::Large => match self.account.try_charge(size + SEGMENT_OVERHEAD) {
                    Some(charge) => charge,
                    None => return,
                },
            };
            self.start_segment(size, charge);
            self.fill(data);
        }
    }

    /// Appends bytes, whether there is room for them or not.
    pub fn push_held(&mut self, mut data: Bytes) {
        self.fill(&mut data);
        while !data.is_empty() {
            let (size, _) = self.next_segment(data.len());
            let charge = self.account.hold(size + SEGMENT_OVERHEAD);
            self.start_segment(size, charge);
            self.fill(&mut data);
        }
    }

    /// Returns the collected body.
    pub fn finish(mut self) -> HeldBody {
        self.finish_segment();
        self.held
    }

    /// Returns the size of the next segment, and which memory it may take.
    fn next_segment(&self, pending: usize) -> (usize, Class) {
        let len = self.len();
        let remaining = self.announced.saturating_sub(len);
        let expected = if remaining > 0 { remaining } else { len.max(MIN_SEGMENT_BYTES) };
        let class = if len < FIRST_PART_BYTES { Class::Small } else { Class::Large };
        (expected.max(pending).min(MAX_SEGMENT_BYTES), class)
    }

    fn start_segment(&mut self, size: usize, charge: Charge) {
        self.finish_segment();
        self.current = Some(Segment { bytes: Vec::with_capacity(size), _charge: charge });
    }

    /// Copies bytes into the current segment.
    fn fill(&mut self, data: &mut Bytes) {
        let Some(segment) = &mut self.current else { return };
        let count = data.len().min(segment.bytes.capacity() - segment.bytes.len());
        segment.bytes.extend_from_slice(&data[..count]);
        data.advance(count);
    }

    fn finish_segment(&mut self) {
        if let Some(segment) = self.current.take() {
            self.held.len += segment.bytes.len();
            self.held.segments.push_back(Bytes::from_owner(segment));
        }
    }
}

/// Bytes with their charge.
struct Segment {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
