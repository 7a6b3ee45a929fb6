//! Load reports of upstreams, the load that nobody explains, and permits that were lost.

use std::collections::VecDeque;

use super::grant;
use crate::event::Count;
use crate::event::Effect;
use crate::event::LoadReport;
use crate::event::ReportFailure;
use crate::ids::Fingerprint;
use crate::ids::PermitId;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::message::Message;
use crate::state::State;

/// For how long a report may count a call whose permit was given back, in milliseconds.
const REPORT_SLACK_MS: u64 = 1_000;

/// For how long a lost call may be counted against a crash that is found later, in milliseconds.
const LOST_MS: u64 = 3_000;

/// The period at which old permits are checked, in milliseconds.
const CHECK_MS: u64 = 1_000;

/// What an upstream and its connections show.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The calls that the upstream reports beyond those that the owner can explain.
    pub foreign: u32,
    /// Until when the upstream counts as unreachable.
    pub unreachable_until: Time,
    /// When the last report arrived.
    pub reported_at: Time,
    /// The requests that were lost lately.
    pub(super) lost: VecDeque<(Fingerprint, Time)>,
    loads: VecDeque<(Time, usize)>,
}

impl Observed {
    /// Remembers the number of permits in force after it rose.
    pub(super) fn note_load(&mut self, now: Time, held: usize) {
        self.loads.push_back((now, held));
        let dominated = |newer: usize, older: &(Time, usize)| older.1 <= newer;
        while self.loads.len() > 1 && dominated(held, &self.loads[self.loads.len() - 2]) {
            let previous = self.loads.len() - 2;
            self.loads.remove(previous);
        }
    }

    /// Returns the most permits that were in force since a time, or are now.
    fn peak(&mut self, since: Time, held: usize) -> usize {
        while self.loads.front().is_some_and(|(at, _)| *at < since) {
            self.loads.pop_front();
        }
        self.loads.iter().map(|(_, load)| *load).fold(held, usize::max)
    }
}

/// Takes a load report.
pub fn reported(state: &mut State, upstream: &UpstreamId, report: LoadReport) {
    let now = state.now;
    state.admissions.reports.insert(upstream.clone(), report.running);
    let Some(book) = state.admissions.books.get_mut(upstream) else { return };
    let made_at = Time(now.0.saturating_sub(report.age_ms));
    let since = Time(made_at.0.saturating_sub(REPORT_SLACK_MS));
    let peak = book.observed.peak(since, book.held.len());
    book.observed.foreign = report.running.saturating_sub(u32::try_from(peak).unwrap_or(u32::MAX));
    book.observed.reported_at = now;
    book.observed.unreachable_until = Time(0);
    let restarted = book.ramp.note_start(report.start);
    book.ramp.note_report(report.completed);
    if restarted {
        grant::accuse(state, upstream);
        grant::turn_cold(state, upstream);
    }
    grant::serve_queue(state, upstream);
}

/// Takes an upstream out of use that does not answer; a refused connection shows a crash.
pub fn report_failed(state: &mut State, upstream: &UpstreamId, failure: ReportFailure) {
    let until = state.now.after(state.tuning.unreachable_ms);
    let Some(book) = state.admissions.books.get_mut(upstream) else { return };
    book.observed.unreachable_until = until;
    if failure == ReportFailure::Refused {
        grant::accuse(state, upstream);
    }
}

/// Takes back permits that their holder does not know.
pub fn permits_gone(state: &mut State, upstream: &UpstreamId, permits: &[PermitId]) {
    let Some(book) = state.admissions.books.get_mut(upstream) else { return };
    let before = book.held.len();
    book.held.retain(|permit, _| !permits.contains(permit));
    for _ in book.held.len()..before {
        state.count(Count::Reclaimed);
    }
    grant::serve_queue(state, upstream);
}

/// Polls the upstreams that are due, checks old permits and forgets old losses.
pub(super) fn tick(state: &mut State) {
    if state.now >= state.admissions.next_poll {
        state.admissions.next_poll = state.now.after(state.tuning.report_ms);
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
        pools.map(|entry| entry.pool.admission).any(crate::baseline::goes_by_reports)
    };
    let owned = |upstream: &UpstreamId| state.admissions.books.get(upstream).is_some_and(|book| book.owned);
    state.catalog.upstreams.keys().filter(|id| owned(id) || by_reports(id)).cloned().collect()
}

fn check_permits(state: &mut State) {
    let now = state.now;
    let check_ms = state.tuning.permit_check_ms;
    let mut checks = Vec::new();
    for (upstream, book) in &mut state.admissions.books {
        book.observed.lost.retain(|(_, at)| now.since(*at) <= LOST_MS);
        for (permit, held) in &mut book.held {
            if now.since(held.since) >= check_ms {
                held.since = now;
                checks.push((held.holder.clone(), upstream.clone(), *permit));
            }
        }
    }
    for (holder, upstream, permit) in checks {
        let gone = holder_is_gone(state, &holder);
        if gone {
            permits_gone(state, &upstream, &[permit]);
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
