//! Applies the effects of the reducer.

use jujubedoor::Effect;
use jujubedoor::Event;
use jujubedoor::State;
use jujubedoor::event::AttemptEnded;
use jujubedoor::event::Dispatch;
use jujubedoor::message::AttemptOutcome;

use crate::callers;
use crate::core::Handle;
use crate::core::Instruction;
use crate::poll;

/// Applies the effects of one event.
pub fn apply(handle: &Handle, state: &State, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Send(to, message) => {
                let entry = state.fleet.list().vms.iter().find(|vm| vm.name == to);
                if let Some(entry) = entry {
                    handle.peers.send(handle, &to, entry.peer_address, message);
                }
            }
            Effect::Dispatch(dispatch) => send_dispatch(handle, dispatch),
            Effect::Run(dispatch, call) => {
                tokio::spawn(callers::run_call(handle.clone(), dispatch, call));
            }
            Effect::Reply(request, reply) => {
                handle.metrics.record_reply(&reply);
                handle.send_instruction(request, Instruction::Reply(reply));
            }
            Effect::Poll(upstream, address) => {
                tokio::spawn(poll::fetch_load_report(handle.clone(), upstream, address));
            }
            Effect::Record(record) => handle.timeline.push(handle.clock.stamp(), record),
            Effect::Count(count) => handle.metrics.record_decision(count),
        }
    }
}

/// Sends a dispatch to the task that serves a request, or ends the attempt if the caller is gone.
fn send_dispatch(handle: &Handle, dispatch: Dispatch) {
    let (request, attempt) = (dispatch.request, dispatch.attempt);
    if !handle.send_instruction(request, Instruction::Dispatch(dispatch)) {
        let attempt_ended =
            AttemptEnded { request, attempt, outcome: AttemptOutcome::Cancelled, ..AttemptEnded::default() };
        handle.submit(Event::AttemptEnded(attempt_ended));
    }
}
