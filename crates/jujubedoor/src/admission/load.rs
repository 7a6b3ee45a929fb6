//! Load reports of upstreams, load without permits, and permits that their holders no longer have.

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

/// Maximum time difference between a report and the owner's own count, in milliseconds.
const REPORT_TIME_TOLERANCE_MS: u64 = 100;

/// Time for which the number of active permits is remembered, in milliseconds.
const PERMIT_HISTORY_MS: u64 = 10_000;

/// Number of latest reports of which one must confirm load without permits.
const CONFIRMING_REPORTS: usize = 20;

/// Time for which a crash that is detected later may be attributed to a lost call, in milliseconds.
const LOSS_RETENTION_MS: u64 = 3_000;

/// Interval at which old permits are checked, in milliseconds.
const PERMIT_CHECK_INTERVAL_MS: u64 = 1_000;

/// Observations of an upstream and of the connections to it.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Number of calls that the upstream reports in excess of the permits known to the owner.
    pub unaccounted_calls: u32,
    /// Time until which the upstream counts as unreachable.
    pub unreachable_until: Time,
    /// Requests whose connection was lost recently.
    pub(super) recent_losses: VecDeque<(Fingerprint, Time)>,
    permit_counts: VecDeque<(Time, usize)>,
    lower_bounds: VecDeque<u32>,
}

impl Observations {
    /// Records the number of active permits after a change.
    pub(super) fn record_permit_count(&mut self, now: Time, active_count: usize) {
        self.permit_counts.push_back((now, active_count));
        // The last count before the retained period is kept: it is the count at the start of the period.
        while self.permit_counts.get(1).is_some_and(|(at, _)| now.since(*at) > PERMIT_HISTORY_MS) {
            self.permit_counts.pop_front();
        }
    }

    /// Returns the minimum and maximum number of permits that were active around a time.
    fn permit_range_around(&self, time: Time) -> (usize, usize) {
        let from = Time(time.0.saturating_sub(REPORT_TIME_TOLERANCE_MS));
        let to = time.after(REPORT_TIME_TOLERANCE_MS);
        let before =
            self.permit_counts.iter().rev().find(|(at, _)| *at < from).map_or(0, |(_, in_force)| *in_force);
        let within = self
            .permit_counts
            .iter()
            .filter(|(at, _)| *at >= from && *at <= to)
            .map(|(_, in_force)| *in_force);
        within.fold((before, before), |(fewest, most), in_force| (fewest.min(in_force), most.max(in_force)))
    }

    /// Estimates the load without permits from a report that was made at `made_at`.
    ///
    /// The report and the owner's own count are not taken at the same moment, so a report only yields a
    /// lower and an upper bound. The estimate changes as little as the bounds allow. A conservative
    /// estimate takes the upper bound. Load that none of the latest reports confirms with its lower bound
    /// is dropped from the estimate.
    fn record_report(&mut self, running: u32, made_at: Time, conservative: bool) {
        let (fewest, most) = self.permit_range_around(made_at);
        let excess_over =
            |permit_count: usize| running.saturating_sub(u32::try_from(permit_count).unwrap_or(u32::MAX));
        let (lower, upper) = (excess_over(most), excess_over(fewest));
        self.lower_bounds.push_back(lower);
        if self.lower_bounds.len() > CONFIRMING_REPORTS {
            self.lower_bounds.pop_front();
        }
        if conservative {
            self.unaccounted_calls = upper;
            self.lower_bounds.clear();
            return;
        }
        let estimate = self.unaccounted_calls.clamp(lower, upper);
        let max_lower_bound = self.lower_bounds.iter().copied().max().unwrap_or(0);
        let has_full_window = self.lower_bounds.len() == CONFIRMING_REPORTS;
        self.unaccounted_calls = if has_full_window { estimate.min(max_lower_bound) } else { estimate };
    }
}

/// Handles a load report.
pub fn handle_load_report(state: &mut State, upstream: &UpstreamId, report: LoadReport) {
    let now = state.now;
    state.admissions.reported_loads.insert(upstream.clone(), report.running);
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) else { return };
    let made_at = Time(now.0.saturating_sub(report.age_ms));
    let taking_over = !upstream_state.takeover.is_complete(now);
    upstream_state.observations.record_report(report.running, made_at, taking_over);
    upstream_state.takeover.record_report(made_at);
    upstream_state.observations.unreachable_until = Time(0);
    let restarted = upstream_state.ramp.record_start(report.start);
    upstream_state.ramp.record_report(report.completed);
    if restarted {
        grant::attribute_crash(state, upstream);
        grant::mark_cold(state, upstream);
    }
    grant::serve_queue(state, upstream);
}

/// Handles a failed request for a load report: marks the upstream as unreachable for a while.
///
/// A refused connection counts as a crash of the upstream.
pub fn handle_report_failure(state: &mut State, upstream: &UpstreamId, failure: LoadReportFailure) {
    let until = state.now.after(state.tuning.unreachable_ms);
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) else { return };
    upstream_state.observations.unreachable_until = until;
    if failure == LoadReportFailure::ConnectionRefused {
        grant::attribute_crash(state, upstream);
    }
}

/// Reclaims permits that their holder no longer has.
pub fn reclaim_permits(state: &mut State, upstream: &UpstreamId, permits: &[PermitId]) {
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) else { return };
    let before = upstream_state.active_permits.len();
    upstream_state.active_permits.retain(|permit, _| !permits.contains(permit));
    upstream_state.record_active_permits(state.now);
    for _ in upstream_state.active_permits.len()..before {
        state.count(CountedEvent::PermitReclaimed);
    }
    grant::serve_queue(state, upstream);
}

/// Polls upstreams for load reports, checks old permits and discards old losses when they are due.
pub(super) fn tick(state: &mut State) {
    if state.now >= state.admissions.next_poll {
        state.admissions.next_poll = state.now.after(state.tuning.load_report_interval_ms);
        for upstream in upstreams_to_poll(state) {
            poll(state, &upstream);
        }
    }
    if state.now >= state.admissions.next_permit_check {
        state.admissions.next_permit_check = state.now.after(PERMIT_CHECK_INTERVAL_MS);
        check_permits(state);
    }
}

/// Requests a load report, which the I/O layer fetches.
pub(super) fn poll(state: &mut State, upstream: &UpstreamId) {
    let Some(entry) = state.catalog.upstreams.get(upstream) else { return };
    if entry.upstream.reports {
        state.effects.push(Effect::Poll(upstream.clone(), entry.upstream.address));
    }
}

/// Returns the upstreams that this VM owns, and those of pools whose policy uses load reports.
fn upstreams_to_poll(state: &State) -> Vec<UpstreamId> {
    let uses_reports = |upstream: &UpstreamId| {
        let pools = state.catalog.upstreams.get(upstream).map(|entry| entry.pools.as_slice());
        let pools = pools.unwrap_or_default().iter().filter_map(|pool| state.catalog.pools.get(pool));
        pools.map(|entry| entry.pool.admission).any(crate::baseline::uses_load_reports)
    };
    let owned = |upstream: &UpstreamId| {
        state.admissions.by_upstream.get(upstream).is_some_and(|upstream_state| upstream_state.owned)
    };
    state.catalog.upstreams.keys().filter(|id| owned(id) || uses_reports(id)).cloned().collect()
}

fn check_permits(state: &mut State) {
    let now = state.now;
    let check_age_ms = state.tuning.permit_check_age_ms;
    let mut checks = Vec::new();
    for (upstream, upstream_state) in &mut state.admissions.by_upstream {
        upstream_state.observations.recent_losses.retain(|(_, at)| now.since(*at) <= LOSS_RETENTION_MS);
        for (permit, active) in &mut upstream_state.active_permits {
            if now.since(active.checked_at) >= check_age_ms {
                active.checked_at = now;
                checks.push((active.permit.holder.clone(), upstream.clone(), *permit));
            }
        }
    }
    for (holder, upstream, permit) in checks {
        let holder_gone = has_holder_ended(state, &holder);
        if holder_gone {
            reclaim_permits(state, &upstream, &[permit]);
        } else {
            state.send(&holder.name, Message::CheckPermits(upstream, vec![permit]));
        }
    }
}

/// Returns whether the daemon process that holds a permit has ended.
fn has_holder_ended(state: &State, holder: &crate::ids::VmRef) -> bool {
    let current = state.fleet.incarnation(&holder.name);
    current.is_some_and(|incarnation| incarnation != holder.incarnation)
        || !state.fleet.is_listed(&holder.name)
}
