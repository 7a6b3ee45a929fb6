//! The software versions of upstreams, and which of them were in service lately.
//!
//! What two versions of a service's software write does not fit together, so a stream goes on only at the version that
//! began it. Where that is not recorded, it is still certain if a single version was in service for as long as streams
//! last.

use std::collections::BTreeSet;
use std::collections::HashMap;

use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::directory::Registration;
use crate::message::Heartbeat;
use crate::routes::Kind;
use crate::state::State;
use crate::upstream::short_key;

/// Maximum age of a directory that counts as current, in milliseconds. It exceeds the interval between the responses that a
/// watcher receives if there are no changes.
const MAX_DIRECTORY_AGE_MS: u64 = 2_000;

/// Minimum time by which a report has to be later than what is known, in milliseconds. An age that VMs report to each other
/// would become younger each time by the time that heartbeats take.
const MIN_NEWS_MS: u64 = 1_000;

/// Maximum number of versions in a report.
const MAX_REPORTED: usize = 64;

/// A version of the software of a service. Versions are equal or different; they have no order in time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Software {
    service: u32,
    version: u32,
}

impl Software {
    /// Stands for a version that nobody will know; no upstream has it.
    pub const UNKNOWN: Self = Self { service: 0, version: 0 };

    /// Returns a version of the software of a service.
    pub fn new(service: &Name, version: &Name) -> Self {
        Self { service: short_key(service), version: short_key(version) }
    }

    /// Returns the software of a registered upstream.
    pub fn of(registration: &Registration) -> Self {
        Self::new(&registration.service, &registration.version)
    }

    /// Returns whether this is a version of the software of a service.
    pub fn belongs_to(self, service: &Name) -> bool {
        self.service == short_key(service)
    }
}

/// What a VM knows about the versions that were in service.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// The numbers of upstreams in use by version.
    in_use: HashMap<Software, usize>,
    /// The last times at which versions are known to have been in service, apart from what is in use now.
    ended: HashMap<Software, Time>,
    /// The period for which all versions are known, if there is one.
    known: Option<KnownPeriod>,
    /// The revision at which this VM read the directory after it had missed changes, until another VM with that
    /// revision reports what it knows. Reports with an earlier one may be from before these changes.
    awaits_report_at: Option<StoreRevision>,
}

/// A period that lasts until now and began `before_ms` before `since`, which may be before the start of the VM.
#[derive(Clone, Copy, Debug)]
struct KnownPeriod {
    since: Time,
    before_ms: u64,
}

/// The versions that were in service, as one VM reports them to another.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SoftwareReport {
    /// Length of the period until now for which the sender knows all versions, in milliseconds.
    pub known_ms: u64,
    /// The versions that were in service lately.
    pub versions: Vec<ServiceTime>,
}

/// When a version of software was in service last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceTime {
    /// The version.
    pub software: Software,
    /// Time since it was last in service, in milliseconds; zero if it is.
    pub ended_ms: u64,
}

impl SoftwareHistory {
    /// Records that all versions are known for a period until now.
    fn extend(&mut self, known_ms: u64, now: Time) {
        if known_ms > self.known_ms(now) {
            self.known = Some(KnownPeriod { since: now, before_ms: known_ms });
        }
    }

    /// Begins to know all versions, including those of a period until now.
    fn begin(&mut self, known_ms: u64, now: Time) {
        self.known.get_or_insert(KnownPeriod { since: now, before_ms: known_ms });
    }

    /// Records that an upstream is used from now on.
    pub fn add(&mut self, software: Software) {
        *self.in_use.entry(software).or_default() += 1;
    }

    /// Records that an upstream was used until now.
    pub fn remove(&mut self, software: Software, now: Time) {
        self.record(software, now);
        if let Some(count) = self.in_use.get_mut(&software) {
            *count = count.saturating_sub(1);
        }
        self.in_use.retain(|_, count| *count > 0);
    }

    /// Records that a version was in service at a time.
    fn record(&mut self, software: Software, at: Time) {
        let last = self.ended.entry(software).or_insert(at);
        *last = (*last).max(at);
    }

    /// Records that a version was in service at a time, as another VM reports.
    fn record_reported(&mut self, software: Software, at: Time) {
        if self.ended.get(&software).is_none_or(|known| at.since(*known) >= MIN_NEWS_MS) {
            self.record(software, at);
        }
    }

    /// Returns the length of the period until now for which all versions are known, in milliseconds.
    pub fn known_ms(&self, now: Time) -> u64 {
        self.known.map_or(0, |known| known.before_ms.saturating_add(now.since(known.since)))
    }

    /// Drops the versions that were last in service before a period until now.
    pub fn forget(&mut self, period_ms: u64, now: Time) {
        self.ended.retain(|_, at| now.since(*at) < period_ms);
    }
}

impl State {
    /// Returns the only version of a service's software that can have begun a stream which still goes on, if this is
    /// certain. The stream began at most `max_age_ms` ago, if that is known.
    pub fn sole_software(&self, service: &Name, max_age_ms: Option<u64>) -> Option<Software> {
        let lifetime_ms = self.stream_lifetime_ms?;
        let needed_ms = max_age_ms.unwrap_or(lifetime_ms).min(lifetime_ms);
        let is_current =
            self.directory_confirmed_at.is_some_and(|at| self.now.since(at) <= MAX_DIRECTORY_AGE_MS);
        let is_complete = self.software_history.awaits_report_at.is_none() || self.peers.count() == 1;
        if !is_current || !is_complete || self.software_history.known_ms(self.now) < needed_ms {
            return None;
        }
        let history = &self.software_history;
        let is_recent = |(_, at): &(&Software, &Time)| self.now.since(**at) < lifetime_ms;
        let ended = history.ended.iter().filter(is_recent).map(|(software, _)| software);
        let possible = history.in_use.keys().chain(ended).filter(|software| software.belongs_to(service));
        let versions: BTreeSet<Software> = possible.copied().collect();
        versions.first().copied().filter(|_| versions.len() == 1)
    }

    /// Returns whether another VM will soon report the versions that this VM may have missed.
    pub fn awaits_software_report(&self) -> bool {
        self.software_history.awaits_report_at.is_some()
            && self.peers.any_responding(self.now, self.tuning.peer_timeout_ms)
    }

    /// Returns whether an upstream that runs a version is registered.
    pub fn has_upstream_of(&self, software: Software) -> bool {
        self.software_history.in_use.contains_key(&software)
    }

    /// Returns whether this VM does not know which versions were in service for as long as streams last.
    pub fn lacks_software_history(&self) -> bool {
        self.stream_lifetime_ms
            .is_none_or(|lifetime_ms| self.software_history.known_ms(self.now) < lifetime_ms)
    }
}

/// Updates the time for which streams can go on after the routes have changed. It does not fall, since streams may
/// have begun under the routes before.
pub fn update_stream_lifetime(state: &mut State) {
    let routes = state.directory.routes.iter().flat_map(|routes| &routes.routes);
    let streams = routes.filter(|route| route.kind == Kind::Streaming);
    let longest_ms = streams.map(|route| route.timeout_ms).max().unwrap_or_default();
    state.stream_lifetime_ms = state.stream_lifetime_ms.max(Some(longest_ms));
}

/// Records that the complete directory was read, the first time or after changes that this VM may have missed.
///
/// A stream begins only with a version that its VM knows and reports. So what another VM reports makes up for changes that
/// were missed.
pub fn record_read(state: &mut State, revision: StoreRevision) {
    let now = state.now;
    match state.directory_confirmed_at {
        // Nothing was in service before the first start of the fleet.
        None => state.software_history.begin(if state.first_start { u64::MAX } else { 0 }, now),
        Some(_) => state.software_history.awaits_report_at = Some(revision),
    }
}

/// Records the versions that the registry's history contains for a period until now.
pub fn record_history(state: &mut State, period_ms: u64, versions: &[Software]) {
    let now = state.now;
    for software in versions {
        state.software_history.record(*software, now);
    }
    state.software_history.extend(period_ms, now);
    let inputs = vec![("period_ms", period_ms.to_string()), ("versions", versions.len().to_string())];
    state.log(None, "software_history_read", inputs);
}

/// Records the versions that another VM reports. Its knowledge extends this VM's if its directory is current.
pub fn receive(state: &mut State, heartbeat: &Heartbeat) {
    let now = state.now;
    let Some(age_ms) = heartbeat.directory_age_ms.filter(|age_ms| *age_ms <= MAX_DIRECTORY_AGE_MS) else {
        return;
    };
    let history = &mut state.software_history;
    history.awaits_report_at = history.awaits_report_at.filter(|revision| heartbeat.revision < *revision);
    let report = &heartbeat.software;
    for ServiceTime { software, ended_ms } in &report.versions {
        state.software_history.record_reported(*software, Time(now.0.saturating_sub(*ended_ms)));
    }
    if report.versions.len() < MAX_REPORTED {
        state.software_history.extend(report.known_ms.saturating_sub(age_ms), now);
    }
}

/// Returns what this VM reports to others.
pub fn report(state: &mut State) -> SoftwareReport {
    let now = state.now;
    if let Some(lifetime_ms) = state.stream_lifetime_ms {
        state.software_history.forget(lifetime_ms, now);
    }
    let history = &state.software_history;
    let in_service = history.in_use.keys().map(|software| ServiceTime { software: *software, ended_ms: 0 });
    let ended = history.ended.iter().filter(|(software, _)| !history.in_use.contains_key(*software));
    let ended = ended.map(|(software, at)| ServiceTime { software: *software, ended_ms: now.since(*at) });
    let versions = in_service.chain(ended).take(MAX_REPORTED).collect();
    SoftwareReport { known_ms: state.software_history.known_ms(now), versions }
}
