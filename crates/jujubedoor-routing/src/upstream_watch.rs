//! Connections that watch upstreams, so that it is known until when each process was alive.
//!
//! Connections of requests show which run of an upstream began a stream only once they are old enough (see
//! [`run_evidence`]). An upstream that has just received its first requests would show its run to nobody if it ended now.
//! So in each of two failure domains, one VM keeps a connection open to each upstream at which streams may be resumed. Any other
//! VM does so for a while if a stream of its own waits for evidence.
//!
//! The next connection is opened before the last one is closed, so that together they show the same process. An upstream may
//! close idle connections at any age. That age is learned, and the next connection is opened so much earlier. The upstream's
//! closing is then no sign of its end as long as a later connection is open.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;

use crate::event::Effect;
use crate::health;
use crate::placement;
use crate::resumed_streams;
use crate::routes::Kind;
use crate::run_evidence;
use crate::run_evidence::AssumedRun;
use crate::state::State;
use crate::upstream::Upstream;
use crate::upstream::short_key;

/// Number of failure domains from which an upstream is watched.
const MAX_WATCHING_DOMAINS: usize = 2;

/// Maximum number of upstreams that one VM watches for its failure domain.
const MAX_WATCHED: usize = 48;

/// Maximum number of connections over which a VM watches upstreams for its failure domain. Unless an upstream closes connections
/// soon, at most two to it are open.
pub const MAX_CONNECTIONS: usize = 2 * MAX_WATCHED;

/// Maximum number of all connections over which a VM watches upstreams.
const MAX_ALL_CONNECTIONS: usize = 2 * MAX_CONNECTIONS;

/// Interval at which a VM determines which upstreams it watches for its failure domain, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 250;

/// Time after its start in which a VM learns of the others, and watches no upstream, in milliseconds. A VM that knows no other would
/// watch all upstreams.
const DISCOVERY_MS: u64 = 1_000;

/// Time until a connection is opened again that the upstream did not accept, or closed soon, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;

/// Time from when a connection is due until it is open and known to be so, at most, in milliseconds: a tick, the opening, and the
/// interval at which connections are checked.
const MAX_OPENING_MS: u64 = 250;

/// Time for which a connection has to be open before an upstream closes the one before, in milliseconds.
const OVERLAP_MS: u64 = run_evidence::MAX_LOST_OVERLAP_MS + MAX_OPENING_MS;

/// Minimum interval between two connections to the same upstream, in milliseconds. If the upstream closes connections so soon that
/// they would have to follow faster, the usual interval holds, and each shows the process only while it is open.
const MIN_RENEWAL_MS: u64 = 250;

/// Time by which a connection has to exceed the age at which the upstream closed an earlier one, so that this age holds no more,
/// in milliseconds.
const AGE_MARGIN_MS: u64 = 500;

/// What a connection that watches an upstream shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchReport {
    /// It was open all the time between two times.
    Open {
        /// Time at which it was opened.
        opened_at: Time,
        /// The latest time at which it was certainly open.
        open_at: Time,
    },
    /// The upstream closed it after that.
    Closed {
        /// Time at which it was opened.
        opened_at: Time,
        /// The latest time at which it was certainly open.
        open_at: Time,
    },
    /// It could not be opened.
    Failed,
}

/// The upstreams that this VM watches.
#[derive(Clone, Debug, Default)]
pub struct UpstreamWatch {
    /// Services whose streams may be resumed.
    services: HashSet<Name>,
    runs: HashMap<AssumedRun, WatchedRun>,
    review_due: Time,
}

/// A run of an upstream that this VM watches, or has watched lately.
#[derive(Clone, Debug, Default)]
struct WatchedRun {
    /// Identifier of the upstream.
    upstream: Name,
    /// Whether this VM watches it for its failure domain.
    is_assigned: bool,
    /// End of the time for which this VM watches it because a stream needs evidence.
    sought_until: Time,
    /// Time at which the next connection is due.
    due_at: Time,
    /// Times at which connections were begun that are open or being opened, in this order.
    begun: Vec<Time>,
    /// Time at which a connection could not be opened. Older ones may have been closed without notice.
    failed_at: Option<Time>,
    /// Age at which the upstream closed a connection last, in milliseconds, unless a later one became older.
    closed_age_ms: Option<u64>,
}

impl WatchedRun {
    /// Returns whether this VM has to watch the run now.
    fn is_wanted(&self, now: Time) -> bool {
        self.is_assigned || now < self.sought_until
    }

    /// Returns the time after which the next connection is opened, in milliseconds, given that for upstreams that do not close
    /// connections themselves.
    fn renewal_ms(&self, usual_ms: u64) -> u64 {
        let before_closing = self.closed_age_ms.and_then(|age_ms| age_ms.checked_sub(OVERLAP_MS));
        let possible = before_closing.filter(|ms| *ms >= MIN_RENEWAL_MS);
        possible.map_or(usual_ms, |ms| ms.min(usual_ms))
    }

    /// Removes the connection that was opened at a time, or failed then. Returns whether a later one is there.
    fn remove_connection(&mut self, opened_at: Time) -> bool {
        let index = self.begun.iter().rposition(|begun_at| *begun_at <= opened_at);
        let is_followed = index.map_or(!self.begun.is_empty(), |index| index + 1 < self.begun.len());
        if let Some(index) = index {
            self.begun.remove(index);
        }
        is_followed
    }
}

/// Determines the services whose upstreams are watched, after the routes have changed.
pub fn update_services(state: &mut State) {
    let routes = state.directory.routes.iter().flat_map(|routes| &routes.routes);
    let resumable = routes.filter(|route| route.kind == Kind::Streaming && route.is_repeatable());
    let services = resumable.flat_map(|route| &route.services);
    state.upstream_watch.services = services.map(|(service, _)| service.clone()).collect();
}

/// Opens the connections that are due.
pub fn tick(state: &mut State) {
    let now = state.now;
    if state.shutdown.is_some() {
        return;
    }
    let (open_ms, report_ms) = (open_ms(state), report_interval_ms(state));
    let (assigned_trust_ms, sought_trust_ms) =
        (trust_ms(state), run_evidence::min_open_ms(state) + report_ms);
    for watched in state.upstream_watch.runs.values_mut() {
        watched.begun.retain(|begun_at| now.since(*begun_at) < open_ms);
    }
    let is_learning = state.started.is_none_or(|started| now.since(started) < DISCOVERY_MS);
    if now >= state.upstream_watch.review_due && !is_learning {
        state.upstream_watch.review_due = now.after(REVIEW_INTERVAL_MS);
        review(state, open_ms);
    }
    let renewal_ms = renewal_ms(state);
    let watch = &mut state.upstream_watch;
    let mut count: usize = watch.runs.values().map(|watched| watched.begun.len()).sum();
    for (run, watched) in &mut watch.runs {
        let max_connections = if now < watched.sought_until { MAX_ALL_CONNECTIONS } else { MAX_CONNECTIONS };
        if !watched.is_wanted(now) || now < watched.due_at || count >= max_connections {
            continue;
        }
        let Some(upstream) = state.upstreams.get(&watched.upstream).filter(|upstream| run.is_of(upstream))
        else {
            continue;
        };
        count += 1;
        watched.begun.push(now);
        watched.due_at = now.after(watched.renewal_ms(renewal_ms));
        state.effects.push(Effect::WatchUpstream {
            upstream: watched.upstream.clone(),
            address: upstream.registration.address,
            started: run.started,
            open_ms,
            report_ms,
            trust_ms: if watched.is_assigned { assigned_trust_ms } else { sought_trust_ms },
        });
    }
}

/// Watches a run of an upstream for a while, since a stream needs evidence of it. Returns whether that is new.
pub fn seek(state: &mut State, id: &Name, run: AssumedRun) -> bool {
    let now = state.now;
    let duration_ms = u64::from(state.tuning.registration_delay_ms);
    let watched = state.upstream_watch.runs.entry(run).or_default();
    let is_new = now >= watched.sought_until;
    if is_new {
        watched.upstream = id.clone();
        watched.sought_until = now.after(duration_ms);
    }
    is_new
}

/// Returns the time after which a connection is replaced that the upstream does not close, in milliseconds. The two overlap, so
/// that together they show the same process.
fn renewal_ms(state: &State) -> u64 {
    u64::from(state.tuning.registration_delay_ms) * 3 / 2
}

/// Returns the time for which a connection is kept open, in milliseconds. Until the next one has been open for long enough to show the
/// run when it is closed, this one is.
fn open_ms(state: &State) -> u64 {
    renewal_ms(state) + run_evidence::min_open_ms(state) + MAX_OPENING_MS
}

/// Returns the time for which a connection that looks open counts as open, in milliseconds. The other end may have been lost without
/// notice, so this ends once the next connection has taken its place.
fn trust_ms(state: &State) -> u64 {
    renewal_ms(state) + 2 * run_evidence::MIN_OVERLAP_MS
}

/// Returns the interval at which it is reported that a connection is open, in milliseconds. One of the reports comes soon after the
/// time that shows the run.
fn report_interval_ms(state: &State) -> u64 {
    run_evidence::min_open_ms(state).div_ceil(4)
}

/// Determines the upstreams that this VM watches for its failure domain.
fn review(state: &mut State, open_ms: u64) {
    let assigned = assigned_upstreams(state);
    let now = state.now;
    let watch = &mut state.upstream_watch;
    watch.runs.retain(|run, watched| {
        watched.is_assigned &= assigned.contains_key(run);
        let has_failed = watched.failed_at.is_some_and(|at| now.since(at) < open_ms);
        watched.is_wanted(now) || has_failed || !watched.begun.is_empty()
    });
    let count = watch.runs.values().filter(|watched| watched.is_assigned).count();
    let is_new = |run: &AssumedRun| watch.runs.get(run).is_none_or(|watched| !watched.is_assigned);
    let mut new: Vec<(AssumedRun, Name)> = assigned.into_iter().filter(|(run, _)| is_new(run)).collect();
    new.sort_unstable();
    for (run, upstream) in new.into_iter().take(MAX_WATCHED.saturating_sub(count)) {
        let watched = watch.runs.entry(run).or_default();
        (watched.upstream, watched.is_assigned) = (upstream, true);
    }
}

/// Returns the upstreams of which this VM is to watch some for its failure domain.
fn assigned_upstreams(state: &State) -> HashMap<AssumedRun, Name> {
    let watch = &state.upstream_watch;
    if watch.services.is_empty() {
        return HashMap::new();
    }
    let (now, peer_timeout_ms) = (state.now, state.tuning.peer_timeout_ms);
    let vms = state.peers.live_in_domain(now, peer_timeout_ms);
    let domains = state.peers.live_domains(now, peer_timeout_ms);
    let is_assigned = |(id, upstream): &(&Name, &Upstream)| {
        watch.services.contains(&upstream.registration.service)
            && placement::is_usable(state, upstream)
            && is_responsible(state, id, &vms, &domains)
    };
    let assigned = state.upstreams.iter().filter(is_assigned);
    assigned.map(|(id, upstream)| (AssumedRun::of(upstream), id.clone())).collect()
}

/// Returns whether this VM watches an upstream: its failure domain is among the first ones, and it is the first VM there.
fn is_responsible(state: &State, id: &Name, vms: &[&Name], domains: &BTreeSet<&Name>) -> bool {
    let key = rendezvous::key_of(id);
    let precedes =
        |name: &Name, own: &Name| (rendezvous::score(key, name), name) > (rendezvous::score(key, own), own);
    let own_name = &state.peers.local_vm.name;
    let earlier_domains = domains.iter().filter(|domain| precedes(domain, &state.domain)).count();
    earlier_domains < MAX_WATCHING_DOMAINS && !vms.iter().any(|vm| precedes(vm, own_name))
}

/// Records what a connection that watches a run of an upstream shows.
pub fn record(state: &mut State, id: &Name, started: u64, report: WatchReport) {
    let run = AssumedRun { upstream: short_key(id), started };
    match report {
        WatchReport::Open { opened_at, open_at } => {
            if let Some(watched) = state.upstream_watch.runs.get_mut(&run) {
                let age_ms = open_at.since(opened_at);
                watched.closed_age_ms = watched.closed_age_ms.filter(|ms| age_ms < ms + AGE_MARGIN_MS);
            }
            if may_show_run(state, run, opened_at) {
                run_evidence::observe_connection(state, id, started, opened_at, open_at);
            }
        }
        WatchReport::Closed { opened_at, open_at } => {
            if may_show_run(state, run, opened_at) {
                run_evidence::observe_closing(state, id, started, opened_at, open_at);
            }
            record_closing(state, id, run, opened_at);
        }
        WatchReport::Failed => {
            record_failure(state, id, run);
        }
    }
    resumed_streams::settle_broken(state);
}

/// Records that an upstream closed a connection. If no later one is open, it may have ended.
fn record_closing(state: &mut State, id: &Name, run: AssumedRun, opened_at: Time) {
    let now = state.now;
    let usual_ms = renewal_ms(state);
    let age_ms = now.since(opened_at);
    if let Some(watched) = state.upstream_watch.runs.get_mut(&run) {
        watched.closed_age_ms = Some(age_ms);
        if watched.remove_connection(opened_at) {
            let renewal_ms = watched.renewal_ms(usual_ms);
            let next = watched.begun.last().map_or(now, |begun_at| begun_at.after(renewal_ms));
            watched.due_at = watched.due_at.min(next);
            return;
        }
        watched.due_at = if age_ms < RETRY_DELAY_MS { now.after(RETRY_DELAY_MS) } else { now };
    }
    run_evidence::record_loss(state, id);
    // The streams that broke off at other VMs wait for the report.
    state.heartbeat_due = now;
    probe_upstream(state, id, run, "closed", age_ms);
}

/// Records that a connection could not be opened. If no other one is open, the closing of the last one may not have been reported.
fn record_failure(state: &mut State, id: &Name, run: AssumedRun) {
    let now = state.now;
    run_evidence::record_failure(state, run);
    let mut is_last = true;
    if let Some(watched) = state.upstream_watch.runs.get_mut(&run) {
        watched.failed_at = Some(now);
        watched.remove_connection(now);
        watched.due_at = now.after(RETRY_DELAY_MS);
        is_last = watched.begun.is_empty();
    }
    if is_last {
        run_evidence::record_loss(state, id);
    }
    probe_upstream(state, id, run, "failed", 0);
}

/// Logs the end of a connection, and probes whether its upstream is still there.
fn probe_upstream(state: &mut State, id: &Name, run: AssumedRun, how: &'static str, open_ms: u64) {
    let inputs =
        vec![("upstream", id.to_string()), ("how", how.to_owned()), ("open_ms", open_ms.to_string())];
    state.log(None, "watch_ended", inputs);
    if state.upstreams.get(id).is_some_and(|upstream| run.is_of(upstream)) {
        health::probe(state, id);
    }
}

/// Returns whether a connection shows a process, since no later one has failed: the end of the process may not have reached this
/// VM.
fn may_show_run(state: &State, run: AssumedRun, opened_at: Time) -> bool {
    let failed_at = state.upstream_watch.runs.get(&run).and_then(|watched| watched.failed_at);
    failed_at.is_none_or(|at| at < opened_at)
}
