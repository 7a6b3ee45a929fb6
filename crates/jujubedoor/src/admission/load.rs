//! Load reports of upstreams, the load that nobody explains, and permits that were lost.

use std::collections::VecDeque;

use super::grant;
use crate::event::CountedEvent;
use crate::event::Effect;
use crate::event::LoadReport;
use crate::event::LoadReportFailure;
use crate::ids::Fingerprint;
use crate::ids::PermitId;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::message::Message;
use crate::state::State;

/// How far a report may be off the owner's count in time, in milliseconds.
const REPORT_SLACK_MS: u64 = 100;

/// For how long the number of permits in force is remembered, in milliseconds.
const HISTORY_MS: u64 = 10_000;

/// How many reports have to confirm unexplained load.
const CONFIRMING_REPORTS: usize = 20;

/// For how long a lost call may be counted against a crash that is found later, in milliseconds.
const LOST_MS: u64 = 3_000;

/// The period at which old permits are checked, in milliseconds.
const CHECK_MS: u64 = 1_000;

/// What an upstream and its connections show.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The calls that the upstream reports beyond those that the owner can explain.
    pub unaccounted_calls: u32,
    /// Until when the upstream counts as unreachable.
    pub unreachable_until: Time,
    /// The requests that were lost lately.
    pub(super) lost: VecDeque<(Fingerprint, Time)>,
    loads: VecDeque<(Time, usize)>,
    lower_limits: VecDeque<u32>,
}

impl Observations {
    /// Remembers the number of permits in force after it changed.
    pub(super) fn record_permit_count(&mut self, now: Time, held: usize) {
        self.loads.push_back((now, held));
        // The last number before the span still tells how many there were at its start.
        while self.loads.get(1).is_some_and(|(at, _)| now.since(*at) > HISTORY_MS) {
            self.loads.pop_front();
        }
    }

    /// Returns the fewest and the most permits that were in force around a time.
    fn around(&self, time: Time) -> (usize, usize) {
        let from = Time(time.0.saturating_sub(REPORT_SLACK_MS));
        let to = time.after(REPORT_SLACK_MS);
        let before = self.loads.iter().rev().find(|(at, _)| *at < from).map_or(0, |(_, load)| *load);
        let within = self.loads.iter().filter(|(at, _)| *at >= from && *at <= to).map(|(_, load)| *load);
        within.fold((before, before), |(least, most), load| (least.min(load), most.max(load)))
    }

    /// Estimates the load that the owner cannot explain, from a report that was made at a time.
    ///
    /// The report and the owner's count do not meet at the same moment, so that a report only gives
    /// limits. The estimate moves as little as they allow; a cautious one takes the upper limit. What no
    /// lower limit has confirmed for some reports is given up.
    fn record_report(&mut self, running: u32, made_at: Time, cautious: bool) {
        let (least, most) = self.around(made_at);
        let beyond = |own: usize| running.saturating_sub(u32::try_from(own).unwrap_or(u32::MAX));
        let (lower, upper) = (beyond(most), beyond(least));
        self.lower_limits.push_back(lower);
        if self.lower_limits.len() > CONFIRMING_REPORTS {
            self.lower_limits.pop_front();
        }
        if cautious {
            self.unaccounted_calls = upper;
            self.lower_limits.clear();
            return;
        }
        let estimate = self.unaccounted_calls.clamp(lower, upper);
        let confirmed = self.lower_limits.iter().copied().max().unwrap_or(0);
        let judged = self.lower_limits.len() == CONFIRMING_REPORTS;
        self.unaccounted_calls = if judged { estimate.min(confirmed) } else { estimate };
    }
}

/// Takes a load report.
pub fn handle_load_report(state: &mut State, upstream: &UpstreamId, report: LoadReport) {
    let now = state.now;
    state.admissions.reports.insert(upstream.clone(), report.running);
    let Some(book) = state.admissions.by_upstream.get_mut(upstream) else { return };
    let made_at = Time(now.0.saturating_sub(report.age_ms));
    let settling = !book.takeover.is_complete(now);
    book.observations.record_report(report.running, made_at, settling);
    book.takeover.record_report(made_at);
    book.observations.unreachable_until = Time(0);
    let restarted = book.ramp.record_start(report.start);
    book.ramp.record_report(report.completed);
    if restarted {
        grant::attribute_crash(state, upstream);
        grant::turn_cold(state, upstream);
    }
    grant::serve_queue(state, upstream);
}

/// Takes an upstream out of use that does not answer; a refused connection shows a crash.
pub fn handle_report_failure(state: &mut State, upstream: &UpstreamId, failure: LoadReportFailure) {
    let until = state.now.after(state.tuning.unreachable_ms);
    let Some(book) = state.admissions.by_upstream.get_mut(upstream) else { return };
    book.observations.unreachable_until = until;
    if failure == LoadReportFailure::ConnectionRefused {
        grant::attribute_crash(state, upstream);
    }
}

/// Takes back permits that their holder does not know.
pub fn reclaim_permits(state: &mut State, upstream: &UpstreamId, permits: &[PermitId]) {
    let Some(book) = state.admissions.by_upstream.get_mut(upstream) else { return };
    let before = book.held.len();
    book.held.retain(|permit, _| !permits.contains(permit));
    book.record_active_permits(state.now);
    for _ in book.held.len()..before {
        state.count(CountedEvent::PermitReclaimed);
    }
    grant::serve_queue(state, upstream);
}

/// Polls the upstreams that are due, checks old permits and forgets old losses.
pub(super) fn tick(state: &mut State) {
    if state.now >= state.admissions.next_poll {
        state.admissions.next_poll = state.now.after(state.tuning.load_report_interval_ms);
        for upstream in polled(state) {
            poll(state, &upstream);
        }
    }
    if state.now >= state.admissions.next_check {
        state.admissions.next_check = state.now.after(CHECK_MS);
        check_permits(state);
    }
}

/// Asks the shell for a load report.
pub(super) fn poll(state: &mut State, upstream: &UpstreamId) {
    let Some(entry) = state.catalog.upstreams.get(upstream) else { return };
    if entry.upstream.reports {
        state.effects.push(Effect::Poll(upstream.clone(), entry.upstream.address));
    }
}

/// Returns the upstreams that this VM owns, and those of pools that go by reports.
fn polled(state: &State) -> Vec<UpstreamId> {
    let by_reports = |upstream: &UpstreamId| {
        let pools = state.catalog.upstreams.get(upstream).map(|entry| entry.pools.as_slice());
        let pools = pools.unwrap_or_default().iter().filter_map(|pool| state.catalog.pools.get(pool));
        pools.map(|entry| entry.pool.admission).any(crate::baseline::uses_load_reports)
    };
    let owned =
        |upstream: &UpstreamId| state.admissions.by_upstream.get(upstream).is_some_and(|book| book.owned);
    state.catalog.upstreams.keys().filter(|id| owned(id) || by_reports(id)).cloned().collect()
}

fn check_permits(state: &mut State) {
    let now = state.now;
    let check_ms = state.tuning.permit_check_age_ms;
    let mut checks = Vec::new();
    for (upstream, book) in &mut state.admissions.by_upstream {
        book.observations.lost.retain(|(_, at)| now.since(*at) <= LOST_MS);
        for (permit, held) in &mut book.held {
            if now.since(held.since) >= check_ms {
                held.since = now;
                checks.push((held.permit.holder.clone(), upstream.clone(), *permit));
            }
        }
    }
    for (holder, upstream, permit) in checks {
        let gone = holder_is_gone(state, &holder);
        if gone {
            reclaim_permits(state, &upstream, &[permit]);
        } else {
            state.send(&holder.name, Message::CheckPermits(upstream, vec![permit]));
        }
    }
}

/// Tells whether the run of the daemon that holds a permit has ended.
fn holder_is_gone(state: &State, holder: &crate::ids::VmRef) -> bool {
    let known = state.fleet.incarnation(&holder.name);
    known.is_some_and(|incarnation| incarnation != holder.incarnation) || !state.fleet.is_listed(&holder.name)
}
