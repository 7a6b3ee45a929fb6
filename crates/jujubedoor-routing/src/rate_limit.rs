//! Rate limits that upstreams name in their responses.
//!
//! An upstream in need names the requests a second that it takes from all VMs together, in each response for as
//! long as the limit holds. Each VM gets an equal share of the requests within a period, so that the limit holds
//! for the whole fleet without coordination; if there are fewer requests than VMs, only the first VMs by
//! rendezvous hashing may send. VMs report what responses name to each other, since a VM without a share gets no
//! responses. If no VM with a share has requests for the upstream, the shares pass from VM to VM, so that the end
//! of the limit is noticed.

use std::collections::VecDeque;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::heartbeats;
use crate::message::RateLimitReport;
use crate::state::State;
use crate::upstream_notices::Source;

/// Period within which a VM keeps to its share, in milliseconds. Over longer periods, the rate is the same.
const PERIOD_MS: u64 = 4_000;

/// Maximum number of requests in a period that a limit may allow; a higher limit has no effect.
const MAX_REQUESTS_IN_PERIOD: f64 = 1e6;

/// Time by which a request may arrive later at the upstream than another one that was sent with it, in
/// milliseconds.
const TRANSIT_MARGIN_MS: u64 = 200;

/// Interval at which shares pass to the next VMs while no response names a limit or none, in milliseconds. A
/// response to the first request of a VM is usually known to all VMs within it.
const PASS_INTERVAL_MS: u64 = 1_000;

/// Interval at which a limit that does not change is reported to other VMs, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Time by which an unchanged limit has to be newer than the known one to be recorded, in milliseconds. It
/// exceeds the time that a report is on its way, so that VMs do not echo each other's reports.
const MIN_NEWER_MS: u64 = 300;

/// A limit, or its absence, that a response named, and the requests of this VM under it.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    /// Requests a second from all VMs together, if the last response named a limit.
    per_s: Option<f64>,
    /// Time of the last response that is known.
    named_at: Time,
    reported_at: Option<Time>,
    sent_at: VecDeque<Time>,
}

impl RateLimiter {
    /// Records what a response names. Returns whether this changes the limit, or `None` if a newer response is
    /// known, or one that is almost as new and names the same.
    fn record(&mut self, per_s: Option<f64>, named_at: Time) -> Option<bool> {
        let has_changed = self.per_s != per_s;
        let min_newer_ms = if has_changed { 1 } else { MIN_NEWER_MS };
        if named_at.since(self.named_at) < min_newer_ms {
            return None;
        }
        self.per_s = per_s;
        self.named_at = named_at;
        Some(has_changed)
    }

    /// Returns the requests a second that the upstream takes from all VMs together, if there is a limit.
    pub fn limit(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns the number of requests that the VM with a rank among a number of VMs may send within a period,
    /// if there is a limit.
    pub fn share(&self, vms: usize, rank: usize, now: Time) -> Option<usize> {
        let requests = requests_in_period(self.per_s?);
        let unconfirmed_ms = now.since(self.named_at).saturating_sub(PERIOD_MS);
        let passes = usize::try_from(unconfirmed_ms / PASS_INTERVAL_MS).unwrap_or_default();
        let vms = vms.max(1);
        let first = passes.wrapping_mul(requests) % vms;
        Some(share_of(requests, vms, (rank + vms - first) % vms))
    }

    /// Records that this VM sends a request now.
    pub fn record_sent(&mut self, now: Time) {
        while self.sent_at.front().is_some_and(|at| is_outside_period(*at, now)) {
            self.sent_at.pop_front();
        }
        if self.per_s.is_some() {
            self.sent_at.push_back(now);
        }
    }

    /// Returns the time from which this VM may send another request, if `share` is the number of requests that
    /// it may send within a period.
    pub fn allowed_at(&self, share: usize, now: Time) -> Time {
        let in_period = self.sent_at.iter().filter(|at| !is_outside_period(**at, now)).count();
        if in_period < share {
            return now;
        }
        // With a share of zero, this VM waits for the limit to change.
        let oldest = self.sent_at.iter().rev().nth(share.saturating_sub(1)).filter(|_| share > 0);
        oldest.copied().unwrap_or(now).after(PERIOD_MS + TRANSIT_MARGIN_MS)
    }
}

fn is_outside_period(sent_at: Time, now: Time) -> bool {
    now.since(sent_at) >= PERIOD_MS + TRANSIT_MARGIN_MS
}

/// Returns the number of requests that all VMs together may send within a period. It is one at least, so that
/// the end of the limit is noticed.
fn requests_in_period(per_s: f64) -> usize {
    let period_s = f64::from(u32::try_from(PERIOD_MS).unwrap_or(u32::MAX)) / 1_000.0;
    // The number is positive and bounded.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let requests = (per_s * period_s).clamp(1.0, MAX_REQUESTS_IN_PERIOD) as usize;
    requests
}

/// Returns the share of a number of requests that the VM with a rank among a number of VMs may send.
pub fn share_of(requests: usize, vms: usize, rank: usize) -> usize {
    let vms = vms.max(1);
    requests / vms + usize::from(rank < requests % vms)
}

/// Records the rate limit that a response of an upstream names, or that it names none.
pub fn record_named(state: &mut State, id: &Name, per_s: Option<f64>) {
    let now = state.now;
    record(state, id, per_s, now, Source::Response);
}

/// Applies the rate limits that another VM reported.
pub fn receive(state: &mut State, reports: &[RateLimitReport]) {
    for report in reports {
        let Some(id) = state.ids_by_key.get(&report.upstream).cloned() else { continue };
        let named_at = Time(state.now.0.saturating_sub(report.age_ms));
        let per_s = report.per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
        record(state, &id, per_s, named_at, Source::Vm);
    }
}

fn record(state: &mut State, id: &Name, per_s: Option<f64>, named_at: Time, source: Source) {
    let now = state.now;
    let should_report = source == Source::Response || heartbeats::is_forwarder(state);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    let before = upstream.rate_limiter.per_s;
    // A report about an earlier process of the upstream does not apply.
    if source == Source::Vm && named_at < upstream.registered_at {
        return;
    }
    let Some(has_changed) = upstream.rate_limiter.record(per_s, named_at) else { return };
    let is_due = upstream.rate_limiter.reported_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL_MS);
    if should_report && (has_changed || is_due) {
        upstream.rate_limiter.reported_at = Some(now);
        let key = upstream.key;
        if !state.pending_rate_limits.contains(&key) {
            state.pending_rate_limits.push(key);
        }
    }
    if has_changed {
        let text = |limit: Option<f64>| limit.map_or_else(|| "none".to_owned(), |l| format!("{l:.2}"));
        let inputs = vec![
            ("upstream", id.to_string()),
            ("per_s", text(per_s)),
            ("before", text(before)),
            ("source", source.as_str().to_owned()),
        ];
        state.log(None, "rate_limit_named", inputs);
    }
}

/// Returns the report of what an upstream names, for other VMs.
pub fn report(state: &State, key: u32) -> Option<RateLimitReport> {
    let limiter = &state.upstreams.get(state.ids_by_key.get(&key)?)?.rate_limiter;
    let age_ms = state.now.since(limiter.named_at);
    Some(RateLimitReport { upstream: key, per_s: limiter.per_s, age_ms })
}
