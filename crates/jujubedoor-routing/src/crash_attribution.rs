//! Attributes crashes of upstreams to requests and to the parts of their prompts, together with the other VMs.
//!
//! A request is recognized when it comes again by its fingerprint, and a prompt part that crashes engines in
//! whatever request by the crashes and survivals of all requests with it ([`part_suspects`](crate::part_suspects)).

use jujubedoor::crash_suspects::REJECT_AFTER_CRASHES;
use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Time;
use jujubedoor::rendezvous;
use jujubedoor_config::Name;
use rand::Rng;

use crate::call::Call;
use crate::call::Part;
use crate::heartbeats;
use crate::message::CrashReport;
use crate::message::PartSurvival;
use crate::part_blocks::BlockReport;
use crate::part_blocks::Combination;
use crate::part_suspects::PartCrash;
use crate::state::ConnectionLoss;
use crate::state::State;

/// Time after the start of a response from which it counts as survived even if it goes on, in milliseconds.
const SURVIVAL_MS: u64 = 1_000;

/// Interval at which suspected parts are evaluated, in milliseconds.
const EVALUATION_INTERVAL_MS: u64 = 200;

/// Time after the end of a block within which all VMs may send requests with the part again, in milliseconds.
const TRIAL_SPREAD_MS: u64 = 10_000;

/// Time after which a caller with a repeatedly crashing request may come back, in milliseconds.
const CRASHING_REQUEST_WAIT_MS: u64 = 200;

/// Maximum number of prompt parts in one crash report.
const MAX_REPORTED_PARTS: usize = 32;

/// A crash that was attributed to a request, by this VM or another one.
#[derive(Clone, Debug, PartialEq)]
pub struct AttributedCrash {
    report_id: u64,
    fingerprint: Fingerprint,
    crash: u64,
    is_certain: bool,
    crashed_at: Time,
    sent_at: Time,
    parts: Vec<u64>,
}

impl AttributedCrash {
    fn new(loss: &ConnectionLoss, is_certain: bool, report_id: u64) -> Self {
        let shared = loss.call.shared_parts();
        let parts = shared.iter().rev().take(MAX_REPORTED_PARTS).rev();
        Self {
            report_id,
            fingerprint: loss.call.fingerprint,
            crash: rendezvous::score(loss.upstream_started, &loss.upstream),
            is_certain,
            crashed_at: loss.at,
            sent_at: loss.sent_at,
            parts: parts.map(|part| part.key).collect(),
        }
    }

    fn from_report(report: &CrashReport, now: Time) -> Self {
        let before = |age_ms: u64| Time(now.0.saturating_sub(age_ms));
        Self {
            report_id: report.report_id,
            fingerprint: report.fingerprint,
            crash: report.crash,
            is_certain: report.is_certain,
            crashed_at: before(report.crash_age_ms),
            sent_at: before(report.request_age_ms),
            parts: report.parts.iter().copied().take(MAX_REPORTED_PARTS).collect(),
        }
    }

    /// Returns the report to other VMs.
    pub fn to_report(&self, now: Time) -> CrashReport {
        CrashReport {
            report_id: self.report_id,
            fingerprint: self.fingerprint,
            crash: self.crash,
            is_certain: self.is_certain,
            crash_age_ms: now.since(self.crashed_at),
            request_age_ms: now.since(self.sent_at),
            parts: self.parts.clone(),
        }
    }
}

/// Attributes the crash of an upstream to the requests whose connections to it were lost recently, and reports
/// them to the other VMs.
///
/// `is_certain` states that the process of the upstream has ended, and that it isn't merely unreachable from
/// this VM.
pub fn attribute(state: &mut State, id: &Name, is_certain: bool) {
    let (crashed, rest): (Vec<ConnectionLoss>, Vec<ConnectionLoss>) =
        std::mem::take(&mut state.connection_losses).into_iter().partition(|lost| lost.upstream == *id);
    state.connection_losses = rest;
    for loss in crashed {
        log_attribution(state, &loss, is_certain);
        let crash = AttributedCrash::new(&loss, is_certain, state.rng.random());
        state.seen_crash_reports.put(crash.report_id, ());
        record(state, &crash);
        state.pending_crashes.push(crash);
    }
}

/// Applies the crash reports of another VM that were not received before.
pub fn receive_crashes(state: &mut State, reports: &[CrashReport]) {
    let should_forward = heartbeats::is_forwarder(state);
    for report in reports {
        if state.seen_crash_reports.put(report.report_id, ()).is_some() {
            continue;
        }
        let crash = AttributedCrash::from_report(report, state.now);
        record(state, &crash);
        if should_forward {
            state.pending_crashes.push(crash);
        }
    }
}

fn record(state: &mut State, crash: &AttributedCrash) {
    let AttributedCrash { crash: id, crashed_at, sent_at, .. } = *crash;
    let part_crash = PartCrash { crash: id, crashed_at, sent_at };
    state.request_suspects.record_crash(&[crash.fingerprint.0], part_crash, state.now);
    // A part is suspected in many requests, so that engines which are cut off would count as often.
    if crash.is_certain {
        let survived = state.part_suspects.record_crash(&crash.parts, part_crash, state.now);
        announce(state, survived);
    }
}

/// Records that the response to a request survived, so that none of its parts crashes engines.
pub fn record_survival(state: &mut State, call: &Call, began_at: Time) {
    let parts = call.shared_parts();
    let survived = state.part_suspects.record_survival(parts, began_at, state.now);
    announce(state, survived);
    lift_cleared(state, parts, began_at);
}

/// Applies the survivals of suspected parts that another VM announced.
pub fn receive_survivals(state: &mut State, survivals: &[PartSurvival]) {
    let should_forward = heartbeats::is_forwarder(state);
    for survival in survivals {
        let began_at = Time(state.now.0.saturating_sub(survival.age_ms));
        if state.part_suspects.record_announced(survival.part, began_at) && should_forward {
            announce(state, vec![(survival.part, began_at)]);
        }
    }
}

fn announce(state: &mut State, survived: Vec<(u64, Time)>) {
    state.pending_survivals.extend(survived);
}

/// Lifts the blocks of parts with which a request survived: one that was sent on trial, or one that clears them
/// of the crashes for which they were blocked.
fn lift_cleared(state: &mut State, shared: &[Part], began_at: Time) {
    if state.part_blocks.is_empty() {
        return;
    }
    let is_cleared =
        |part: &u64| state.part_suspects.contains(*part) && state.part_suspects.crashes(*part) == 0;
    let applying = state.part_blocks.applying_to(shared);
    let cleared = applying.filter(|(parts, ends_at)| began_at >= *ends_at || parts.iter().all(is_cleared));
    let cleared: Vec<Combination> = cleared.map(|(parts, _)| parts.clone()).collect();
    for parts in cleared {
        state.part_blocks.lift(&parts);
        log_block(state, "part_cleared", &parts, "survival");
        state.heartbeat_due = state.now;
    }
}

/// Applies the blocks that another VM reported.
pub fn receive_blocks(state: &mut State, reports: &[BlockReport]) {
    for report in reports {
        if !state.part_blocks.apply(report, state.now) {
            continue;
        }
        if report.is_blocked {
            log_block(state, "part_blocked", &report.parts, "vm");
        } else {
            state.part_suspects.discard(&report.parts);
            log_block(state, "part_cleared", &report.parts, "vm");
        }
        state.heartbeat_due = state.now;
    }
}

/// Blocks parts that crash engines, and forgets what is old.
pub fn tick(state: &mut State) {
    let now = state.now;
    if state.part_evaluation_due > now {
        return;
    }
    state.part_evaluation_due = now.after(EVALUATION_INTERVAL_MS);
    state.request_suspects.remove_expired(now);
    state.part_blocks.remove_expired(now);
    if state.part_suspects.is_empty() {
        return;
    }
    record_ongoing_survivals(state);
    state.part_suspects.remove_expired(now);
    let blocks = state.part_blocks.list();
    let has_failed_trial = |(parts, ended_at): &(Combination, Time)| {
        *ended_at <= now && parts.iter().all(|part| state.part_suspects.has_crashed_since(*part, *ended_at))
    };
    let failed_trials: Vec<Combination> =
        blocks.iter().filter(|block| has_failed_trial(block)).map(|(parts, _)| parts.clone()).collect();
    let blocked: Vec<Combination> = blocks.into_iter().map(|(parts, _)| parts).collect();
    let culprits = state.part_suspects.culprits(&blocked, now);
    for parts in culprits.into_iter().chain(failed_trials) {
        state.part_blocks.block(&parts, now);
        log_block(state, "part_blocked", &parts, "crashes");
        state.heartbeat_due = now;
    }
}

/// Records survivals of suspected parts for responses that have gone on for long enough.
fn record_ongoing_survivals(state: &mut State) {
    let now = state.now;
    let survived = |began_at: &Time| now.since(*began_at) >= SURVIVAL_MS;
    let ongoing = state.requests.values().filter_map(|r| {
        let began_at = r.attempt.as_ref()?.response_started_at.filter(survived)?;
        state.part_suspects.contains_any(r.call.shared_parts()).then(|| (r.call.clone(), began_at))
    });
    let ongoing: Vec<_> = ongoing.collect();
    for (call, began_at) in ongoing {
        record_survival(state, &call, began_at);
    }
}

/// Returns the time after which the caller of a request may come back, in milliseconds, if the request would
/// probably crash an upstream. Otherwise returns `None`.
pub fn rejection_wait_ms(state: &State, call: &Call) -> Option<u64> {
    // A request that moved from one engine to the next, which ended together, is no suspect for that.
    let crashes = state.request_suspects.independent_crashes(call.fingerprint.0);
    if crashes >= usize::from(REJECT_AFTER_CRASHES) {
        return Some(CRASHING_REQUEST_WAIT_MS);
    }
    if state.part_blocks.is_empty() {
        return None;
    }
    let is_rejected = |(parts, ends_at): &(&Combination, Time)| {
        // The rank among the VMs matters only for a short time after the end of a block.
        let all_at = ends_at.after(TRIAL_SPREAD_MS);
        let is_before_turn = || state.now < ends_at.after(trial_delay_ms(state, parts));
        state.now < *ends_at || (state.now < all_at && is_before_turn())
    };
    let ends = state.part_blocks.applying_to(call.shared_parts()).filter(is_rejected).map(|(_, at)| at);
    ends.max().map(|ends_at| ends_at.since(state.now).max(CRASHING_REQUEST_WAIT_MS))
}

/// Returns the time after the end of a part's block from which this VM may send requests with it, in
/// milliseconds. VMs with the same view of the fleet follow each other at equal intervals.
fn trial_delay_ms(state: &State, parts: &[u64]) -> u64 {
    let key = parts.first().copied().unwrap_or_default();
    let own_score = rendezvous::score(key, &state.peers.local_vm.name);
    let ahead = state.peers.known().filter(|vm| rendezvous::score(key, vm) > own_score).count();
    let fleet_size = u64::try_from(state.fleet_size().max(1)).unwrap_or(u64::MAX);
    u64::try_from(ahead).unwrap_or(u64::MAX).saturating_mul(TRIAL_SPREAD_MS) / fleet_size
}

/// Logs the request that a crash is attributed to, with everything by which a later request may be recognized.
fn log_attribution(state: &mut State, loss: &ConnectionLoss, is_certain: bool) {
    let parts: Vec<String> = loss.call.shared_parts().iter().map(|p| format!("{:016x}", p.key)).collect();
    let inputs = vec![
        ("upstream", loss.upstream.to_string()),
        ("fingerprint", format!("{:016x}", loss.call.fingerprint.0)),
        ("parts", parts.join(",")),
        ("loss_age_ms", state.now.since(loss.at).to_string()),
        ("certain", is_certain.to_string()),
    ];
    state.log(Some(loss.request), "crash_attributed", inputs);
}

fn log_block(state: &mut State, event: &'static str, parts: &[u64], source: &str) {
    let crashes = parts.iter().map(|part| state.part_suspects.crashes(*part)).max().unwrap_or_default();
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:016x}")).collect();
    let inputs =
        vec![("parts", parts.join(",")), ("crashes", crashes.to_string()), ("why", source.to_owned())];
    state.log(None, event, inputs);
}
