//! The reducer: the one place where events change the state.

use crate::admission;
use crate::entry;
use crate::event::Effect;
use crate::event::Event;
use crate::event::PlatformAnswer;
use crate::event::What;
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
    admission::expire_ownership(state);
    let reviews = may_move_ownership(&event);
    dispatch(state, event);
    deliver_inbox(state);
    if reviews {
        admission::review_ownership(state);
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
        Event::Tick | Event::PeerUnreachable(_) | Event::PlatformAnswered(_) | Event::Drain => true,
        _ => false,
    }
}

fn dispatch(state: &mut State, event: Event) {
    match event {
        Event::Tick => tick(state),
        Event::Arrive(arrival) => entry::arrive(state, arrival),
        Event::IssueTickets(issue) => executor::issue_tickets(state, &issue),
        Event::AttemptEnded(ended) => entry::handle_attempt_ended(state, ended),
        Event::CallerGone(request) => entry::handle_caller_gone(state, request),
        Event::Received(from, message) => receive(state, &from, message),
        Event::PeerUnreachable(name) => peer_unreachable(state, &name),
        Event::PlatformAnswered(answer) => platform_answered(state, answer),
        Event::Reported(upstream, report) => admission::handle_load_report(state, &upstream, report),
        Event::ReportFailed(upstream, failure) => admission::handle_report_failure(state, &upstream, failure),
        Event::Drain => drain(state),
        Event::HandOver => executor::hand_over(state),
        Event::ClearSuspect(fingerprint) => {
            state.suspects.clear(fingerprint);
            state.broadcast(&Message::Cleared(fingerprint));
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
        state.fleet.hear(from, state.now);
    }
    match message {
        Message::Heartbeat(heartbeat) => gossip::heartbeat(state, from, heartbeat),
        Message::HeartbeatAck(ack) => gossip::heartbeat_ack(state, from, ack),
        Message::Fetch(teams) => gossip::fetch(state, from, &teams),
        Message::Documents(documents) => gossip::offer_documents(state, documents),
        Message::Vms(list) => gossip::offer_list(state, list),
        Message::Leaving => state.fleet.announce_leaving(from),
        Message::Acquire(acquire) => admission::acquire(state, from, acquire),
        Message::Granted(granted) => entry::handle_granted(state, from, &granted),
        Message::Denied(denied) => entry::handle_denied(state, denied),
        Message::Abandon(abandon) => admission::abandon(state, &abandon),
        Message::Release(release) => admission::release(state, &release),
        Message::Redeclare(upstreams) => admission::handle_redeclare(state, from, &upstreams),
        Message::Declared(declared) => admission::adopt_permits(state, from, declared),
        Message::CheckPermits(upstream, permits) => entry::check_permits(state, from, upstream, permits),
        Message::PermitsGone(upstream, permits) => admission::reclaim_permits(state, &upstream, &permits),
        Message::PoolLoads(loads) => admission::handle_pool_loads(state, from, loads),
        Message::PoolMean(mean) => admission::handle_pool_mean(state, mean),
        Message::Placed(placed) => admission::handle_placed(state, placed),
        Message::Crashed(fingerprints) => {
            for fingerprint in fingerprints {
                state.suspects.record_crash(fingerprint, state.now);
            }
        }
        Message::Cleared(fingerprint) => {
            state.suspects.clear(fingerprint);
        }
        Message::Execute(execute) => executor::handle_execute(state, from, &execute),
        Message::Executed(executed) => executor::handle_executed(state, executed),
        Message::Handover(handover) => executor::handle_handover(state, handover),
    }
}

fn peer_unreachable(state: &mut State, name: &jujubedoor_config::Name) {
    let tuning = state.tuning;
    if state.fleet.suspect(name, state.now, &tuning) {
        state.record(None, None, What::Suspected(name.clone()));
        // The requests that move on now must not ask the same VM again.
        admission::review_ownership(state);
    }
    entry::handle_owner_unreachable(state, name);
    executor::handle_executor_unreachable(state, name);
}

fn platform_answered(state: &mut State, answer: PlatformAnswer) {
    state.fleet.confirm(answer.asked_at);
    if let Some(list) = answer.vms {
        gossip::offer_list(state, list);
    }
    gossip::offer_documents(state, answer.documents);
}

fn drain(state: &mut State) {
    if state.fleet.is_leaving() {
        return;
    }
    state.fleet.leave();
    state.record(None, None, What::Draining);
    state.broadcast(&Message::Leaving);
}
