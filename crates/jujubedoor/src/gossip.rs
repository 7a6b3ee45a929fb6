//! Comparing notes: heartbeats confirm the view, and documents pass from VM to VM.
//!
//! Every VM sends a heartbeat to a few others in turn. The answer confirms the view of the fleet as
//! of the time at which the heartbeat was sent, and shows which side has newer documents or a newer
//! VM list; the newer ones are then passed on. Names of unreachable VMs travel along as a hint:
//! the receiver tries them itself and suspects only what it cannot reach.

use std::collections::BTreeSet;

use jujubedoor_config::Name;

use crate::catalog::Catalog;
use crate::documents::ApplyOutcome;
use crate::documents::PublishedDocument;
use crate::event::TimelineEvent;
use crate::fleet::Fleet;
use crate::fleet::VmList;
use crate::ids::Time;
use crate::ids::VmRef;
use crate::message::Heartbeat;
use crate::message::HeartbeatAck;
use crate::message::Message;
use crate::state::State;

/// How long a starting VM waits for silent VMs before it serves callers, in milliseconds.
const COMPARE_MS: u64 = 2_000;

/// How many suspected VMs a heartbeat names.
const SUSPECTS_NAMED: usize = 8;

/// What was compared with other VMs.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    round: u64,
    next_at: Time,
    listed_at: Option<Time>,
    compared: BTreeSet<Name>,
}

impl Gossip {
    /// Tells whether every other VM has shown its revisions or had the time to.
    pub fn has_synced_with_peers(&self, fleet: &Fleet, now: Time) -> bool {
        let Some(listed_at) = self.listed_at else { return false };
        let waited = now.since(listed_at) >= COMPARE_MS;
        waited || fleet.peers().all(|vm| self.compared.contains(&vm.name))
    }
}

/// Sends the heartbeats that are due.
pub fn tick(state: &mut State) {
    if state.now < state.gossip.next_at {
        return;
    }
    state.gossip.next_at = state.now.after(state.tuning.heartbeat_ms);
    state.gossip.round += 1;
    let round = state.gossip.round;
    let mut targets = state.fleet.heartbeat_targets(round, state.tuning.heartbeat_peers);
    for suspect in named_suspects(state) {
        if !targets.contains(&suspect) {
            targets.push(suspect);
        }
    }
    for target in targets {
        send_heartbeat(state, &target);
    }
}

/// Answers a heartbeat, passes newer knowledge on and tries the VMs that the sender could not reach.
pub fn heartbeat(state: &mut State, from: &VmRef, heartbeat: Heartbeat) {
    let differs = heartbeat.documents_digest != state.documents.digest();
    let ack = HeartbeatAck {
        sent_at: heartbeat.sent_at,
        vm_list_revision: state.fleet.list().revision,
        document_revisions: differs.then(|| state.documents.revisions()),
    };
    state.send(&from.name, Message::HeartbeatAck(ack));
    for name in heartbeat.suspects {
        if state.fleet.is_listed(&name) && !state.fleet.is_suspected(&name, state.now) {
            send_heartbeat(state, &name);
        }
    }
}

/// Takes the answer to a heartbeat as a confirmation and evens out what both know.
pub fn heartbeat_ack(state: &mut State, from: &VmRef, ack: HeartbeatAck) {
    state.gossip.compared.insert(from.name.clone());
    let list = state.fleet.list().clone();
    if ack.vm_list_revision <= list.revision {
        state.fleet.confirm(ack.sent_at);
    }
    if ack.vm_list_revision < list.revision {
        state.send(&from.name, Message::Vms(list.clone()));
    }
    let theirs = ack.document_revisions.as_deref().unwrap_or_default();
    let behind = |(team, revision): &&(Name, _)| *revision > state.documents.revision(team);
    let wanted: Vec<_> = theirs.iter().filter(behind).map(|(team, _)| team.clone()).collect();
    if !wanted.is_empty() || ack.vm_list_revision > list.revision {
        state.send(&from.name, Message::Fetch(wanted));
    }
    let Some(theirs) = ack.document_revisions else { return };
    let newer = state.documents.newer_than(&theirs);
    if !newer.is_empty() {
        state.send(&from.name, Message::Documents(newer));
    }
}

/// Answers a request for documents and the VM list.
pub fn fetch(state: &mut State, from: &VmRef, teams: &[Name]) {
    let documents = state.documents.for_teams(teams);
    if !documents.is_empty() {
        state.send(&from.name, Message::Documents(documents));
    }
    let list = state.fleet.list().clone();
    state.send(&from.name, Message::Vms(list));
}

/// Takes documents of the platform or of another VM.
pub fn apply_documents(state: &mut State, documents: Vec<PublishedDocument>) {
    let mut accepted = false;
    for published in documents {
        let (team, revision) = (published.team.clone(), published.revision.0);
        match state.documents.apply(published) {
            ApplyOutcome::Accepted => {
                accepted = true;
                state.record(None, None, TimelineEvent::DocumentAccepted(team, revision));
            }
            ApplyOutcome::Rejected => {
                state.record(None, None, TimelineEvent::DocumentRejected(team, revision));
            }
            ApplyOutcome::Outdated => {}
        }
    }
    if accepted {
        state.catalog = Catalog::new(&state.documents);
        spread(state);
    }
}

/// Takes a VM list of the platform or of another VM.
pub fn apply_vm_list(state: &mut State, list: VmList) {
    if !state.fleet.update(list) {
        return;
    }
    state.gossip.listed_at.get_or_insert(state.now);
    spread(state);
}

/// Lets other VMs compare at once instead of at the next heartbeat.
fn spread(state: &mut State) {
    state.gossip.next_at = state.now;
}

/// Sends a heartbeat to one VM.
pub(crate) fn send_heartbeat(state: &mut State, to: &Name) {
    let heartbeat = Heartbeat {
        sent_at: state.now,
        vm_list_revision: state.fleet.list().revision,
        documents_digest: state.documents.digest(),
        suspects: named_suspects(state),
    };
    state.send(to, Message::Heartbeat(heartbeat));
}

fn named_suspects(state: &State) -> Vec<Name> {
    let mut suspects = state.fleet.suspects(state.now);
    suspects.retain(|name| state.fleet.is_listed(name));
    suspects.truncate(SUSPECTS_NAMED);
    suspects
}
