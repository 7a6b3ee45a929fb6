//! What VMs report to each other about the times at which runs of upstreams were alive.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::heartbeats;
use crate::message::LiveReport;
use crate::message::ShownTime;
use crate::resumed_streams;
use crate::state::State;
use crate::stream_origins;

use super::AssumedRun;
use super::Assumption;
use super::MAX_TRANSIT_MS;
use super::confirm;
use super::criteria;
use super::presence::Presence;

/// Time after a lost connection in which this VM reports when the run was alive last, in milliseconds.
const LOSS_REPORT_MS: u64 = 1_500;

/// Minimum interval at which this VM asks others when the same run was alive, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 500;

/// Records that a connection to an upstream was lost. The latest time at which its run was alive is reported to other VMs.
pub fn record_loss(state: &mut State, id: &Name) {
    let now = state.now;
    if let Some(upstream) = state.upstreams.get_mut(id) {
        upstream.run_evidence.report_requested_at = Some(now);
        record_alive(state, id);
    }
}

/// Removes and returns the reports of runs to send next, at most a number of them.
pub fn take_reports(state: &mut State, max_reports: usize) -> Vec<LiveReport> {
    let pending = &mut state.run_checks.pending_reports;
    let taken: Vec<u32> = pending.drain(..pending.len().min(max_reports)).collect();
    let (now, criteria) = (state.now, criteria(state));
    let report = |key| {
        let upstream = state.upstreams.get(state.ids_by_key.get(&key)?)?;
        let evidence = &upstream.run_evidence;
        let shown = evidence.presences.shortest_of_run(criteria);
        let shown = shown.map(|run| ShownTime { age_ms: now.since(run.until), length_ms: run.length_ms() });
        Some(LiveReport { run: AssumedRun::of(upstream), age_ms: now.since(evidence.alive_at?), shown })
    };
    taken.into_iter().filter_map(report).collect()
}

/// Asks other VMs when a run was alive, unless they have just been asked.
pub(super) fn ask_others(state: &mut State, id: &Name, run: AssumedRun) {
    let now = state.now;
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    let evidence = &mut upstream.run_evidence;
    if evidence.searched_at.is_none_or(|at| now.since(at) >= SEARCH_INTERVAL_MS) {
        evidence.searched_at = Some(now);
        state.run_checks.pending_searches.push(run);
        state.heartbeat_due = now;
    }
}

/// Removes and returns the runs to ask other VMs for next, at most a number of them.
pub fn take_searches(state: &mut State, max_runs: usize) -> Vec<AssumedRun> {
    let pending = &mut state.run_checks.pending_searches;
    pending.drain(..pending.len().min(max_runs)).collect()
}

/// Reports when runs were alive that another VM asks for. A relay asks others as well.
pub fn receive_searches(state: &mut State, runs: &[AssumedRun]) {
    let needed_until = state.now.after(state.max_evidence_wait_ms());
    for run in runs {
        let Some(id) = state.ids_by_key.get(&run.upstream).cloned() else { continue };
        let Some(upstream) = state.upstreams.get_mut(&id).filter(|upstream| run.is_of(upstream)) else {
            continue;
        };
        upstream.run_evidence.report_requested_at = Some(state.now);
        upstream.run_evidence.needed_until = needed_until;
        confirm(state, &id);
        record_alive(state, &id);
        if heartbeats::is_forwarder(state) {
            ask_others(state, &id, *run);
        }
        if !state.run_checks.pending_reports.is_empty() {
            state.heartbeat_due = state.now;
        }
    }
}

/// Records the times at which runs of upstreams were alive that another VM reports. A relay reports them to others.
pub fn receive(state: &mut State, reports: &[LiveReport]) {
    if reports.is_empty() || state.now < state.run_checks.settles_at {
        return;
    }
    for LiveReport { run, age_ms, shown } in reports {
        let at = Time(state.now.0.saturating_sub(*age_ms).saturating_sub(MAX_TRANSIT_MS));
        let should_forward = heartbeats::is_forwarder(state);
        let Some(id) = state.ids_by_key.get(&run.upstream).cloned() else { continue };
        let Some(upstream) = state.upstreams.get_mut(&id).filter(|upstream| run.is_of(upstream)) else {
            continue;
        };
        let evidence = &mut upstream.run_evidence;
        if let Some(ShownTime { age_ms, length_ms }) = shown {
            evidence.presences.add(Presence::reported(state.now, *age_ms, *length_ms));
        }
        if evidence.alive_at < Some(at) {
            evidence.alive_at = Some(at);
            if should_forward {
                evidence.report_requested_at = Some(state.now);
            }
            record_alive(state, &id);
        }
    }
    resumed_streams::settle_broken(state);
}

/// Records the streams whose version is certain now that an upstream is known to have been alive later than before, and
/// reports that to other VMs if the upstream has just lost connections.
pub(super) fn record_alive(state: &mut State, id: &Name) {
    let (now, criteria) = (state.now, criteria(state));
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    let evidence = &mut upstream.run_evidence;
    let alive_at = evidence.alive_at;
    let is_lost = evidence.report_requested_at.is_some_and(|at| now.since(at) < LOSS_REPORT_MS);
    if is_lost && alive_at > evidence.reported {
        evidence.reported = alive_at;
        if !state.run_checks.pending_reports.contains(&upstream.key) {
            state.run_checks.pending_reports.push(upstream.key);
        }
    }
    let (run, evidence) = (AssumedRun::of(upstream), &upstream.run_evidence);
    let is_shown = |assumption: Assumption| assumption.run == run && evidence.shows(assumption, criteria);
    let mut certain = Vec::new();
    for active in state.requests.values_mut().filter(|a| a.assumption.is_some_and(is_shown)) {
        active.assumption = None;
        certain.extend(active.call.stream.key.zip(active.software));
    }
    for (stream, software) in certain {
        stream_origins::record_certain(state, stream, software);
    }
}
