//! The prompt parts that other VMs have yet to be told of.
//!
//! Answers the load after a whole fleet started anew: thousands of parts become known at once, more than beats
//! carry in a second. The parts that take longest to read go first; the smallest are dropped when there are too
//! many.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::call::Part;

/// The most parts that wait to be told.
const MOST: usize = 4_096;

/// The prompt parts that other VMs have yet to be told of.
#[derive(Clone, Debug, Default)]
pub struct News {
    waiting: Vec<Read>,
}

/// A prompt part that an upstream has read or is reading.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    /// The part.
    pub part: Part,
    /// The upstream.
    pub upstream: Name,
    /// When it will have been read, if it is being read for the first time.
    pub reading: Option<Time>,
}

impl News {
    /// Adds a part to be told.
    pub fn push(&mut self, read: Read) {
        self.waiting.push(read);
        if self.waiting.len() >= 2 * MOST {
            self.sort();
            self.waiting.truncate(MOST);
        }
    }

    /// Returns how many parts wait to be told.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits to be told.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the largest parts.
    pub fn take(&mut self, most: usize) -> Vec<Read> {
        if self.waiting.len() > most {
            self.sort();
        }
        let taken = self.waiting.len().min(most);
        self.waiting.drain(..taken).collect()
    }

    fn sort(&mut self) {
        self.waiting.sort_by_key(|read| std::cmp::Reverse(read.part.tokens));
    }
}
