//! Notices of upstreams in their responses: that they leave, or that they request a pause.
//!
//! A notice concerns one run of an upstream's process. An upstream that leaves gets no more requests, whatever the
//! registry or other VMs report; the other VMs are informed. A pause applies to the VM that received the response,
//! since the upstream may request one from each VM. After a pause, the number of requests rises gradually, so that the
//! upstream is not overloaded again at once.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use lru::LruCache;

use crate::message::LeavingReport;
use crate::state::State;
use crate::upstream::Upstream;
use crate::upstream::short_key;

/// Minimum number of upstreams whose notices are kept; in a larger fleet, those of twice its upstreams are.
const MIN_KEPT: usize = 1_024;

/// Maximum length of a pause, in milliseconds, so that a wrong number does not take an upstream out of use for good.
const MAX_PAUSE_MS: u64 = 600_000;

/// Time after a pause in which the number of requests rises to the normal one, in milliseconds.
const RAMP_MS: u64 = 2_000;

/// Time for which a VM reports that an upstream leaves, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 10_000;

/// Time for which a request may be on its way to an upstream, in milliseconds.
const TRANSIT_MS: u64 = 500;

/// Maximum number of upstreams that a decision names as passed over.
const MAX_DESCRIBED: usize = 8;

/// The notice in a response of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Start time of the process to which the request was sent, as registered.
    pub started: u64,
    /// Whether the upstream leaves.
    pub leaving: bool,
    /// Time for which this VM should send no requests, in milliseconds, if the upstream requests a pause.
    pub pause_ms: Option<u64>,
}

/// The notices of all upstreams, by their short keys.
#[derive(Clone, Debug)]
pub struct UpstreamNotices {
    known: LruCache<u32, KnownNotice>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownNotice {
    started: u64,
    leaving: Option<Leaving>,
    paused_until: Option<Time>,
}

/// The announcement of an upstream that it leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    announced_at: Time,
    source: Source,
}

/// How this VM knows a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This VM received the response.
    Response,
    /// Another VM reported it.
    Vm,
}

impl Source {
    /// Returns the source's name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Vm => "vm",
        }
    }
}

impl Default for UpstreamNotices {
    fn default() -> Self {
        Self { known: LruCache::unbounded() }
    }
}

impl UpstreamNotices {
    /// Returns whether an upstream has announced that it leaves.
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.of(upstream).is_some_and(|known| known.leaving.is_some())
    }

    /// Returns whether an upstream that leaves still accepts requests that are sent now. They are sent only if there
    /// is no other upstream. `drain_ms` is the time after the announcement within which all requests have to arrive.
    pub fn accepts_last_requests(&self, upstream: &Upstream, now: Time, drain_ms: u64) -> bool {
        let leaving = self.of(upstream).and_then(|known| known.leaving);
        leaving.is_some_and(|leaving| now.since(leaving.announced_at) + TRANSIT_MS < drain_ms)
    }

    /// Returns the end of the pause that an upstream requested, if it is in the future.
    pub fn paused_until(&self, upstream: &Upstream, now: Time) -> Option<Time> {
        self.of(upstream)?.paused_until.filter(|until| *until > now)
    }

    /// Returns the maximum number of concurrent requests of this VM at an upstream after a pause, if there is a
    /// limit. `share` is this VM's share of the upstream's slots.
    pub fn ramp_limit(&self, upstream: &Upstream, share: u32, now: Time) -> Option<u32> {
        let elapsed_ms = now.since(self.of(upstream)?.paused_until?);
        let allowed = u64::from(share) * elapsed_ms / RAMP_MS;
        (elapsed_ms < RAMP_MS).then(|| u32::try_from(allowed).unwrap_or(u32::MAX).saturating_add(1))
    }

    /// Returns reports of upstreams that leave, at most a number of them. Consecutive heartbeats report all in turn.
    pub fn reports(&self, sequence: u64, max_reports: usize, now: Time) -> Vec<LeavingReport> {
        let report = |(key, known): (&u32, &KnownNotice)| {
            let age_ms = now.since(known.leaving?.announced_at);
            let report = LeavingReport { upstream: *key, started: known.started, age_ms };
            (age_ms < REPORT_LIFETIME_MS).then_some(report)
        };
        let all: Vec<LeavingReport> = self.known.iter().filter_map(report).collect();
        let pages = all.len().div_ceil(max_reports).max(1) as u64;
        let page = usize::try_from(sequence % pages).unwrap_or_default();
        all.into_iter().skip(page * max_reports).take(max_reports).collect()
    }

    fn of(&self, upstream: &Upstream) -> Option<&KnownNotice> {
        self.known.peek(&upstream.key).filter(|known| known.started == upstream.registration.started)
    }

    /// Drops the notices that have not changed for longest, so that at most a number of them is kept.
    fn keep(&mut self, max_kept: usize) {
        while self.known.len() > max_kept {
            self.known.pop_lru();
        }
    }

    /// Returns the notice of a run of an upstream, for a change. The notice of another run is dropped.
    fn of_run(&mut self, key: u32, started: u64) -> &mut KnownNotice {
        if self.known.peek(&key).is_none_or(|known| known.started != started) {
            self.known.put(key, KnownNotice { started, ..KnownNotice::default() });
        }
        self.known.get_or_insert_mut(key, KnownNotice::default)
    }
}

/// Records the notice in a response of an upstream.
pub fn record(state: &mut State, id: &Name, notice: Notice) {
    let registered = state.upstreams.get(id).map(|upstream| upstream.registration.started);
    if registered.is_some_and(|started| started != notice.started) {
        // The response is of an earlier run.
        return;
    }
    let key = short_key(id);
    if notice.leaving {
        let now = state.now;
        record_leaving(
            state,
            key,
            id,
            notice.started,
            Leaving { announced_at: now, source: Source::Response },
        );
    }
    if let Some(pause_ms) = notice.pause_ms.filter(|pause_ms| *pause_ms > 0) {
        record_pause(state, key, id, notice.started, pause_ms.min(MAX_PAUSE_MS));
    }
    state.upstream_notices.keep((2 * state.upstreams.len()).max(MIN_KEPT));
}

/// Applies the reports of another VM about upstreams that leave.
pub fn receive(state: &mut State, reports: &[LeavingReport]) {
    for report in reports {
        let Some(id) = state.ids_by_key.get(&report.upstream).cloned() else { continue };
        let known = state.upstream_notices.known.peek(&report.upstream);
        let registered = state.upstreams.get(&id).map(|upstream| upstream.registration.started);
        let is_outdated = known.is_some_and(|known| known.started > report.started)
            || registered.is_some_and(|started| started > report.started);
        if is_outdated || report.age_ms >= REPORT_LIFETIME_MS {
            continue;
        }
        let announced_at = Time(state.now.0.saturating_sub(report.age_ms));
        let leaving = Leaving { announced_at, source: Source::Vm };
        record_leaving(state, report.upstream, &id, report.started, leaving);
    }
}

fn record_leaving(state: &mut State, key: u32, id: &Name, started: u64, leaving: Leaving) {
    let known = state.upstream_notices.of_run(key, started);
    if known.leaving.is_some() {
        return;
    }
    known.leaving = Some(leaving);
    // The other VMs are informed without waiting for the next interval.
    if leaving.source == Source::Response {
        state.heartbeat_due = state.now;
    }
    let inputs = vec![("upstream", id.to_string()), ("source", leaving.source.as_str().to_owned())];
    state.log(None, "upstream_leaving", inputs);
}

/// Records a pause. Of several, the latest end counts.
fn record_pause(state: &mut State, key: u32, id: &Name, started: u64, pause_ms: u64) {
    let until = state.now.after(pause_ms);
    let known = state.upstream_notices.of_run(key, started);
    if known.paused_until.is_none_or(|known_until| known_until < until) {
        known.paused_until = Some(until);
        let inputs = vec![("upstream", id.to_string()), ("pause_ms", pause_ms.to_string())];
        state.log(None, "upstream_paused", inputs);
    }
}

/// Describes the upstreams of a service that get no requests because of their notices, for the decision log.
pub fn describe(state: &State, service: &Name) -> Option<String> {
    let describe_one = |key: &u32| {
        let id = state.ids_by_key.get(key)?;
        let upstream = state.upstreams.get(id).filter(|u| u.registration.service == *service)?;
        let known = state.upstream_notices.of(upstream)?;
        if let Some(leaving) = known.leaving {
            return Some(format!("{id} leaving ({})", leaving.source.as_str()));
        }
        let until = known.paused_until.filter(|until| *until > state.now)?;
        Some(format!("{id} paused for {} ms (response)", until.since(state.now)))
    };
    let keys = state.upstream_notices.known.iter().map(|(key, _)| key);
    let described: Vec<String> = keys.filter_map(describe_one).take(MAX_DESCRIBED).collect();
    (!described.is_empty()).then(|| described.join(", "))
}
