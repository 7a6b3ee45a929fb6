//! A caller's request, reduced to what the routing decisions need.

use std::sync::Arc;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::routes::Route;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Workspace of the request.
    pub workspace: Option<Name>,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Time after which the response is of no use to the caller.
    pub deadline: Time,
    /// Fingerprint by which a repetition of the request is recognized.
    pub fingerprint: Fingerprint,
}

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Identifier of the part.
    pub key: u64,
    /// Number of tokens of this part alone.
    pub tokens: u32,
}

impl Call {
    /// Returns the number of tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|p| p.tokens).sum()
    }

    /// Returns the key of the last part that other requests may share, which stands for the longest
    /// shared prefix.
    pub fn affinity_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|p| p.key)
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
