//! The prompt parts that other VMs have yet to be told of.
//!
//! Answers the load after a whole fleet started anew: thousands of parts become known at once, more than beats
//! carry in a second. The parts that take longest to read go first; the smallest are dropped when there are too
//! many.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::call::Part;

/// The most parts that wait to be told.
const MAX_PENDING: usize = 4_096;

/// The prompt parts that other VMs have yet to be told of.
#[derive(Clone, Debug, Default)]
pub struct PendingParts {
    parts: Vec<CachedPart>,
}

/// A prompt part that an upstream has read or is reading.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedPart {
    /// The part.
    pub part: Part,
    /// The upstream.
    pub upstream: Name,
    /// When it will have been read, if it is being read for the first time.
    pub prefill_until: Option<Time>,
}

impl PendingParts {
    /// Adds a part to be told.
    pub fn push(&mut self, read: CachedPart) {
        self.parts.push(read);
        if self.parts.len() >= 2 * MAX_PENDING {
            self.sort();
            self.parts.truncate(MAX_PENDING);
        }
    }

    /// Returns how many parts wait to be told.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Tells whether nothing waits to be told.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Takes the largest parts.
    pub fn take(&mut self, max_parts: usize) -> Vec<CachedPart> {
        if self.parts.len() > max_parts {
            self.sort();
        }
        let taken = self.parts.len().min(max_parts);
        self.parts.drain(..taken).collect()
    }

    fn sort(&mut self) {
        self.parts.sort_by_key(|read| std::cmp::Reverse(read.part.tokens));
    }
}
