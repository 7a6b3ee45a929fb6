//! Prompt parts that have not been announced to the other VMs yet.
//!
//! After a restart of the whole fleet, thousands of cached parts are discovered at once, more than
//! heartbeats can carry in a second. The largest parts, whose prefill takes longest, are announced
//! first. If there are too many, the smallest are discarded.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::call::Part;

/// Number of parts to which the list is trimmed once it holds twice as many.
const MAX_PENDING: usize = 4_096;

/// Prompt parts that have not been announced to the other VMs yet.
#[derive(Clone, Debug, Default)]
pub struct PendingParts {
    parts: Vec<CachedPart>,
}

/// A prompt part that an upstream has cached or is prefilling.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedPart {
    /// The part.
    pub part: Part,
    /// Identifier of the upstream.
    pub upstream: Name,
    /// Expected end of the prefill, while the part is prefilled for the first time.
    pub prefill_until: Option<Time>,
}

impl PendingParts {
    /// Adds a part.
    pub fn push(&mut self, cached: CachedPart) {
        self.parts.push(cached);
        if self.parts.len() >= 2 * MAX_PENDING {
            self.sort();
            self.parts.truncate(MAX_PENDING);
        }
    }

    /// Returns the number of pending parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no parts are pending.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Removes and returns at most a number of parts; if there are more, the largest ones.
    pub fn take(&mut self, max_parts: usize) -> Vec<CachedPart> {
        if self.parts.len() > max_parts {
            self.sort();
        }
        let taken = self.parts.len().min(max_parts);
        self.parts.drain(..taken).collect()
    }

    fn sort(&mut self) {
        self.parts.sort_by_key(|cached| std::cmp::Reverse(cached.part.tokens));
    }
}
