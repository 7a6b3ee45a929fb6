//! Gossip: heartbeats confirm the view of the fleet and spread documents and the VM list between VMs.
//!
//! Every VM sends heartbeats to a few peers at a time, in rotation. The acknowledgement confirms the view of
//! the fleet as of the time at which the heartbeat was sent. It also shows which of the two VMs has newer
//! documents or a newer VM list; the newer versions are then sent to the other VM.
//!
//! Heartbeats also carry the names of VMs that the sender could not reach. They are only a hint: the receiver
//! sends heartbeats to these VMs itself and suspects only those that it cannot reach either.

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

/// Maximum time for which a starting VM waits for the revisions of its peers before it serves callers, in
/// milliseconds.
const INITIAL_SYNC_TIMEOUT_MS: u64 = 2_000;

/// Maximum number of suspected VMs named in a heartbeat.
const MAX_SUSPECTS_PER_HEARTBEAT: usize = 8;

/// Progress of heartbeats and of the comparison of revisions with peers.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    round: u64,
    next_heartbeat_at: Time,
    first_list_at: Option<Time>,
    synced_peers: BTreeSet<Name>,
}

impl Gossip {
    /// Returns whether every peer has sent its revisions, or this VM has waited for them long enough.
    pub fn has_synced_with_peers(&self, fleet: &Fleet, now: Time) -> bool {
        let Some(first_list_at) = self.first_list_at else { return false };
        let timed_out = now.since(first_list_at) >= INITIAL_SYNC_TIMEOUT_MS;
        timed_out || fleet.peers().all(|vm| self.synced_peers.contains(&vm.name))
    }
}

/// Sends heartbeats to the peers of the round, and to suspected VMs, if they are due.
pub fn tick(state: &mut State) {
    if state.now < state.gossip.next_heartbeat_at {
        return;
    }
    state.gossip.next_heartbeat_at = state.now.after(state.tuning.heartbeat_interval_ms);
    state.gossip.round += 1;
    let round = state.gossip.round;
    let mut targets = state.fleet.heartbeat_targets(round, state.tuning.heartbeat_fanout);
    for suspect in suspects_to_report(state) {
        if !targets.contains(&suspect) {
            targets.push(suspect);
        }
    }
    for target in targets {
        send_heartbeat(state, &target);
    }
}

/// Acknowledges a heartbeat, and sends heartbeats to the VMs that its sender could not reach.
pub fn handle_heartbeat(state: &mut State, from: &VmRef, heartbeat: Heartbeat) {
    let digests_differ = heartbeat.documents_digest != state.documents.digest();
    let ack = HeartbeatAck {
        sent_at: heartbeat.sent_at,
        vm_list_revision: state.fleet.list().revision,
        document_revisions: digests_differ.then(|| state.documents.revisions()),
    };
    state.send(&from.name, Message::HeartbeatAck(ack));
    for name in heartbeat.suspects {
        if state.fleet.is_listed(&name) && !state.fleet.is_suspected(&name, state.now) {
            send_heartbeat(state, &name);
        }
    }
}

/// Handles the acknowledgement of a heartbeat.
///
/// Confirms the view, unless the peer has a newer VM list. Sends the documents and the VM list that are newer
/// on this VM, and requests those that are newer on the peer.
pub fn handle_heartbeat_ack(state: &mut State, from: &VmRef, ack: HeartbeatAck) {
    state.gossip.synced_peers.insert(from.name.clone());
    let own_list = state.fleet.list().clone();
    if ack.vm_list_revision <= own_list.revision {
        state.fleet.confirm(ack.sent_at);
    }
    if ack.vm_list_revision < own_list.revision {
        state.send(&from.name, Message::Vms(own_list.clone()));
    }
    let peer_revisions = ack.document_revisions.as_deref().unwrap_or_default();
    let is_newer = |(team, revision): &&(Name, _)| *revision > state.documents.revision(team);
    let outdated_teams: Vec<_> =
        peer_revisions.iter().filter(is_newer).map(|(team, _)| team.clone()).collect();
    if !outdated_teams.is_empty() || ack.vm_list_revision > own_list.revision {
        state.send(&from.name, Message::Fetch(outdated_teams));
    }
    let Some(peer_revisions) = ack.document_revisions else { return };
    let newer_documents = state.documents.newer_than(&peer_revisions);
    if !newer_documents.is_empty() {
        state.send(&from.name, Message::Documents(newer_documents));
    }
}

/// Sends the requested documents and the VM list.
pub fn handle_fetch(state: &mut State, from: &VmRef, teams: &[Name]) {
    let documents = state.documents.for_teams(teams);
    if !documents.is_empty() {
        state.send(&from.name, Message::Documents(documents));
    }
    let own_list = state.fleet.list().clone();
    state.send(&from.name, Message::Vms(own_list));
}

/// Applies documents received from the platform or from another VM.
pub fn apply_documents(state: &mut State, documents: Vec<PublishedDocument>) {
    let mut any_accepted = false;
    for published in documents {
        let (team, revision) = (published.team.clone(), published.revision.number());
        match state.documents.apply(published) {
            ApplyOutcome::Accepted => {
                any_accepted = true;
                state.record(None, None, TimelineEvent::DocumentAccepted(team, revision));
            }
            ApplyOutcome::Rejected => {
                state.record(None, None, TimelineEvent::DocumentRejected(team, revision));
            }
            ApplyOutcome::Outdated => {}
        }
    }
    if any_accepted {
        state.catalog = Catalog::new(&state.documents);
        schedule_heartbeats(state);
    }
}

/// Applies a VM list received from the platform or from another VM.
pub fn apply_vm_list(state: &mut State, list: VmList) {
    if !state.fleet.update(list) {
        return;
    }
    state.gossip.first_list_at.get_or_insert(state.now);
    schedule_heartbeats(state);
}

/// Schedules the next heartbeats immediately, so that changes spread without waiting for the next interval.
fn schedule_heartbeats(state: &mut State) {
    state.gossip.next_heartbeat_at = state.now;
}

/// Sends a heartbeat to one VM.
pub(crate) fn send_heartbeat(state: &mut State, to: &Name) {
    let heartbeat = Heartbeat {
        sent_at: state.now,
        vm_list_revision: state.fleet.list().revision,
        documents_digest: state.documents.digest(),
        suspects: suspects_to_report(state),
    };
    state.send(to, Message::Heartbeat(heartbeat));
}

fn suspects_to_report(state: &State) -> Vec<Name> {
    let mut suspects = state.fleet.suspects(state.now);
    suspects.retain(|name| state.fleet.is_listed(name));
    suspects.truncate(MAX_SUSPECTS_PER_HEARTBEAT);
    suspects
}
