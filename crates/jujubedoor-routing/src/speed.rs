//! Speeds of upstreams, which change many times a second where upstreams share their hosts with other work.
//!
//! An upstream may report in each response how long work takes there at the moment. Each VM sees few responses of an
//! upstream, so VMs report unusual figures to each other. A figure counts less and less with its age and soon not at
//! all, so that an upstream that has recovered is used again although no VM has heard from it. A slow upstream costs
//! more in placement; its limits and its health stay as they are.

use std::collections::HashMap;
use std::collections::VecDeque;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeats;
use crate::message::Heartbeat;
use crate::state::State;
use crate::upstream::Upstream;
use crate::upstream_notices::Source;

/// Bounds of a figure, in percent, so that an absurd one affects placement no more than a possible one.
const MIN_PERCENT: u16 = 20;
const MAX_PERCENT: u16 = 2_000;

/// Difference from the usual 100 percent, or from the last reported figure, from which a figure is reported to
/// other VMs.
const REPORTED_DIFFERENCE: u16 = 25;

/// Minimum interval at which a VM reports the same figure of an upstream again, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;

/// Time by which a reported figure has to be newer than the known one, in milliseconds. Reports do not include the
/// time that they are on their way, so an earlier figure that returns through a relay looks a little newer.
const MIN_NEWER_MS: u64 = 50;

/// The time that work takes at an upstream, in percent of the usual time: 200 means that it works half as fast.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Speed(u16);

/// Report of the speed that an upstream named in a response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedReport {
    /// Short key of the upstream.
    pub upstream: u32,
    /// The time that work takes, in percent of the usual one.
    pub percent: u16,
    /// Time since the response, in milliseconds.
    pub age_ms: u64,
}

/// A report and the VMs for which it is news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The report.
    pub report: SpeedReport,
    /// Whether a VM of this failure domain received the response. Other domains receive the others from there.
    pub is_from_domain: bool,
}

/// The latest speeds of upstreams, by their short keys.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    known: HashMap<u32, Figure>,
    /// Keys of upstreams whose figures are to be reported to other VMs, in order.
    pending: VecDeque<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Figure {
    speed: Speed,
    named_at: Time,
    is_from_domain: bool,
    is_pending: bool,
    /// The figure that the other VMs know, and the time of its response.
    shared: Option<(Speed, Time)>,
}

impl Speed {
    /// The usual speed.
    pub const USUAL: Self = Self(100);

    /// Returns the speed for a time in percent of the usual one, within bounds. A number that is not positive and
    /// finite is no speed.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let bounded = percent.clamp(f64::from(MIN_PERCENT), f64::from(MAX_PERCENT));
        // The number is within the bounds.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rounded = bounded.round() as u16;
        (percent.is_finite() && percent > 0.0).then_some(Self(rounded))
    }

    /// Returns the time that work takes, in percent of the usual one.
    pub fn percent(self) -> u16 {
        self.0
    }

    /// Returns whether the speed differs so little from the usual one that it is not reported.
    pub fn is_usual(self) -> bool {
        !self.differs(Self::USUAL)
    }

    fn differs(self, other: Self) -> bool {
        self.0.abs_diff(other.0) >= REPORTED_DIFFERENCE
    }
}

impl Figure {
    /// Returns whether the other VMs should know this figure. `decay_ms` is the time after which the one that they
    /// know does not count any more.
    fn is_news(&self, now: Time, decay_ms: u64) -> bool {
        let shared = self.shared.filter(|(_, at)| now.since(*at) < decay_ms);
        let Some((speed, at)) = shared else { return !self.speed.is_usual() };
        if self.speed.is_usual() {
            return !speed.is_usual();
        }
        self.speed.differs(speed) || self.named_at.since(at) >= REPORT_INTERVAL_MS
    }

    /// Returns the time that work takes now in percent of the usual one, of which the difference shrinks with the age
    /// of the figure.
    fn percent(&self, now: Time, decay_ms: u64) -> f64 {
        let to_f64 = |ms| f64::from(u32::try_from(ms).unwrap_or(u32::MAX));
        let age_share = to_f64(now.since(self.named_at)) / to_f64(decay_ms.max(1));
        let usual = f64::from(Speed::USUAL.0);
        usual + (f64::from(self.speed.0) - usual) * (1.0 - age_share).max(0.0)
    }
}

impl Speeds {
    /// Removes and returns the figures to report, at most a number of them.
    pub fn take_pending(&mut self, max_reports: usize, now: Time, decay_ms: u64) -> Vec<Announcement> {
        let mut announcements = Vec::new();
        while announcements.len() < max_reports {
            let Some(key) = self.pending.pop_front() else { break };
            let Some(figure) = self.known.get_mut(&key) else { continue };
            figure.is_pending = false;
            let age_ms = now.since(figure.named_at);
            if age_ms < decay_ms && figure.is_news(now, decay_ms) {
                figure.shared = Some((figure.speed, figure.named_at));
                let report = SpeedReport { upstream: key, percent: figure.speed.0, age_ms };
                announcements.push(Announcement { report, is_from_domain: figure.is_from_domain });
            }
        }
        announcements
    }

    /// Discards figures that do not count any more.
    pub fn expire(&mut self, now: Time, decay_ms: u64) {
        self.known.retain(|_, figure| now.since(figure.named_at) < decay_ms);
        let known = &self.known;
        self.pending.retain(|key| known.contains_key(key));
    }

    /// Returns the number of known figures.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    fn mark_pending(&mut self, key: u32) {
        if let Some(figure) = self.known.get_mut(&key).filter(|figure| !figure.is_pending) {
            figure.is_pending = true;
            self.pending.push_back(key);
        }
    }
}

/// Returns the reports among announcements that VMs of this failure domain, or of others, need.
pub fn reports(announcements: &[Announcement], for_other_domain: bool) -> Vec<SpeedReport> {
    let needed = announcements.iter().filter(|a| a.is_from_domain || !for_other_domain);
    needed.map(|a| a.report).collect()
}

/// Records the speed that a response of an upstream names.
pub fn record_named(state: &mut State, id: &Name, speed: Speed) {
    let Some(key) = state.upstreams.get(id).map(|upstream| upstream.key) else { return };
    let (now, decay_ms) = (state.now, state.tuning.speed_decay_ms);
    if decay_ms == 0 {
        return;
    }
    record(state, key, speed, now, Origin { source: Source::Response, is_from_domain: true });
}

/// Applies the speeds that another VM reported.
pub fn receive(state: &mut State, heartbeat: &Heartbeat) {
    let is_from_domain = heartbeat.sender.domain == state.domain;
    for report in &heartbeat.speeds {
        if report.age_ms >= state.tuning.speed_decay_ms || !state.ids_by_key.contains_key(&report.upstream) {
            continue;
        }
        let Some(speed) = Speed::from_percent(f64::from(report.percent)) else { continue };
        let named_at = Time(state.now.0.saturating_sub(report.age_ms));
        let origin = Origin { source: Source::Vm, is_from_domain };
        record(state, report.upstream, speed, named_at, origin);
    }
}

/// Where a figure comes from.
#[derive(Clone, Copy, Debug)]
struct Origin {
    source: Source,
    is_from_domain: bool,
}

fn record(state: &mut State, key: u32, speed: Speed, named_at: Time, origin: Origin) {
    let should_report = origin.source == Source::Response || heartbeats::is_forwarder(state);
    let known = state.speeds.known.get(&key).copied();
    let min_newer_ms = if origin.source == Source::Vm { MIN_NEWER_MS } else { 0 };
    if known.is_some_and(|known| named_at < known.named_at.after(min_newer_ms)) {
        return;
    }
    // What a VM reports to one that does not forward it, it reports to the others, too.
    let shared = if should_report { known.and_then(|k| k.shared) } else { Some((speed, named_at)) };
    let is_pending = known.is_some_and(|k| k.is_pending);
    let is_from_domain = origin.is_from_domain;
    let figure = Figure { speed, named_at, is_from_domain, is_pending, shared };
    state.speeds.known.insert(key, figure);
    if should_report && figure.is_news(state.now, state.tuning.speed_decay_ms) {
        state.speeds.mark_pending(key);
    }
}

/// Returns the factor by which work takes longer at an upstream now than usual, which is at least 1.
///
/// An upstream that is faster than usual counts as usual: all VMs that hear of it would otherwise send to it at once,
/// and it is soon over.
pub fn slowdown(state: &State, upstream: &Upstream) -> f64 {
    percent(state, upstream).map_or(1.0, |percent| (percent / f64::from(Speed::USUAL.0)).max(1.0))
}

/// Returns the time that work takes at an upstream now, in percent of the usual time, if there is a figure that counts.
pub fn percent(state: &State, upstream: &Upstream) -> Option<f64> {
    if state.speeds.known.is_empty() {
        return None;
    }
    let decay_ms = state.tuning.speed_decay_ms;
    // A figure of an earlier run does not apply.
    let is_valid = |figure: &&Figure| {
        figure.named_at >= upstream.registered_at && state.now.since(figure.named_at) < decay_ms
    };
    let figure = state.speeds.known.get(&upstream.key).filter(is_valid)?;
    Some(figure.percent(state.now, decay_ms))
}

/// Returns the number of upstreams that are slow now.
pub fn slow_count(state: &State) -> usize {
    let min_percent = f64::from(Speed::USUAL.0 + REPORTED_DIFFERENCE);
    state.upstreams.values().filter(|u| percent(state, u).is_some_and(|p| p >= min_percent)).count()
}

/// Returns whether an upstream with a time in percent, if one is known, works at about its usual speed.
pub fn is_usual(percent: Option<f64>) -> bool {
    let difference = |percent: f64| (percent - f64::from(Speed::USUAL.0)).abs();
    percent.is_none_or(|percent| difference(percent) < f64::from(REPORTED_DIFFERENCE))
}
