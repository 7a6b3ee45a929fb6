//! The reducer, the only place where events change the state.

use jujubedoor::ids::StoreRevision;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;

use crate::cache_recovery;
use crate::crash_attribution;
use crate::directory::Change;
use crate::directory::Delta;
use crate::directory::Directory;
use crate::directory::Registration;
use crate::domain_suspicion;
use crate::event::Effect;
use crate::event::Event;
use crate::health;
use crate::heartbeats;
use crate::lifecycle;
use crate::message::Heartbeat;
use crate::rate_limit;
use crate::registry_outage::EndedOutage;
use crate::registry_watch;
use crate::restored_registry;
use crate::state::State;
use crate::upstream::Upstream;
use crate::upstream_notices;

/// Time for which a VM that watches the registry may lag behind another VM before it fetches the changes
/// from there, in milliseconds.
const FETCH_DELAY_MS: u64 = 300;

/// Minimum interval between two fetches of another VM's directory, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 200;

/// Time within which a lost connection is attributed to a crash of the upstream, in milliseconds.
const CRASH_ATTRIBUTION_MS: u64 = 1_500;

/// Applies an event to the state and returns the effects for the I/O layer to carry out.
///
/// Time never goes backwards: if `now` is before the time of an earlier event, that time is used.
pub fn reduce(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    state.now = state.now.max(now);
    match event {
        Event::Tick => tick(state),
        Event::RequestArrived(request, call) => lifecycle::handle_arrival(state, request, *call),
        Event::ResponseStarted(request, signals) => {
            lifecycle::handle_response_start(state, request, signals);
            lifecycle::serve_queue(state);
        }
        Event::RateLimitNamed(id, per_s) => {
            rate_limit::record_named(state, &id, per_s);
            lifecycle::serve_queue(state);
        }
        Event::NoticeReceived(id, notice) => {
            upstream_notices::record(state, &id, notice);
            lifecycle::serve_queue(state);
        }
        Event::AttemptEnded(request, outcome) => {
            lifecycle::handle_attempt_end(state, request, outcome);
            lifecycle::serve_queue(state);
        }
        Event::RequestClosed(request) => {
            lifecycle::handle_close(state, request);
            lifecycle::serve_queue(state);
        }
        Event::ChangesPublished(revision, changes) => {
            registry_watch::record_response(state);
            apply_changes(state, revision, changes);
        }
        Event::DirectoryLoaded(directory) => {
            registry_watch::record_response(state);
            replace_directory(state, *directory, "registry");
        }
        Event::DeltaReceived(delta) => apply_delta(state, *delta),
        Event::RegistryUnreachable => registry_watch::record_failure(state),
        Event::ProbeCompleted(id, outcome) => {
            health::probe_completed(state, &id, outcome);
            lifecycle::serve_queue(state);
        }
        Event::HeartbeatReceived(heartbeat) => {
            if heartbeats::receive(state, &heartbeat) {
                apply_pushed_changes(state, *heartbeat);
            }
            fetch_missing_changes(state);
        }
        Event::CacheIndexReceived(records) => cache_recovery::add_received(state, records),
        Event::CacheListed(id, parts) => cache_recovery::add_listed(state, &id, &parts),
        Event::Leaving => {
            state.leaving = true;
            heartbeats::send(state);
        }
    }
    std::mem::take(&mut state.effects)
}

fn tick(state: &mut State) {
    let now = state.now;
    remove_expired(state);
    end_unconfirmed_evacuations(state);
    state.connection_losses.retain(|loss| now.since(loss.at) < CRASH_ATTRIBUTION_MS);
    lifecycle::serve_queue(state);
    heartbeats::tick(state);
    domain_suspicion::tick(state);
    crash_attribution::tick(state);
    fetch_missing_changes(state);
    cache_recovery::tick(state);
}

/// Applies the changes of the directory in a heartbeat, unless there are earlier ones that this VM lacks.
fn apply_pushed_changes(state: &mut State, heartbeat: Heartbeat) {
    let known = state.directory.revision;
    let Some(recent) = heartbeat.changes.filter(|recent| recent.after <= known) else { return };
    if heartbeat.revision > known {
        record_reported_outage(state, recent.last_outage);
        apply_changes(state, heartbeat.revision, recent.changes);
    }
}

/// Fetches missing changes of the directory from a VM that has a higher revision, or that knows changes which the
/// registry has lost.
fn fetch_missing_changes(state: &mut State) {
    let now = state.now;
    let Some(ahead) = state.peers.ahead_of(state.directory.revision, now, state.tuning.peer_timeout_ms)
    else {
        state.behind_since = None;
        fetch_lost_changes(state);
        return;
    };
    let since = *state.behind_since.get_or_insert(now);
    let is_watching = state.watches_registry() && !state.registry_outages.is_lost();
    let wait_ms = if is_watching { FETCH_DELAY_MS } else { 0 };
    if now.since(since) >= wait_ms && now >= state.directory_fetch_due {
        state.directory_fetch_due = now.after(FETCH_INTERVAL_MS);
        let needs_all = state.registry_outages.is_lost();
        state.effects.push(Effect::FetchDirectory {
            from: ahead,
            after: state.directory.revision,
            needs_all,
        });
    }
}

/// Fetches the directory of a VM that knows changes which the registry has lost, once in each epoch.
fn fetch_lost_changes(state: &mut State) {
    let now = state.now;
    if now < state.directory_fetch_due || !restored_registry::needs_combination(state) {
        return;
    }
    let revision = state.directory.revision;
    let Some(from) = state.peers.with_lost_changes(revision, now, state.tuning.peer_timeout_ms) else {
        return;
    };
    state.directory_fetch_due = now.after(FETCH_INTERVAL_MS);
    let after = StoreRevision::default();
    state.effects.push(Effect::FetchDirectory { from, after, needs_all: true });
}

/// Applies the changes that another VM sent.
fn apply_delta(state: &mut State, delta: Delta) {
    match delta {
        Delta::TooLarge => {
            state.must_watch_registry = true;
            return;
        }
        Delta::Changes { revision, changes, last_outage } => {
            record_reported_outage(state, last_outage);
            apply_changes(state, revision, changes);
        }
        Delta::Full { directory, last_outage } => {
            record_reported_outage(state, last_outage);
            let knows_lost_changes = directory.contains_lost_changes();
            if replace_directory(state, directory, "peer") && knows_lost_changes {
                restored_registry::record_combination(state);
            }
        }
    }
    fetch_missing_changes(state);
}

/// Records the registry's last outage, as reported by another VM together with its changes.
fn record_reported_outage(state: &mut State, last_outage: Option<EndedOutage>) {
    if let Some(outage) = last_outage {
        state.registry_outages.record_report(outage, state.now);
    }
}

/// Applies changes, unless they are of a later epoch: those are based on a directory that this VM has to read
/// first.
fn apply_changes(state: &mut State, revision: StoreRevision, changes: Vec<(StoreRevision, Change)>) {
    if revision.epoch > state.directory.revision.epoch {
        return;
    }
    let old_version = version(state);
    let old_revision = state.directory.revision;
    for (at, change) in changes {
        if at <= state.directory.revision {
            continue;
        }
        let change = change.published_at(at);
        if let Change::Registered(id, registration) = &change
            && state.directory.is_outdated(id, registration)
        {
            let inputs = vec![("upstream", id.to_string()), ("revision", at.number.to_string())];
            state.log(None, "registration_outdated", inputs);
            continue;
        }
        log_change(state, at, &change);
        state.directory.apply(at, change.clone());
        state.recent_changes.push(at, change.clone());
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
    log_routes_version(state, old_version);
    advance_revision(state, old_revision);
    lifecycle::serve_queue(state);
}

/// Records that the directory advanced, if it has a new revision. VMs that others rely on for changes send
/// heartbeats at once.
fn advance_revision(state: &mut State, previous_revision: StoreRevision) {
    if state.directory.revision > previous_revision {
        state.registry_outages.record_advance(state.now);
        if !state.peers.is_mesh() && !state.watches_registry() && !heartbeats::is_forwarder(state) {
            return;
        }
        state.heartbeat_due = state.now;
        heartbeats::tick(state);
    }
}

/// Replaces the directory by a complete one that was read later, but keeps what a restored registry has lost. Returns
/// whether the directory was replaced.
fn replace_directory(state: &mut State, directory: Directory, source: &'static str) -> bool {
    let old_revision = state.directory.revision;
    if directory.revision < state.directory.revision {
        let inputs = vec![
            ("source", source.to_owned()),
            ("epoch", directory.revision.epoch.to_string()),
            ("revision", directory.revision.number.to_string()),
            ("known_epoch", old_revision.epoch.to_string()),
            ("known_revision", old_revision.number.to_string()),
        ];
        state.log(None, "directory_discarded", inputs);
        return false;
    }
    restored_registry::record_epoch(state, directory.revision);
    let old_version = version(state);
    let directory = state.directory.combined_with(directory);
    let removed: Vec<Name> =
        state.upstreams.keys().filter(|id| !directory.upstreams.contains_key(*id)).cloned().collect();
    let is_in_use = |domain: &&Name| !directory.evacuated.contains_key(*domain);
    let restored: Vec<Name> = state.directory.evacuated.keys().filter(is_in_use).cloned().collect();
    state.recent_changes.reset(directory.revision);
    state.directory = directory;
    for id in removed {
        unregister(state, &id);
    }
    for (id, registration) in state.directory.upstreams.clone() {
        register(state, &id, registration);
    }
    for domain in restored {
        restore(state, &domain);
    }
    let inputs = vec![
        ("source", source.to_owned()),
        ("epoch", state.directory.revision.epoch.to_string()),
        ("revision", state.directory.revision.number.to_string()),
        ("upstreams", state.directory.upstreams.len().to_string()),
    ];
    state.log(None, "directory_read", inputs);
    log_routes_version(state, old_version);
    advance_revision(state, old_revision);
    lifecycle::serve_queue(state);
    true
}

fn version(state: &State) -> Option<u64> {
    state.directory.routes.as_ref().map(|r| r.version)
}

fn log_routes_version(state: &mut State, old_version: Option<u64>) {
    let new_version = version(state);
    if new_version != old_version {
        let inputs = vec![
            ("version", new_version.unwrap_or_default().to_string()),
            ("before", old_version.unwrap_or_default().to_string()),
            ("revision", state.directory.revision.number.to_string()),
        ];
        state.log(None, "routes_in_force", inputs);
    }
}

fn log_change(state: &mut State, at: StoreRevision, change: &Change) {
    let (event_name, subject) = match change {
        Change::Routes(_) => return,
        Change::Registered(id, r) if r.draining => ("upstream_draining", id.to_string()),
        Change::Registered(id, _) => ("upstream_registered", id.to_string()),
        Change::Unregistered(id) => ("upstream_unregistered", id.to_string()),
        Change::Evacuated(domain) => ("domain_evacuated", domain.to_string()),
        Change::Restored(domain) => ("domain_restored", domain.to_string()),
    };
    state.log(None, event_name, vec![("subject", subject), ("revision", at.number.to_string())]);
}

fn register(state: &mut State, id: &Name, registration: Registration) {
    let now = state.now;
    if !claim_address(state, id, &registration) {
        return;
    }
    let Some(current) = state.upstreams.get_mut(id) else {
        let upstream = Upstream::new(id, registration, now);
        state.ids_by_key.insert(upstream.key, id.clone());
        state.upstreams.insert(id.clone(), upstream);
        return;
    };
    current.expires_at = None;
    if current.registration.started != registration.started {
        let running = current.running;
        *current = Upstream::new(id, registration, now);
        current.running = running;
        state.cache_index.remove_upstream(id);
        crash_attribution::attribute(state, id, true);
        return;
    }
    current.cold_until = now.after(registration.cold_ms).max(current.cold_until);
    current.registration = registration;
}

/// Records that an upstream has an address. Another one that had it has ended, although its registration has
/// not expired yet, and is taken out of use.
///
/// Returns `false` if the other one started later, so that it is the registering upstream that has ended.
fn claim_address(state: &mut State, id: &Name, registration: &Registration) -> bool {
    let now = state.now;
    let address = registration.address;
    if let Some(previous) = state.ids_by_address.get(&address).filter(|previous| *previous != id).cloned()
        && let Some(upstream) = state.upstreams.get_mut(&previous)
        && upstream.registration.address == address
    {
        if upstream.registration.started > registration.started {
            return false;
        }
        upstream.registration.draining = true;
        upstream.expires_at = Some(now);
        let inputs = vec![("upstream", previous.to_string()), ("successor", id.to_string())];
        state.log(None, "upstream_replaced", inputs);
    }
    state.ids_by_address.insert(address, id.clone());
    true
}

/// Time for which an upstream whose registration ended without notice can still serve cache transfers,
/// in milliseconds.
const CACHE_TRANSFER_MS: u64 = 2_000;

/// Handles the end of an upstream's registration.
///
/// An upstream that was draining is removed with the next tick. If the registration may merely have expired during an outage
/// of the registry, the upstream stays in use for a while. Otherwise it counts as draining, and can only
/// serve cache transfers.
fn unregister(state: &mut State, id: &Name) {
    let now = state.now;
    let tuning = &state.tuning;
    let in_use_until =
        state.registry_outages.in_use_until(now, tuning.registration_grace_ms, tuning.drain_ms);
    let Some(upstream) = state.upstreams.get_mut(id) else { return };
    if upstream.registration.draining {
        upstream.expires_at = Some(now);
        return;
    }
    if upstream.expires_at.is_some() {
        // Its registration has ended before.
        return;
    }
    let in_use_until = in_use_until.filter(|_| !restored_registry::has_left(&state.directory, id));
    upstream.registration.draining = in_use_until.is_none();
    upstream.expires_at = Some(in_use_until.unwrap_or(now.after(CACHE_TRANSFER_MS)));
}

/// Removes the upstreams whose registration ended and that have not registered again in time. While the
/// registry is away, all are kept.
fn remove_expired(state: &mut State) {
    let now = state.now;
    if state.registry_outages.is_away() {
        return;
    }
    let has_expired = |u: &Upstream| u.expires_at.is_some_and(|at| now >= at);
    let (ids_by_key, ids_by_address) = (&mut state.ids_by_key, &mut state.ids_by_address);
    state.upstreams.retain(|id, upstream| {
        let expired = has_expired(upstream);
        if expired {
            ids_by_key.remove(&upstream.key);
            let address = upstream.registration.address;
            if ids_by_address.get(&address) == Some(id) {
                ids_by_address.remove(&address);
            }
        }
        !expired
    });
}

/// Ends evacuations that a restored registry does not contain and that were not ordered again.
fn end_unconfirmed_evacuations(state: &mut State) {
    for domain in restored_registry::drop_unconfirmed(state) {
        let inputs = vec![("subject", domain.to_string()), ("cause", "unconfirmed".to_owned())];
        state.log(None, "domain_restored", inputs);
        restore(state, &domain);
    }
}

/// Treats the upstreams of a failure domain as cold after an evacuation.
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
