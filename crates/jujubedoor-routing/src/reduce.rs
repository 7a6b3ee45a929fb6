//! The reducer: the one place where events change the state.

use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::directory::Change;
use crate::directory::Delta;
use crate::directory::Directory;
use crate::directory::Registration;
use crate::doubt;
use crate::event::Effect;
use crate::event::Event;
use crate::exchange;
use crate::flight;
use crate::health;
use crate::recall;
use crate::state::State;
use crate::upstream::Upstream;
use crate::watching;

/// How long a VM that watches the registry may be behind another one before it asks that one, in
/// milliseconds.
const BEHIND_MS: u64 = 300;

/// The pause between two reads of another VM's directory, in milliseconds.
const FETCH_PAUSE_MS: u64 = 200;

/// The time within which a broken connection belongs to the crash of its upstream, in milliseconds.
const CRASH_MS: u64 = 1_500;

/// Changes the state by an event at a time and returns what the shell has to do.
///
/// A time before that of an earlier event counts as that of the earlier event.
pub fn reduce(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    state.now = state.now.max(now);
    match event {
        Event::Tick => tick(state),
        Event::Arrived(request, call) => flight::arrive(state, request, *call),
        Event::Began(request, signs) => {
            flight::began(state, request, signs);
            flight::serve_waiting(state);
        }
        Event::Ended(request, ended) => {
            flight::ended(state, request, ended);
            flight::serve_waiting(state);
        }
        Event::Closed(request) => {
            flight::close(state, request);
            flight::serve_waiting(state);
        }
        Event::Published(revision, changes) => {
            watching::answered(state);
            published(state, revision, changes);
        }
        Event::Replaced(directory) => {
            watching::answered(state);
            replaced(state, *directory, "registry");
        }
        Event::PassedOn(delta) => passed_on(state, *delta),
        Event::RegistryLost => watching::lost(state),
        Event::Probed(id, opened) => {
            health::probed(state, &id, opened);
            flight::serve_waiting(state);
        }
        Event::Heard(beat) => {
            exchange::hear(state, &beat);
            catch_up(state);
        }
        Event::Learned(known) => recall::learned(state, known),
        Event::CacheListed(id, parts) => recall::listed(state, &id, &parts),
        Event::Leaving => {
            state.leaving = true;
            exchange::send(state);
        }
    }
    std::mem::take(&mut state.effects)
}

fn tick(state: &mut State) {
    let now = state.now;
    lapse(state);
    state.breaks.retain(|b| now.since(b.at) < CRASH_MS);
    flight::serve_waiting(state);
    exchange::tick(state);
    doubt::tick(state);
    catch_up(state);
    recall::tick(state);
}

/// Asks another VM that is ahead for what was published.
fn catch_up(state: &mut State) {
    let now = state.now;
    let Some(ahead) = state.peers.ahead_of(state.directory.revision, now, state.tuning.silent_ms) else {
        state.behind_since = None;
        return;
    };
    let since = *state.behind_since.get_or_insert(now);
    let reads = state.is_reader() && state.registry_lost.is_none();
    let wait_ms = if reads { BEHIND_MS } else { 0 };
    if now.since(since) >= wait_ms && now >= state.fetch_due {
        state.fetch_due = now.after(FETCH_PAUSE_MS);
        let needs_all = state.registry_lost.is_some();
        state.effects.push(Effect::FetchDirectory {
            from: ahead,
            after: state.directory.revision,
            needs_all,
        });
    }
}

/// Takes what another VM told.
fn passed_on(state: &mut State, delta: Delta) {
    match delta {
        Delta::Large => {
            state.told_to_read = true;
            return;
        }
        Delta::Changes { revision, changes, back_age_ms } => {
            note_back(state, back_age_ms);
            published(state, revision, changes);
        }
        Delta::Whole { directory, back_age_ms } => {
            note_back(state, back_age_ms);
            replaced(state, directory, "peer");
        }
    }
    catch_up(state);
}

/// Notes when the registry came back for the VM that passes changes on.
fn note_back(state: &mut State, age_ms: Option<u64>) {
    if let Some(age_ms) = age_ms {
        let back = Time(state.now.0.saturating_sub(age_ms));
        state.registry_back = state.registry_back.max(Some(back));
    }
}

fn published(state: &mut State, revision: u64, changes: Vec<(u64, Change)>) {
    let before = version(state);
    let known = state.directory.revision;
    for (at, change) in changes {
        if at <= state.directory.revision {
            continue;
        }
        note_change(state, at, &change);
        state.directory.apply(at, change.clone());
        state.recent.push(at, change.clone());
        match change {
            Change::Registered(id, registration) => register(state, &id, registration),
            Change::Unregistered(id) => unregister(state, &id),
            Change::Evacuated(domain) => {
                state.evacuated_at.insert(domain, state.now);
            }
            Change::Routes(_) => {}
            Change::Restored(domain) => restore(state, &domain),
        }
    }
    state.directory.revision = state.directory.revision.max(revision);
    note_version(state, before);
    tell_soon(state, known);
    flight::serve_waiting(state);
}

/// Tells other VMs at once that there is something new.
fn tell_soon(state: &mut State, before: u64) {
    if state.directory.revision > before {
        state.beat_due = state.now;
        exchange::tick(state);
    }
}

fn replaced(state: &mut State, directory: Directory, source: &'static str) {
    let known = state.directory.revision;
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
    state.recent.restart(directory.revision);
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
        ("source", source.to_owned()),
        ("revision", state.directory.revision.to_string()),
        ("upstreams", state.directory.upstreams.len().to_string()),
    ];
    state.note(None, "directory_read", inputs);
    note_version(state, before);
    tell_soon(state, known);
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
        state.upstreams.insert(id.clone(), Upstream::new(id, registration, now));
        return;
    };
    known.lapses_at = None;
    if known.registration.started != registration.started {
        let running = known.running;
        *known = Upstream::new(id, registration, now);
        known.running = running;
        state.warmth.forget(id);
        health::blame(state, id);
        return;
    }
    known.cold_until = now.after(registration.cold_ms).max(known.cold_until);
    known.registration = registration;
}

/// How long an upstream whose registration ended without notice still gives others what it has read, in
/// milliseconds.
const GIVES_MS: u64 = 2_000;

/// Takes an upstream out of use, or keeps it for a while if the registry was away lately.
///
/// One that did not announce its leaving counts as leaving for a while.
fn unregister(state: &mut State, id: &Name) {
    let now = state.now;
    let away = state.registry_lost.is_some()
        || state.registry_back.is_some_and(|back| now.since(back) < state.tuning.lapse_ms);
    let lapses_at = state.registry_back.unwrap_or(now).after(state.tuning.lapse_ms);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    if upstream.registration.draining {
        state.upstreams.remove(id);
    } else if away {
        upstream.lapses_at = Some(lapses_at);
    } else {
        upstream.registration.draining = true;
        upstream.lapses_at = Some(now.after(GIVES_MS));
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
