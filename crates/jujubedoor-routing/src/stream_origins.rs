//! Which software version began each stream, for callers who resume a broken stream.
//!
//! A caller may resume a stream at any VM, after the VM that began it has ended. Each VM therefore announces the streams
//! that it begins to all others, and a VM that starts fetches the known ones.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use lru::LruCache;
use serde::Deserialize;
use serde::Serialize;

use crate::event::Effect;
use crate::event::RequestId;
use crate::heartbeats;
use crate::message::Heartbeat;
use crate::software::Software;
use crate::state::State;

/// Maximum number of streams that a VM knows.
const MAX_KNOWN: usize = 1 << 18;

/// Multiple of the time for which a stream can go on, for which its origin is kept.
const LIFETIMES_KEPT: u64 = 2;

/// Maximum number of streams that wait to be announced.
const MAX_PENDING: usize = 8_192;

/// Maximum number of streams that one VM sends to another that has just started.
const MAX_LISTED: usize = 16_384;

/// Number of heartbeats after which another VM knows streams of its own or of others.
const MIN_HEARTBEATS: u64 = 3;

/// Maximum number of VMs from which a VM that starts fetches the known streams.
const MAX_QUERIED_VMS: u32 = 4;

/// The software that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Key of the stream.
    pub stream: u64,
    /// The software of the upstream that began it.
    pub software: Software,
}

/// Streams that one version of software began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BegunStreams {
    /// The software.
    pub software: Software,
    /// Keys of the streams.
    pub streams: Vec<u64>,
}

/// A stream that is announced to other VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The stream and its origin.
    pub origin: StreamOrigin,
    /// Whether a VM of this failure domain announced it. Other domains receive those that began elsewhere from there.
    pub is_from_domain: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownOrigin {
    software: Software,
    recorded_at: Time,
}

/// The origins of streams, by the keys of the streams.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    /// The origins, those that were recorded last first.
    known: LruCache<u64, KnownOrigin>,
    pending: VecDeque<Announcement>,
    queried_vms: u32,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self { known: LruCache::unbounded(), pending: VecDeque::new(), queried_vms: 0 }
    }
}

impl StreamOrigins {
    /// Returns the software that began a stream, if it is known.
    pub fn get(&self, stream: u64) -> Option<Software> {
        self.known.peek(&stream).map(|known| known.software)
    }

    /// Returns the number of known streams.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// Records the origin of a stream. Returns whether this is news.
    ///
    /// If two differ, the version is unknown and stays so. VMs that forward what is news therefore agree at some time.
    fn record(&mut self, origin: StreamOrigin, now: Time) -> bool {
        let known = self.get(origin.stream);
        let is_certain = known.is_none_or(|known| known == origin.software);
        let software = if is_certain { origin.software } else { Software::UNKNOWN };
        self.known.put(origin.stream, KnownOrigin { software, recorded_at: now });
        if self.known.len() > MAX_KNOWN {
            self.known.pop_lru();
        }
        known != Some(software)
    }

    /// Drops the origins of streams that were recorded longer ago than a time in milliseconds.
    fn expire(&mut self, lifetime_ms: u64, now: Time) {
        while self.known.peek_lru().is_some_and(|(_, known)| now.since(known.recorded_at) >= lifetime_ms) {
            self.known.pop_lru();
        }
    }

    /// Announces what is known of a stream.
    fn announce(&mut self, stream: u64, is_from_domain: bool) {
        let Some(software) = self.get(stream) else { return };
        let origin = StreamOrigin { stream, software };
        self.pending.push_back(Announcement { origin, is_from_domain });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    /// Returns the number of streams that wait to be announced.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Removes and returns the streams to announce next, at most a number of them.
    pub fn take_pending(&mut self, max_streams: usize) -> Vec<Announcement> {
        let taken = self.pending.len().min(max_streams);
        self.pending.drain(..taken).collect()
    }

    /// Returns the streams that became known last.
    pub fn list(&self) -> Vec<StreamOrigin> {
        let latest = self.known.iter().take(MAX_LISTED);
        latest.map(|(stream, known)| StreamOrigin { stream: *stream, software: known.software }).collect()
    }
}

/// Groups the streams to announce by their software, for VMs of this failure domain or of others.
pub fn group(announcements: &[Announcement], for_other_domain: bool) -> Vec<BegunStreams> {
    let mut groups: BTreeMap<Software, Vec<u64>> = BTreeMap::new();
    for Announcement { origin, .. } in announcements.iter().filter(|a| a.is_from_domain || !for_other_domain)
    {
        groups.entry(origin.software).or_default().push(origin.stream);
    }
    groups.into_iter().map(|(software, streams)| BegunStreams { software, streams }).collect()
}

/// Records that the response to a request begins a stream, or resumes one, for its caller. From now on, the stream
/// goes on only at the software of the current upstream.
pub fn record_begin(state: &mut State, request: RequestId) {
    let Some(active) = state.requests.get_mut(&request) else { return };
    let Some(software) = active.attempt.as_ref().map(|attempt| attempt.software) else { return };
    active.software = Some(software);
    let Some(stream) = active.call.stream.key else { return };
    if state.stream_origins.record(StreamOrigin { stream, software }, state.now) {
        state.stream_origins.announce(stream, true);
    }
}

/// Records the streams that another VM announced, and announces them to others if this VM is a relay.
pub fn receive(state: &mut State, heartbeat: &Heartbeat) {
    let now = state.now;
    let should_forward = heartbeats::is_forwarder(state);
    let is_from_domain = heartbeat.sender.domain == state.domain;
    for BegunStreams { software, streams } in &heartbeat.streams {
        for stream in streams {
            let origin = StreamOrigin { stream: *stream, software: *software };
            if state.stream_origins.record(origin, now) && should_forward {
                state.stream_origins.announce(*stream, is_from_domain);
            }
        }
    }
}

/// Fetches the known streams from the sender of a heartbeat, if it is one of the first that this VM hears from.
pub fn request_from(state: &mut State, heartbeat: &Heartbeat) {
    if state.directory.routes.is_none() {
        // No stream can be resumed yet, and the list would delay the directory on a slow link.
        return;
    }
    let origins = &mut state.stream_origins;
    if heartbeat.sequence >= MIN_HEARTBEATS && origins.queried_vms < MAX_QUERIED_VMS {
        origins.queried_vms += 1;
        state.effects.push(Effect::FetchStreamOrigins(heartbeat.sender.address));
    }
}

/// Records the streams that another VM listed.
pub fn add_listed(state: &mut State, origins: &[StreamOrigin]) {
    for origin in origins.iter().rev() {
        state.stream_origins.record(*origin, state.now);
    }
    state.log(None, "streams_learned", vec![("streams", origins.len().to_string())]);
}

/// Drops old origins.
pub fn tick(state: &mut State) {
    if let Some(lifetime_ms) = state.stream_lifetime_ms {
        state.stream_origins.expire(lifetime_ms.saturating_mul(LIFETIMES_KEPT), state.now);
    }
}

/// Records that nobody knows the version of the streams at an upstream, because it has started again as another version:
/// the VM cannot tell which run they are from.
pub fn forget_run(state: &mut State, upstream: &Name) {
    for active in state.requests.values_mut() {
        let Some(attempt) = active.attempt.as_mut().filter(|attempt| attempt.upstream == *upstream) else {
            continue;
        };
        attempt.software = Software::UNKNOWN;
        if active.software.is_none() {
            // The stream has not begun.
            continue;
        }
        active.software = Some(Software::UNKNOWN);
        if let Some(stream) = active.call.stream.key {
            state.stream_origins.record(StreamOrigin { stream, software: Software::UNKNOWN }, state.now);
            state.stream_origins.announce(stream, true);
        }
    }
}
