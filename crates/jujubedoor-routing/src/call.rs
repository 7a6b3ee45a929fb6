//! A request of a caller as the decisions see it.

use std::sync::Arc;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::routes::Route;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The workspace that it belongs to.
    pub workspace: Option<Name>,
    /// The rank, zero first.
    pub priority: u8,
    /// The parts of its prompt, in order.
    pub parts: Vec<Part>,
    /// When its answer is of no more use to the caller.
    pub deadline: Time,
    /// What identifies it when it comes again.
    pub fingerprint: Fingerprint,
}

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// What identifies the part.
    pub key: u64,
    /// The tokens of this part alone.
    pub tokens: u32,
}

impl Call {
    /// Returns the tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|p| p.tokens).sum()
    }

    /// Returns the key of the longest part that other requests share, if there is one.
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|p| p.key)
    }

    /// Returns the parts that other requests share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
