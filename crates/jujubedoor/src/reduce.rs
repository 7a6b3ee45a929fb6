//! The reducer, the only place where events change the state.

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

/// Updates the state for an event that happens at `now`, and returns the effects that the I/O layer has to
/// carry out.
///
/// If `now` is before the time of an earlier event, the time of the earlier event is used.
pub fn reduce(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    state.now = state.now.max(now);
    admission::expire_ownership(state);
    let needs_review = may_change_ownership(&event);
    dispatch(state, event);
    deliver_inbox(state);
    if needs_review {
        admission::review_ownership(state);
        deliver_inbox(state);
    }
    std::mem::take(&mut state.effects)
}

/// Returns whether an event may have moved the ownership of upstreams.
///
/// Changes that only the passing of time causes are detected on each tick.
fn may_change_ownership(event: &Event) -> bool {
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
        Event::AttemptEnded(ended) => entry::handle_attempt_ended(state, ended),
        Event::CallerGone(request) => entry::handle_caller_gone(state, request),
        Event::Received(from, message) => handle_message(state, &from, message),
        Event::PeerUnreachable(name) => handle_peer_unreachable(state, &name),
        Event::PlatformResponded(response) => handle_platform_response(state, &response),
        Event::LoadReported(upstream, report) => admission::handle_load_report(state, &upstream, report),
        Event::LoadReportFailed(upstream, failure) => {
            admission::handle_report_failure(state, &upstream, failure);
        }
        Event::Drain => start_leaving(state),
        Event::HandOver => executor::hand_over(state),
        Event::ClearSuspect(fingerprint) => {
            state.crash_suspects.clear(fingerprint);
            state.broadcast(&Message::SuspectCleared(fingerprint));
        }
    }
}

/// Delivers the messages that the VM sent to itself.
fn deliver_inbox(state: &mut State) {
    let local_vm = state.fleet.local_vm().clone();
    while let Some(message) = state.inbox.pop_front() {
        handle_message(state, &local_vm, message);
    }
}

fn tick(state: &mut State) {
    gossip::tick(state);
    admission::tick(state);
    entry::tick(state);
    executor::tick(state);
}

fn handle_message(state: &mut State, from: &VmRef, message: Message) {
    if *from != *state.fleet.local_vm() {
        state.fleet.record_contact(from, state.now);
    }
    match message {
        Message::Heartbeat(heartbeat) => gossip::handle_heartbeat(state, from, heartbeat),
        Message::HeartbeatAck(ack) => gossip::handle_heartbeat_ack(state, from, ack),
        Message::Fetch(teams) => gossip::handle_fetch(state, from, &teams),
        Message::Documents(documents) => gossip::apply_documents(state, documents),
        Message::Vms(list) => gossip::apply_vm_list(state, list),
        Message::Leaving => state.fleet.record_leaving(from),
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
        Message::PoolTotal(total) => admission::handle_pool_total(state, total),
        Message::Placed(placed) => admission::handle_placed(state, placed),
        Message::CrashSuspects(fingerprints) => {
            for fingerprint in fingerprints {
                state.crash_suspects.record_crash(fingerprint, state.now);
            }
        }
        Message::SuspectCleared(fingerprint) => {
            state.crash_suspects.clear(fingerprint);
        }
        Message::Execute(execute) => executor::handle_execute(state, from, &execute),
        Message::Executed(executed) => executor::handle_executed(state, executed),
        Message::Handover(handover) => executor::handle_handover(state, handover),
    }
}

fn handle_peer_unreachable(state: &mut State, name: &jujubedoor_config::Name) {
    let tuning = state.tuning;
    if state.fleet.suspect(name, state.now, &tuning) {
        state.record(None, None, TimelineEvent::VmSuspected(name.clone()));
        // Requests that try their next upstream below must not send permit requests to this VM again.
        admission::review_ownership(state);
    }
    entry::handle_owner_unreachable(state, name);
    executor::handle_executor_unreachable(state, name);
}

fn handle_platform_response(state: &mut State, response: &PlatformResponse) {
    state.fleet.confirm(response.requested_at);
    if let Some(list) = &response.vms {
        gossip::apply_vm_list(state, list.clone());
    }
    let documents = state.document_history.label(response);
    gossip::apply_documents(state, documents.clone());
    state.documents.record_listed(&documents);
}

fn start_leaving(state: &mut State) {
    if state.fleet.is_leaving() {
        return;
    }
    state.fleet.mark_leaving();
    state.record(None, None, TimelineEvent::Draining);
    state.broadcast(&Message::Leaving);
}
