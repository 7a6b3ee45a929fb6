//! The reducer: the one place where events change the state.

use std::sync::Arc;

use jujubedoor::ids::Fingerprint;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::directory::Change;
use crate::directory::Directory;
use crate::directory::Registration;
use crate::event::Effect;
use crate::event::Event;
use crate::event::Source;
use crate::flight;
use crate::peers::Beat;
use crate::peers::Load;
use crate::recall;
use crate::state::State;
use crate::state::short_key;
use crate::upstream::Told;
use crate::upstream::Upstream;

/// How long this VM may be behind another one before it reads that one's directory, in milliseconds.
const BEHIND_MS: u64 = 300;

/// The pause between two reads of another VM's directory, in milliseconds.
const FETCH_PAUSE_MS: u64 = 500;

/// The time within which a broken connection belongs to the crash of its upstream, in milliseconds.
const CRASH_MS: u64 = 1_500;

/// The most prompt parts that one beat tells.
const TOLD_PARTS: usize = 60;

/// The most crashed requests that one beat tells.
const TOLD_CRASHES: usize = 20;

/// Changes the state by an event at a time and returns what the shell has to do.
///
/// A time before that of an earlier event counts as that of the earlier event.
pub fn reduce(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    state.now = state.now.max(now);
    match event {
        Event::Tick => tick(state),
        Event::Arrived(request, call) => flight::arrive(state, request, *call),
        Event::Began(request, signs) => flight::began(state, request, signs),
        Event::Ended(request, ended) => {
            flight::ended(state, request, ended);
            flight::serve_waiting(state);
        }
        Event::Closed(request) => {
            flight::close(state, request);
            flight::serve_waiting(state);
        }
        Event::Published(revision, changes) => published(state, revision, changes),
        Event::Replaced(directory, source) => replaced(state, *directory, source),
        Event::RegistryLost => registry_lost(state),
        Event::Heard(_, beat) => heard(state, &beat),
        Event::Learned(known) => recall::learned(state, known),
        Event::CacheListed(id, parts) => recall::listed(state, &id, &parts),
        Event::Leaving => {
            state.leaving = true;
            send_beats(state);
        }
    }
    std::mem::take(&mut state.effects)
}

fn tick(state: &mut State) {
    let now = state.now;
    lapse(state);
    state.breaks.retain(|b| now.since(b.at) < CRASH_MS);
    flight::serve_waiting(state);
    if now >= state.beat_due {
        state.beat_due = now.after(state.tuning.beat_ms);
        state.peers.forget(now);
        send_beats(state);
    }
    catch_up(state);
    recall::list(state);
}

/// Reads the directory of another VM that has been ahead for a while.
fn catch_up(state: &mut State) {
    let now = state.now;
    let Some(ahead) = state.peers.ahead_of(state.directory.revision, now, state.tuning.silent_ms) else {
        state.behind_since = None;
        return;
    };
    let since = *state.behind_since.get_or_insert(now);
    if now.since(since) >= BEHIND_MS && now >= state.fetch_due {
        state.fetch_due = now.after(FETCH_PAUSE_MS);
        state.effects.push(Effect::FetchDirectory(ahead));
    }
}

fn send_beats(state: &mut State) {
    let now = state.now;
    let due = state.peers.due(now, state.tuning.silent_ms);
    if due.is_empty() {
        return;
    }
    state.beat_number += 1;
    let busy = state.upstreams.iter().filter(|(_, u)| u.running > 0);
    let loads =
        busy.map(|(id, u)| Load { upstream: short_key(id), running: u.running, unread: u.unread }).collect();
    let told = state.fresh_parts.len().min(TOLD_PARTS);
    let parts = state.fresh_parts.drain(..told).map(|(part, id)| (part, short_key(&id))).collect();
    let most = state.fresh_crashes.len().min(TOLD_CRASHES);
    let crashes = state.fresh_crashes.drain(..most).map(|f| f.0).collect();
    let vms = state.peers.sample(now, state.tuning.silent_ms, &mut state.rng);
    let beat = Arc::new(Beat {
        from: state.peers.me.clone(),
        number: state.beat_number,
        leaving: state.leaving,
        revision: state.directory.revision,
        loads,
        parts,
        crashes,
        vms,
    });
    for address in due {
        state.effects.push(Effect::Beat(address, beat.clone()));
    }
}

fn heard(state: &mut State, beat: &Beat) {
    let now = state.now;
    let vms = state.peers.count();
    if !state.peers.hear(beat, now) {
        return;
    }
    if state.peers.count() != vms {
        let inputs = vec![("vm", beat.from.name.to_string()), ("vms", state.peers.count().to_string())];
        state.note(None, "vm_found", inputs);
    }
    recall::ask(state, beat);
    let vm = beat.from.incarnation;
    for (id, upstream) in &mut state.upstreams {
        let key = short_key(id);
        let load = beat.loads.iter().find(|l| l.upstream == key);
        let (running, unread) = load.map_or((0, 0), |l| (l.running, l.unread));
        upstream.hear(vm, Told { running, unread, at: now });
    }
    if !beat.parts.is_empty() {
        let keys = state.short_keys();
        for (part, key) in &beat.parts {
            if let Some(id) = keys.get(key) {
                state.warmth.note(*part, id, now);
            }
        }
    }
    for crash in &beat.crashes {
        state.suspects.accuse(Fingerprint(*crash), now);
    }
}

fn published(state: &mut State, revision: u64, changes: Vec<(u64, Change)>) {
    registry_answered(state);
    let before = version(state);
    for (at, change) in changes {
        if at <= state.directory.revision {
            continue;
        }
        note_change(state, at, &change);
        state.directory.apply(at, change.clone());
        match change {
            Change::Registered(id, registration) => register(state, &id, registration),
            Change::Unregistered(id) => unregister(state, &id),
            Change::Routes(_) | Change::Evacuated(_) => {}
            Change::Restored(domain) => restore(state, &domain),
        }
    }
    state.directory.revision = state.directory.revision.max(revision);
    note_version(state, before);
    flight::serve_waiting(state);
}

fn replaced(state: &mut State, directory: Directory, source: Source) {
    if source == Source::Registry {
        registry_answered(state);
    }
    if directory.revision < state.directory.revision {
        return;
    }
    let before = version(state);
    let gone: Vec<Name> =
        state.upstreams.keys().filter(|id| !directory.upstreams.contains_key(*id)).cloned().collect();
    for id in gone {
        unregister(state, &id);
    }
    let restored: Vec<Name> = state.directory.evacuated.difference(&directory.evacuated).cloned().collect();
    let routes = state.directory.routes.take();
    state.directory = directory;
    if let Some(routes) = routes {
        state.directory.offer_routes(routes);
    }
    for (id, registration) in state.directory.upstreams.clone() {
        register(state, &id, registration);
    }
    for domain in restored {
        restore(state, &domain);
    }
    let inputs = vec![
        ("source", format!("{source:?}").to_lowercase()),
        ("revision", state.directory.revision.to_string()),
        ("upstreams", state.directory.upstreams.len().to_string()),
    ];
    state.note(None, "directory_read", inputs);
    note_version(state, before);
    flight::serve_waiting(state);
}

fn version(state: &State) -> Option<u64> {
    state.directory.routes.as_ref().map(|r| r.version)
}

fn note_version(state: &mut State, before: Option<u64>) {
    let after = version(state);
    if after != before {
        let inputs = vec![
            ("version", after.unwrap_or_default().to_string()),
            ("before", before.unwrap_or_default().to_string()),
            ("revision", state.directory.revision.to_string()),
        ];
        state.note(None, "routes_in_force", inputs);
    }
}

fn note_change(state: &mut State, at: u64, change: &Change) {
    let (what, subject) = match change {
        Change::Routes(_) => return,
        Change::Registered(id, r) if r.draining => ("upstream_draining", id.to_string()),
        Change::Registered(id, _) => ("upstream_registered", id.to_string()),
        Change::Unregistered(id) => ("upstream_unregistered", id.to_string()),
        Change::Evacuated(domain) => ("domain_evacuated", domain.to_string()),
        Change::Restored(domain) => ("domain_restored", domain.to_string()),
    };
    state.note(None, what, vec![("subject", subject), ("revision", at.to_string())]);
}

fn register(state: &mut State, id: &Name, registration: Registration) {
    let now = state.now;
    let Some(known) = state.upstreams.get_mut(id) else {
        state.upstreams.insert(id.clone(), Upstream::new(registration, now));
        return;
    };
    known.lapses_at = None;
    if known.registration.started != registration.started {
        let running = known.running;
        *known = Upstream::new(registration, now);
        known.running = running;
        state.warmth.forget(id);
        flight::blame(state, id);
        return;
    }
    known.cold_until = now.after(registration.cold_ms).max(known.cold_until);
    known.registration = registration;
}

/// Takes an upstream out of use, or keeps it for a while if the registry was away lately.
fn unregister(state: &mut State, id: &Name) {
    let now = state.now;
    let away = state.registry_lost.is_some()
        || state.registry_back.is_some_and(|back| now.since(back) < state.tuning.lapse_ms);
    let lapses_at = state.registry_back.unwrap_or(now).after(state.tuning.lapse_ms);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    if away && !upstream.registration.draining {
        upstream.lapses_at = Some(lapses_at);
    } else {
        state.upstreams.remove(id);
    }
}

/// Drops the upstreams that did not register again after the registry came back.
fn lapse(state: &mut State) {
    let now = state.now;
    if state.registry_lost.is_some() {
        return;
    }
    state.upstreams.retain(|_, u| u.lapses_at.is_none_or(|at| now < at));
}

/// Treats the upstreams of a failure domain as cold after it was out of use.
fn restore(state: &mut State, domain: &Name) {
    let now = state.now;
    let services: Vec<(Name, u64)> = state
        .services()
        .into_iter()
        .map(|s| (s.clone(), state.service(&s).map_or(0, |s| s.cold_start_ms)))
        .collect();
    for upstream in state.upstreams.values_mut().filter(|u| u.registration.domain == *domain) {
        let cold_ms =
            services.iter().find(|(s, _)| *s == upstream.registration.service).map_or(0, |(_, ms)| *ms);
        upstream.cold_until = upstream.cold_until.max(now.after(cold_ms));
    }
}

fn registry_lost(state: &mut State) {
    if state.registry_lost.is_none() {
        state.registry_lost = Some(state.now);
        let inputs = vec![("revision", state.directory.revision.to_string())];
        state.note(None, "registry_lost", inputs);
    }
}

fn registry_answered(state: &mut State) {
    if let Some(lost) = state.registry_lost.take() {
        state.registry_back = Some(state.now);
        let inputs = vec![("away_ms", state.now.since(lost).to_string())];
        state.note(None, "registry_back", inputs);
    }
}
