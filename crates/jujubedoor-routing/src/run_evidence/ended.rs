//! Runs of upstreams that have ended, as VMs report them to each other.
//!
//! The registry shows a new run some time after its start. A VM that had nothing to do with an upstream while it was away would
//! take the new run for the one before, and let a stream go on there that another version began.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::heartbeats;
use crate::message::RunReport;
use crate::state::State;

use super::AssumedRun;

/// Minimum interval between two reports of the same upstream, in milliseconds. Each report begins the time anew in which another run may
/// not be registered, so they go on while the upstream is away.
const REPORT_INTERVAL_MS: u64 = 500;

/// Records that an upstream refused a connection, so that its process has ended, and reports that to other VMs.
pub fn record_end(state: &mut State, id: &Name) {
    let now = state.now;
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    let is_known = upstream.ended_at().is_some_and(|at| now.since(at) < REPORT_INTERVAL_MS);
    upstream.record_end_of_run(now);
    if !is_known {
        report(state, id);
    }
}

/// Records the ends that another VM reports. A relay reports them to others.
pub fn receive_ends(state: &mut State, reports: &[RunReport]) {
    let should_forward = heartbeats::is_forwarder(state);
    for RunReport { run, age_ms } in reports {
        let at = Time(state.now.0.saturating_sub(*age_ms));
        let Some(id) = state.ids_by_key.get(&run.upstream).cloned() else { continue };
        let Some(upstream) = state.upstreams.get_mut(&id).filter(|upstream| run.is_of(upstream)) else {
            continue;
        };
        let is_news = upstream.ended_at().is_none_or(|known| at.since(known) >= REPORT_INTERVAL_MS);
        upstream.record_end_of_run(at);
        if is_news {
            let inputs = vec![("upstream", id.to_string()), ("age_ms", age_ms.to_string())];
            state.log(None, "run_end_reported", inputs);
            if should_forward {
                report(state, &id);
            }
        }
    }
}

/// Includes an upstream in the next heartbeat, which is sent at once.
fn report(state: &mut State, id: &Name) {
    if let Some(upstream) = state.upstreams.get(id)
        && !state.pending_ends.contains(&upstream.key)
    {
        state.pending_ends.push(upstream.key);
        state.heartbeat_due = state.now;
    }
}

/// Removes and returns the reports to send next, at most a number of them.
pub fn take_end_reports(state: &mut State, max_reports: usize) -> Vec<RunReport> {
    let count = state.pending_ends.len().min(max_reports);
    let taken: Vec<u32> = state.pending_ends.drain(..count).collect();
    let report = |key| {
        let upstream = state.upstreams.get(state.ids_by_key.get(&key)?)?;
        Some(RunReport { run: AssumedRun::of(upstream), age_ms: state.now.since(upstream.ended_at()?) })
    };
    taken.into_iter().filter_map(report).collect()
}
