//! Answers of owners and ends of attempts.

use jujubedoor_config::Name;
use rand::Rng;

use super::request::ActiveRequest;
use super::request::Candidate;
use super::request::RetryPolicy;
use super::request::Stage;
use super::search;
use crate::event::AttemptEnded;
use crate::event::CountedEvent;
use crate::event::Effect;
use crate::event::TimelineEvent;
use crate::executor;
use crate::ids::PermitId;
use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::Abandon;
use crate::message::AttemptOutcome;
use crate::message::Denied;
use crate::message::DenyReason;
use crate::message::Granted;
use crate::message::Message;
use crate::message::Placed;
use crate::message::Release;
use crate::message::Wait;
use crate::outcome::Reason;
use crate::outcome::RequestError;
use crate::state::State;

/// With how many upstreams a request may be lost before it ends.
const LOSSES_MOST: u8 = 2;

/// Sends a request with the permit that it got, unless it no longer may.
pub fn handle_granted(state: &mut State, from: &VmRef, granted: &Granted) {
    let Granted { request, attempt, ref upstream, permit } = *granted;
    let expected = state.entry.requests.get(&request).is_some_and(|flight| {
        // A grant that waited while this process was paused may come from a former owner: by then a new
        // one has settled without it.
        let in_time = matches!(flight.stage, Stage::Acquiring { until, .. } if state.now < until);
        flight.attempt == attempt && in_time
    });
    let sending = |flight: &ActiveRequest| matches!(flight.stage, Stage::Sending { permit: Some(p), .. } if p == permit);
    if state.entry.requests.get(&request).is_some_and(sending) {
        state.count(CountedEvent::MessageDropped);
        return;
    }
    // A process that was paused may hold an old document: it looks again before it sends.
    let usable = state.catalog.takes_work(upstream) && state.is_view_confirmed();
    if expected && usable {
        search::send(state, request, upstream, Some(permit));
        return;
    }
    let release = Release { permit, upstream: upstream.clone(), outcome: AttemptOutcome::Cancelled };
    state.send(&from.name, Message::Release(release));
    if expected {
        search::advance(state, request);
    } else {
        // A request whose grant came too late moves on with the next tick.
        state.count(CountedEvent::MessageDropped);
    }
}

/// Tries the next upstream, or the one that the owner names.
pub fn handle_denied(state: &mut State, denied: Denied) {
    let Denied { request, attempt, reason } = denied;
    let warm = Wait::IfCached(warm_wait_ms(state, request));
    let Some(flight) = state.entry.requests.get_mut(&request) else {
        state.count(CountedEvent::MessageDropped);
        return;
    };
    let Stage::Acquiring { upstream, .. } = &flight.stage else { return };
    if flight.attempt != attempt {
        state.count(CountedEvent::MessageDropped);
        return;
    }
    let upstream = upstream.clone();
    match reason {
        DenyReason::Busy(busy) => {
            flight.least =
                busy.least_loaded_upstream.filter(|least| *least != upstream).or(flight.least.take());
            let better = flight.best.as_ref().is_none_or(|(best, _)| busy.load_percent < *best);
            if better {
                flight.best = Some((busy.load_percent, upstream));
            }
        }
        DenyReason::PlacedElsewhere(at) => {
            let home = Candidate { upstream, wait: Wait::NotAllowed, here: true };
            flight.next.push_front(home);
            flight.next.push_front(Candidate { upstream: at, wait: warm, here: true });
        }
        DenyReason::CrashSuspect => {
            search::give_up(state, request, Reason::CrashesUpstreams);
            return;
        }
        DenyReason::NotOwner(_) | DenyReason::OwnerNotReady | DenyReason::UpstreamUnavailable => {}
    }
    search::advance(state, request);
}

/// Learns how an attempt ended: finishes the request, tries again, or gives up.
pub fn handle_attempt_ended(state: &mut State, ended: AttemptEnded) {
    let request = ended.request;
    let Some(flight) = state.entry.requests.get_mut(&request) else {
        state.count(CountedEvent::MessageDropped);
        return;
    };
    let Stage::Sending { upstream, permit } = flight.stage.clone() else { return };
    if flight.attempt != ended.attempt {
        state.count(CountedEvent::MessageDropped);
        return;
    }
    if ended.outcome == AttemptOutcome::ConnectionLost
        && ended.delivered
        && flight.repeat == RetryPolicy::Resumable
    {
        flight.repeat = RetryPolicy::Undelivered;
        flight.handed = true;
        resume(state, request, &upstream);
        return;
    }
    give_back(state, &upstream, permit, ended.outcome);
    state.record(Some(request), Some(&upstream), TimelineEvent::AttemptFinished(name_of(ended.outcome)));
    match ended.outcome {
        AttemptOutcome::Completed(_) => complete(state, ended, &upstream),
        // A delivered part cannot be followed by the start of another answer.
        AttemptOutcome::Unsent if ended.delivered => search::give_up(state, request, Reason::UpstreamLost),
        AttemptOutcome::Unsent => search::advance(state, request),
        AttemptOutcome::Busy => retry(state, request, ended.delivered, Reason::Overloaded),
        AttemptOutcome::ConnectionLost => retry(state, request, ended.delivered, Reason::UpstreamLost),
        AttemptOutcome::Cancelled => {
            state.entry.requests.remove(&request);
        }
    }
}

/// Drops a request whose caller went away before it was sent.
pub fn handle_caller_gone(state: &mut State, request: RequestId) {
    let Some(flight) = state.entry.requests.get(&request) else { return };
    match flight.stage.clone() {
        Stage::Acquiring { upstream, owner, .. } => {
            abandon(state, request, upstream, &owner);
            state.entry.requests.remove(&request);
        }
        Stage::New | Stage::Pausing { .. } => {
            state.entry.requests.remove(&request);
        }
        // The shell ends the attempt, which gives the permit back.
        Stage::Sending { .. } => {}
    }
}

/// Moves on from an owner that cannot be reached.
pub fn handle_owner_unreachable(state: &mut State, name: &Name) {
    let asked =
        |flight: &&ActiveRequest| matches!(&flight.stage, Stage::Acquiring { owner, .. } if owner == name);
    let stuck: Vec<_> = state.entry.requests.values().filter(asked).map(|flight| flight.request).collect();
    for request in stuck {
        search::advance(state, request);
    }
}

/// Tells an owner which of some permits are not held here.
pub fn check_permits(state: &mut State, from: &VmRef, upstream: UpstreamId, permits: Vec<PermitId>) {
    let held = state.entry.declared_permits(&upstream, state.fleet.local_vm());
    let holds = |permit: &PermitId| held.iter().any(|declared| declared.permit == *permit);
    let gone: Vec<_> = permits.into_iter().filter(|permit| !holds(permit)).collect();
    if !gone.is_empty() {
        state.send(&from.name, Message::PermitsGone(upstream, gone));
    }
}

/// Moves on the requests whose waits are over.
pub fn tick(state: &mut State) {
    let now = state.now;
    let mut silent = Vec::new();
    let mut rested = Vec::new();
    for flight in state.entry.requests.values() {
        match &flight.stage {
            Stage::Acquiring { upstream, owner, until } if now >= *until => {
                silent.push((flight.request, upstream.clone(), owner.clone()));
            }
            Stage::Pausing { until } if now >= *until => rested.push(flight.request),
            _ => {}
        }
    }
    for (request, upstream, owner) in silent {
        abandon(state, request, upstream, &owner);
        crate::gossip::send_heartbeat(state, &owner);
        search::advance(state, request);
    }
    for request in rested {
        search::fill(state, request);
        search::advance(state, request);
    }
}

fn warm_wait_ms(state: &State, request: RequestId) -> u64 {
    let flight = state.entry.requests.get(&request);
    let pool = flight.and_then(|flight| state.catalog.pools.get(&flight.pool));
    pool.map_or(0, |entry| entry.pool.warm_wait_ms)
}

fn abandon(state: &mut State, request: RequestId, upstream: UpstreamId, owner: &Name) {
    let Some(flight) = state.entry.requests.get(&request) else { return };
    let abandon = Abandon { request, attempt: flight.attempt, upstream };
    state.send(owner, Message::Abandon(abandon));
}

/// Gives a permit back to the present owner.
fn give_back(state: &mut State, upstream: &UpstreamId, permit: Option<PermitId>, ended: AttemptOutcome) {
    let Some(permit) = permit else { return };
    let Some(owner) = state.admissions.owner(upstream).cloned() else { return };
    let release = Release { permit, upstream: upstream.clone(), outcome: ended };
    state.send(&owner, Message::Release(release));
}

/// Ends a request whose whole answer arrived, and remembers where its chat was placed.
fn complete(state: &mut State, ended: AttemptEnded, upstream: &UpstreamId) {
    let Some(flight) = state.entry.requests.remove(&ended.request) else { return };
    if flight.run.is_some() {
        let answer = ended.answer.ok_or_else(|| RequestError::unknown(Reason::UpstreamLost));
        executor::finish_run(state, ended.request, &answer);
        return;
    }
    let Some(first) = flight.first.filter(|first| first != upstream) else { return };
    let Some(owner) = state.admissions.owner(&first).cloned() else { return };
    let placed = Placed { first_choice: first, key: flight.key, placed_on: upstream.clone() };
    state.send(&owner, Message::Placed(placed));
}

/// Resumes a broken stream where it broke, at the upstream that has it.
fn resume(state: &mut State, request: RequestId, upstream: &UpstreamId) {
    let Some(entry) = state.catalog.upstreams.get(upstream) else { return };
    let address = entry.upstream.address;
    let Some(flight) = state.entry.requests.get_mut(&request) else { return };
    flight.attempt += 1;
    let dial = flight.dial(upstream, address, true);
    let attempt = flight.attempt;
    state.record(Some(request), Some(upstream), TimelineEvent::AttemptSent(attempt));
    state.effects.push(Effect::Dispatch(dial));
}

/// Sends a lost request again after a pause, if it may be repeated and the budget allows it.
fn retry(state: &mut State, request: RequestId, delivered: bool, reason: Reason) {
    let backoff_ms = state.tuning.retry_backoff_ms;
    let pause_ms = backoff_ms + state.rng.random_range(0..=backoff_ms);
    let until = state.now.after(pause_ms);
    let Some(flight) = state.entry.requests.get_mut(&request) else { return };
    flight.handed = true;
    if reason == Reason::UpstreamLost {
        flight.losses += 1;
    }
    let allowed = flight.repeat != RetryPolicy::Never && !delivered && flight.losses < LOSSES_MOST;
    if !allowed || !state.entry.retry_budget.spend() {
        search::give_up(state, request, reason);
        return;
    }
    flight.next.clear();
    flight.stage = Stage::Pausing { until };
    state.count(CountedEvent::RequestRetried);
}

fn name_of(ended: AttemptOutcome) -> &'static str {
    match ended {
        AttemptOutcome::Completed(_) => "completed",
        AttemptOutcome::Unsent => "unsent",
        AttemptOutcome::ConnectionLost => "lost",
        AttemptOutcome::Busy => "busy",
        AttemptOutcome::Cancelled => "cancelled",
    }
}
