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
use crate::resumed_streams;
use crate::run_evidence;
use crate::run_evidence::AssumedRun;
use crate::run_evidence::Assumption;
use crate::run_evidence::Finding;
use crate::software::Software;
use crate::state::State;
use crate::upstream::AddressHolder;
use crate::upstream::short_key;

/// Maximum number of streams that a VM knows.
const MAX_KNOWN: usize = 1 << 18;

/// Multiple of the time for which a stream can go on, for which its origin is kept.
const LIFETIMES_KEPT: u64 = 2;

/// Maximum number of streams that wait to be announced.
const MAX_PENDING: usize = 8_192;

/// Maximum number of streams that one VM sends to another that has just started.
const MAX_LISTED: usize = 16_384;

/// Space that a stream of an assumed run takes up in a heartbeat, as a multiple of that of a certain one, which is the key of
/// 10 bytes. The run takes 12 bytes, and each run needs a group of its own, with 11 bytes for the software.
const ASSUMED_STREAM_SIZE: usize = 3;

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
    /// The run that has this software and is assumed to have begun the stream, until that is certain.
    pub run: Option<OriginRun>,
}

/// The run that is assumed to have begun a stream, as VMs tell each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OriginRun {
    /// The run.
    pub run: AssumedRun,
    /// If it was in doubt when the stream began that this run served, the time since another run may have taken its place
    /// last, in milliseconds.
    pub doubt_age_ms: Option<u64>,
}

impl StreamOrigin {
    /// Returns an origin that is certain, or certainly unknown.
    pub fn certain(stream: u64, software: Software) -> Self {
        Self { stream, software, run: None }
    }
}

/// Streams that one version of software began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BegunStreams {
    /// The software.
    pub software: Software,
    /// The run that has this software and is assumed to have begun the streams, until that is certain.
    pub run: Option<OriginRun>,
    /// Keys of the streams.
    pub streams: Vec<u64>,
}

/// A stream that is announced to other VMs.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    stream: u64,
    origin: KnownOrigin,
    /// Whether a VM of this failure domain announced it. Other domains receive those that began elsewhere from there.
    is_from_domain: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownOrigin {
    software: Software,
    /// The run on which `software` is based, until it is certain that it began the stream.
    assumption: Option<Assumption>,
    recorded_at: Time,
}

impl KnownOrigin {
    /// Returns the origin that another VM announced or listed. The stream began before the present time.
    fn announced(state: &State, origin: &StreamOrigin) -> Self {
        let now = state.now;
        let assumption = origin.run.map(|OriginRun { run, doubt_age_ms }| {
            let id = state.ids_by_key.get(&run.upstream);
            let unreachable_at = id.and_then(|id| state.upstreams.get(id)?.unreachable_at());
            // Connections of this VM may have been cut off later than those of the other one.
            let doubted_at =
                doubt_age_ms.map(|ms| Time(now.0.saturating_sub(ms)).max(unreachable_at.unwrap_or_default()));
            Assumption { run, since: now, doubted_at }
        });
        Self { software: origin.software, assumption, recorded_at: now }
    }

    fn origin(&self, stream: u64, now: Time) -> StreamOrigin {
        StreamOrigin { stream, software: self.software, run: self.run(now) }
    }

    /// Returns the run on which the software is based, as VMs tell each other.
    fn run(&self, now: Time) -> Option<OriginRun> {
        let Assumption { run, doubted_at, .. } = self.assumption?;
        Some(OriginRun { run, doubt_age_ms: doubted_at.map(|at| now.since(at)) })
    }

    /// Returns whether another record says the same to other VMs.
    fn says_the_same(&self, other: &Self) -> bool {
        let said = |known: &Self| known.assumption.map(|a| (a.run, a.doubted_at.is_some()));
        self.software == other.software && said(self) == said(other)
    }

    /// Combines two records of the same stream. VMs that combine the same records in any order agree: what is certain
    /// replaces an assumption, and the version is unknown and stays so if two differ.
    fn combine(self, other: Self) -> Self {
        let (software, assumption) = match (self.assumption, other.assumption) {
            _ if self.software != other.software => (Software::UNKNOWN, None),
            (Some(known), Some(new)) if known.run < new.run => (self.software, Some(new)),
            (Some(known), Some(new)) if known.run == new.run => {
                let doubted_at = known.doubted_at.or(new.doubted_at);
                (self.software, Some(Assumption { doubted_at, ..known }))
            }
            (Some(known), Some(_)) => (self.software, Some(known)),
            (None, _) | (_, None) => (self.software, None),
        };
        Self { software, assumption, recorded_at: other.recorded_at }
    }
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

    /// Returns the record of a stream, if there is one.
    pub fn record_of(&self, stream: u64, now: Time) -> Option<StreamOrigin> {
        self.known.peek(&stream).map(|known| known.origin(stream, now))
    }

    /// Returns whether the record of a stream is certain, or certainly unknown.
    pub fn is_certain(&self, stream: u64) -> bool {
        self.known.peek(&stream).is_some_and(|known| known.assumption.is_none())
    }

    /// Returns the assumption on which the record of a stream is based, if it is not certain.
    pub(crate) fn assumption(&self, stream: u64) -> Option<Assumption> {
        self.known.peek(&stream)?.assumption
    }

    /// Returns the number of known streams.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// Records the origin of a stream. Returns whether this is news.
    fn record(&mut self, stream: u64, new: KnownOrigin) -> bool {
        let known = self.known.peek(&stream).copied();
        let combined = known.map_or(new, |known| known.combine(new));
        self.known.put(stream, combined);
        if self.known.len() > MAX_KNOWN {
            self.known.pop_lru();
        }
        known.is_none_or(|known| !known.says_the_same(&combined))
    }

    /// Drops the origins of streams that were recorded longer ago than a time in milliseconds.
    fn expire(&mut self, lifetime_ms: u64, now: Time) {
        while self.known.peek_lru().is_some_and(|(_, known)| now.since(known.recorded_at) >= lifetime_ms) {
            self.known.pop_lru();
        }
    }

    /// Announces what is known of a stream.
    fn announce(&mut self, stream: u64, is_from_domain: bool) {
        let Some(origin) = self.known.peek(&stream).copied() else { return };
        self.pending.push_back(Announcement { stream, origin, is_from_domain });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    /// Returns the number of streams that wait to be announced.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Removes and returns the streams to announce next, at most as many as take up the space of a number of certain ones.
    pub fn take_pending(&mut self, max_streams: usize) -> Vec<Announcement> {
        let size = |announcement: &Announcement| {
            if announcement.origin.assumption.is_some() { ASSUMED_STREAM_SIZE } else { 1 }
        };
        let mut space = max_streams;
        let fits = |a: &&Announcement| {
            let rest = space.checked_sub(size(a));
            space = rest.unwrap_or_default();
            rest.is_some()
        };
        let taken = self.pending.iter().take_while(fits).count();
        self.pending.drain(..taken).collect()
    }

    /// Returns the streams that became known last.
    pub fn list(&self, now: Time) -> Vec<StreamOrigin> {
        let latest = self.known.iter().take(MAX_LISTED);
        latest.map(|(stream, known)| known.origin(*stream, now)).collect()
    }
}

/// Groups the streams to announce by their software, for VMs of this failure domain or of others.
pub fn group(announcements: &[Announcement], for_other_domain: bool, now: Time) -> Vec<BegunStreams> {
    let mut groups: BTreeMap<(Software, Option<OriginRun>), Vec<u64>> = BTreeMap::new();
    for announced in announcements.iter().filter(|a| a.is_from_domain || !for_other_domain) {
        let origin = &announced.origin;
        groups.entry((origin.software, origin.run(now))).or_default().push(announced.stream);
    }
    groups.into_iter().map(|((software, run), streams)| BegunStreams { software, run, streams }).collect()
}

/// Records that the response to a request begins a stream, or resumes one, for its caller. From now on, the stream
/// goes on only at the software of the current upstream. `open_ms` is the time for which the connection has been open.
///
/// Another run may have begun the stream than the registered one, whose registration has not arrived yet. The software is
/// certain only with evidence that the process is the registered run. A stream that is resumed keeps what is known of it.
pub fn record_begin(state: &mut State, request: RequestId, open_ms: u64) {
    let now = state.now;
    let attempt = state.requests.get(&request).and_then(|active| active.attempt.as_ref());
    let Some(attempt) = attempt else { return };
    let (id, started, holder) = (attempt.upstream.clone(), attempt.upstream_started, attempt.holder);
    let software = attempt.software;
    run_evidence::observe(state, &id, started, open_ms, 0);
    let run = AssumedRun { upstream: short_key(&id), started };
    let doubted_at = match holder {
        AddressHolder::InDoubt { unreachable_at } => Some(unreachable_at),
        AddressHolder::RegisteredRun | AddressHolder::OtherRun => None,
    };
    let assumption = Assumption { run, since: Time(now.0.saturating_sub(open_ms)), doubted_at };
    let is_certain = state.finding(assumption, now) == Finding::Certain;
    let Some(active) = state.requests.get_mut(&request) else { return };
    let software = if holder == AddressHolder::OtherRun { Software::UNKNOWN } else { software };
    if active.software.is_none() {
        active.assumption = Some(assumption).filter(|_| !is_certain && software != Software::UNKNOWN);
    }
    active.software = Some(software);
    let assumption = active.assumption;
    let Some(stream) = active.call.stream.key else { return };
    record_own(state, stream, software, assumption);
}

/// Records that the software that began a stream is certain, or certainly unknown, and announces it.
pub fn record_certain(state: &mut State, stream: u64, software: Software) {
    record_own(state, stream, software, None);
}

fn record_own(state: &mut State, stream: u64, software: Software, assumption: Option<Assumption>) {
    let origin = KnownOrigin { software, assumption, recorded_at: state.now };
    if state.stream_origins.record(stream, origin) {
        state.stream_origins.announce(stream, true);
    }
}

/// Records the streams that another VM announced, and announces them to others if this VM is a relay.
pub fn receive(state: &mut State, heartbeat: &Heartbeat) {
    let should_forward = heartbeats::is_forwarder(state);
    let is_from_domain = heartbeat.sender.domain == state.domain;
    for BegunStreams { software, run, streams } in &heartbeat.streams {
        for stream in streams {
            let origin = StreamOrigin { stream: *stream, software: *software, run: *run };
            let known = KnownOrigin::announced(state, &origin);
            if state.stream_origins.record(*stream, known) && should_forward {
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
        let known = KnownOrigin::announced(state, origin);
        state.stream_origins.record(origin.stream, known);
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
/// the VM cannot tell which run they are from, unless there is evidence of that already.
pub fn forget_run(state: &mut State, upstream: &Name) {
    let mut doubtful = Vec::new();
    for (request, active) in &mut state.requests {
        let Some(attempt) = active.attempt.as_mut().filter(|attempt| attempt.upstream == *upstream) else {
            continue;
        };
        attempt.holder = AddressHolder::OtherRun;
        if active.software.is_some() && active.assumption.is_some() {
            doubtful.push(*request);
        }
    }
    for request in doubtful {
        resumed_streams::forget(state, request);
    }
}
