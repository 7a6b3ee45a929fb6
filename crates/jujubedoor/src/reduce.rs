//! The reducer: the one place where events change the state.

use crate::admission;
use crate::entry;
use crate::event::Effect;
use crate::event::Event;
use crate::event::PlatformResponse;
use crate::event::TimelineEvent;
use crate::executor;
use crate::gossip;
use crate::ids::Time;
use crate::ids::VmRef;
use crate::message::Message;
use crate::state::State;

/// Changes the state by an event at a time and returns what the shell has to do.
///
/// A time before that of an earlier event counts as that of the earlier event.
pub fn reduce(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    state.now = state.now.max(now);
    admission::lapse(state);
    let reviews = may_move_ownership(&event);
    dispatch(state, event);
    deliver_inbox(state);
    if reviews {
        admission::review(state);
        deliver_inbox(state);
    }
    std::mem::take(&mut state.effects)
}

/// Tells whether ownership may have moved after an event; the ticks catch what time alone changes.
fn may_move_ownership(event: &Event) -> bool {
    match event {
        Event::Received(_, message) => {
            matches!(message, Message::Documents(_) | Message::Vms(_) | Message::Leaving)
        }
        Event::Tick | Event::PeerUnreachable(_) | Event::PlatformResponded(_) | Event::Drain => true,
        _ => false,
    }
}

fn dispatch(state: &mut State, event: Event) {
    match event {
        Event::Tick => tick(state),
        Event::Arrive(arrival) => entry::arrive(state, arrival),
        Event::IssueTickets(issue) => executor::issue_tickets(state, &issue),
        Event::AttemptEnded(ended) => entry::attempt_ended(state, ended),
        Event::CallerGone(request) => entry::caller_gone(state, request),
        Event::Received(from, message) => receive(state, &from, message),
        Event::PeerUnreachable(name) => peer_unreachable(state, &name),
        Event::PlatformResponded(answer) => platform_answered(state, answer),
        Event::LoadReported(upstream, report) => admission::reported(state, &upstream, report),
        Event::LoadReportFailed(upstream, failure) => admission::report_failed(state, &upstream, failure),
        Event::Drain => drain(state),
        Event::HandOver => executor::hand_over(state),
        Event::ClearSuspect(fingerprint) => {
            state.suspects.clear(fingerprint);
            state.broadcast(&Message::SuspectCleared(fingerprint));
        }
    }
}

/// Delivers the messages that the VM sent to itself.
fn deliver_inbox(state: &mut State) {
    let me = state.fleet.me().clone();
    while let Some(message) = state.inbox.pop_front() {
        receive(state, &me, message);
    }
}

fn tick(state: &mut State) {
    gossip::tick(state);
    admission::tick(state);
    entry::tick(state);
    executor::tick(state);
}

fn receive(state: &mut State, from: &VmRef, message: Message) {
    if *from != *state.fleet.me() {
        state.fleet.record_contact(from, state.now);
    }
    match message {
        Message::Heartbeat(heartbeat) => gossip::heartbeat(state, from, heartbeat),
        Message::HeartbeatAck(ack) => gossip::heartbeat_ack(state, from, ack),
        Message::Fetch(teams) => gossip::fetch(state, from, &teams),
        Message::Documents(documents) => gossip::apply_documents(state, documents),
        Message::Vms(list) => gossip::apply_vm_list(state, list),
        Message::Leaving => state.fleet.record_leaving(from),
        Message::Acquire(acquire) => admission::acquire(state, from, acquire),
        Message::Granted(granted) => entry::granted(state, from, &granted),
        Message::Denied(denied) => entry::denied(state, denied),
        Message::Abandon(abandon) => admission::abandon(state, &abandon),
        Message::Release(release) => admission::release(state, &release),
        Message::Redeclare(upstreams) => admission::redeclare(state, from, &upstreams),
        Message::Declared(declared) => admission::declared(state, from, declared),
        Message::CheckPermits(upstream, permits) => entry::check_permits(state, from, upstream, permits),
        Message::PermitsGone(upstream, permits) => admission::permits_gone(state, &upstream, &permits),
        Message::PoolLoads(loads) => admission::pool_loads(state, from, loads),
        Message::PoolMean(mean) => admission::pool_mean(state, mean),
        Message::Placed(placed) => admission::placed(state, placed),
        Message::CrashSuspects(fingerprints) => {
            for fingerprint in fingerprints {
                state.suspects.accuse(fingerprint, state.now);
            }
        }
        Message::SuspectCleared(fingerprint) => {
            state.suspects.clear(fingerprint);
        }
        Message::Execute(execute) => executor::execute(state, from, &execute),
        Message::Executed(executed) => executor::executed(state, executed),
        Message::Handover(handover) => executor::inherit(state, handover),
    }
}

fn peer_unreachable(state: &mut State, name: &jujubedoor_config::Name) {
    let tuning = state.tuning;
    if state.fleet.suspect(name, state.now, &tuning) {
        state.record(None, None, TimelineEvent::VmSuspected(name.clone()));
        // The requests that move on now must not ask the same VM again.
        admission::review(state);
    }
    entry::owner_unreachable(state, name);
    executor::executor_unreachable(state, name);
}

fn platform_answered(state: &mut State, answer: PlatformResponse) {
    state.fleet.confirm(answer.requested_at);
    if let Some(list) = answer.vms {
        gossip::apply_vm_list(state, list);
    }
    gossip::apply_documents(state, answer.documents);
}

fn drain(state: &mut State) {
    if state.fleet.is_leaving() {
        return;
    }
    state.fleet.mark_leaving();
    state.record(None, None, TimelineEvent::Draining);
    state.broadcast(&Message::Leaving);
}
