//! Grants, denies and releases permits.

use std::collections::VecDeque;

use jujubedoor_config::Name;

use super::ActivePermit;
use super::capacity::capacity;
use super::pool_load;
use super::queue::QueuedCall;
use crate::crash_suspects::REJECT_AFTER_CRASHES;
use crate::event::CountedEvent;
use crate::event::TimelineEvent;
use crate::gossip;
use crate::ids::Fingerprint;
use crate::ids::PermitId;
use crate::ids::Time;
use crate::ids::UpstreamId;
use crate::ids::VmRef;
use crate::message::Abandon;
use crate::message::Acquire;
use crate::message::AttemptOutcome;
use crate::message::Busy;
use crate::message::Completed;
use crate::message::DeclaredPermit;
use crate::message::Denied;
use crate::message::DenyReason;
use crate::message::Granted;
use crate::message::Message;
use crate::message::Placed;
use crate::message::Release;
use crate::message::Wait;
use crate::state::State;

/// Handles a request for a permit: grants it, queues the call, or denies the permit.
pub fn acquire(state: &mut State, from: &VmRef, acquire: Acquire) {
    if let Some(permit) = existing_permit(state, &acquire) {
        send_grant(state, &from.name, &acquire, permit);
        return;
    }
    if let Err(reason) = check_owner(state, &acquire.upstream) {
        deny(state, &from.name, &acquire, reason);
        return;
    }
    let crashes = crashes(state, &acquire);
    if crashes >= REJECT_AFTER_CRASHES {
        deny(state, &from.name, &acquire, DenyReason::CrashSuspect);
        return;
    }
    if let Some(placed_on) = recorded_placement(state, &acquire) {
        deny(state, &from.name, &acquire, DenyReason::PlacedElsewhere(placed_on));
        return;
    }
    if is_grantable(state, &acquire) {
        grant(state, from, &acquire);
        return;
    }
    enqueue(state, from, acquire);
}

/// Handles the withdrawal of a request for a permit, whether it is queued or was granted.
pub fn abandon(state: &mut State, abandon: &Abandon) {
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(&abandon.upstream) else { return };
    upstream_state.queue.cancel(abandon.request, abandon.attempt);
    let (request, attempt) = (abandon.request, abandon.attempt);
    upstream_state
        .active_permits
        .retain(|_, active| active.permit.request != request || active.permit.attempt != attempt);
    upstream_state.record_active_permits(state.now);
    serve_queue(state, &abandon.upstream);
}

/// Releases a permit and evaluates how the call ended.
pub fn release(state: &mut State, release: &Release) {
    let now = state.now;
    let unreachable_ms = state.tuning.unreachable_ms;
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(&release.upstream) else { return };
    let Some(active) = upstream_state.active_permits.remove(&release.permit) else {
        state.count(CountedEvent::MessageDropped);
        return;
    };
    upstream_state.record_active_permits(now);
    match release.outcome {
        AttemptOutcome::Completed(completed) => complete_call(state, &release.upstream, &active, completed),
        AttemptOutcome::Unsent => upstream_state.observations.unreachable_until = now.after(unreachable_ms),
        AttemptOutcome::ConnectionLost => {
            if !active.crash_attributed {
                upstream_state.observations.recent_losses.push_back((active.permit.fingerprint, now));
            }
            super::load::poll(state, &release.upstream);
        }
        AttemptOutcome::Busy | AttemptOutcome::Cancelled => {}
    }
    serve_queue(state, &release.upstream);
}

/// Records that a chat was placed on another upstream than its first choice.
pub fn handle_placed(state: &mut State, placed: Placed) {
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(&placed.first_choice) else { return };
    upstream_state.placements.put(placed.key, placed.placed_on);
}

/// Denies the queued calls whose queueing time has expired.
pub(super) fn expire_waits(state: &mut State) {
    let now = state.now;
    let by_upstream = &mut state.admissions.by_upstream;
    let expired: Vec<_> =
        by_upstream.values_mut().flat_map(|upstream_state| upstream_state.queue.expire(now)).collect();
    for call in expired {
        deny_busy(state, &call.from, &call.acquire);
    }
}

/// Grants permits to queued calls while the upstream has capacity.
pub(super) fn serve_queue(state: &mut State, upstream: &UpstreamId) {
    while let Some(call) = pop_eligible_call(state, upstream) {
        if check_owner(state, upstream).is_err() {
            deny(state, &call.from, &call.acquire, DenyReason::OwnerNotReady);
            continue;
        }
        let holder =
            VmRef { incarnation: state.fleet.incarnation(&call.from).unwrap_or_default(), name: call.from };
        grant(state, &holder, &call.acquire);
    }
}

/// Denies all queued calls, because this VM is no longer the owner.
pub(super) fn deny_queued(state: &mut State, upstream: &UpstreamId) {
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) else { return };
    for call in upstream_state.queue.drain() {
        let owner = state.admissions.owner(upstream).cloned();
        deny(state, &call.from, &call.acquire, DenyReason::NotOwner(owner));
    }
}

fn existing_permit(state: &State, acquire: &Acquire) -> Option<PermitId> {
    let upstream_state = state.admissions.by_upstream.get(&acquire.upstream)?;
    let is_same = |active: &ActivePermit| {
        active.permit.request == acquire.request && active.permit.attempt == acquire.attempt
    };
    upstream_state.active_permits.iter().find(|(_, active)| is_same(active)).map(|(permit, _)| *permit)
}

/// Checks that this VM may grant permits for an upstream now.
///
/// This includes the age of the fleet view, so the check must precede every grant.
fn check_owner(state: &mut State, upstream: &UpstreamId) -> Result<(), DenyReason> {
    let owner = state.admissions.owner(upstream).cloned();
    if owner.as_ref() != Some(&state.fleet.local_vm().name) {
        if let Some(current_owner) = &owner {
            gossip::send_heartbeat(state, current_owner);
        }
        return Err(DenyReason::NotOwner(owner));
    }
    let takeover_complete = state
        .admissions
        .by_upstream
        .get(upstream)
        .is_some_and(|upstream_state| upstream_state.is_takeover_complete(state.now));
    if !takeover_complete || !state.is_view_confirmed() {
        return Err(DenyReason::OwnerNotReady);
    }
    let reachable = state.admissions.by_upstream[upstream].observations.unreachable_until <= state.now;
    if !state.catalog.takes_work(upstream) || !reachable {
        return Err(DenyReason::UpstreamUnavailable);
    }
    Ok(())
}

fn crashes(state: &State, acquire: &Acquire) -> u8 {
    state.crash_suspects.crashes(acquire.fingerprint, state.now).max(acquire.lost_attempts)
}

/// Returns the other upstream that a chat was placed on, if it still accepts new work.
fn recorded_placement(state: &mut State, acquire: &Acquire) -> Option<UpstreamId> {
    if acquire.ignore_placement {
        return None;
    }
    let upstream_state = state.admissions.by_upstream.get_mut(&acquire.upstream)?;
    let placed_on = upstream_state.placements.get(&acquire.key)?.clone();
    let usable = placed_on != acquire.upstream && state.catalog.takes_work(&placed_on);
    usable.then_some(placed_on)
}

/// Returns whether a permit may be granted: the upstream has capacity, and no two requests suspected of
/// crashing upstreams would run there together.
fn is_grantable(state: &State, acquire: &Acquire) -> bool {
    let suspect = crashes(state, acquire) > 0;
    let upstream_state = &state.admissions.by_upstream[&acquire.upstream];
    let is_isolated = !suspect || !upstream_state.is_running_suspect();
    is_isolated && capacity(state, &acquire.upstream, &acquire.pool).has_capacity()
}

fn grant(state: &mut State, holder: &VmRef, acquire: &Acquire) {
    let granter = state.fleet.local_vm().incarnation;
    state.admissions.next_permit_seq += 1;
    let permit = PermitId { granter, seq: state.admissions.next_permit_seq };
    let declared = DeclaredPermit {
        permit,
        holder: holder.clone(),
        request: acquire.request,
        attempt: acquire.attempt,
        pool: acquire.pool.clone(),
        fingerprint: acquire.fingerprint,
        suspect: crashes(state, acquire) > 0,
    };
    let active = ActivePermit { permit: declared, crash_attributed: false, checked_at: state.now };
    let weight = state.catalog.weight(&acquire.workspace);
    let now = state.now;
    if let Some(upstream_state) = state.admissions.by_upstream.get_mut(&acquire.upstream) {
        upstream_state.active_permits.insert(permit, active);
        upstream_state.queue.charge(&acquire.workspace, weight);
        upstream_state.cached_chats.put(acquire.key, ());
        upstream_state.placements.pop(&acquire.key);
        upstream_state.record_active_permits(now);
    }
    state.count(CountedEvent::PermitGranted);
    state.record(Some(acquire.request), Some(&acquire.upstream), TimelineEvent::PermitGranted(permit));
    send_grant(state, &holder.name, acquire, permit);
}

fn send_grant(state: &mut State, to: &Name, acquire: &Acquire, permit: PermitId) {
    let Acquire { request, attempt, upstream, .. } = acquire.clone();
    state.send(to, Message::Granted(Granted { request, attempt, upstream, permit }));
}

/// Queues a call if it may wait at this upstream, or denies the permit.
fn enqueue(state: &mut State, from: &VmRef, acquire: Acquire) {
    let Some(entry) = state.catalog.upstreams.get(&acquire.upstream) else { return };
    let region = entry.region.clone();
    pool_load::expedite_loads(state, &acquire.pool, &region);
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(&acquire.upstream) else { return };
    let max_wait_ms = match acquire.wait {
        Wait::NotAllowed => 0,
        Wait::IfCached(ms) => upstream_state.cached_chats.get(&acquire.key).map_or(0, |()| ms),
        Wait::Always(ms) => ms,
    };
    if max_wait_ms == 0 {
        deny_busy(state, &from.name, &acquire);
        return;
    }
    let arrived_at = Time(state.now.0.saturating_sub(acquire.age_ms));
    let call =
        QueuedCall { from: from.name.clone(), acquire, arrived_at, expires_at: state.now.after(max_wait_ms) };
    let upstream = call.acquire.upstream.clone();
    let catalog = &state.catalog;
    let displaced = upstream_state.queue.push(call, state.tuning.queue_capacity, |name| catalog.weight(name));
    if let Some(displaced) = displaced {
        deny_busy(state, &displaced.from, &displaced.acquire);
    }
    serve_queue(state, &upstream);
}

fn pop_eligible_call(state: &mut State, upstream: &UpstreamId) -> Option<QueuedCall> {
    let upstream_state = state.admissions.by_upstream.get(upstream)?;
    if upstream_state.queue.is_empty() {
        return None;
    }
    let pools = state.catalog.upstreams.get(upstream)?.pools.clone();
    let pools_with_capacity: Vec<_> =
        pools.iter().filter(|pool| capacity(state, upstream, pool).has_capacity()).collect();
    let no_suspect_running = !upstream_state.is_running_suspect();
    let (crash_suspects, now) = (&state.crash_suspects, state.now);
    let is_eligible = |call: &QueuedCall| {
        let crashes = crash_suspects.crashes(call.acquire.fingerprint, now).max(call.acquire.lost_attempts);
        pools_with_capacity.contains(&&call.acquire.pool) && (crashes == 0 || no_suspect_running)
    };
    state.admissions.by_upstream.get_mut(upstream)?.queue.pop(is_eligible)
}

fn deny_busy(state: &mut State, to: &Name, acquire: &Acquire) {
    state.count(CountedEvent::DeniedBusy);
    let load_percent = capacity(state, &acquire.upstream, &acquire.pool).load_percent();
    let region = state.catalog.upstreams.get(&acquire.upstream).map(|entry| entry.region.clone());
    let least_loaded_upstream =
        pool_load::known_least_loaded(state, &acquire.pool, &region.unwrap_or_default());
    deny(state, to, acquire, DenyReason::Busy(Busy { load_percent, least_loaded_upstream }));
}

fn deny(state: &mut State, to: &Name, acquire: &Acquire, reason: DenyReason) {
    let event = TimelineEvent::PermitDenied(reason.as_str());
    state.record(Some(acquire.request), Some(&acquire.upstream), event);
    let denied = Denied { request: acquire.request, attempt: acquire.attempt, reason };
    state.send(to, Message::Denied(denied));
}

/// Processes a completed call: updates the ramp, detects a restart, and clears the request if it was
/// suspected of crashing upstreams.
fn complete_call(state: &mut State, upstream: &UpstreamId, active: &ActivePermit, completed: Completed) {
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) else { return };
    let restarted = completed.start.is_some_and(|start| upstream_state.ramp.record_start(start));
    let is_cold = upstream_state.ramp.record_completed(completed.first_byte_ms);
    if restarted || is_cold {
        mark_cold(state, upstream);
    }
    if state.crash_suspects.crashes(active.permit.fingerprint, state.now) > 0 {
        clear_suspect(state, active.permit.fingerprint);
    }
}

/// Forgets which chats an upstream has cached, because it is cold.
pub(super) fn mark_cold(state: &mut State, upstream: &UpstreamId) {
    if let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) {
        upstream_state.cached_chats.clear();
    }
    state.record(None, Some(upstream), TimelineEvent::UpstreamCold);
}

fn clear_suspect(state: &mut State, fingerprint: Fingerprint) {
    state.crash_suspects.clear(fingerprint);
    state.broadcast(&Message::SuspectCleared(fingerprint));
}

/// Attributes a crash of an upstream to the requests that were running there.
pub(super) fn attribute_crash(state: &mut State, upstream: &UpstreamId) {
    let Some(upstream_state) = state.admissions.by_upstream.get_mut(upstream) else { return };
    let mut fingerprints: VecDeque<_> =
        std::mem::take(&mut upstream_state.observations.recent_losses).into_iter().map(|(f, _)| f).collect();
    for active in upstream_state.active_permits.values_mut().filter(|active| !active.crash_attributed) {
        active.crash_attributed = true;
        fingerprints.push_back(active.permit.fingerprint);
    }
    if fingerprints.is_empty() {
        return;
    }
    let fingerprints: Vec<_> = fingerprints.into();
    for fingerprint in &fingerprints {
        state.crash_suspects.record_crash(*fingerprint, state.now);
    }
    state.count(CountedEvent::UpstreamCrashed);
    state.broadcast(&Message::CrashSuspects(fingerprints));
}
