//! A caller's request, reduced to what the routing decisions need.

use std::sync::Arc;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
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
    /// The stream that the caller asks for, if the route streams.
    pub stream: StreamRef,
    /// Time after which the response is of no use to the caller.
    pub deadline: Time,
    /// Fingerprint by which a repetition of the request is recognized.
    pub fingerprint: Fingerprint,
}

/// The stream that a caller begins or resumes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamRef {
    /// Key of the stream, which stands for the attempt of the caller that began it, if that is known.
    pub key: Option<u64>,
    /// Whether the caller resumes a stream that broke off.
    pub is_resumed: bool,
    /// Time that the caller goes on waiting for the stream, in milliseconds, if it says so.
    pub remaining_ms: Option<u64>,
}

impl StreamRef {
    /// Returns the stream that begins with an attempt of a caller.
    pub fn begun_by(attempt: &str) -> Self {
        Self { key: Self::key_of(attempt), ..Self::default() }
    }

    /// Returns a stream that is resumed. `begun_by` is the attempt that began it, if the caller names it.
    pub fn resumed(begun_by: Option<&str>) -> Self {
        Self { key: begun_by.and_then(Self::key_of), is_resumed: true, ..Self::default() }
    }

    /// Returns the stream with the time that the caller goes on waiting for it, in milliseconds.
    #[must_use]
    pub fn with_remaining(self, remaining_ms: Option<u64>) -> Self {
        Self { remaining_ms, ..self }
    }

    fn key_of(attempt: &str) -> Option<u64> {
        (!attempt.is_empty()).then(|| rendezvous::key_of(attempt))
    }
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
