//! Broken streams, and the software version at which each goes on: those that the VM resumes within the same response
//! ([`broken`]), and those that callers resume with another request.
//!
//! This is where the fate of a stream is decided. It uses the record of the stream ([`stream_origins`]), what is known of the run
//! that began it ([`run_evidence`]), and the versions that served lately ([`software`](crate::software)).
//!
//! The version is that of the stream's record, or the only one that can have begun it. A VM that was cut off, or
//! stood still, may lack the record, and also the version. Without a record, a VM therefore asks other VMs for it,
//! and asks the registry for changes, after the request has arrived: the stream began before, with a version that was
//! registered by then.

use std::collections::HashMap;
use std::net::SocketAddr;

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::call::StreamRef;
use crate::event::Effect;
use crate::event::Reply;
use crate::event::RequestId;
use crate::lifecycle;
use crate::rejection::RejectReason;
use crate::run_evidence;
use crate::run_evidence::Assumption;
use crate::run_evidence::Finding;
use crate::software::Software;
use crate::state::State;
use crate::stream_origins;
use crate::stream_origins::StreamOrigin;

mod broken;

use broken::awaits_registry;
pub use broken::forget;
pub use broken::retry;
pub use broken::settle_broken;

/// Maximum number of other VMs that are asked for the record of a stream.
const MAX_ASKED_VMS: usize = 2;

/// Maximum number of streams for whose records other VMs are asked at once.
const MAX_ASKED_STREAMS: usize = 256;

/// Time for which the choice of the VMs that are asked holds, in milliseconds.
const VM_CHOICE_MS: u64 = 100;

/// Maximum time that a request waits for the responses of other VMs, in milliseconds.
const MAX_RECORD_WAIT_MS: u64 = 200;

/// Maximum time that a request waits for another VM to report the versions that this VM may have missed, in milliseconds.
const MAX_REPORT_WAIT_MS: u64 = 500;

/// Maximum time that a request waits for a response of the registry, in milliseconds.
const MAX_CHECK_WAIT_MS: u64 = 1_000;

/// Minimum time that has passed for the caller of a stream that broke off, in milliseconds.
const MIN_PASSED_MS: u64 = 500;

/// Maximum time from when a caller sends a request until the VM receives it, in milliseconds. After that, callers
/// have given it up.
const MAX_DELIVERY_MS: u64 = 1_000;

/// Time after its start for which a VM waits to learn which version began a stream, in milliseconds.
const LEARNING_MS: u64 = 1_200;

/// The requests that wait until the version of their stream is known, and what they wait for.
#[derive(Clone, Debug, Default)]
pub struct ResumedStreams {
    waiting: Vec<Waiting>,
    /// The requests whose own stream broke off.
    broken: Vec<broken::Waiting>,
    /// Numbers of VMs that were asked for the record of a stream and have not responded.
    asked: HashMap<u64, usize>,
    /// The VMs that are asked, and when they were chosen.
    asked_vms: Option<(Time, Vec<SocketAddr>)>,
    checks: RegistryChecks,
}

/// A request that waits until the version of its stream is known.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: RequestId,
    stream: Option<u64>,
    /// Number of the first call to the registry that began after the request arrived.
    check: u64,
}

/// The calls to the registry that ask for changes, by their numbers. Clocks would not show what happened first if the
/// VM stood still.
#[derive(Clone, Debug, Default)]
struct RegistryChecks {
    /// Number of the last call that began.
    begun: u64,
    /// Number of the last call to which the registry responded.
    answered: u64,
    is_under_way: bool,
    /// Time before which no further call begins, because the last one failed.
    paused_until: Time,
}

/// What is decided about a request that resumes a stream.
enum Decision {
    /// It goes on at a version of a service.
    Place(Name, Software, Basis),
    /// Nobody knows the version.
    Reject(Cause),
    /// The version may still become known.
    Wait,
}

/// Why it is not known at which version a stream goes on.
#[derive(Clone, Copy, Debug)]
enum Cause {
    /// The request has ended.
    Ended,
    /// There is a record that nobody knows the version.
    RecordedUnknown,
    /// There is a record, without evidence of the run that it assumes.
    UnknownRun,
    /// There is a record of a service to which the route does not lead.
    OtherService,
    /// There is no record, and several versions can have begun the stream.
    NoRecord,
}

impl Cause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::RecordedUnknown => "recorded_unknown",
            Self::UnknownRun => "unknown_run",
            Self::OtherService => "other_service",
            Self::NoRecord => "no_record",
        }
    }
}

/// On what the version of a stream is based.
#[derive(Clone, Copy, Debug)]
enum Basis {
    Record,
    /// The stream goes on at the upstream that began it.
    SameUpstream(Assumption),
    OnlyVersion,
}

/// Places a request that resumes a stream, rejects it, or lets it wait until the version of the stream is known.
pub fn begin(state: &mut State, request: RequestId) {
    let Some(active) = state.requests.get(&request) else { return };
    let stream = active.call.stream.key;
    let check = state.resumed_streams.checks.begun + 1;
    if stream.is_none_or(|stream| !state.stream_origins.is_certain(stream)) {
        if let Some(stream) = stream {
            ask_for_record(state, stream);
        }
        check_registry(state);
    }
    settle(state, Waiting { request, stream, check });
}

/// Decides on the requests that wait, and goes on with what they wait for.
pub fn tick(state: &mut State) {
    settle_broken(state);
    settle_waiting(state, |_| true);
    let streams = &state.resumed_streams;
    let assumed_run = |waiting: &Waiting| state.stream_origins.assumption(waiting.stream?);
    let is_unconfirmed =
        |waiting| assumed_run(waiting).is_some_and(|a| run_evidence::is_unconfirmed(state, a.run));
    if streams.waiting.iter().any(|waiting| waiting.check > streams.checks.answered)
        || streams.waiting.iter().any(is_unconfirmed)
        || awaits_registry(state)
    {
        check_registry(state);
    }
}

/// Records the end of a call to the registry, whose changes were applied before if it succeeded.
pub fn record_check(state: &mut State, succeeded: bool) {
    let retry_delay_ms = u64::try_from(state.registry_retry_delay().as_millis()).unwrap_or(u64::MAX);
    let checks = &mut state.resumed_streams.checks;
    checks.is_under_way = false;
    if succeeded {
        checks.answered = checks.begun;
        tick(state);
    } else {
        checks.paused_until = state.now.after(retry_delay_ms);
    }
}

/// Records what another VM responded when it was asked for the record of a stream.
pub fn record_response(state: &mut State, stream: u64, origin: Option<StreamOrigin>) {
    if let Some(origin) = origin {
        stream_origins::add_listed(state, &[origin]);
    }
    let asked = &mut state.resumed_streams.asked;
    if let Some(pending) = asked.get_mut(&stream) {
        *pending -= 1;
        if *pending == 0 {
            asked.remove(&stream);
        }
    }
    settle_waiting(state, |waiting| waiting.stream == Some(stream));
}

/// Asks other VMs for the record of a stream, unless they are being asked.
fn ask_for_record(state: &mut State, stream: u64) {
    let asked = &state.resumed_streams.asked;
    if asked.contains_key(&stream) || asked.len() >= MAX_ASKED_STREAMS {
        return;
    }
    let vms = vms_to_ask(state);
    if !vms.is_empty() {
        state.resumed_streams.asked.insert(stream, vms.len());
    }
    for vm in vms {
        state.effects.push(Effect::FetchStreamOrigin(vm, stream));
    }
}

/// Returns the VMs that are asked for records. They are chosen once for many streams.
fn vms_to_ask(state: &mut State) -> Vec<SocketAddr> {
    let now = state.now;
    match &state.resumed_streams.asked_vms {
        Some((chosen_at, vms)) if now.since(*chosen_at) < VM_CHOICE_MS => vms.clone(),
        _ => {
            let vms = state.peers.latest_responding(MAX_ASKED_VMS, now, state.tuning.peer_timeout_ms);
            state.resumed_streams.asked_vms = Some((now, vms.clone()));
            vms
        }
    }
}

/// Asks the registry for changes, unless a call is under way or has just failed.
fn check_registry(state: &mut State) {
    let checks = &mut state.resumed_streams.checks;
    if !checks.is_under_way && state.now >= checks.paused_until {
        checks.begun += 1;
        checks.is_under_way = true;
        state.effects.push(Effect::CheckRegistry);
    }
}

/// Decides on those of the waiting requests that a condition holds for.
fn settle_waiting<F>(state: &mut State, is_concerned: F)
where
    F: Fn(&Waiting) -> bool,
{
    let all = std::mem::take(&mut state.resumed_streams.waiting);
    let (concerned, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(is_concerned);
    state.resumed_streams.waiting = rest;
    for waiting in concerned {
        settle(state, waiting);
    }
}

/// Decides on a request, which goes on waiting if its version may still become known.
fn settle(state: &mut State, waiting: Waiting) {
    let request = waiting.request;
    match decide(state, waiting) {
        Decision::Place(service, software, basis) => {
            log_place(state, request, &service, basis);
            if let Some(active) = state.requests.get_mut(&request) {
                active.service = service;
                active.software = Some(software);
                if let Basis::SameUpstream(assumption) = basis {
                    active.assumption = Some(assumption);
                }
            }
            lifecycle::place(state, request);
        }
        Decision::Reject(cause) => {
            log_rejection(state, waiting, cause);
            lifecycle::fail(state, request, RejectReason::UnknownVersion, Reply::OutcomeUnknown);
        }
        Decision::Wait => {
            state.resumed_streams.waiting.push(waiting);
            let assumption = waiting.stream.and_then(|stream| state.stream_origins.assumption(stream));
            if let Some(assumption) = assumption {
                run_evidence::seek(state, assumption);
            }
        }
    }
}

fn decide(state: &State, waiting: Waiting) -> Decision {
    // A request that has ended is rejected without effect.
    let Some(active) = state.requests.get(&waiting.request) else { return Decision::Reject(Cause::Ended) };
    let call = &active.call;
    let waited_ms = state.now.since(active.arrived_at);
    let is_checked = state.resumed_streams.checks.answered >= waiting.check;
    let may_be_checked = !is_checked && !state.registry_outages.is_lost() && waited_ms < MAX_CHECK_WAIT_MS;
    if let Some(software) = waiting.stream.and_then(|stream| state.stream_origins.get(stream)) {
        // A service that the route no longer leads to does not count.
        let mut services = call.route.services.iter().map(|(service, _)| service);
        let service = services.find(|service| software.belongs_to(service));
        let assumption = waiting.stream.and_then(|stream| state.stream_origins.assumption(stream));
        let finding = assumption.map_or(Finding::Certain, |a| state.finding(a, active.arrived_at));
        return match service {
            // The registry may show another run.
            Some(_) if finding != Finding::Certain && may_be_checked => Decision::Wait,
            Some(service)
                if finding != Finding::Certain
                    && let Some(assumption) = assumption.filter(|a| state.may_rejoin(*a, is_checked)) =>
            {
                Decision::Place(service.clone(), software, Basis::SameUpstream(assumption))
            }
            Some(_) if finding == Finding::Open => Decision::Wait,
            Some(_) if finding == Finding::Unknown => Decision::Reject(Cause::UnknownRun),
            Some(_) if may_be_checked && !state.has_upstream_of(software) => Decision::Wait,
            Some(service) => Decision::Place(service.clone(), software, Basis::Record),
            None if software == Software::UNKNOWN => Decision::Reject(Cause::RecordedUnknown),
            None => Decision::Reject(Cause::OtherService),
        };
    }
    let max_age_ms = max_age_ms(state, &call.stream, waited_ms);
    if is_checked
        && !state.may_have_moved(max_age_ms)
        && let [(service, _)] = call.route.services.as_slice()
        && let Some(software) = state.sole_software(service, max_age_ms)
    {
        return Decision::Place(service.clone(), software, Basis::OnlyVersion);
    }
    let is_asked = waiting.stream.is_some_and(|stream| state.resumed_streams.asked.contains_key(&stream));
    let may_be_recorded = is_asked && waited_ms < MAX_RECORD_WAIT_MS;
    let may_be_reported = waited_ms < MAX_REPORT_WAIT_MS && state.awaits_software_report();
    if is_learning(state) || may_be_checked || may_be_recorded || may_be_reported {
        Decision::Wait
    } else {
        Decision::Reject(Cause::NoRecord)
    }
}

/// Returns the maximum age of a stream, in milliseconds, if its caller says for how long it goes on waiting.
///
/// A caller that names the time of a whole stream does not count down what has passed.
fn max_age_ms(state: &State, stream: &StreamRef, waited_ms: u64) -> Option<u64> {
    let passed_ms = state.stream_lifetime_ms?.checked_sub(stream.remaining_ms?)?;
    (passed_ms >= MIN_PASSED_MS).then(|| passed_ms + MAX_DELIVERY_MS + waited_ms)
}

/// Returns whether this VM started so recently that it may still learn about streams from others or from the registry.
fn is_learning(state: &State) -> bool {
    state.started.is_some_and(|started| state.now.since(started) < LEARNING_MS)
}

fn log_rejection(state: &mut State, waiting: Waiting, cause: Cause) {
    let Some(active) = state.requests.get(&waiting.request) else { return };
    let waited_ms = state.now.since(active.arrived_at);
    let assumption = waiting.stream.and_then(|stream| state.stream_origins.assumption(stream));
    let mut inputs = vec![("why", cause.as_str().to_owned()), ("waited_ms", waited_ms.to_string())];
    inputs.extend(assumption.into_iter().flat_map(|assumption| run_evidence::describe(state, assumption)));
    state.log(Some(waiting.request), "stream_not_resumed", inputs);
}

fn log_place(state: &mut State, request: RequestId, service: &Name, basis: Basis) {
    let waited_ms = state.requests.get(&request).map(|active| state.now.since(active.arrived_at));
    let directory_age_ms = state.directory_confirmed_at.map(|at| state.now.since(at));
    let text = |ms: Option<u64>| ms.map_or_else(|| "none".to_owned(), |ms| ms.to_string());
    let by = match basis {
        Basis::Record => "record",
        Basis::SameUpstream(_) => "same_upstream",
        Basis::OnlyVersion => "only_version",
    };
    let inputs = vec![
        ("service", service.to_string()),
        ("by", by.to_owned()),
        ("waited_ms", text(waited_ms)),
        ("directory_age_ms", text(directory_age_ms)),
        ("revision", state.directory.revision.number.to_string()),
    ];
    state.log(Some(request), "stream_resumed", inputs);
}
