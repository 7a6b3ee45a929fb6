//! Evidence of which run of an upstream began a stream.
//!
//! The registry shows a new run some time after its start. Until then, the VM takes the streams that it begins for those
//! of the run before, and the two may have different software versions. An open connection shows that the process behind it
//! has been alive since the connection was opened. If it has been alive for longer than a registration takes, and the
//! registry then shows the same run as before, the process is that run.
//!
//! What is known here is collected by connections of requests, by [`upstream_watch`], and by the reports of other VMs
//! ([`reports`], [`ended`]). What becomes of a stream is decided in [`resumed_streams`](crate::resumed_streams).
//!
//! After an outage, a connection that was open before may have lost its other end without notice. So streams that begin while
//! it is in doubt which run serves need evidence from later connections, over which something has arrived.

use std::collections::HashMap;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::placement;
use crate::state::State;
use crate::upstream::Upstream;
use crate::upstream_watch;

mod ended;
mod presence;
mod reports;

pub use ended::receive_ends;
pub use ended::record_end;
pub use ended::take_end_reports;
use presence::Criteria;
pub(crate) use presence::MAX_LOST_OVERLAP_MS;
use presence::Presence;
use presence::Presences;
pub use reports::receive;
pub use reports::receive_searches;
pub use reports::record_loss;
pub use reports::take_reports;
pub use reports::take_searches;

use reports::ask_others;
use reports::record_alive;

/// Time in which the registry responds after an upstream was watched for a while, in milliseconds. Streams wait for both.
const CONFIRMATION_WAIT_MS: u64 = 1_500;

/// Maximum time since a stream began for which it may go on at its upstream without evidence, in milliseconds. An upstream
/// that has ended since may be back as another run later.
const MAX_REJOIN_MS: u64 = 2_000;

/// Minimum time without an event after which this VM counts as having stood still, in milliseconds. There are 20 ticks a
/// second.
const MIN_STANDSTILL_MS: u64 = 400;

/// Time after a standstill in which nothing shows when it happened, in milliseconds: what arrived meanwhile is processed.
const SETTLING_MS: u64 = 500;

/// Maximum time that a stream waits for other VMs to report when its run was alive last, in milliseconds. Those that lost
/// connections of it, too, report that with their next heartbeats.
const REPORT_WAIT_MS: u64 = 1_000;

/// Assumed transit time of a heartbeat, or of the end of a connection, in milliseconds. It is subtracted from what is observed
/// that way, so that a run never counts as alive later than it was.
const MAX_TRANSIT_MS: u64 = 60;

/// Maximum number of observations of one upstream that wait for the registry. There is at most one for each connection that
/// grows old enough between two responses of the registry.
const MAX_UNCONFIRMED: usize = 64;

/// Minimum time for which a connection has to be open before the last evidence of a run, so that both certainly show the same
/// process, in milliseconds. It exceeds the time by which a lost packet can delay the evidence.
pub(crate) const MIN_OVERLAP_MS: u64 = 500;

/// A run of an upstream that is assumed to have begun streams, without evidence yet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AssumedRun {
    /// Short key of the upstream.
    pub upstream: u32,
    /// Start time of the run, as registered.
    pub started: u64,
}

impl AssumedRun {
    /// Returns the registered run of an upstream.
    pub fn of(upstream: &Upstream) -> Self {
        Self { upstream: upstream.key, started: upstream.registration.started }
    }

    /// Returns whether this is the registered run of an upstream.
    pub fn is_of(self, upstream: &Upstream) -> bool {
        (self.upstream, self.started) == (upstream.key, upstream.registration.started)
    }
}

/// A run that is assumed to have been alive at some time, as one VM sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assumption {
    /// The run.
    pub run: AssumedRun,
    /// Time at which the process was alive of which it is assumed that it is the run.
    pub since: Time,
    /// The latest time at which another run may have taken the place of this one, if that was in doubt when the stream began.
    /// Connections from before do not show the run.
    pub doubted_at: Option<Time>,
}

/// Times at which the registered run of an upstream was certainly alive.
#[derive(Clone, Debug, Default)]
pub struct RunEvidence {
    alive_at: Option<Time>,
    unconfirmed: Vec<Observation>,
    /// What connections show over which something has arrived.
    presences: Presences,
    /// Time of the latest reason to report the run: a lost connection, or a report to forward.
    report_requested_at: Option<Time>,
    /// The time at which the run was alive that was reported to other VMs last.
    reported: Option<Time>,
    /// Time at which other VMs were asked last when the run was alive.
    searched_at: Option<Time>,
    /// End of the time in which a stream of this VM or of another one needs evidence.
    needed_until: Time,
}

/// A process was alive for longer than a registration takes.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Time by which the process had registered.
    registered_by: Time,
    /// Time by which another run would have registered that had taken its place unnoticed, if that is possible.
    replaced_by: Time,
    /// The latest time at which it was alive.
    alive_at: Time,
}

impl Observation {
    /// Returns whether another observation shows nothing beyond this one.
    fn supersedes(&self, other: &Self) -> bool {
        self.alive_at >= other.alive_at
            && self.registered_by <= other.registered_by
            && self.replaced_by <= other.replaced_by
    }
}

/// What is known of an assumption.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// The run was certainly alive at the time.
    Certain,
    /// There may be evidence soon.
    Open,
    /// There is no evidence and will be none.
    Unknown,
}

/// The search for evidence of runs.
#[derive(Clone, Debug, Default)]
pub struct RunChecks {
    /// Times at which connections to the upstreams of runs could not be opened last.
    failed_at: HashMap<AssumedRun, Time>,
    /// Short keys of the upstreams whose runs are to be reported to other VMs.
    pending_reports: Vec<u32>,
    /// Runs of which other VMs are to report when they were alive.
    pending_searches: Vec<AssumedRun>,
    /// The latest time at which the registry is known to have been current, as far as this VM can tell when that was.
    confirmed_at: Option<Time>,
    /// End of the time after a standstill, or after a restore of the registry, in which nothing counts as evidence.
    settles_at: Time,
}

impl RunEvidence {
    /// Records that the process behind a connection was alive from one time to another, and the time by which another run would
    /// have registered that had taken its place unnoticed. Returns whether this is an observation that shows the run, once the
    /// registry has confirmed it.
    ///
    /// The process has registered if it has been alive for long enough. If another observation shows that a process was alive
    /// meanwhile, it is that one, since only one process serves at the address.
    fn observe(&mut self, process: Presence, replaced_by: Time, registration_delay_ms: u64) -> bool {
        let Presence { since: opened_at, until: alive_at } = process;
        let is_same = |known: Time| known >= opened_at.after(MIN_OVERLAP_MS) && alive_at >= known;
        let is_run = self.alive_at.is_some_and(is_same);
        let registered_by = if is_run { Time::default() } else { opened_at.after(registration_delay_ms) };
        let own = Observation { registered_by, replaced_by, alive_at };
        // What another observation shows is no more certain than that one.
        let joined = self.unconfirmed.iter().find(|o| is_same(o.alive_at)).map(|o| Observation {
            registered_by: o.registered_by,
            replaced_by: o.replaced_by.max(replaced_by),
            alive_at,
        });
        let observation = if alive_at >= registered_by { Some(own) } else { joined };
        if let Some(new) = observation {
            self.unconfirmed.retain(|known| !new.supersedes(known));
            self.unconfirmed.truncate(MAX_UNCONFIRMED - 1);
            self.unconfirmed.push(new);
        }
        observation.is_some()
    }

    /// Returns whether the run was certainly alive at the time of an assumption.
    fn shows(&self, assumption: Assumption, criteria: Criteria) -> bool {
        let alive_at = match assumption.doubted_at {
            None => self.alive_at,
            Some(at) => self.presences.latest_of_run(at, criteria).map(|run| run.until),
        };
        alive_at >= Some(assumption.since)
    }

    /// Applies the observations of processes that had registered when the registry was current. Unless evidence is needed now, it
    /// is better to wait until another run would have registered as well. Returns whether this is news.
    fn confirm(&mut self, confirmed_at: Option<Time>, now: Time) -> bool {
        let is_needed = self.is_needed(now);
        let is_confirmed = |o: &Observation| {
            confirmed_at >= Some(o.registered_by) && (is_needed || confirmed_at >= Some(o.replaced_by))
        };
        let known = self.alive_at;
        let confirmed = self.unconfirmed.iter().filter(|o| is_confirmed(o)).map(|o| o.alive_at).max();
        self.alive_at = known.max(confirmed);
        self.unconfirmed.retain(|o| !is_confirmed(o));
        self.alive_at > known
    }

    /// Returns whether a stream needs evidence now.
    fn is_needed(&self, now: Time) -> bool {
        now < self.needed_until
    }

    /// Returns whether there are observations that wait for the registry.
    fn is_unconfirmed(&self, now: Time) -> bool {
        self.unconfirmed.iter().any(|o| self.is_needed(now) || now >= o.replaced_by)
    }
}

impl State {
    /// Returns what is known of an assumption that was first doubted at a time.
    pub(crate) fn finding(&self, assumption: Assumption, doubted_at: Time) -> Finding {
        let run = assumption.run;
        let upstream = self.ids_by_key.get(&run.upstream).and_then(|id| self.upstreams.get(id));
        let Some(upstream) = upstream.filter(|u| run.is_of(u)) else {
            return Finding::Unknown;
        };
        if upstream.run_evidence.shows(assumption, criteria(self)) {
            return Finding::Certain;
        }
        let checks = &self.run_checks;
        let has_failed = checks.failed_at.get(&run).is_some_and(|at| *at >= doubted_at);
        let may_be_reported = self.peers.count() > 1 && self.now.since(doubted_at) < REPORT_WAIT_MS;
        let may_get_evidence =
            !has_failed || may_be_reported || upstream.run_evidence.is_unconfirmed(self.now);
        if may_get_evidence && self.now.since(doubted_at) < self.max_evidence_wait_ms() {
            Finding::Open
        } else {
            Finding::Unknown
        }
    }
}

impl State {
    /// Returns the maximum time that a stream waits for evidence of the run that began it, in milliseconds: its upstream is
    /// watched, then the registry is asked.
    fn max_evidence_wait_ms(&self) -> u64 {
        u64::from(self.tuning.registration_delay_ms) + CONFIRMATION_WAIT_MS
    }

    /// Returns whether a stream of an assumed run may go on at its upstream: this is the same process, whichever run it is,
    /// unless the upstream has ended meanwhile and was back at once. A stream whose connection to the upstream was lost must
    /// not go on so, since that is a sign of such an end.
    ///
    /// The registry has to be asked before, unless it does not respond to anyone: it shows no run to any VM then, and what the
    /// other VMs know is enough. Either way the stream has to be so young that the upstream cannot have ended and started
    /// again, since no VM may have seen that.
    pub(crate) fn may_rejoin(&self, assumption: Assumption, is_checked: bool) -> bool {
        let peers = &self.peers;
        let is_away =
            self.registry_outages.is_away() && peers.any_responding(self.now, self.tuning.peer_timeout_ms);
        let is_recent = self.now.since(assumption.since) < MAX_REJOIN_MS;
        let id = self.ids_by_key.get(&assumption.run.upstream);
        let upstream = id.and_then(|id| self.upstreams.get(id)).filter(|u| assumption.run.is_of(u));
        is_recent
            && assumption.doubted_at.is_none()
            && (is_checked || is_away)
            && upstream.is_some_and(|u| {
                self.is_registered_run(u) && u.is_reachable(self.now) && placement::is_usable(self, u)
            })
    }
}

/// Records that an event arrives after a time in which this VM may have stood still.
pub fn record_event(state: &mut State, now: Time) {
    if state.started.is_some() && now.since(state.now) >= MIN_STANDSTILL_MS {
        state.run_checks.settles_at = state.run_checks.settles_at.max(now.after(SETTLING_MS));
    }
}

/// Returns the latest time at which the registry was current, as far as this VM can tell when that was. Changes that are being
/// applied are later.
pub fn confirmed_at(checks: &RunChecks) -> Option<Time> {
    checks.confirmed_at
}

/// Records that the registry was restored from an older copy, which lacks the latest registrations until the upstreams write
/// them again.
pub fn record_restore(state: &mut State) {
    let complete_at = state.now.after(u64::from(state.tuning.registration_delay_ms));
    state.run_checks.settles_at = state.run_checks.settles_at.max(complete_at);
}

/// Records that the registry was current at a time.
pub fn record_confirmation(state: &mut State, confirmed_at: Time) {
    let checks = &mut state.run_checks;
    if state.now >= checks.settles_at {
        checks.confirmed_at = checks.confirmed_at.max(Some(confirmed_at));
    }
}

/// Records that a process of an upstream sent something some time ago, over a connection that had been open for a time.
pub fn observe(state: &mut State, id: &Name, started: u64, open_ms: u64, quiet_ms: u64) {
    let until = Time(state.now.0.saturating_sub(quiet_ms));
    let since = Time(until.0.saturating_sub(open_ms));
    observe_arrival(state, id, started, Presence { since, until });
}

/// Records that an upstream closed a connection that had been open from one time to another.
pub fn observe_closing(state: &mut State, id: &Name, started: u64, opened_at: Time, open_at: Time) {
    let until = Time(open_at.0.saturating_sub(MAX_TRANSIT_MS));
    observe_arrival(state, id, started, Presence { since: opened_at, until });
}

/// Records that a connection over which nothing arrives was open from one time to another. The process behind it may have
/// ended without notice, and another run may have taken its place.
pub fn observe_connection(state: &mut State, id: &Name, started: u64, opened_at: Time, open_at: Time) {
    let until = Time(open_at.0.saturating_sub(MAX_TRANSIT_MS));
    let replaced_by = open_at.after(u64::from(state.tuning.registration_delay_ms));
    observe_process(state, id, started, Presence { since: opened_at, until }, replaced_by);
}

/// Records that something arrived from a process of an upstream.
fn observe_arrival(state: &mut State, id: &Name, started: u64, presence: Presence) {
    if let Some(upstream) = observed_run(state, id, started) {
        upstream.run_evidence.presences.add(presence);
    }
    observe_process(state, id, started, presence, Time::default());
}

/// Records that a process of an upstream was alive from one time to another, as a connection shows, and the time by which another run
/// would have registered that had taken its place unnoticed. Earlier connections may show that it was alive before.
fn observe_process(state: &mut State, id: &Name, started: u64, presence: Presence, replaced_by: Time) {
    let registration_delay_ms = u64::from(state.tuning.registration_delay_ms);
    let Some(upstream) = observed_run(state, id, started) else { return };
    let evidence = &mut upstream.run_evidence;
    let process = evidence.presences.process_of(presence);
    if evidence.observe(process, replaced_by, registration_delay_ms)
        || evidence.observe(presence, replaced_by, registration_delay_ms)
    {
        confirm(state, id);
    }
}

/// Returns an upstream if what arrives now shows something about a run of it: the run is registered, and this VM has not just stood
/// still.
fn observed_run<'a>(state: &'a mut State, id: &Name, started: u64) -> Option<&'a mut Upstream> {
    if state.now < state.run_checks.settles_at {
        return None;
    }
    state.upstreams.get_mut(id).filter(|u| u.registration.started == started)
}

/// Returns the time for which a connection over which nothing arrives has to be open to show the run behind it, in milliseconds.
pub fn min_open_ms(state: &State) -> u64 {
    u64::from(state.tuning.registration_delay_ms) + MAX_TRANSIT_MS
}

/// Returns what shows now that a process is the registered run.
fn criteria(state: &State) -> Criteria {
    Criteria {
        registration_delay_ms: u64::from(state.tuning.registration_delay_ms),
        confirmed_at: state.run_checks.confirmed_at,
    }
}

/// Looks for evidence for an assumption: this VM watches the upstream for a while, and asks the other VMs.
pub fn seek(state: &mut State, assumption: Assumption) {
    let Assumption { run, since, doubted_at } = assumption;
    let Some(id) = state.ids_by_key.get(&run.upstream).cloned() else { return };
    let needed_until = state.now.after(state.max_evidence_wait_ms());
    let Some(upstream) = state.upstreams.get_mut(&id) else { return };
    upstream.run_evidence.needed_until = needed_until;
    let shows = |o: &Observation| doubted_at.is_none() && o.alive_at >= since;
    let is_observed = upstream.run_evidence.unconfirmed.iter().any(shows);
    if !run.is_of(upstream) || is_observed || !upstream_watch::seek(state, &id, run) {
        return;
    }
    // The VMs that watch the upstream know sooner than a connection of this VM can show it.
    ask_others(state, &id, run);
    state.log(None, "run_sought", vec![("upstream", id.to_string())]);
}

/// Records that a connection to an upstream could not be opened, so that this VM observes its run no more.
pub fn record_failure(state: &mut State, run: AssumedRun) {
    state.run_checks.failed_at.insert(run, state.now);
}

/// Applies what the registry confirmed.
pub fn tick(state: &mut State) {
    let unconfirmed =
        state.upstreams.iter().filter(|(_, upstream)| upstream.run_evidence.is_unconfirmed(state.now));
    let ids: Vec<Name> = unconfirmed.map(|(id, _)| id.clone()).collect();
    for id in &ids {
        confirm(state, id);
    }
    let now = state.now;
    let max_wait_ms = state.max_evidence_wait_ms();
    state.run_checks.failed_at.retain(|_, at| now.since(*at) < max_wait_ms);
}

/// Returns whether the registry has to confirm an observation of the upstream of a run.
pub fn is_unconfirmed(state: &State, run: AssumedRun) -> bool {
    let upstream = state.ids_by_key.get(&run.upstream).and_then(|id| state.upstreams.get(id));
    upstream.is_some_and(|upstream| upstream.run_evidence.is_unconfirmed(state.now))
}

/// Applies what the registry confirmed about an upstream, and records the streams whose version is certain now.
fn confirm(state: &mut State, id: &Name) {
    let (now, confirmed_at) = (state.now, state.run_checks.confirmed_at);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    if upstream.run_evidence.confirm(confirmed_at, now) {
        record_alive(state, id);
    }
}

/// Returns what is known of an assumption, for the decision log.
pub fn describe(state: &State, assumption: Assumption) -> Vec<(&'static str, String)> {
    let Assumption { run, since, doubted_at } = assumption;
    let age = |at: Time| state.now.since(at).to_string();
    let id = state.ids_by_key.get(&run.upstream);
    let upstream = id.and_then(|id| state.upstreams.get(id)).filter(|upstream| run.is_of(upstream));
    let alive_at = upstream.and_then(|upstream| upstream.run_evidence.alive_at);
    let shown =
        upstream.and_then(|u| u.run_evidence.presences.latest_of_run(Time::default(), criteria(state)));
    let text = |at: Option<Time>| at.map_or_else(|| "none".to_owned(), age);
    vec![
        ("upstream", id.map(ToString::to_string).unwrap_or_default()),
        ("is_registered", upstream.is_some().to_string()),
        ("assumed_ms", age(since)),
        ("doubted_ms", text(doubted_at)),
        ("alive_ms", text(alive_at)),
        ("shown_ms", text(shown.map(|run| run.until))),
    ]
}
