//! Granting, denying and taking back permits.

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

/// Grants a permit, lets the call wait, or denies it.
pub fn acquire(state: &mut State, from: &VmRef, acquire: Acquire) {
    if let Some(permit) = granted_before(state, &acquire) {
        answer_granted(state, &from.name, &acquire, permit);
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
    if let Some(at) = placement_elsewhere(state, &acquire) {
        deny(state, &from.name, &acquire, DenyReason::PlacedElsewhere(at));
        return;
    }
    if passes(state, &acquire) {
        grant(state, from, &acquire);
        return;
    }
    wait(state, from, acquire);
}

/// Withdraws an acquire, whether it waits or was granted.
pub fn abandon(state: &mut State, abandon: &Abandon) {
    let Some(book) = state.admissions.by_upstream.get_mut(&abandon.upstream) else { return };
    book.queue.cancel(abandon.request, abandon.attempt);
    let (request, attempt) = (abandon.request, abandon.attempt);
    book.held.retain(|_, held| held.permit.request != request || held.permit.attempt != attempt);
    book.record_active_permits(state.now);
    serve_queue(state, &abandon.upstream);
}

/// Takes a permit back and learns from how the call ended.
pub fn release(state: &mut State, release: &Release) {
    let now = state.now;
    let unreachable_ms = state.tuning.unreachable_ms;
    let Some(book) = state.admissions.by_upstream.get_mut(&release.upstream) else { return };
    let Some(held) = book.held.remove(&release.permit) else {
        state.count(CountedEvent::MessageDropped);
        return;
    };
    book.record_active_permits(now);
    match release.outcome {
        AttemptOutcome::Completed(completed) => learn(state, &release.upstream, &held, completed),
        AttemptOutcome::Unsent => book.observations.unreachable_until = now.after(unreachable_ms),
        AttemptOutcome::ConnectionLost => {
            if !held.crash_attributed {
                book.observations.lost.push_back((held.permit.fingerprint, now));
            }
            super::load::poll(state, &release.upstream);
        }
        AttemptOutcome::Busy | AttemptOutcome::Cancelled => {}
    }
    serve_queue(state, &release.upstream);
}

/// Remembers that a chat was placed on another upstream than its first choice.
pub fn handle_placed(state: &mut State, placed: Placed) {
    let Some(book) = state.admissions.by_upstream.get_mut(&placed.first_choice) else { return };
    book.elsewhere.put(placed.key, placed.placed_on);
}

/// Denies the calls that waited long enough.
pub(super) fn expire_waits(state: &mut State) {
    let now = state.now;
    let by_upstream = &mut state.admissions.by_upstream;
    let expired: Vec<_> = by_upstream.values_mut().flat_map(|book| book.queue.expire(now)).collect();
    for waiter in expired {
        deny_busy(state, &waiter.from, &waiter.acquire);
    }
}

/// Grants permits to waiting calls while there is room.
pub(super) fn serve_queue(state: &mut State, upstream: &UpstreamId) {
    while let Some(waiter) = next_waiter(state, upstream) {
        if check_owner(state, upstream).is_err() {
            deny(state, &waiter.from, &waiter.acquire, DenyReason::OwnerNotReady);
            continue;
        }
        let holder = VmRef {
            incarnation: state.fleet.incarnation(&waiter.from).unwrap_or_default(),
            name: waiter.from,
        };
        grant(state, &holder, &waiter.acquire);
    }
}

/// Denies all calls that wait, because this VM is no longer the owner.
pub(super) fn dismiss(state: &mut State, upstream: &UpstreamId) {
    let Some(book) = state.admissions.by_upstream.get_mut(upstream) else { return };
    for waiter in book.queue.drain() {
        let owner = state.admissions.owner(upstream).cloned();
        deny(state, &waiter.from, &waiter.acquire, DenyReason::NotOwner(owner));
    }
}

fn granted_before(state: &State, acquire: &Acquire) -> Option<PermitId> {
    let book = state.admissions.by_upstream.get(&acquire.upstream)?;
    let same = |held: &ActivePermit| {
        held.permit.request == acquire.request && held.permit.attempt == acquire.attempt
    };
    book.held.iter().find(|(_, held)| same(held)).map(|(permit, _)| *permit)
}

/// Checks that this VM may grant on an upstream now; the clock is looked at before every grant.
fn check_owner(state: &mut State, upstream: &UpstreamId) -> Result<(), DenyReason> {
    let owner = state.admissions.owner(upstream).cloned();
    if owner.as_ref() != Some(&state.fleet.local_vm().name) {
        if let Some(believed) = &owner {
            gossip::send_heartbeat(state, believed);
        }
        return Err(DenyReason::NotOwner(owner));
    }
    let settled =
        state.admissions.by_upstream.get(upstream).is_some_and(|book| book.is_takeover_complete(state.now));
    if !settled || !state.is_view_confirmed() {
        return Err(DenyReason::OwnerNotReady);
    }
    let reachable = state.admissions.by_upstream[upstream].observations.unreachable_until <= state.now;
    if !state.catalog.takes_work(upstream) || !reachable {
        return Err(DenyReason::UpstreamUnavailable);
    }
    Ok(())
}

fn crashes(state: &State, acquire: &Acquire) -> u8 {
    state.suspects.crashes(acquire.fingerprint, state.now).max(acquire.lost_attempts)
}

/// Returns the upstream that a chat was placed on instead, if it still takes work.
fn placement_elsewhere(state: &mut State, acquire: &Acquire) -> Option<UpstreamId> {
    if acquire.ignore_placement {
        return None;
    }
    let book = state.admissions.by_upstream.get_mut(&acquire.upstream)?;
    let at = book.elsewhere.get(&acquire.key)?.clone();
    let usable = at != acquire.upstream && state.catalog.takes_work(&at);
    usable.then_some(at)
}

/// Tells whether an acquire may be granted: there is room, and no two suspects run together.
fn passes(state: &State, acquire: &Acquire) -> bool {
    let suspect = crashes(state, acquire) > 0;
    let book = &state.admissions.by_upstream[&acquire.upstream];
    let apart = !suspect || !book.runs_suspect();
    apart && capacity(state, &acquire.upstream, &acquire.pool).has_capacity()
}

fn grant(state: &mut State, holder: &VmRef, acquire: &Acquire) {
    let granter = state.fleet.local_vm().incarnation;
    state.admissions.next_permit += 1;
    let permit = PermitId { granter, seq: state.admissions.next_permit };
    let declared = DeclaredPermit {
        permit,
        holder: holder.clone(),
        request: acquire.request,
        attempt: acquire.attempt,
        pool: acquire.pool.clone(),
        fingerprint: acquire.fingerprint,
        suspect: crashes(state, acquire) > 0,
    };
    let held = ActivePermit { permit: declared, crash_attributed: false, since: state.now };
    let weight = state.catalog.weight(&acquire.workspace);
    let now = state.now;
    if let Some(book) = state.admissions.by_upstream.get_mut(&acquire.upstream) {
        book.held.insert(permit, held);
        book.queue.charge(&acquire.workspace, weight);
        book.recent.put(acquire.key, ());
        book.elsewhere.pop(&acquire.key);
        book.record_active_permits(now);
    }
    state.count(CountedEvent::PermitGranted);
    state.record(Some(acquire.request), Some(&acquire.upstream), TimelineEvent::PermitGranted(permit));
    answer_granted(state, &holder.name, acquire, permit);
}

fn answer_granted(state: &mut State, to: &Name, acquire: &Acquire, permit: PermitId) {
    let Acquire { request, attempt, upstream, .. } = acquire.clone();
    state.send(to, Message::Granted(Granted { request, attempt, upstream, permit }));
}

/// Lets a call wait if it wants to, or denies it.
fn wait(state: &mut State, from: &VmRef, acquire: Acquire) {
    let Some(entry) = state.catalog.upstreams.get(&acquire.upstream) else { return };
    let region = entry.region.clone();
    pool_load::hurry(state, &acquire.pool, &region);
    let Some(book) = state.admissions.by_upstream.get_mut(&acquire.upstream) else { return };
    let wait_ms = match acquire.wait {
        Wait::NotAllowed => 0,
        Wait::IfCached(ms) => book.recent.get(&acquire.key).map_or(0, |()| ms),
        Wait::Always(ms) => ms,
    };
    if wait_ms == 0 {
        deny_busy(state, &from.name, &acquire);
        return;
    }
    let arrived_at = Time(state.now.0.saturating_sub(acquire.age_ms));
    let waiter =
        QueuedCall { from: from.name.clone(), acquire, arrived_at, expires_at: state.now.after(wait_ms) };
    let upstream = waiter.acquire.upstream.clone();
    let catalog = &state.catalog;
    let displaced = book.queue.push(waiter, state.tuning.queue_capacity, |name| catalog.weight(name));
    if let Some(displaced) = displaced {
        deny_busy(state, &displaced.from, &displaced.acquire);
    }
    serve_queue(state, &upstream);
}

fn next_waiter(state: &mut State, upstream: &UpstreamId) -> Option<QueuedCall> {
    let book = state.admissions.by_upstream.get(upstream)?;
    if book.queue.is_empty() {
        return None;
    }
    let pools = state.catalog.upstreams.get(upstream)?.pools.clone();
    let fitting: Vec<_> =
        pools.iter().filter(|pool| capacity(state, upstream, pool).has_capacity()).collect();
    let alone = !book.runs_suspect();
    let (suspects, now) = (&state.suspects, state.now);
    let passes = |waiter: &QueuedCall| {
        let crashes = suspects.crashes(waiter.acquire.fingerprint, now).max(waiter.acquire.lost_attempts);
        fitting.contains(&&waiter.acquire.pool) && (crashes == 0 || alone)
    };
    state.admissions.by_upstream.get_mut(upstream)?.queue.pop(passes)
}

fn deny_busy(state: &mut State, to: &Name, acquire: &Acquire) {
    state.count(CountedEvent::DeniedBusy);
    let percent = capacity(state, &acquire.upstream, &acquire.pool).percent();
    let region = state.catalog.upstreams.get(&acquire.upstream).map(|entry| entry.region.clone());
    let least = pool_load::least(state, &acquire.pool, &region.unwrap_or_default());
    deny(state, to, acquire, DenyReason::Busy(Busy { load_percent: percent, least_loaded_upstream: least }));
}

fn deny(state: &mut State, to: &Name, acquire: &Acquire, reason: DenyReason) {
    let what = TimelineEvent::PermitDenied(reason.as_str());
    state.record(Some(acquire.request), Some(&acquire.upstream), what);
    let denied = Denied { request: acquire.request, attempt: acquire.attempt, reason };
    state.send(to, Message::Denied(denied));
}

/// Learns from a completed call: the ramp, a restart, and the innocence of a suspect.
fn learn(state: &mut State, upstream: &UpstreamId, held: &ActivePermit, completed: Completed) {
    let Some(book) = state.admissions.by_upstream.get_mut(upstream) else { return };
    let restarted = completed.start.is_some_and(|start| book.ramp.record_start(start));
    let slow = book.ramp.record_completed(completed.first_byte_ms);
    if restarted || slow {
        turn_cold(state, upstream);
    }
    if state.suspects.crashes(held.permit.fingerprint, state.now) > 0 {
        clear(state, held.permit.fingerprint);
    }
}

/// Forgets what an upstream was warm for.
pub(super) fn turn_cold(state: &mut State, upstream: &UpstreamId) {
    if let Some(book) = state.admissions.by_upstream.get_mut(upstream) {
        book.recent.clear();
    }
    state.record(None, Some(upstream), TimelineEvent::UpstreamCold);
}

fn clear(state: &mut State, fingerprint: Fingerprint) {
    state.suspects.clear(fingerprint);
    state.broadcast(&Message::SuspectCleared(fingerprint));
}

/// Counts a crash of an upstream against the requests that were running there.
pub(super) fn attribute_crash(state: &mut State, upstream: &UpstreamId) {
    let Some(book) = state.admissions.by_upstream.get_mut(upstream) else { return };
    let mut crash_attributed: VecDeque<_> =
        std::mem::take(&mut book.observations.lost).into_iter().map(|(f, _)| f).collect();
    for held in book.held.values_mut().filter(|held| !held.crash_attributed) {
        held.crash_attributed = true;
        crash_attributed.push_back(held.permit.fingerprint);
    }
    if crash_attributed.is_empty() {
        return;
    }
    let crash_attributed: Vec<_> = crash_attributed.into();
    for fingerprint in &crash_attributed {
        state.suspects.record_crash(*fingerprint, state.now);
    }
    state.count(CountedEvent::UpstreamCrashed);
    state.broadcast(&Message::CrashSuspects(crash_attributed));
}
